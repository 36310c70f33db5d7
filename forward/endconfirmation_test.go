package forward

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against a run that goes on at two engines because this instance has lost its links and
// takes the refused connections for the end of the first engine.
func TestStreamIsNotContinuedForLostLinks(t *testing.T) {
	engines := newBackupEngines(t, 3)
	engines.failRun = engines.breakConnection
	h := newRelayHarnessWith(t, engines.fakeEndpoints, withBackups)
	h.partitioned.Store(false)
	h.declareBackups(t)
	engines.whileRunning = func() { h.partitioned.Store(true) }
	received, complete := h.streamOf(t)
	assert.DeepEqual(t, received, wantEvents(3))
	assert.Assert(t, !complete)
	_, handles, refused := engines.counts(streamRequest)
	assert.Equal(t, handles+refused, 0)
	assert.Equal(t, h.continuations("endpoint not ended"), int64(1))
}

// Guards against a run that goes on at two engines because an instance trusts its own refused
// connection, while it does not know yet whether there are others, or none is known any more.
func TestStreamIsNotContinuedWhilePeersAreUnknown(t *testing.T) {
	for peers, complete := range map[relay.Peers]bool{relay.PeersUnknown: false, relay.HasPeers: false, relay.NoPeers: true} {
		engines := newBackupEngines(t, 3)
		h := newBackupHarness(t, engines, withBackups, withPeers(peers))
		received, completed := h.streamOf(t)
		assert.Equal(t, completed, complete)
		if !complete {
			assert.DeepEqual(t, received, wantEvents(3))
			assert.Equal(t, h.continuations("endpoint not ended"), int64(1))
		}
	}
}

// withPeers sets a relay that knows the instances, where peers says whether there are any.
func withPeers(peers relay.Peers, instances ...relay.Instance) func(*Options) {
	return func(o *Options) {
		o.Relay = relay.NewDialer(relay.DialerOptions{
			Zone: "a", Instances: func() []relay.Instance { return instances }, Dial: engine.DialTCP, Now: o.Now,
			Peers: func() relay.Peers { return peers },
		})
	}
}

// Guards against callers that wait for seconds until a broken stream is given up, since neither the
// endpoint nor the other instances respond.
func TestBrokenStreamIsGivenUpSoonIfInstancesDoNotRespond(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	instance := relay.Instance{Zone: "a", Address: netip.MustParseAddrPort(silent.Addr().String())}
	engines := newBackupEngines(t, 3)
	var brokenAt time.Time
	var cut atomic.Bool
	engines.whileRunning = func() {
		brokenAt = time.Now()
		cut.Store(true)
	}
	h := newBackupHarness(t, engines, withBackups, withPeers(relay.HasPeers, instance, instance, instance, instance, instance), func(o *Options) {
		o.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			if cut.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return engine.DialTCP(ctx, to)
		}})
	})
	_, complete := h.streamOf(t)
	assert.Assert(t, !complete)
	assert.Assert(t, time.Since(brokenAt) < 2*confirmTimeout, "%v", time.Since(brokenAt))
}

// Guards against an instance without links that does not continue a stream whose engine has
// ended by the word of another instance.
func TestStreamOfAnInstanceWithoutLinksIsContinuedThroughARelay(t *testing.T) {
	engines := newBackupEngines(t, 3)
	h := newRelayHarnessWith(t, engines.fakeEndpoints, withBackups)
	h.partitioned.Store(false)
	h.declareBackups(t)
	engines.whileRunning = func() {
		h.partitioned.Store(true)
		for _, e := range engines.all {
			h.server.setReachable(tables.EndpointID(e.id+"models"), false)
		}
	}
	received, complete := h.streamOf(t)
	assert.DeepEqual(t, received, wantEvents(6))
	assert.Assert(t, complete)
	runs, handles, _ := engines.counts(streamRequest)
	assert.Equal(t, runs, 1)
	assert.Equal(t, handles, 1)
}

// Guards against a run that goes on at two engines, or a stream that ends early, while its engine
// is frozen, or cut off from this instance so that connections time out.
func TestStreamOfAFrozenOrCutOffEngineIsNotContinued(t *testing.T) {
	t.Run("frozen", func(t *testing.T) {
		engines := newBackupEngines(t, 3)
		engines.failRun = func(int, http.ResponseWriter) { time.Sleep(600 * time.Millisecond) }
		h := newBackupHarness(t, engines, withBackups)
		received, complete := h.streamOf(t, "X-Deadline", "400")
		assert.DeepEqual(t, received, wantEvents(3))
		assert.Assert(t, !complete)
		assert.Equal(t, h.deliveredCount(), 1)
	})
	t.Run("cut off", func(t *testing.T) {
		engines := newBackupEngines(t, 3)
		var cut atomic.Bool
		engines.failRun, engines.whileRunning = engines.crash, func() { cut.Store(true) }
		h := newBackupHarness(t, engines, withBackups, func(o *Options) {
			o.Client = exchange.NewClient(exchange.Options{Headers: headerNames, Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				if cut.Load() {
					return nil, context.DeadlineExceeded
				}
				return engine.DialTCP(ctx, to)
			}})
		})
		received, complete := h.streamOf(t)
		assert.DeepEqual(t, received, wantEvents(3))
		assert.Assert(t, !complete)
		assert.Equal(t, h.continuations("endpoint not ended"), int64(1))
	})
}
