// Package selfload decides whether an instance is near the limit of its processor, its network
// link or the memory for its buffers. It is a pure state machine: samples of running totals and
// clock readings go in.
package selfload

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// raiseFraction is the fraction of a limit above which the instance is loaded, and
	// clearFraction the one below which all uses must stay for clearAfter until it no longer is.
	raiseFraction = 0.85
	clearFraction = 0.70
	clearAfter    = 2 * time.Second
	// window is the time over which rates are measured.
	window = time.Second
	// minChangeInterval is the minimum time between two changes, since each is sent to all
	// instances.
	minChangeInterval = time.Second
)

// Limits are what an instance may use. A limit of 0 is not known, and its use does not count.
type Limits struct {
	// Processors is a number of processors, which may be a fraction.
	Processors float64
	// LinkBytesPerSecond is the bandwidth of the network link in each direction.
	LinkBytesPerSecond float64
	// BufferBytes is the budget for buffers.
	BufferBytes int64
}

// Sample is what the instance has used so far. All but Buffered are running totals.
type Sample struct {
	// Processor is the processor time of the process.
	Processor time.Duration
	// SentBytes and ReceivedBytes are those of the process.
	SentBytes, ReceivedBytes uint64
	// Buffered is how many bytes the buffers hold now.
	Buffered int64
}

// Use is what the instance uses of its limits, as fractions. Those of unknown limits are 0.
type Use struct{ Processor, Sent, Received, Buffers float64 }

// Reason names a limit.
type Reason string

// The reasons for which an instance is loaded.
const (
	Processor Reason = "processor"
	Sent      Reason = "sent"
	Received  Reason = "received"
	Buffers   Reason = "buffers"
)

// Highest returns the highest use and its limit.
func (u Use) Highest() (Reason, float64) {
	reason, highest := Processor, u.Processor
	for _, other := range []struct {
		reason Reason
		use    float64
	}{{Sent, u.Sent}, {Received, u.Received}, {Buffers, u.Buffers}} {
		if other.use > highest {
			reason, highest = other.reason, other.use
		}
	}
	return reason, highest
}

// timedSample is a Sample and its time.
type timedSample struct {
	Sample
	at tables.Instant
}

// Detector decides whether the instance is loaded. It is not safe for concurrent use.
type Detector struct {
	limits Limits
	// samples holds those of the last window and the newest one before it.
	samples []timedSample
	use     Use
	loaded  bool
	// changed is set once loaded has changed, changedAt is when it last did.
	changed   bool
	changedAt tables.Instant
	// belowSince is since when all uses have been below clearFraction; it is valid while below
	// is set.
	below      bool
	belowSince tables.Instant
}

// NewDetector returns a detector of an instance that is not loaded.
func NewDetector(limits Limits) *Detector { return &Detector{limits: limits} }

// Loaded reports whether the instance is loaded.
func (d *Detector) Loaded() bool { return d.loaded }

// Use returns what the instance used as of the last sample.
func (d *Detector) Use() Use { return d.use }

// Observe takes a sample and reports whether Loaded has changed. Rates are those since the newest
// sample that is at least one second old, and are 0 until there is one.
func (d *Detector) Observe(now tables.Instant, s Sample) (changed bool) {
	for len(d.samples) > 1 && now-d.samples[1].at >= window {
		d.samples = d.samples[1:]
	}
	d.use = Use{Buffers: fraction(float64(s.Buffered), float64(d.limits.BufferBytes))}
	if len(d.samples) > 0 && now-d.samples[0].at >= window {
		d.measureRates(d.samples[0], now, s)
	}
	d.samples = append(d.samples, timedSample{Sample: s, at: now})
	_, highest := d.use.Highest()
	if highest >= clearFraction {
		d.below = false
	} else if !d.below {
		d.below, d.belowSince = true, now
	}
	if d.changed && now-d.changedAt < minChangeInterval {
		return false
	}
	switch {
	case !d.loaded && highest > raiseFraction:
		d.loaded = true
	case d.loaded && d.below && now-d.belowSince >= clearAfter:
		d.loaded = false
	default:
		return false
	}
	d.changed, d.changedAt = true, now
	return true
}

// measureRates measures the uses of the processor and the link since an earlier sample.
func (d *Detector) measureRates(from timedSample, now tables.Instant, s Sample) {
	seconds := (now - from.at).Seconds()
	d.use.Processor = fraction((s.Processor - from.Processor).Seconds(), d.limits.Processors*seconds)
	d.use.Sent = fraction(float64(s.SentBytes-from.SentBytes), d.limits.LinkBytesPerSecond*seconds)
	d.use.Received = fraction(float64(s.ReceivedBytes-from.ReceivedBytes), d.limits.LinkBytesPerSecond*seconds)
}

// fraction returns used divided by limit, 0 if the limit is unknown.
func fraction(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}
