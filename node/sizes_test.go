package node

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/systems/membership"
)

// Guards against an instance at its limit that others do not know of or still relay through, and
// against sizes that count though an instance does not have the switch.
func TestLoadedInstanceIsKnownToOthers(t *testing.T) {
	c := &cluster{t: t, platform: newFakePlatform(t)}
	d := newTestDeployment(t, "127.31.9.1", "127.31.9.2")
	for _, s := range d.controlSettings() {
		c.start(s)
	}
	large := d.entrySettings("entry-1", "127.31.9.1", "z")
	large.Processors, large.Listen.Metrics = 0.48, freePort(t, "127.31.9.1")
	small := d.entrySettings("entry-2", "127.31.9.2", "z")
	// So small a part of a processor is exceeded by the work in the background.
	small.Processors, small.Capacity.Sizes = 0.0001, settings.CapacityOn
	observer, loaded := c.start(large), c.start(small)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, one := range readSizes(t, large) {
			if one.Instance == "entry-2" && one.Loaded && one.Size == 1 {
				return poll.Success()
			}
		}
		return poll.Continue("the load of entry-2 is not known")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.Assert(t, loaded.sizes.isLoaded())
	assert.Assert(t, !loaded.sizes.inUse.Load() && loaded.areSizesChanging())
	for _, e := range loaded.entries() {
		assert.Equal(t, e.Weight, 0)
	}
	// The observer has the switch off and takes no notice.
	relays := observer.relayInstances()
	assert.Equal(t, len(relays), 1)
	assert.Equal(t, relays[0], relay.Instance{ID: "entry-2", Zone: "z", Address: small.Advertise.Instances})
}

// Guards against owners that move unnoticed when an instance returns from a crash with another size,
// and against a change noted for each new or lost instance.
func TestChangedSizeOfKnownInstanceIsNoted(t *testing.T) {
	var weights entryWeights
	all := entryMembers(3, "a")
	for i := range all {
		all[i].Roles = membership.RoleEntry
	}
	assert.Assert(t, !weights.observe(all[:2]))
	assert.Assert(t, !weights.observe(all))
	all[1].Size = 48
	assert.Assert(t, weights.observe(all))
	assert.Assert(t, !weights.observe(all[1:]))
	all[0].Size = 48
	assert.Assert(t, !weights.observe(all))
}

// readSizes reads the list of instances at an instance's address for metrics.
func readSizes(t *testing.T, s *settings.Forwarding) (sizes []gossip.InstanceSize) {
	t.Helper()
	response, err := http.Get("http://" + s.Listen.Metrics.String() + gossip.SizesPath)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&sizes))
	return sizes
}

// Guards against a link whose use is not measured, and against connections that hide the socket,
// whose queues tell how much of a response a caller has not read.
func TestBytesOfConnectionsAreCounted(t *testing.T) {
	var counter linkCounter
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	conn := counter.count(raw)
	defer conn.Close()
	_, hasSocket := conn.(syscall.Conn)
	assert.Assert(t, hasSocket)
	echoed := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		echoed <- err
	}()
	_, err = io.Copy(conn, io.LimitReader(zeros{}, 100_000))
	assert.NilError(t, err)
	buffers := net.Buffers{make([]byte, 100_000), make([]byte, 100_000)}
	_, err = buffers.WriteTo(conn)
	assert.NilError(t, err)
	assert.NilError(t, conn.(interface{ CloseWrite() error }).CloseWrite())
	assert.NilError(t, <-echoed)
	assert.Equal(t, counter.sent.Load(), uint64(300_000))
	assert.Equal(t, counter.received.Load(), uint64(300_000))
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
