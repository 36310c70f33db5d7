package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// RetryBudget limits the retries of a service's requests, from all instances together
// within a sliding window: Ratio is the permitted number of retries per request, and
// Extra the number permitted in addition, whatever the number of requests. Window is the
// length of the window. Without a retry budget each failure of an overloaded or broken
// fleet adds load to it.
type RetryBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// defaultInstances is the assumed number of instances that share a budget until the
	// real number is known. Too high a number only makes an instance cautious.
	defaultInstances = 12
	// extraUsableFraction is the fraction of Extra that the instances divide among
	// themselves. The rest is headroom for a new instance that the others do not know
	// yet.
	extraUsableFraction = 0.8
	// windowSlices is the number of slices by which the window slides, and keptSlices how many are
	// kept: those of the window that ends now, and of the one before it.
	windowSlices = 40
	keptSlices   = 2*windowSlices + 1
)

// retryWindow is a sliding-window counter, as a ring buffer of slices, of this instance's
// requests and retries of one service.
type retryWindow struct {
	slice    int64
	requests [keptSlices]int
	retries  [keptSlices]int
	// first is the slice in which counting began.
	first   int64
	started bool
}

// SetInstanceCount sets how many instances share the retry budgets. When zones are
// partitioned, each side knows of fewer instances while all of them keep running, so
// callers pass the highest number known recently.
func (d *Dispatcher) SetInstanceCount(n int) { d.instances = max(n, 1) }

// RecordRequest counts a client's request for a service.
func (d *Dispatcher) RecordRequest(now tables.Instant, service string) {
	d.observeUse(now)
	b := d.retryWindow(now, service)
	b.requests[b.current()]++
}

// TakeRetry takes one retry from the service's budget and reports whether there was one
// left.
//
// Each instance stays within a share of its own: its own requests times the ratio, and an
// equal part of the extra retries. The sum over all instances then stays within the
// common budget without any coordination, provided that the number of instances is not
// set too low.
func (d *Dispatcher) TakeRetry(now tables.Instant, service string) bool {
	if !d.CanRetry(now, service) {
		return false
	}
	b := d.retryWindow(now, service)
	b.retries[b.current()]++
	return true
}

// CanRetry reports whether TakeRetry would succeed, without taking a retry.
//
// A retry counts in every window that holds it, also in those that end later, when there may be
// fewer requests. So each window that has begun is judged by requests that are known already:
// those of the window before it, which the budget permits too.
//
// A window that may hold retries of a predecessor permits none: these are not known, and restarts
// in turn would multiply what the budget permits.
func (d *Dispatcher) CanRetry(now tables.Instant, service string) bool {
	b := d.retryWindow(now, service)
	if !d.retriesKnown(now) {
		return false
	}
	retries := float64(1 + d.unconfirmedInWindow(now))
	share := d.extraRetries(now) + d.rounding()
	for begin := b.slice; begin >= b.slice-windowSlices && begin >= b.first; begin-- {
		retries += float64(b.retries[b.index(begin)])
		if retries > d.options.RetryBudget.Ratio*float64(b.requestsFor(begin))+share {
			return false
		}
	}
	return true
}

// requestsFor returns the requests by which the window that begins in a slice is judged. A window
// that begins anywhere in the slice leaves out a part of the slice one window before it. Until
// counting has lasted for a window, the requests after the window's beginning count.
func (b *retryWindow) requestsFor(begin int64) int {
	from, to := begin-windowSlices+1, begin-1
	if from < b.first {
		from, to = begin+1, b.slice
	}
	count := 0
	for slice := from; slice <= to; slice++ {
		count += b.requests[b.index(slice)]
	}
	return count
}

// rounding returns a fraction of a retry that differs between instances and is one half on
// average. Retries are whole; if each of many instances rounded its share down, half a retry of
// each would be lost. The headroom of the extra retries covers the deviation of the sum, a third
// of the root of the number of instances.
func (d *Dispatcher) rounding() float64 {
	return float64(placement.Mix64(d.options.Seed)>>40) / (1 << 24)
}

// RedateRetry moves a retry that was taken earlier to now, when it is sent: it waits for an
// endpoint in between, and counts where it arrives.
func (d *Dispatcher) RedateRetry(now, takenAt tables.Instant, service string) {
	b := d.retryWindow(now, service)
	if taken := int64(takenAt / d.sliceWidth()); taken != b.slice && b.retains(taken) {
		b.retries[b.index(taken)]--
		b.retries[b.current()]++
	}
}

// ReturnRetry gives back a retry that was taken earlier and not sent.
func (d *Dispatcher) ReturnRetry(now, takenAt tables.Instant, service string) {
	b := d.retryWindow(now, service)
	if taken := int64(takenAt / d.sliceWidth()); b.retains(taken) {
		b.retries[b.index(taken)]--
	}
}

// extraRetries returns this instance's share of the retries that do not depend on the
// number of requests. There are none while a predecessor may have used them.
func (d *Dispatcher) extraRetries(now tables.Instant) float64 {
	if !d.retriesKnown(now) {
		return 0
	}
	return extraUsableFraction * d.options.RetryBudget.Extra / float64(d.instances)
}

// totals returns the requests and the retries of the window. The retries of the slice that may
// partly lie outside it count, the requests there do not.
func (b *retryWindow) totals() (requests, retries int) {
	for slice := b.slice - windowSlices; slice <= b.slice; slice++ {
		retries += b.retries[b.index(slice)]
		if slice > b.slice-windowSlices {
			requests += b.requests[b.index(slice)]
		}
	}
	return requests, retries
}

// current returns the index of the current slice.
func (b *retryWindow) current() int { return b.index(b.slice) }

// index returns the position of a slice in the ring buffer.
func (b *retryWindow) index(slice int64) int { return int((slice + keptSlices) % keptSlices) }

// retains reports whether the window still holds the counts of a slice.
func (b *retryWindow) retains(slice int64) bool { return b.slice-slice <= windowSlices }

// retryWindow returns the counters of a service, advanced to now.
func (d *Dispatcher) retryWindow(now tables.Instant, service string) *retryWindow {
	b := d.retryWindows[service]
	if b == nil {
		b = &retryWindow{}
		d.retryWindows[service] = b
	}
	d.advance(b, now)
	return b
}

// sliceWidth returns the length of a slice of the retry windows.
func (d *Dispatcher) sliceWidth() time.Duration {
	return max(d.options.RetryBudget.Window/windowSlices, time.Millisecond)
}

// advance moves the window forward to now and clears the slices that it enters.
func (d *Dispatcher) advance(b *retryWindow, now tables.Instant) {
	slice := int64(now / d.sliceWidth())
	if !b.started {
		b.started, b.first, b.slice = true, slice, slice
	}
	for steps := 0; b.slice < slice && steps < len(b.requests); steps++ {
		b.slice++
		b.requests[b.current()], b.retries[b.current()] = 0, 0
	}
	b.slice = max(b.slice, slice)
}
