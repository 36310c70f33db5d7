package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// RetryBudget bound the sends beyond the first of each request that a service
// gets from all instances together within a sliding window: Ratio of the
// requests for it and Extra beyond that. Without a bound every failure of an
// overloaded or broken fleet adds load to it.
type RetryBudget struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// defaultInstances is the number of instances that share a budget until the real
	// one is known; too high a number only makes an instance careful.
	defaultInstances = 12
	// extraUsableFraction is the part of the common allowance that is given out. The rest
	// is for instances that have not heard of a newcomer yet.
	extraUsableFraction = 0.8
	// windowSlices is how finely the window slides.
	windowSlices = 20
)

// retryWindow counts one service's requests and repeated sends of this instance.
type retryWindow struct {
	slice    int64
	requests [windowSlices + 1]int
	retries  [windowSlices + 1]int
}

// SetInstanceCount notes how many instances share the budgets. The number of instances
// that are known shrinks when zones are cut off from each other, while all of
// them go on; so callers hand in the most that was known of late.
func (d *Dispatcher) SetInstanceCount(n int) { d.instances = max(n, 1) }

// RecordRequest counts a caller's request for a service.
func (d *Dispatcher) RecordRequest(now tables.Instant, service string) {
	b := d.retryWindow(now, service)
	b.requests[b.current()]++
}

// TakeRetry takes one repeated send from the budget if there is room for it.
//
// Each instance holds to its own part: its own requests times the ratio, and an
// equal part of the extra sends. The sum over all then keeps the common bound
// whatever the instances know of each other, as long as the number of peers is
// not too low.
func (d *Dispatcher) TakeRetry(now tables.Instant, service string) bool {
	if !d.CanRetry(now, service) {
		return false
	}
	b := d.retryWindow(now, service)
	b.retries[b.current()]++
	return true
}

// CanRetry says whether Repeat would.
func (d *Dispatcher) CanRetry(now tables.Instant, service string) bool {
	requests, repeats := d.retryWindow(now, service).totals()
	allowed := d.options.RetryBudget.Ratio*float64(requests) + d.extraRetries()
	return float64(repeats+1+d.unconfirmedInWindow(now)) <= allowed
}

// extraRetries is this instance's part of the sends that do not depend on requests.
func (d *Dispatcher) extraRetries() float64 {
	return extraUsableFraction * d.options.RetryBudget.Extra / float64(d.instances)
}

// totals are the requests and the repeats of the window.
func (b *retryWindow) totals() (requests, repeats int) {
	for i := range b.requests {
		repeats += b.retries[i]
		if i != b.oldest() {
			requests += b.requests[i]
		}
	}
	return requests, repeats
}

// oldest is the slice that may lie outside the window. Its repeats count and its
// requests do not: over all of the slices, half a second more than the window,
// requests would allow for a twentieth more repeats than the window bears.
func (b *retryWindow) oldest() int { return b.index(b.slice + 1) }

func (b *retryWindow) current() int { return b.index(b.slice) }

func (b *retryWindow) index(slice int64) int { return int(slice % int64(len(b.requests))) }

// retains says whether the counts of a slice are still kept.
func (b *retryWindow) retains(slice int64) bool { return b.slice-slice < int64(len(b.requests)) }

// retryWindow returns the counts of a service with the slices up to now.
func (d *Dispatcher) retryWindow(now tables.Instant, service string) *retryWindow {
	b := d.retryWindows[service]
	if b == nil {
		b = &retryWindow{}
		d.retryWindows[service] = b
	}
	d.advance(b, now)
	return b
}

// advance moves the window on to now.
func (d *Dispatcher) advance(b *retryWindow, now tables.Instant) {
	width := max(d.options.RetryBudget.Window/windowSlices, time.Millisecond)
	slice := int64(now / width)
	for steps := 0; b.slice < slice && steps < len(b.requests); steps++ {
		b.slice++
		b.requests[b.current()], b.retries[b.current()] = 0, 0
	}
	b.slice = max(b.slice, slice)
}
