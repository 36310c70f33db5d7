package usage

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// leaseTime is how long an instance may admit requests without asking, and leasePart
	// the part of the burst that must be left for it. Within the lease instances may use
	// more than is left; that part bounds by how much.
	leaseTime = time.Second
	leasePart = 0.5
	// silentAfter is after how long without a report another accountant counts as cut
	// off. Accountants of accounts in use report several times in it.
	silentAfter = 1200 * time.Millisecond
	// strictSilentAfter is the same for strict limits: until then each side of a cut uses
	// the whole limit, and a false alarm only leaves some of it unused.
	strictSilentAfter = 600 * time.Millisecond
	// reportPeriod is the time between two reports of an account whose level is high,
	// tightPeriod that of others, and reportPart the part of the burst whose use brings
	// the next report forward to tightPeriod.
	reportPeriod = 400 * time.Millisecond
	tightPeriod  = 50 * time.Millisecond
	reportPart   = 1.0 / 16
	// idlePart is the part of the limit's rate below which a demand counts as none.
	idlePart = 0.01
	// learnFor is how long after it was opened an account takes over levels that instances
	// have from the accountant before.
	learnFor = time.Second
	// idleAfter is after how long without use an account is forgotten. Its bucket is full
	// by then: bursts are a few seconds' worth of the rate.
	idleAfter = 30 * time.Second
	// remoteForget is after how long a silent accountant no longer counts. Instances of
	// its zone that live have another accountant by then.
	remoteForget = 2 * time.Minute
)

// Debit is what an entry instance asks of an accountant: to admit one request, to note use
// that it has admitted under a lease, or both.
type Debit struct {
	Subject Subject
	// Limit is the subject's as the instance knows it, if the configuration names none.
	Limit Limit
	// Cost is that of the request to admit; 0 if there is none.
	Cost int64
	// Spent is use that was admitted without asking; negative gives back what was
	// charged for requests that did not run.
	Spent int64
	// Level is the account's in the last answer, as of LevelAge ago, if
	// LevelKnown is set. An accountant that has just taken over learns it from there.
	LevelKnown bool
	Level      int64
	LevelAge   time.Duration
}

// DebitReply is an accountant's answer to a Debit.
type DebitReply struct {
	// Ready is false if the accountant does not know the subject or its limit.
	Ready    bool
	Admitted bool
	// RetryAfter is when a refused caller had better come back.
	RetryAfter time.Duration
	// Lease is for how long the instance may admit without asking.
	Lease time.Duration
	// Level is what is left of the burst, and Demand the demand of all instances a second.
	Level, Demand int64
}

// Report is what one accountant sends another of an account.
type Report struct {
	Subject Subject
	// Limit is the subject's, if the configuration names none.
	Limit Limit
	// Zone is the accountant's.
	Zone tables.Zone
	// Admitted is the running total of what the accountant has admitted in its life,
	// which Life tells from others.
	Admitted  int64
	BootEpoch uint64
	// Demand is what callers ask of the accountant a second.
	Demand int64
	// Level is the account's level there.
	Level int64
}

// BucketOwner keeps the accounts of subjects for its zone.
type BucketOwner struct {
	life uint64
	zone tables.Zone
	// unknown is until when use may have been counted elsewhere without a report to this
	// accountant: its start, or the loss of another one of its zone.
	unknown tables.Instant
	limits  map[Subject]Limit
	// accounts holds those in use.
	accounts map[Subject]*account
	sweptAt  tables.Instant
}

// NewBucketOwner returns an accountant without accounts. Life tells it from those of the
// same instance before a restart.
func NewBucketOwner(now tables.Instant, zone tables.Zone, life uint64) *BucketOwner {
	return &BucketOwner{life: life, zone: zone, unknown: now, accounts: map[Subject]*account{}}
}

// SetLimits puts limits in force. What was used under the limit before counts under the
// next one. A higher burst can be used at once.
func (a *BucketOwner) SetLimits(limits map[Subject]Limit) {
	for id, acc := range a.accounts {
		acc.level += max(0, limits[id].Burst-a.limits[id].Burst)
	}
	a.limits = limits
}

// NoteOwnerLost notes that another accountant of the zone may be gone, with its accounts.
func (a *BucketOwner) NoteOwnerLost(now tables.Instant) { a.unknown = now }

