package schedule

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

const model = "m"

// dispatcherPlacer is a Placer with a real dispatcher.
type dispatcherPlacer struct {
	dispatch *dispatch.Dispatcher
	service  *routes.Service
	now      tables.Instant
}

func newDispatcherPlacer(endpoints int) *dispatcherPlacer {
	p := &dispatcherPlacer{
		dispatch: dispatch.New(dispatch.Options{Zone: "a", RetryBudget: dispatch.RetryBudget{Window: time.Second}}),
		service:  &routes.Service{Name: "s", Slots: 4, KVCapacityTokens: 100_000},
		now:      time.Second,
	}
	known := map[tables.EndpointID]fleet.Endpoint{}
	for i := range endpoints {
		id := tables.EndpointID(rune('A' + i))
		known[id] = fleet.Endpoint{
			ID: id, Zone: "a", Service: "s", Slots: 4, Weights: map[string]uint64{model: 1},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		}
	}
	p.dispatch.SetEndpoints(known)
	p.dispatch.RecordWeightsVersion(targetVersion())
	return p
}

func (p *dispatcherPlacer) Service(name string) *routes.Service {
	if name != p.service.Name {
		return nil
	}
	return p.service
}

func (p *dispatcherPlacer) PlaceRequest(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason) {
	return p.dispatch.Place(p.now, r)
}

func (p *dispatcherPlacer) AttemptStarted(a *dispatch.Attempt) {
	p.dispatch.RecordResponseStart(p.now, a)
}

func (p *dispatcherPlacer) AttemptSlowdownReported(a *dispatch.Attempt, percent int) {
	p.dispatch.RecordSlowdown(p.now, a, percent)
}

func (p *dispatcherPlacer) AttemptEnded(a *dispatch.Attempt, how dispatch.Outcome) {
	p.dispatch.RecordOutcome(p.now, a, how)
}

func (p *dispatcherPlacer) running() int {
	running := 0
	for _, load := range p.dispatch.TakeLoadReports(p.now) {
		running += load.Running
	}
	return running
}

// testZone is a zone with one asking instance and some schedulers. Messages are marshalled
// and unmarshalled on the way.
type testZone struct {
	client  *Client
	servers map[netip.AddrPort]*Server
	// silent holds the schedulers that receive no messages.
	silent map[netip.AddrPort]bool
	// lost reports whether a message to a scheduler is lost.
	lost  func(*rpc.ScheduleMessage) bool
	asked []netip.AddrPort
	// answersLost is set while the schedulers' answers are lost.
	answersLost bool
}

func address(n uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n)
}

func newTestZone(now func() tables.Instant, placers ...*dispatcherPlacer) *testZone {
	z := &testZone{servers: map[netip.AddrPort]*Server{}, silent: map[netip.AddrPort]bool{}, lost: func(*rpc.ScheduleMessage) bool { return false }}
	var schedulers []membership.EntryInstance
	for i, p := range placers {
		at := address(uint16(1 + i))
		schedulers = append(schedulers, membership.EntryInstance{Instance: tables.InstanceID(rune('x' + i)), Address: at})
		z.servers[at] = NewServer(p, now)
	}
	z.client = NewClient(ClientOptions{
		Self: "asker", BootEpoch: 100, Now: now, Log: zap.NewNop(),
		Schedulers: func() []membership.EntryInstance { return schedulers },
		Send:       z.send,
	})
	return z
}

// send delivers a message synchronously.
func (z *testZone) send(to netip.AddrPort, message *rpc.ScheduleMessage) {
	wire, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	in := &rpc.ScheduleMessage{}
	if err := proto.Unmarshal(wire, in); err != nil {
		panic(err)
	}
	if in.GetQuestion() != nil {
		z.asked = append(z.asked, to)
	}
	if z.silent[to] || z.lost(in) {
		return
	}
	switch {
	case in.GetQuestion() != nil:
		answer := z.servers[to].Choose("asker", in.GetNumber(), in.GetQuestion())
		if !z.answersLost {
			z.client.HandleAnswer(to, in.GetNumber(), answer)
		}
	case in.GetProgress() != nil:
		z.servers[to].HandleProgress("asker", in.GetNumber(), in.GetProgress())
	}
}

// generationRequest returns a generation request with the given prompt prefix.
func generationRequest(p *dispatcherPlacer, prompt parts.ID) *dispatch.Request {
	return &dispatch.Request{
		Service: p.service, Route: &routes.Route{TargetLatency: time.Second}, Model: model,
		PromptTokens: 1000, OutputTokens: 10, ArrivedAt: p.now, Deadline: p.now + 5*time.Second, PrefillWaitUntil: p.now,
		SharedParts: []dispatch.SharedPart{{ID: prompt, EndTokens: 800}},
	}
}

