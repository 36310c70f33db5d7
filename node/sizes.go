package node

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/systems/selfload"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// loadSampleInterval is the time between two samples of what this instance uses.
	loadSampleInterval = 250 * time.Millisecond
	// sizeChangeTime is how long after this instance has begun to weigh instances by size others
	// may not do so yet. Gossip takes some seconds to reach all, and a member that was not known to
	// have the switch takes the time of its failure detection.
	sizeChangeTime = 30 * time.Second
)

// instanceSizes is the state of the division of common work by size. It is safe for concurrent
// use once enabled is set.
type instanceSizes struct {
	// enabled is the value of the switch. It does not change after the start.
	enabled bool
	// link counts the bytes of connections while enabled is set.
	link linkCounter
	// loaded is set while this instance is near one of its limits.
	loaded atomic.Bool
	// inUse is set while all entry instances have the switch, and changedAt is when that last
	// changed.
	inUse     atomic.Bool
	changedAt atomic.Int64
	weights   entryWeights
	// readEndpoints is how many endpoints' cache events this instance reads.
	readEndpoints atomic.Int64
}

// isLoaded reports whether this instance is near one of its limits.
func (s *instanceSizes) isLoaded() bool { return s.loaded.Load() }

// observeSizes records whether all entry instances have the switch, and their weights. If either
// changes, limits and endpoints get other owners, as when instances are lost.
func (n *Node) observeSizes(members []membership.Member) {
	if !n.sizes.enabled {
		return
	}
	inUse := membership.SizesInUse(members)
	weightsChanged := n.sizes.weights.observe(members)
	if n.sizes.inUse.Swap(inUse) == inUse && !(inUse && weightsChanged) {
		return
	}
	n.sizes.changedAt.Store(int64(n.now()))
	n.usageServer.NoteEntriesLost()
	n.permitServer.NoteOwnersChanged()
	events.SizesInUse.Log(n.log, zap.Bool("in_use", inUse), zap.Int("instances", len(entryIDs(members))))
}

// entryWeights holds the weights of the live entry instances. The zero value has seen none. It is
// safe for concurrent use.
type entryWeights struct {
	mu      sync.Mutex
	weights map[tables.InstanceID]int
}

// observe records the weights and reports whether that of a known instance has changed, which
// restarted with another size before the others took it for dead. New and lost instances are
// handled as without sizes.
func (w *entryWeights) observe(members []membership.Member) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	weights := make(map[tables.InstanceID]int, len(members))
	for i := range members {
		m := &members[i]
		if m.Roles&membership.RoleEntry == 0 || m.State > membership.Suspect {
			continue
		}
		weight := rendezvous.Weight(m.Size)
		before, known := w.weights[m.Instance]
		changed = changed || known && before != weight
		weights[m.Instance] = weight
	}
	w.weights = weights
	return changed
}

// areSizesChanging reports whether some entry instances may weigh the others by size while others
// do not.
func (n *Node) areSizesChanging() bool {
	if !n.sizes.enabled {
		return false
	}
	return !n.sizes.inUse.Load() || n.now()-time.Duration(n.sizes.changedAt.Load()) < sizeChangeTime
}

// watchLoad publishes whether this instance is near the limit of its processor, link or memory,
// until it stops.
func (n *Node) watchLoad() {
	s := n.options.Settings
	_, bufferLimit := n.entry.BufferUse()
	detector := selfload.NewDetector(selfload.Limits{
		Processors: s.Processors, LinkBytesPerSecond: s.LinkMbps * 1e6 / 8, BufferBytes: bufferLimit,
	})
	failed := false
	for wait.For(n.lifetime, loadSampleInterval) == nil {
		sample, err := n.sampleLoad()
		if err != nil && !failed {
			events.LoadNotMeasured.Log(n.log, zap.Error(err))
		}
		failed = err != nil
		if !failed && detector.Observe(n.now(), sample) {
			n.publishLoad(detector)
		}
	}
}

// sampleLoad returns what this process has used so far.
func (n *Node) sampleLoad() (selfload.Sample, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return selfload.Sample{}, err
	}
	buffered, _ := n.entry.BufferUse()
	gossiped := n.gossip.Load().Traffic()
	return selfload.Sample{
		Processor:     time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		SentBytes:     n.sizes.link.sent.Load() + gossiped.SentBytes,
		ReceivedBytes: n.sizes.link.received.Load() + gossiped.ReceivedBytes,
		Buffered:      buffered,
	}, nil
}

// publishLoad announces a change to the other instances and to operators.
func (n *Node) publishLoad(detector *selfload.Detector) {
	loaded, use := detector.Loaded(), detector.Use()
	n.sizes.loaded.Store(loaded)
	n.gossip.Load().SetLoaded(loaded)
	reason, _ := use.Highest()
	fields := []zap.Field{
		zap.String("reason", string(reason)), zap.Float64("processor", use.Processor), zap.Float64("sent", use.Sent),
		zap.Float64("received", use.Received), zap.Float64("buffers", use.Buffers),
	}
	if loaded {
		events.InstanceLoaded.Log(n.log, fields...)
	} else {
		events.InstanceNotLoaded.Log(n.log, fields...)
	}
}

// registerSizeGauges registers gauges of the common work and of the load of this instance.
// Without the switch there are none.
func (n *Node) registerSizeGauges() {
	if !n.sizes.enabled {
		return
	}
	loaded := n.registry.Gauge("carawaystile_instance_loaded", "1 while the instance is near the limit of its processor, link or memory.")
	limits := n.registry.Gauge("carawaystile_owned_limits", "Common limits in use that this instance owns in its zone.")
	endpoints := n.registry.Gauge("carawaystile_read_endpoints", "Endpoints whose cache events this instance reads.")
	n.registry.BeforeWrite(func() {
		loaded.Update(boolToFloat(n.sizes.isLoaded()))
		limits.Update(float64(n.usageServer.OwnedLimits()))
		endpoints.Update(float64(n.sizes.readEndpoints.Load()))
	})
}
