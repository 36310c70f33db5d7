package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// slowdownDecay is the time constant with which the effect of a slowdown decays, and
	// slowdownTTL the age from which it counts as absent. On engines whose slowdown changes
	// about every 600 ms, the correlation with the next value was 0.6 at an age of 0.2 s, 0.4
	// at 0.35 s, 0.14 at 0.5 s, and none from 0.6 s on.
	slowdownDecay = 350 * time.Millisecond
	slowdownTTL   = 600 * time.Millisecond
	slowdownTTLMs = float64(slowdownTTL / time.Millisecond)
	// usualSlowdown is the value in percent of a machine at its usual speed, and
	// slowedThreshold the one above which an endpoint counts as slowed in the metrics.
	usualSlowdown   = 100
	slowedThreshold = 150
	// maxSlowdownEffect bounds the factor by which a slowdown changes the expected speed, so
	// that a wrong value does not exclude an endpoint.
	maxSlowdownEffect = 4.0
)

// slowdownWeights holds the weight of a slowdown by its age in milliseconds. Each placement needs
// it for each endpoint, and computing the exponentials made a placement at 1,100 slowed
// endpoints 1.3 times as expensive.
var slowdownWeights = func() (weights [slowdownTTL / time.Millisecond]float64) {
	for i := range weights {
		weights[i] = decay(time.Duration(i)*time.Millisecond, slowdownDecay)
	}
	return weights
}()

// slowdown is the latest known slowdown of an endpoint's machine, a last-writer-wins register
// that instances exchange. percent is how long work took at the given time, 100 as usual; 0 if
// no value is known. excess is how much longer work took, as a fraction of the usual time, within
// the bounds of its effect. ownAttempt is set for a value of a response to an attempt that this
// instance made, or placed for another instance which has passed the value on.
type slowdown struct {
	percent    int
	excess     float64
	at         tables.Instant
	ownAttempt bool
}

// newSlowdown returns the slowdown that was observed at the given time.
func newSlowdown(percent int, at tables.Instant) slowdown {
	effect := min(max(float64(percent)/usualSlowdown, 1/maxSlowdownEffect), maxSlowdownEffect)
	return slowdown{percent: percent, excess: effect - 1, at: at}
}

// isCurrent reports whether the value is known and says something about the speed now.
func (s *slowdown) isCurrent(now tables.Instant) bool {
	return s.percent > 0 && now-s.at < slowdownTTL
}

// factor returns by how much work that begins now takes longer than usual; 1 if no current
// value is known.
func (s *slowdown) factor(now tables.Instant) float64 {
	if s.excess == 0 || !s.isCurrent(now) {
		return 1
	}
	return 1 + s.excess*slowdownWeights[max(0, now-s.at)/time.Millisecond]
}

// exceedsEffect reports whether the value in force is outside the bounds of its effect, so that
// dividing a time by the factor does not give the usual time.
func (s *slowdown) exceedsEffect(now tables.Instant) bool {
	return s.isCurrent(now) && (s.percent < usualSlowdown/maxSlowdownEffect || s.percent > usualSlowdown*maxSlowdownEffect)
}

// currentPrefillRate returns the prefill speed now, in tokens a millisecond.
func (r *endpointRow) currentPrefillRate(now tables.Instant) float64 {
	return r.prefillRate / r.slowdown.factor(now)
}

// prefillTime returns how long the prefill of a number of tokens takes that begins now, in
// milliseconds: at the current speed while a slowdown says something, and at the steady one after
// that. A long prompt would otherwise be rejected as too late because of a slowdown that lasts for
// a small part of its prefill.
func (r *endpointRow) prefillTime(now tables.Instant, tokens float64) float64 {
	current := r.currentPrefillRate(now)
	took := tokens / current
	if current == r.prefillRate || took <= slowdownTTLMs {
		return took
	}
	return slowdownTTLMs + (tokens-slowdownTTLMs*current)/r.prefillRate
}

// currentServiceTime returns the mean time of a plain call now, in milliseconds.
func (r *endpointRow) currentServiceTime(now tables.Instant) float64 {
	return r.serviceTime * r.slowdown.factor(now)
}

// RecordSlowdown records the slowdown in percent that an endpoint named in its response to an
// attempt. Values that are not valid are ignored. A change is reported unless a remote scheduler
// has placed the attempt, which reports it itself.
func (d *Dispatcher) RecordSlowdown(now tables.Instant, a *Attempt, percent int) {
	if d.recordSlowdown(now, a.row, percent) && !a.remotelyPlaced {
		d.markDirty(a.row)
	}
}

// recordSlowdown records the slowdown that an endpoint named, and reports whether it is valid.
func (d *Dispatcher) recordSlowdown(now tables.Instant, row *endpointRow, percent int) bool {
	valid := d.noteSlowdown(row.Service, percent)
	if valid {
		row.slowdown = newSlowdown(percent, now)
		row.slowdown.ownAttempt = true
	}
	return valid
}

// mergeSlowdown applies the slowdown that another instance has reported; the later observation
// wins.
func (d *Dispatcher) mergeSlowdown(now tables.Instant, row *endpointRow, l *LoadReport) {
	if at := now - l.SlowdownAge; d.noteSlowdown(row.Service, l.SlowdownPercent) && (row.slowdown.percent == 0 || at > row.slowdown.at) {
		row.slowdown = newSlowdown(l.SlowdownPercent, at)
	}
}

// noteSlowdown reports whether a slowdown is valid, and if so records that endpoints of the
// service report it.
func (d *Dispatcher) noteSlowdown(service string, percent int) bool {
	if !dialect.ValidSlowdown(percent) {
		return false
	}
	if !d.reportsSlowdown(service) {
		d.slowdownKnown[service] = struct{}{}
	}
	return true
}

// addSlowdown adds to a load report the slowdown that a response to an attempt of this instance
// named. Slowdowns of others' load reports are not passed on: their age does not include the time that reports
// take, so a value that instances pass to and fro would never expire.
func (r *endpointRow) addSlowdown(now tables.Instant, l *LoadReport) {
	if r.slowdown.ownAttempt && r.slowdown.isCurrent(now) {
		l.SlowdownPercent, l.SlowdownAge = r.slowdown.percent, now-r.slowdown.at
	}
}

// CountSlowed returns the number of endpoints that are known to be slowed down now.
func (d *Dispatcher) CountSlowed(now tables.Instant) int {
	count := 0
	for _, row := range d.endpoints {
		if row.slowdown.isCurrent(now) && row.slowdown.percent > slowedThreshold {
			count++
		}
	}
	return count
}
