package usage

import (
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

func encodeLimit(l Limit) *rpc.UsageLimit {
	if !l.Limited() {
		return nil
	}
	return &rpc.UsageLimit{Rate: l.Rate, Burst: l.Burst, Strict: l.Strict}
}

func decodeLimit(l *rpc.UsageLimit) Limit {
	return Limit{Rate: l.GetRate(), Burst: l.GetBurst(), Strict: l.GetStrict()}
}

func encodeDebit(d Debit) *rpc.UsageDebit {
	return &rpc.UsageDebit{
		Subject: string(d.Subject), Limit: encodeLimit(d.Limit), Cost: d.Cost, Spent: d.Spent,
		LevelKnown: d.LevelKnown, Level: d.Level, LevelAgeMs: toMilliseconds(d.LevelAge),
	}
}

func decodeDebit(d *rpc.UsageDebit) Debit {
	return Debit{
		Subject: Subject(d.GetSubject()), Limit: decodeLimit(d.GetLimit()), Cost: max(0, d.GetCost()), Spent: d.GetSpent(),
		LevelKnown: d.GetLevelKnown(), Level: d.GetLevel(), LevelAge: fromMilliseconds(d.GetLevelAgeMs()),
	}
}

func encodeReply(r DebitReply) *rpc.UsageAnswer {
	return &rpc.UsageAnswer{
		Ready: r.Ready, Admitted: r.Admitted, RetryAfterMs: toMilliseconds(r.RetryAfter), LeaseMs: toMilliseconds(r.Lease),
		Level: r.Level, Demand: r.Demand,
	}
}

// decodeReply caps the lease at leaseDuration and raises a negative demand to 0.
func decodeReply(a *rpc.UsageAnswer) DebitReply {
	return DebitReply{
		Ready: a.GetReady(), Admitted: a.GetAdmitted(), RetryAfter: fromMilliseconds(a.GetRetryAfterMs()),
		Lease: min(fromMilliseconds(a.GetLeaseMs()), leaseDuration), Level: a.GetLevel(), Demand: max(0, a.GetDemand()),
	}
}

func encodeReport(r Report) *rpc.UsageReport {
	return &rpc.UsageReport{
		Subject: string(r.Subject), Limit: encodeLimit(r.Limit), Zone: string(r.Zone), Admitted: r.Admitted, Life: r.BootEpoch, Demand: r.Demand, Level: r.Level,
		OpenedMs: encodeAge(r.OpenedKnown, r.OpenedAgo),
	}
}

func decodeReport(r *rpc.UsageReport) Report {
	return Report{
		Subject: Subject(r.GetSubject()), Limit: decodeLimit(r.GetLimit()), Zone: tables.Zone(r.GetZone()), Admitted: r.GetAdmitted(), BootEpoch: r.GetLife(),
		Demand: max(0, r.GetDemand()), Level: r.GetLevel(), OpenedKnown: r.GetOpenedMs() > 0, OpenedAgo: fromMilliseconds(max(r.GetOpenedMs(), 1) - 1),
	}
}

// encodeAge encodes an age so that 0 stands for one that is not known.
func encodeAge(known bool, age time.Duration) uint32 {
	if !known {
		return 0
	}
	return toMilliseconds(age) + 1
}

func toMilliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