// Guards against schedulers that don't count the attempts they have placed, or that go on
// counting attempts that have ended.
func TestSchedulerCountsItsAttempts(t *testing.T) {
	p := newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	var open []*Assignment
	for i := range 6 {
		assignment := z.client.Ask(t.Context(), generationRequest(p, parts.ID(i)))
		assert.Equal(t, assignment.Reason, dispatch.RejectReason(""))
		open = append(open, assignment)
	}
	assert.Equal(t, p.running(), 6)
	for _, assignment := range open {
		assignment.NotifyStarted()
		assignment.NotifyEnded(dispatch.Completed)
	}
	assert.Equal(t, p.running(), 0)
}

// Guards against several endpoints computing the same prompt because several schedulers
// placed it at the same moment.
func TestRequestsWithSamePromptHaveSameScheduler(t *testing.T) {
	first, second := newDispatcherPlacer(3), newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return first.now }, first, second)
	at := map[parts.ID]netip.AddrPort{}
	used := map[netip.AddrPort]bool{}
	for i := range 40 {
		prompt := parts.ID(i % 20)
		assert.Assert(t, z.client.Ask(t.Context(), generationRequest(first, prompt)) != nil)
		asked := z.asked[len(z.asked)-1]
		if before, known := at[prompt]; known {
			assert.Equal(t, asked, before)
		}
		at[prompt], used[asked] = asked, true
	}
	assert.Equal(t, len(used), 2)
}

// Guards against callers waiting for a suspended scheduler one after the other.
func TestSilentSchedulerIsBackedOff(t *testing.T) {
	first, second := newDispatcherPlacer(3), newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return first.now }, first, second)
	z.silent[address(1)] = true
	for i := range 20 {
		assert.Assert(t, z.client.Ask(t.Context(), generationRequest(first, parts.ID(i))) != nil, "the other scheduler chooses")
	}
	asked := 0
	for _, at := range z.asked {
		if at == address(1) {
			asked++
		}
	}
	assert.Equal(t, asked, 1)
	z.silent[address(1)] = false
	first.now += silentBackoff
	for i := range 20 {
		z.client.Ask(t.Context(), generationRequest(first, parts.ID(i)))
	}
	assert.Assert(t, len(z.asked) > 41-20)
	assert.Assert(t, first.running() > 0, "the scheduler is asked again after the backoff")
}

// Guards against requests failing because no scheduler answers.
func TestInstanceChoosesLocallyWithoutSchedulers(t *testing.T) {
	p := newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	z.silent[address(1)] = true
	assert.Assert(t, z.client.Ask(t.Context(), generationRequest(p, 1)) == nil)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, z.client.Ask(ended, generationRequest(p, 1)) == nil)
}

// Guards against endpoints counting as full for ever because the notification that an
// attempt has ended was lost.
func TestAttemptExpiresAfterLostEnd(t *testing.T) {
	p := newDispatcherPlacer(1)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	z.lost = func(m *rpc.ScheduleMessage) bool { return m.GetProgress() != nil }
	for i := range 4 {
		z.client.Ask(t.Context(), generationRequest(p, parts.ID(i))).NotifyEnded(dispatch.Completed)
	}
	assert.Equal(t, z.client.Ask(t.Context(), generationRequest(p, 9)).Reason, dispatch.NoCapacity)
	p.now += 5*time.Second + expiryGrace
	z.servers[address(1)].ExpireAttempts()
	assert.Equal(t, p.running(), 0, "attempts expire even if no instance asks any more")
	assert.Equal(t, z.client.Ask(t.Context(), generationRequest(p, 9)).Reason, dispatch.RejectReason(""))
	assert.Equal(t, p.running(), 1)
}

// Guards against a scheduler counting attempts that no instance makes, since the answer came
// after the timeout.
func TestLateAnswerIsCancelled(t *testing.T) {
	p := newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	q := encodeQuestion(p.now, generationRequest(p, 1))
	answer := z.servers[address(1)].Choose("asker", 7, q)
	assert.Equal(t, p.running(), 1)
	z.client.HandleAnswer(address(1), 7, answer)
	assert.Equal(t, p.running(), 0)
}

