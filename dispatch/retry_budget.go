package dispatch

import (
	"time"

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
	// windowSlices is the number of slices by which the window slides.
	windowSlices = 20
)

// retryWindow is a sliding-window counter, as a ring buffer of slices, of this instance's
// requests and retries of one service.
type retryWindow struct {
	slice    int64
	requests [windowSlices + 1]int
	retries  [windowSlices + 1]int
}

// SetInstanceCount sets how many instances share the retry budgets. When zones are
// partitioned, each side knows of fewer instances while all of them keep running, so
// callers pass the highest number known recently.
func (d *Dispatcher) SetInstanceCount(n int) { d.instances = max(n, 1) }

// RecordRequest counts a client's request for a service.
func (d *Dispatcher) RecordRequest(now tables.Instant, service string) {
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
func (d *Dispatcher) CanRetry(now tables.Instant, service string) bool {
	requests, retries := d.retryWindow(now, service).totals()
	allowed := d.options.RetryBudget.Ratio*float64(requests) + d.extraRetries()
	return float64(retries+1+d.unconfirmedInWindow(now)) <= allowed
}

// extraRetries returns this instance's share of the retries that do not depend on the
// number of requests.
func (d *Dispatcher) extraRetries() float64 {
	return extraUsableFraction * d.options.RetryBudget.Extra / float64(d.instances)
}

// totals returns the requests and the retries of the window.
func (b *retryWindow) totals() (requests, retries int) {
	for i := range b.requests {
		retries += b.retries[i]
		if i != b.oldest() {
			requests += b.requests[i]
		}
	}
	return requests, retries
}

// oldest returns the index of the slice that may partly lie outside the window. Its
// retries count and its requests do not: all slices together span half a second more than
// the window, and counting the requests of all of them would permit a twentieth more
// retries than the window allows.
func (b *retryWindow) oldest() int { return b.index(b.slice + 1) }

// current returns the index of the current slice.
func (b *retryWindow) current() int { return b.index(b.slice) }

// index returns the position of a slice in the ring buffer.
func (b *retryWindow) index(slice int64) int { return int(slice % int64(len(b.requests))) }

// retains reports whether the ring buffer still holds the counts of a slice.
func (b *retryWindow) retains(slice int64) bool { return b.slice-slice < int64(len(b.requests)) }

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

// advance moves the window forward to now and clears the slices that it enters.
func (d *Dispatcher) advance(b *retryWindow, now tables.Instant) {
	width := max(d.options.RetryBudget.Window/windowSlices, time.Millisecond)
	slice := int64(now / width)
	for steps := 0; b.slice < slice && steps < len(b.requests); steps++ {
		b.slice++
		b.requests[b.current()], b.retries[b.current()] = 0, 0
	}
	b.slice = max(b.slice, slice)
}
