package forward

import (
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// limitedRigs are instances before the same endpoints, under a clock that only step moves.
type limitedRigs struct {
	all       []*rig
	endpoints standins
	clock     atomic.Int64
	asked     int
}

func newLimitedRigs(t *testing.T, instances int, scripts ...http.HandlerFunc) *limitedRigs {
	t.Helper()
	l := &limitedRigs{endpoints: newStandins(t, scripts...)}
	l.clock.Store(int64(time.Second))
	for range instances {
		l.all = append(l.all, newRigAt(t, l.now, l.endpoints))
	}
	l.limit()
	return l
}

// limit has the instances ask each other about rate limits.
func (l *limitedRigs) limit() {
	var entries []membership.EntryInstance
	clients := map[netip.AddrPort]*usage.Client{}
	for i := range l.all {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		entries = append(entries, membership.EntryInstance{Instance: tables.InstanceID("i" + strconv.Itoa(i)), Address: at})
	}
	for i, r := range l.all {
		self := membership.Sender{Instance: entries[i].Instance, Address: entries[i].Address}
		send := func(to netip.AddrPort, message *rpc.UsageMessage) { clients[to].HandleMessage(self, message) }
		zones := func() map[tables.Zone][]membership.EntryInstance {
			return map[tables.Zone][]membership.EntryInstance{"a": entries}
		}
		client := usage.NewClient(usage.ClientOptions{
			Self: self.Instance, Zone: "a", EntriesByZone: zones, InstanceCount: func() int { return len(l.all) }, Send: send, Now: l.now,
			Server: usage.NewServer(usage.ServerOptions{Self: self.Instance, Zone: "a", EntriesByZone: zones, Send: send, Now: l.now}),
			Log:    zap.NewNop(),
		})
		clients[self.Address] = client
		r.server.options.RateLimiter = client
	}
}

func (l *limitedRigs) now() tables.Instant { return tables.Instant(l.clock.Load()) }

func (l *limitedRigs) step(d time.Duration) { l.clock.Add(int64(d)) }

// ask sends a request to the next instance.
func (l *limitedRigs) ask(t *testing.T) int {
	t.Helper()
	r := l.all[l.asked%len(l.all)]
	l.asked++
	return r.ask(t, "GET", "/read/x", "").StatusCode
}

// names answers with the endpoint's work, and names a rate limit while there is one.
func namesLimit(limit *atomic.Pointer[string]) http.HandlerFunc {
	answer := says(200, "ok")
	return func(w http.ResponseWriter, r *http.Request) {
		if text := limit.Load(); text != nil {
			w.Header().Set("X-Rate-Limit", *text)
		}
		answer(w, r)
	}
}

// mostWithin is the highest number of times that lie within a window.
func mostWithin(times []tables.Instant, window time.Duration) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against an endpoint that names a rate limit getting requests from each instance as
// if there were no limit, or as if the limit were that instance's own.
func TestAllInstancesTogetherKeepAnEndpointsRateLimit(t *testing.T) {
	const (
		perSecond = 1.0
		noticed   = 3 * time.Second
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
		tick      = 100 * time.Millisecond
	)
	var limit atomic.Pointer[string]
	text := "1.0"
	limit.Store(&text)
	l := newLimitedRigs(t, 6, namesLimit(&limit), says(200, "ok"))
	var arrivals []tables.Instant
	for from := l.now(); l.now() < from+12*time.Second; l.step(tick) {
		for range 4 {
			before := len(l.endpoints.all[0].requests())
			assert.Equal(t, l.ask(t), 200)
			if got := len(l.endpoints.all[0].requests()); got > before && l.now() >= from+noticed {
				arrivals = append(arrivals, l.now())
			}
		}
	}
	most := mostWithin(arrivals, window)
	assert.Assert(t, float64(most) <= allowed, "%d requests within %v, allowed %.0f", most, window, allowed)
}

// Guards against a limit that ends with an answer which is not the endpoint's work.
func TestOnlyAnEndpointsOwnAnswerLiftsItsLimit(t *testing.T) {
	r := newRig(t, says(200, "ok"))
	chosen, reason := r.server.PlaceRequest(&dispatch.Request{
		Service: r.server.Service("desk"), Route: &routes.Route{}, Deadline: time.Hour,
	})
	assert.Assert(t, chosen != nil, reason)
	attempt := &try{job: &job{server: r.server}, chosen: chosen}
	limited := func(names ...string) bool {
		header := http.Header{}
		for _, name := range names {
			header.Set(name, "1.0")
		}
		attempt.noteHeader(header)
		return r.server.endpointLimit(chosen).Limited
	}
	assert.Assert(t, limited("X-Rate-Limit", "X-Signature"))
	assert.Assert(t, limited("X-Not-Run"))
	assert.Assert(t, limited())
	assert.Assert(t, !limited("X-Signature"))
	assert.Assert(t, limited("X-Rate-Limit", "X-Not-Run"))
}

// Guards against an endpoint that is held to a limit which it has stopped naming, and against
// callers who notice of a limit while other endpoints have room.
func TestALimitEndsWithTheFirstAnswerThatNamesNone(t *testing.T) {
	var limit atomic.Pointer[string]
	text := "1.0"
	limit.Store(&text)
	l := newLimitedRigs(t, 1, namesLimit(&limit))
	assert.Equal(t, l.ask(t), 200)
	l.step(2 * time.Second)
	limit.Store(nil)
	assert.Equal(t, l.ask(t), 200)
	for range 5 {
		assert.Equal(t, l.ask(t), 200)
	}
}
