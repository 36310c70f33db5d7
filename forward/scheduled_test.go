package forward

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// useScheduler has an instance ask another one to place its requests. The outcomes of attempts
// that the scheduler receives are sent to the returned channel.
func useScheduler(asking, scheduler *Server) <-chan dispatch.Outcome {
	outcomes := make(chan dispatch.Outcome, 100)
	at := netip.MustParseAddrPort("127.0.0.1:1")
	server := schedule.NewServer(scheduler, asking.options.Now)
	var client *schedule.Client
	client = schedule.NewClient(schedule.ClientOptions{
		Self: "asking", Now: asking.options.Now, Log: asking.log,
		Schedulers: func() []membership.EntryInstance {
			return []membership.EntryInstance{{Instance: "scheduler", Address: at}}
		},
		Send: func(_ netip.AddrPort, m *rpc.ScheduleMessage) {
			if question := m.GetQuestion(); question != nil {
				go client.HandleAnswer(at, m.GetNumber(), server.Choose("asking", m.GetNumber(), question))
				return
			}
			server.HandleProgress("asking", m.GetNumber(), m.GetProgress())
			if m.GetProgress().GetEnded() {
				outcomes <- dispatch.DecodeOutcome(m.GetProgress().GetEnd())
			}
		},
	})
	asking.options.Scheduler = client
	return outcomes
}

// Guards against a scheduler that takes connections which broke with an instance's link for
// failures of the endpoint, and against one that learns nothing of an endpoint which breaks them.
func TestSchedulerLearnsOfBrokenConnectionsOnlyOverAWorkingLink(t *testing.T) {
	for _, lost := range []bool{false, true} {
		running, release := make(chan struct{}, 10), make(chan struct{})
		breaking := func(w http.ResponseWriter, r *http.Request) {
			running <- struct{}{}
			<-release
			abortConnection(w, r)
		}
		h := newRelayHarness(t, breaking)
		h.partitioned.Store(false)
		outcomes := useScheduler(h.server, h.relay.server)
		status := make(chan int, 1)
		go func() { status <- h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "10,6").StatusCode }()
		<-running
		h.partitioned.Store(lost)
		close(release)
		assert.Equal(t, <-status, http.StatusBadGateway)
		want := dispatch.Broken
		if lost {
			want = dispatch.ConnectTimeout
		}
		assert.Equal(t, <-outcomes, want)
	}
}

// Guards against retries that count in the window in which they were permitted instead of that in
// which they arrive.
func TestRetryCountsWhenItIsSent(t *testing.T) {
	const window = 10 * time.Second
	takenAt := tables.Instant(time.Hour)
	now := takenAt + window/2
	h := newHarnessWith(t, func() tables.Instant { return now }, newFakeEndpoints(t, respond(200, "ok")))
	h.server.dispatch = dispatch.New(dispatch.Options{RetryBudget: dispatch.RetryBudget{Extra: 1.25, Window: window}})
	h.server.dispatch.SetInstanceCount(1)
	h.server.SetEndpoints(h.server.Endpoints())
	assert.Assert(t, h.server.dispatch.TakeRetry(takenAt, "desk"))

	table := h.server.Configuration()
	c := &clientRequest{server: h.server, retryTakenAt: takenAt, ctx: t.Context(), route: table.Match("h.example", "/read/x"), service: table.ServiceByName("desk")}
	c.dispatchRequest = dispatch.Request{Service: c.service, Route: c.route, Deadline: now + time.Second}
	placement, _ := h.server.PlaceRequest(&c.dispatchRequest)
	c.newAttempt(placement)
	assert.Assert(t, !h.server.dispatch.CanRetry(takenAt+window+time.Second, "desk"))
	assert.Assert(t, h.server.dispatch.CanRetry(now+window+time.Second, "desk"))
}
