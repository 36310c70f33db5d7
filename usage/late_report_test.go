package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an organisation that is refused for as long as its total is worth, since a report that
// an instance got late, after it was frozen, counted the whole total again.
func TestLateReportDoesNotCountATotalAgain(t *testing.T) {
	const start, length, frozen = tables.Instant(time.Hour), time.Minute, 3 * time.Second
	o := NewBucketOwner(start-time.Hour, "a", 1)
	o.SetLimits(limitsOf(limit))
	report := func(sentAt tables.Instant) Report {
		total := int64(0.5 * limit.Rate * (sentAt - start).Seconds())
		return Report{Subject: org, Zone: "b", BootEpoch: 1, Admitted: total, Demand: int64(0.5 * limit.Rate), OpenedKnown: true, OpenedAgo: sentAt - start}
	}
	o.Debit(start, "x", Debit{Subject: org, Cost: 1})
	for now := start; now <= start+length; now += reportInterval {
		o.ApplyReport(now, "b", report(now))
	}
	now := start + length + frozen
	o.ApplyReport(now, "b", report(now-frozen))
	o.ApplyReport(now, "b", report(now))
	reply, _ := o.Debit(now, "x", Debit{Subject: org})
	usedMeanwhile := 0.5 * limit.Rate * frozen.Seconds()
	assert.Assert(t, float64(reply.Level) >= limit.Burst-usedMeanwhile, "level %d", reply.Level)
}

// Guards against use that does not count since the owner of another zone has opened its bucket anew.
func TestTotalOfReopenedBucketCountsFromZero(t *testing.T) {
	const start = tables.Instant(time.Hour)
	o := NewBucketOwner(start-time.Hour, "a", 1)
	o.SetLimits(limitsOf(limit))
	o.Debit(start, "x", Debit{Subject: org, Cost: 1})
	o.ApplyReport(start, "b", Report{Subject: org, Zone: "b", BootEpoch: 1, OpenedKnown: true})
	o.ApplyReport(start+time.Second, "b", Report{Subject: org, Zone: "b", BootEpoch: 1, Admitted: int64(limit.Burst), OpenedKnown: true, OpenedAgo: time.Second})
	reopened := start + time.Second + bucketIdleTimeout
	o.Debit(reopened, "x", Debit{Subject: org, Cost: 1})
	o.ApplyReport(reopened+reportInterval, "b", Report{Subject: org, Zone: "b", BootEpoch: 1, Admitted: int64(limit.Burst), OpenedKnown: true, OpenedAgo: reportInterval})
	reply, _ := o.Debit(reopened+reportInterval, "x", Debit{Subject: org})
	assert.Assert(t, float64(reply.Level) < 0.5*limit.Burst, "level %d", reply.Level)
}

// Guards against an organisation that is refused, since a report of a peer's process before its restart came after
// one of the new process: the totals of both were counted again.
func TestLateReportOfAnEarlierProcessIsNotCounted(t *testing.T) {
	const start = tables.Instant(time.Hour)
	total := int64(10 * limit.Burst)
	for name, late := range map[string]Report{
		"opened long ago":           {Subject: org, Zone: "b", BootEpoch: 1, Admitted: total, OpenedKnown: true, OpenedAgo: time.Minute},
		"opened at an unknown time": {Subject: org, Zone: "b", BootEpoch: 1, Admitted: total},
	} {
		t.Run(name, func(t *testing.T) {
			o := NewBucketOwner(start-time.Hour, "a", 1)
			o.SetLimits(limitsOf(limit))
			o.Debit(start, "x", Debit{Subject: org, Cost: 1})
			now := start + time.Second
			level := func() int64 {
				reply, _ := o.Debit(now, "x", Debit{Subject: org})
				return reply.Level
			}
			o.ApplyReport(now, "b", late)
			now += time.Minute
			restarted := Report{Subject: org, Zone: "b", BootEpoch: 2, Admitted: 100, OpenedKnown: true, OpenedAgo: time.Second}
			o.ApplyReport(now, "b", restarted)
			before := level()
			o.ApplyReport(now, "b", late)
			o.ApplyReport(now, "b", restarted)
			assert.Equal(t, level(), before)
		})
	}
}

// Guards against tokens that are admitted twice, since a report that is older than the last one came while its
// sender was silent: what the sender had admitted in between was given back.
func TestOlderReportOfASilentPeerGivesNothingBack(t *testing.T) {
	const start = tables.Instant(time.Hour)
	slow := Limit{Rate: limit.Rate / 10, Burst: limit.Burst}
	o := NewBucketOwner(start-time.Hour, "a", 1)
	o.SetLimits(limitsOf(slow))
	o.Debit(start, "x", Debit{Subject: org, Cost: 1})
	report := func(admitted int64, openedAgo time.Duration) Report {
		return Report{Subject: org, Zone: "b", BootEpoch: 1, Admitted: admitted, Demand: int64(0.1 * slow.Rate), Level: int64(slow.Burst), OpenedKnown: true, OpenedAgo: openedAgo}
	}
	used := int64(slow.Burst)
	o.ApplyReport(start, "b", report(0, time.Minute))
	o.ApplyReport(start+reportInterval, "b", report(used, time.Minute+reportInterval))
	now := start + reportInterval + partitionTimeout + 10*time.Millisecond
	o.Debit(now, "x", Debit{Subject: org})
	o.ApplyReport(now, "b", report(0, time.Minute))
	reply, _ := o.Debit(now, "x", Debit{Subject: org})
	refilled := 1.01 * slow.Rate * (now - start).Seconds()
	assert.Assert(t, float64(reply.Level) <= slow.Burst-float64(used)+refilled, "level %d", reply.Level)
}
