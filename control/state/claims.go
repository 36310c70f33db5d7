package state

import (
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// claimID names a claim: a key means nothing outside its organisation.
type claimID struct {
	organisation string
	key          string
}

// claim is one row.
//
//	(none) --claim--> claimed --markDispatched--> dispatched --finish--> done
//	   ^                 |                            |
//	   +-----release-----+----------release-----------+
//
// A row leaves claimed only with the fence of its owner, and a take-over gives
// it a new fence. So a paused owner that wakes after the take-over is refused
// its dispatch, whatever its clock says. A dispatched row is never claimed
// again: it ends by an answer, by its owner's proof that nothing ran, or as
// unknown once it is lost.
type claim struct {
	body          string
	stage         rpc.ClaimStage
	owner         owner
	fence         uint64
	token         string
	dispatchToken string
	// changed is the log index of the last change; it orders rows of one stage.
	changed uint64
	expires time.Duration
	// lostAt is when a dispatched row without an answer counts as unknown.
	lostAt time.Duration
	answer *rpc.StoredAnswer
}

type owner struct {
	instance string
	boot     uint64
}

// due is an entry of an expiry queue. It is stale if the row has changed since.
type due struct {
	id      claimID
	changed uint64
	at      time.Duration
}

// claims holds the rows and, because every stage lives equally long, their
// expiry in plain queues.
type claims struct {
	limits        Limits
	rows          map[claimID]*claim
	organisations map[string]int
	// short holds claimed rows, long the others; both ordered by time.
	short []due
	long  []due
	// answers lists rows with stored answers, oldest first.
	answers     []due
	answerBytes int
	sessions    sessions
	// heldUntil is when keys that are not known are granted again after a
	// restore.
	heldUntil time.Duration
}

func newClaims(limits Limits) claims {
	return claims{
		limits:        limits,
		rows:          map[claimID]*claim{},
		organisations: map[string]int{},
		sessions:      newSessions(limits),
	}
}

// claim gives the right to dispatch to the first who asks, and tells the others
// how far the work is.
func (c *claims) claim(index uint64, now time.Duration, request *rpc.Claim) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	asker := owner{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	if !id.valid() || len(request.GetBody()) > maxNameBytes || len(request.GetToken()) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	c.sessions.seen(now, asker)
	row := c.rows[id]
	if row == nil {
		if now < c.heldUntil {
			return refusedFor(rpc.RefusalReason_REFUSED_CLAIMS_HELD, c.heldUntil-now)
		}
		if c.full(id.organisation) {
			return refused(rpc.RefusalReason_REFUSED_CLAIMS_FULL)
		}
		row = &claim{body: string(request.GetBody())}
		c.rows[id] = row
		c.organisations[id.organisation]++
		return c.grant(index, now, id, row, asker, request.GetToken())
	}
	if row.body != string(request.GetBody()) {
		return refused(rpc.RefusalReason_REFUSED_KEY_REUSED)
	}
	switch row.stage {
	case rpc.ClaimStage_STAGE_CLAIMED:
		return c.claimAgain(index, now, id, row, asker, request)
	case rpc.ClaimStage_STAGE_DISPATCHED:
		return c.claimDispatched(now, row)
	default:
		return claimAnswer(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_DONE, Answer: row.answer})
	}
}

// claimAgain answers a claim of a row that was not dispatched yet.
func (c *claims) claimAgain(index uint64, now time.Duration, id claimID, row *claim, asker owner, request *rpc.Claim) *rpc.Result {
	if row.owner == asker && row.token == request.GetToken() {
		return granted(row)
	}
	wait := c.sessions.lostIn(now, row.owner)
	if row.owner == asker && request.GetAlone() {
		wait = 0
	}
	if wait > 0 {
		return inProgress(wait)
	}
	return c.grant(index, now, id, row, asker, request.GetToken())
}

// claimDispatched answers a claim of a row whose work has left its owner. It
// never grants: the work may be running, also when its owner is lost.
func (c *claims) claimDispatched(now time.Duration, row *claim) *rpc.Result {
	if wait := min(row.lostAt-now, c.sessions.lostIn(now, row.owner)); wait > 0 {
		return inProgress(wait)
	}
	return claimAnswer(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_UNKNOWN})
}

func (c *claims) grant(index uint64, now time.Duration, id claimID, row *claim, to owner, token string) *rpc.Result {
	row.stage = rpc.ClaimStage_STAGE_CLAIMED
	row.owner = to
	row.token = token
	row.fence = index
	row.changed = index
	row.expires = now + c.limits.ClaimedTTL
	c.short = append(c.short, due{id, index, row.expires})
	return granted(row)
}

// markDispatched is the second quorum step. Its acceptance is the right to let
// the work leave, once: a second token under the same fence would be a second
// dispatch and is refused.
func (c *claims) markDispatched(index uint64, now time.Duration, request *rpc.MarkDispatched) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	row := c.rows[id]
	if row == nil || row.fence != request.GetFence() {
		return refused(rpc.RefusalReason_REFUSED_CLAIM_LOST)
	}
	if len(request.GetToken()) == 0 || len(request.GetToken()) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if row.stage != rpc.ClaimStage_STAGE_CLAIMED {
		if row.dispatchToken == request.GetToken() {
			return done()
		}
		return refused(rpc.RefusalReason_REFUSED_ALREADY_DISPATCHED)
	}
	lostAfter := time.Duration(request.GetLostAfterNanos())
	row.stage = rpc.ClaimStage_STAGE_DISPATCHED
	row.dispatchToken = request.GetToken()
	row.lostAt = now + min(max(lostAfter, minLostAfter), maxLostAfter)
	c.keep(index, now, id, row)
	return done()
}

