package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// settledFraction is the fraction of the entry instances that an instance must know before
	// it asks owners. With fewer, instances pick different owners for the same subject.
	settledFraction = 0.9
	// MaxSettleTime bounds the time after the start of the process within which an instance
	// may be settling. The deployment may have become smaller.
	MaxSettleTime = 3 * time.Second
)

// Settling reports whether an instance whose process started age ago knows too few of the
// others to pick the owners that they pick. expected is the number of entry instances of the
// deployment, 0 if it is not known, and known the number that the instance knows, itself
// included.
func Settling(age time.Duration, known, expected int) bool {
	return age < MaxSettleTime && float64(known) < settledFraction*float64(expected)
}

// flushInterval is the interval between two reports of the use that an instance has admitted
// while it was settling, until an owner has it.
const flushInterval = 100 * time.Millisecond

// AdmitWithoutOwner decides about a request while no owner is ready: from the instance's share
// as of the last reply or, if no owner has replied since the process started at startedAt, as
// admitWhileSettling does.
func (l *LocalLimiter) AdmitWithoutOwner(now, startedAt tables.Instant, limit Limit, instances int, phase float64, cost int64) (admitted bool, retryAfter time.Duration) {
	if l.replied || now-startedAt >= MaxSettleTime {
		return l.AdmitFromShare(now, limit, instances, cost)
	}
	return l.admitWhileSettling(now, startedAt, limit, instances, phase, cost)
}

// admitWhileSettling decides about a request of an instance that has started at startedAt and is
// settling. The instance uses an equal part of the limit, among the given number of instances,
// that accrues from its start, without a burst: use before a restart may have taken the whole
// burst.
//
// A part is often smaller than a request. Such a request is admitted a little before the part
// covers it: phase, from 0 to 1, is the fraction of the cost that may be missing. If phases are
// spread evenly over the instances, all of them together admit what the limit allows.
func (l *LocalLimiter) admitWhileSettling(now, startedAt tables.Instant, limit Limit, instances int, phase float64, cost int64) (admitted bool, retryAfter time.Duration) {
	rate := limit.Rate / float64(max(instances, 1))
	level := rate*(now-startedAt).Seconds() - float64(l.settlingUse)
	l.usedAt = now
	if missing := (1-phase)*float64(cost) - level; missing > 0 {
		return false, min(time.Duration(missing/rate*float64(time.Second)), maxSettlingRetryAfter)
	}
	l.settlingUse += cost
	l.unreported += cost
	return true, 0
}

// maxSettlingRetryAfter is the longest time after which a caller refused by a settling instance
// should retry: by then the instance has most likely settled.
const maxSettlingRetryAfter = time.Second
