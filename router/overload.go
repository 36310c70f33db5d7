package router

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// overloadHold is how long the overload state lasts after the last sign of
	// overload. During it, deferrable work yields.
	overloadHold = 3 * time.Second
	// overloadQueueLength is the number of queued urgent requests that is a
	// sign of overload.
	overloadQueueLength = 8
	// minDeferrableShare is the fraction of all work that deferrable work keeps
	// during overload, so that it does not starve.
	minDeferrableShare = 0.05
	// workTimeConstant is the time constant of the moving averages of
	// dispatched work.
	workTimeConstant = 10 * time.Second
)

// overloadState is the overload detector behind load shedding. It holds back
// deferrable work while urgent work cannot all start, and measures the share
// that deferrable work still gets. Without it, all classes would share an
// overload, and urgent requests would be refused while less urgent ones run.
type overloadState struct {
	until            tables.Instant
	updatedAt        tables.Instant
	totalTokens      float64
	deferrableTokens float64
}

// trigger records a sign of overload: a long queue of urgent work, or a
// refusal.
func (o *overloadState) trigger(now tables.Instant) { o.until = now + overloadHold }

func (o *overloadState) active(now tables.Instant) bool { return now < o.until }

// recordWork adds dispatched work, in tokens, to the exponentially decayed
// totals.
func (o *overloadState) recordWork(now tables.Instant, tokens float64, deferrable bool) {
	decay := math.Exp(-float64(now-o.updatedAt) / float64(workTimeConstant))
	o.updatedAt = now
	o.totalTokens = o.totalTokens*decay + tokens
	o.deferrableTokens *= decay
	if deferrable {
		o.deferrableTokens += tokens
	}
}

// admitsDeferrable reports whether deferrable work may start during overload.
func (o *overloadState) admitsDeferrable() bool {
	return o.deferrableTokens < minDeferrableShare*o.totalTokens
}