// finish stores the answer, also one that comes after the outcome was given as
// unknown. An answer too large to keep is dropped, but that it ran is not.
func (c *claims) finish(index uint64, now time.Duration, request *rpc.FinishClaim) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	row := c.rows[id]
	if row == nil || row.fence != request.GetFence() || row.stage == rpc.ClaimStage_STAGE_CLAIMED {
		return refused(rpc.RefusalReason_REFUSED_CLAIM_LOST)
	}
	if row.stage == rpc.ClaimStage_STAGE_DONE {
		return done()
	}
	row.stage = rpc.ClaimStage_STAGE_DONE
	row.answer = request.GetAnswer()
	if row.answer == nil {
		row.answer = &rpc.StoredAnswer{Dropped: true}
	}
	if len(row.answer.GetBody()) > c.limits.MaxAnswerBytes {
		row.answer = withoutBody(row.answer)
	}
	c.keep(index, now, id, row)
	c.keepAnswer(id, row)
	return done()
}

// release forgets a claim whose work provably did not run and never will. The
// fence is never given again, so that a late markDispatched of the same owner
// finds nothing it could use.
func (c *claims) release(request *rpc.ReleaseClaim) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	row := c.rows[id]
	if row == nil || !row.named(request) {
		return done()
	}
	if row.stage == rpc.ClaimStage_STAGE_DONE {
		return refused(rpc.RefusalReason_REFUSED_CLAIM_LOST)
	}
	c.remove(id, row)
	return done()
}

// named says whether a release means this row: by its fence, or by the token of
// a claim that was not dispatched.
func (r *claim) named(request *rpc.ReleaseClaim) bool {
	if request.GetFence() != 0 {
		return r.fence == request.GetFence()
	}
	by := owner{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	return r.stage == rpc.ClaimStage_STAGE_CLAIMED && r.owner == by && r.token == request.GetToken()
}

// keep lets the row live for the retention from now on.
func (c *claims) keep(index uint64, now time.Duration, id claimID, row *claim) {
	row.changed = index
	row.expires = now + c.limits.ClaimRetention
	c.long = append(c.long, due{id, index, row.expires})
}

// keepAnswer counts the row's answer and drops the oldest bodies above the
// bound.
func (c *claims) keepAnswer(id claimID, row *claim) {
	if len(row.answer.GetBody()) == 0 {
		return
	}
	c.answerBytes += len(row.answer.GetBody())
	c.answers = append(c.answers, due{id: id, changed: row.changed})
	for c.answerBytes > c.limits.MaxTotalAnswerBytes {
		oldest := c.answers[0]
		c.answers = c.answers[1:]
		if c.stale(oldest) {
			continue
		}
		old := c.rows[oldest.id]
		c.answerBytes -= len(old.answer.GetBody())
		old.answer = withoutBody(old.answer)
	}
}

func (c *claims) full(organisation string) bool {
	return len(c.rows) >= c.limits.MaxClaims || c.organisations[organisation] >= c.limits.MaxClaimsPerOrganisation
}

func (c *claims) remove(id claimID, row *claim) {
	c.answerBytes -= len(row.answer.GetBody())
	delete(c.rows, id)
	c.organisations[id.organisation]--
	if c.organisations[id.organisation] == 0 {
		delete(c.organisations, id.organisation)
	}
}

func (c *claims) expire(now time.Duration) {
	c.short = c.expireQueue(c.short, now)
	c.long = c.expireQueue(c.long, now)
	for len(c.answers) > 0 && c.stale(c.answers[0]) {
		c.answers = c.answers[1:]
	}
}

func (c *claims) stale(entry due) bool {
	row := c.rows[entry.id]
	return row == nil || row.changed != entry.changed
}

func (c *claims) expireQueue(queue []due, now time.Duration) []due {
	for len(queue) > 0 && queue[0].at <= now {
		head := queue[0]
		queue = queue[1:]
		if !c.stale(head) {
			c.remove(head.id, c.rows[head.id])
		}
	}
	return queue
}

func (id claimID) valid() bool {
	return id.key != "" && len(id.key) <= maxNameBytes && len(id.organisation) <= maxNameBytes
}

func withoutBody(answer *rpc.StoredAnswer) *rpc.StoredAnswer {
	return &rpc.StoredAnswer{Status: answer.GetStatus(), Type: answer.GetType(), Dropped: true}
}

func granted(row *claim) *rpc.Result {
	return claimAnswer(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_NEW, Fence: row.fence})
}

func inProgress(wait time.Duration) *rpc.Result {
	return claimAnswer(&rpc.ClaimAnswer{
		State:           rpc.ClaimState_CLAIM_IN_PROGRESS,
		RetryAfterNanos: int64(min(wait, maxRetryAfter)),
	})
}

func claimAnswer(answer *rpc.ClaimAnswer) *rpc.Result {
	return &rpc.Result{Answer: &rpc.Result_Claim{Claim: answer}}
}