// Debit takes use into an account and decides about a request. Holders lists the instances
// whose leases end by it: the level has become low.
func (a *BucketOwner) Debit(now tables.Instant, by tables.InstanceID, d Debit) (answer DebitReply, holders []tables.InstanceID) {
	limit := a.limitOf(d.Subject, d.Limit)
	if !limit.Limited() {
		return DebitReply{}, nil
	}
	acc := a.account(now, d.Subject, limit)
	if d.Limit.Limited() {
		acc.named = d.Limit
	}
	acc.advance(now, limit)
	if d.LevelKnown && now-acc.opened <= learnFor {
		acc.level = min(acc.level, float64(d.Level)+limit.Rate*d.LevelAge.Seconds())
	}
	acc.use(now, d.Spent)
	acc.demand.add(now, float64(max(0, d.Spent)+d.Cost))
	answer = DebitReply{Ready: true, Admitted: d.Cost == 0 || acc.admits(limit, d.Cost)}
	switch {
	case !answer.Admitted:
		answer.RetryAfter = acc.returnAfter(now, limit, d.Cost)
	default:
		acc.use(now, d.Cost)
	}
	holders = acc.lease(now, by, limit, &answer)
	answer.Level, answer.Demand = wholeLevel(acc.level), int64(acc.totalDemand(now))
	return answer, holders
}

// limitOf is a subject's limit: the configuration's, or else the one that is named.
func (a *BucketOwner) limitOf(id Subject, named Limit) Limit {
	if limit, configured := a.limits[id]; configured {
		return limit
	}
	if acc := a.accounts[id]; acc != nil && !named.Limited() {
		return acc.named
	}
	return named
}

// wholeLevel rounds down: what is passed on of a level must not add to it.
func wholeLevel(level float64) int64 { return int64(math.Floor(level)) }

// account returns an account, opened if there is none.
//
// What was used before the accountant's start, or before another one was lost, is not known
// and counts as spent: the level begins at zero then. So instances may be restarted without
// the limit of a window that spans the restart being exceeded.
func (a *BucketOwner) account(now tables.Instant, id Subject, limit Limit) *account {
	acc := a.accounts[id]
	if acc == nil {
		acc = &account{
			bucket:  bucket{at: a.unknown},
			zone:    a.zone,
			opened:  now,
			remotes: map[tables.InstanceID]*remote{},
			holders: map[tables.InstanceID]tables.Instant{},
		}
		acc.refill(now, limit, 1)
		a.accounts[id] = acc
	}
	acc.used = now
	return acc
}

// ApplyReport takes another accountant's report.
func (a *BucketOwner) ApplyReport(now tables.Instant, from tables.InstanceID, in Report) {
	limit := a.limitOf(in.Subject, in.Limit)
	if !limit.Limited() {
		return
	}
	_, known := a.accounts[in.Subject]
	acc := a.account(now, in.Subject, limit)
	acc.advance(now, limit)
	if !known {
		acc.level = min(acc.level, float64(in.Level))
		acc.named = in.Limit
	}
	r := acc.remotes[from]
	if r == nil {
		r = &remote{zone: in.Zone, life: in.BootEpoch, admitted: in.Admitted}
		acc.remotes[from] = r
	}
	if r.life != in.BootEpoch {
		r.life, r.admitted = in.BootEpoch, 0
	}
	if in.Admitted > r.admitted || r.silent {
		acc.level -= float64(in.Admitted-r.admitted) - r.assumed
	}
	r.admitted = max(r.admitted, in.Admitted)
	r.silent, r.assumed = false, 0
	r.demand, r.at = float64(in.Demand), now
}

// DueReports lists what is to be sent to the other accountants now.
func (a *BucketOwner) DueReports(now tables.Instant) []Report {
	a.sweep(now)
	var due []Report
	for id, acc := range a.accounts {
		limit := a.limitOf(id, acc.named)
		if !acc.due(now, limit) {
			continue
		}
		acc.advance(now, limit)
		acc.reported, acc.reportedDemand, acc.reportedAt = acc.admitted, acc.activeDemand(now, limit), now
		due = append(due, Report{
			Subject: id, Limit: acc.named, Zone: a.zone, Admitted: acc.admitted, BootEpoch: a.life,
			Demand: int64(acc.reportedDemand), Level: wholeLevel(acc.level),
		})
	}
	return due
}

// Empty says whether there is nothing to report for now.
func (a *BucketOwner) Empty() bool { return len(a.accounts) == 0 }

// Peers lists the accountants that have reported of an account.
func (a *BucketOwner) Peers(id Subject) []tables.InstanceID {
	acc := a.accounts[id]
	if acc == nil {
		return nil
	}
	var all []tables.InstanceID
	for peer := range acc.remotes {
		all = append(all, peer)
	}
	return all
}

// sweep forgets accounts that are not in use.
func (a *BucketOwner) sweep(now tables.Instant) {
	if now-a.sweptAt < time.Second {
		return
	}
	a.sweptAt = now
	for id, acc := range a.accounts {
		if now-acc.used > idleAfter || !a.limitOf(id, acc.named).Limited() {
			delete(a.accounts, id)
		}
	}
}
