package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// retryLoad is what the clients of a service do, at all instances together, and what fails.
type retryLoad struct {
	// rate is the number of requests per second at a time.
	rate func(at time.Duration) float64
	// failing reports whether each attempt at a time fails, so that as many retries are made as
	// the budget permits.
	failing func(at time.Duration) bool
	// restarts is when the instances begin to restart, one after the other; zero for never.
	restarts time.Duration
}

func during(from, to time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool { return at >= from && at < to }
}

// retryBins counts per bin of a twentieth of a second.
const retryBins = 20

// play returns the requests and retries of each bin.
func (l retryLoad) play(limits RetryBudget, instances int, length time.Duration) (requests, retries []int) {
	bins := int(length * retryBins / time.Second)
	requests, retries = make([]int, bins), make([]int, bins)
	dispatchers := make([]*Dispatcher, instances)
	start := func(i int) {
		dispatchers[i] = New(Options{RetryBudget: limits, Seed: uint64(i + 1)})
		dispatchers[i].SetInstanceCount(instances)
	}
	for i := range dispatchers {
		start(i)
	}
	due, next := 0.0, 0
	for bin := range bins {
		now := time.Duration(bin) * time.Second / retryBins
		if l.restarts > 0 && now >= l.restarts && bin%retryBins == 0 {
			start(int((now-l.restarts)/time.Second) % instances)
		}
		due += l.rate(now) / retryBins
		for ; due >= 1; due-- {
			next++
			dispatchers[next%instances].RecordRequest(now, "models")
			requests[bin]++
		}
		for _, d := range dispatchers {
			for l.failing(now) && d.TakeRetry(now, "models") {
				retries[bin]++
			}
		}
	}
	return requests, retries
}

func sumBins(counts []int, from, to int) int {
	sum := 0
	for bin := max(from, 0); bin < min(to, len(counts)); bin++ {
		sum += counts[bin]
	}
	return sum
}

// mostRetries returns the largest share of its budget that a window has used, and the window. The
// requests of a window are those in it, in the one before it, or half a window before it,
// whichever are most.
func mostRetries(limits RetryBudget, requests, retries []int) (share float64, at int) {
	window := int(limits.Window * retryBins / time.Second)
	for from := range len(retries) - window {
		most := max(sumBins(requests, from, from+window), sumBins(requests, from-window, from), sumBins(requests, from-window/2, from+window/2))
		used := float64(sumBins(retries, from, from+window)) / (limits.Ratio*float64(most) + limits.Extra)
		if used > share {
			share, at = used, from
		}
	}
	return share, at
}

// Guards against retries that were within the budget when they were made, and are beyond that of
// a window in which there are fewer requests.
func TestNoWindowExceedsTheRetryBudgetForAnyPatternOfLoad(t *testing.T) {
	limits := RetryBudget{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
	steady := func(time.Duration) float64 { return 270 }
	burst := func(at time.Duration) float64 {
		if during(14*time.Second, 18*time.Second)(at) {
			return 270 * 1.6
		}
		return 270
	}
	falling := func(at time.Duration) float64 { return max(0, 400-16*at.Seconds()) }
	for name, load := range map[string]retryLoad{
		"steady":                  {rate: steady, failing: during(15*time.Second, 30*time.Second)},
		"from the start":          {rate: steady, failing: during(0, 30*time.Second)},
		"after a burst":           {rate: burst, failing: during(20*time.Second, 30*time.Second)},
		"short, after a burst":    {rate: burst, failing: during(19600*time.Millisecond, 24*time.Second)},
		"in a burst":              {rate: burst, failing: during(15*time.Second, 25*time.Second)},
		"falling":                 {rate: falling, failing: during(8*time.Second, 24*time.Second)},
		"short outages":           {rate: burst, failing: func(at time.Duration) bool { return int(at/(700*time.Millisecond))%3 == 0 }},
		"instances start in turn": {rate: steady, failing: during(12*time.Second, 28*time.Second), restarts: 15 * time.Second},
	} {
		for _, instances := range []int{6, 9, 88} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				requests, retries := load.play(limits, instances, 30*time.Second)
				share, at := mostRetries(limits, requests, retries)
				assert.Assert(t, share <= 1, "%.3f of the budget from bin %d on", share, at)
				if name == "steady" {
					assert.Assert(t, share >= 0.95, "only %.3f of the budget is used", share)
				}
			})
		}
	}
}