// Guards against a scheduler counting the attempts of an instance that has crashed until the deadlines
// of its requests.
func TestAttemptsOfACrashedInstanceEnd(t *testing.T) {
	p := newDispatcherPlacer(1)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	for i := range 4 {
		z.client.Ask(t.Context(), generationRequest(p, parts.ID(i)))
	}
	server := z.servers[address(1)]
	server.EndAttemptsOf(func(id tables.InstanceID) bool { return id == "another" })
	assert.Equal(t, z.client.Ask(t.Context(), generationRequest(p, 9)).Reason, dispatch.NoCapacity)
	server.EndAttemptsOf(func(id tables.InstanceID) bool { return id == "asker" })
	assert.Equal(t, p.running(), 0)
	assert.Equal(t, z.client.Ask(t.Context(), generationRequest(p, 9)).Reason, dispatch.RejectReason(""))
}

// Guards against a scheduler counting an attempt that no instance makes until the deadline of its
// request, since the answer was lost or the request has ended meanwhile.
func TestAttemptOfLostAnswerIsCancelled(t *testing.T) {
	p := newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	z.answersLost = true
	assert.Assert(t, z.client.Ask(t.Context(), generationRequest(p, 1)) == nil)
	assert.Equal(t, p.running(), 0)
	p.now += silentBackoff
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, z.client.Ask(ended, generationRequest(p, 2)) == nil)
	assert.Equal(t, len(z.asked), 2)
	assert.Equal(t, p.running(), 0)
}

// Guards against an attempt counting twice because its datagram was delivered twice.
func TestDuplicateQuestionCountsOnce(t *testing.T) {
	p := newDispatcherPlacer(3)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	q := encodeQuestion(p.now, generationRequest(p, 1))
	first := z.servers[address(1)].Choose("asker", 7, q)
	again := z.servers[address(1)].Choose("asker", 7, q)
	assert.Equal(t, first.GetEndpoint(), again.GetEndpoint())
	assert.Equal(t, p.running(), 1)
}

// Guards against a scheduler choosing for another request than the caller's because the
// message lost a prompt part, a time bound or an endpoint already tried.
func TestQuestionRoundTripKeepsRequest(t *testing.T) {
	p := newDispatcherPlacer(3)
	r := generationRequest(p, 5)
	r.Priority, r.Tried, r.Avoided = 3, []tables.EndpointID{"A", "B"}, []tables.EndpointID{"C", "D"}
	r.ArrivedAt = p.now - 200*time.Millisecond
	r.Software, r.SoftwareFixed = "v2", true
	got := decodeQuestion(p.now, encodeQuestion(p.now, r), p.service)
	assert.Equal(t, got.Priority, 3)
	assert.DeepEqual(t, got.Tried, r.Tried)
	assert.DeepEqual(t, got.Avoided, r.Avoided)
	assert.DeepEqual(t, got.SharedParts, r.SharedParts)
	assert.Equal(t, got.ArrivedAt, r.ArrivedAt)
	assert.Equal(t, got.Deadline, r.Deadline)
	assert.Equal(t, got.PromptTokens, r.PromptTokens)
	assert.Equal(t, got.OutputTokens, r.OutputTokens)
	assert.Equal(t, got.Model, r.Model)
	assert.Equal(t, got.Software, r.Software)
	assert.Equal(t, got.SoftwareFixed, r.SoftwareFixed)
	assert.Equal(t, got.Route.TargetLatency, r.Route.TargetLatency)
}

func targetVersion() weights.TargetVersion { return weights.TargetVersion{Model: model, Version: 1} }

// Guards against a thundering herd: many instances send a prompt that has become popular to
// the one endpoint that has it cached, where most requests wait or are rejected while other
// endpoints are idle.
func TestBurstOfOnePromptStaysWithinSlots(t *testing.T) {
	p := newDispatcherPlacer(8)
	z := newTestZone(func() tables.Instant { return p.now }, p)
	z.client.Ask(t.Context(), generationRequest(p, 1)).NotifyStarted()
	p.now += time.Second
	placed := map[tables.EndpointID]int{}
	for range 30 {
		assignment := z.client.Ask(t.Context(), generationRequest(p, 1))
		assert.Equal(t, assignment.Reason, dispatch.RejectReason(""))
		placed[assignment.Choice.Endpoint]++
	}
	for id, n := range placed {
		assert.Assert(t, n <= p.service.Slots, "%s has %d attempts for %d slots", id, n, p.service.Slots)
	}
	assert.Assert(t, len(placed) >= 7, "30 requests at %d endpoints with 4 slots each", len(placed))
}
