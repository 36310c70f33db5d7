package state

import (
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// claimID identifies a claim. Idempotency keys are scoped to their
// organisation.
type claimID struct {
	organisation string
	key          string
}

// claim is the row of one idempotency key. Its stages form a state machine:
//
//	(none) --claim--> claimed --markDispatched--> dispatched --finish--> done
//	   ^                 |                            |
//	   +-----release-----+----------release-----------+
//
// A dispatch requires the fencing token of the row, and each takeover issues a
// new one. So an owner that was paused across a takeover is refused its
// dispatch, whatever its clock says. A dispatched row is never granted again:
// it ends with an answer, with a release in which its owner proves that nothing
// ran, or with an unknown outcome once its deadline passes or its owner is
// lost.
type claim struct {
	// bodyHash is the hash of the request body. Another body under the same key is
	// refused.
	bodyHash string
	stage    rpc.ClaimStage
	owner    processID
	// fence is the fencing token, the log index of the grant. token identifies the
	// request that was granted, dispatchToken its dispatch.
	fence         uint64
	token         string
	dispatchToken string
	// modifiedIndex is the log index of the last change. Rows of one stage are
	// ordered by it.
	modifiedIndex uint64
	expiresAt     time.Duration
	// outcomeDeadline is when the outcome of a dispatched row without an answer
	// counts as unknown.
	outcomeDeadline time.Duration
	answer          *rpc.StoredAnswer
}

// processID identifies one run of an instance. The boot number is higher after
// each restart.
type processID struct {
	instance string
	boot     uint64
}

// queueEntry is a row's entry in an expiry or eviction queue. It is stale if
// the row has changed since; stale entries are skipped.
type queueEntry struct {
	id            claimID
	modifiedIndex uint64
	expiresAt     time.Duration
}

// claimTable is the idempotency store: the rows by key, and FIFO queues for
// their expiry. A FIFO is ordered by expiry time because all rows of one stage
// have the same lifetime.
type claimTable struct {
	limits              Limits
	rows                map[claimID]*claim
	countByOrganisation map[string]int
	// claimedQueue holds rows in the claimed stage, retentionQueue dispatched
	// and done rows. Both are ordered by expiry time.
	claimedQueue   []queueEntry
	retentionQueue []queueEntry
	// answerQueue lists the rows with stored answer bodies, oldest first, in
	// the order in which the bodies are evicted.
	answerQueue []queueEntry
	answerBytes int
	sessions    sessionTable
	// newKeysHeldUntil is the log time up to which unknown keys are refused
	// after a restore from a backup.
	newKeysHeldUntil time.Duration
}

func newClaimTable(limits Limits) claimTable {
	return claimTable{
		limits:              limits,
		rows:                map[claimID]*claim{},
		countByOrganisation: map[string]int{},
		sessions:            newSessionTable(limits),
	}
}

// claim grants the right to dispatch to the first request for a key. Later
// requests get the stage of the work, or its answer.
func (c *claimTable) claim(index uint64, now time.Duration, request *rpc.Claim) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	requester := processID{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	if !id.valid() || len(request.GetBody()) > maxNameBytes || len(request.GetToken()) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	c.sessions.recordHeartbeat(now, requester)
	row := c.rows[id]
	if row == nil {
		if now < c.newKeysHeldUntil {
			return refusedWithRetry(rpc.RefusalReason_REFUSED_CLAIMS_HELD, c.newKeysHeldUntil-now)
		}
		if c.atCapacity(id.organisation) {
			return refused(rpc.RefusalReason_REFUSED_CLAIMS_FULL)
		}
		row = &claim{bodyHash: string(request.GetBody())}
		c.rows[id] = row
		c.countByOrganisation[id.organisation]++
		return c.grant(index, now, id, row, requester, request.GetToken())
	}
	if row.bodyHash != string(request.GetBody()) {
		return refused(rpc.RefusalReason_REFUSED_KEY_REUSED)
	}
	switch row.stage {
	case rpc.ClaimStage_STAGE_CLAIMED:
		return c.reclaim(index, now, id, row, requester, request)
	case rpc.ClaimStage_STAGE_DISPATCHED:
		return c.dispatchedStatus(now, row)
	default:
		return claimResult(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_DONE, Answer: row.answer})
	}
}

// reclaim answers a claim on a row that was not dispatched yet. A resend of the
// same request gets the same grant again. Another request takes the row over
// once its owner is lost, or at once if the owner itself sends it and knows of
// no other claim of its own on the key.
func (c *claimTable) reclaim(index uint64, now time.Duration, id claimID, row *claim, requester processID, request *rpc.Claim) *rpc.Result {
	if row.owner == requester && row.token == request.GetToken() {
		return grantedResult(row)
	}
	wait := c.sessions.timeUntilLost(now, row.owner)
	if row.owner == requester && request.GetAlone() {
		wait = 0
	}
	if wait > 0 {
		return inProgressResult(wait)
	}
	return c.grant(index, now, id, row, requester, request.GetToken())
}

// dispatchedStatus answers a claim on a dispatched row. It never grants the
// claim, even if the owner is lost, because the work may be running.
func (c *claimTable) dispatchedStatus(now time.Duration, row *claim) *rpc.Result {
	if wait := min(row.outcomeDeadline-now, c.sessions.timeUntilLost(now, row.owner)); wait > 0 {
		return inProgressResult(wait)
	}
	return claimResult(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_UNKNOWN})
}

// grant makes a process the owner of the row under a new fencing token.
func (c *claimTable) grant(index uint64, now time.Duration, id claimID, row *claim, to processID, token string) *rpc.Result {
	row.stage = rpc.ClaimStage_STAGE_CLAIMED
	row.owner = to
	row.token = token
	row.fence = index
	row.modifiedIndex = index
	row.expiresAt = now + c.limits.ClaimedTTL
	c.claimedQueue = append(c.claimedQueue, queueEntry{id, index, row.expiresAt})
	return grantedResult(row)
}

// markDispatched moves a row to the dispatched stage. It is the second quorum
// write of a request, after the claim. Its acceptance permits exactly one
// dispatch: another token under the same fence would be a second dispatch and
// is refused.
func (c *claimTable) markDispatched(index uint64, now time.Duration, request *rpc.MarkDispatched) *rpc.Result {
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
	row.outcomeDeadline = now + min(max(lostAfter, minOutcomeTimeout), maxOutcomeTimeout)
	c.startRetention(index, now, id, row)
	return done()
}

// finish stores the answer, also if the outcome was reported as unknown before.
// If the body exceeds the limit it is dropped, but the row still records that
// the work ran.
func (c *claimTable) finish(index uint64, now time.Duration, request *rpc.FinishClaim) *rpc.Result {
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
	c.startRetention(index, now, id, row)
	c.retainAnswer(id, row)
	return done()
}

// release deletes a claim whose work provably did not run and will not run.
// Fencing tokens are never reused, so a delayed markDispatched of the same
// owner is refused.
func (c *claimTable) release(request *rpc.ReleaseClaim) *rpc.Result {
	id := claimID{request.GetOrganisation(), request.GetKey()}
	row := c.rows[id]
	if row == nil || !row.matchesRelease(request) {
		return done()
	}
	if row.stage == rpc.ClaimStage_STAGE_DONE {
		return refused(rpc.RefusalReason_REFUSED_CLAIM_LOST)
	}
	c.remove(id, row)
	return done()
}

// matchesRelease reports whether a release refers to this row, either by its
// fence or, for a row that was not dispatched, by its owner and token.
func (r *claim) matchesRelease(request *rpc.ReleaseClaim) bool {
	if request.GetFence() != 0 {
		return r.fence == request.GetFence()
	}
	by := processID{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	return r.stage == rpc.ClaimStage_STAGE_CLAIMED && r.owner == by && r.token == request.GetToken()
}

// startRetention restarts the row's expiry with the full claim retention.
func (c *claimTable) startRetention(index uint64, now time.Duration, id claimID, row *claim) {
	row.modifiedIndex = index
	row.expiresAt = now + c.limits.ClaimRetention
	c.retentionQueue = append(c.retentionQueue, queueEntry{id, index, row.expiresAt})
}

// retainAnswer accounts for the row's answer body and evicts the oldest bodies
// above the total limit.
func (c *claimTable) retainAnswer(id claimID, row *claim) {
	if len(row.answer.GetBody()) == 0 {
		return
	}
	c.answerBytes += len(row.answer.GetBody())
	c.answerQueue = append(c.answerQueue, queueEntry{id: id, modifiedIndex: row.modifiedIndex})
	for c.answerBytes > c.limits.MaxTotalAnswerBytes {
		oldest := c.answerQueue[0]
		c.answerQueue = c.answerQueue[1:]
		if c.isStale(oldest) {
			continue
		}
		old := c.rows[oldest.id]
		c.answerBytes -= len(old.answer.GetBody())
		old.answer = withoutBody(old.answer)
	}
}

// atCapacity reports whether a new claim would exceed a limit.
func (c *claimTable) atCapacity(organisation string) bool {
	return len(c.rows) >= c.limits.MaxClaims || c.countByOrganisation[organisation] >= c.limits.MaxClaimsPerOrganisation
}

func (c *claimTable) remove(id claimID, row *claim) {
	c.answerBytes -= len(row.answer.GetBody())
	delete(c.rows, id)
	c.countByOrganisation[id.organisation]--
	if c.countByOrganisation[id.organisation] == 0 {
		delete(c.countByOrganisation, id.organisation)
	}
}

// expire removes the rows that have expired and prunes the answer queue.
func (c *claimTable) expire(now time.Duration) {
	c.claimedQueue = c.expireQueue(c.claimedQueue, now)
	c.retentionQueue = c.expireQueue(c.retentionQueue, now)
	for len(c.answerQueue) > 0 && c.isStale(c.answerQueue[0]) {
		c.answerQueue = c.answerQueue[1:]
	}
}

func (c *claimTable) isStale(entry queueEntry) bool {
	row := c.rows[entry.id]
	return row == nil || row.modifiedIndex != entry.modifiedIndex
}

// expireQueue removes the rows at the head of a queue that have expired, and
// returns the rest of the queue.
func (c *claimTable) expireQueue(queue []queueEntry, now time.Duration) []queueEntry {
	for len(queue) > 0 && queue[0].expiresAt <= now {
		head := queue[0]
		queue = queue[1:]
		if !c.isStale(head) {
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

func grantedResult(row *claim) *rpc.Result {
	return claimResult(&rpc.ClaimAnswer{State: rpc.ClaimState_CLAIM_NEW, Fence: row.fence})
}

func inProgressResult(wait time.Duration) *rpc.Result {
	return claimResult(&rpc.ClaimAnswer{
		State:           rpc.ClaimState_CLAIM_IN_PROGRESS,
		RetryAfterNanos: int64(min(wait, maxRetryAfter)),
	})
}

func claimResult(answer *rpc.ClaimAnswer) *rpc.Result {
	return &rpc.Result{Answer: &rpc.Result_Claim{Claim: answer}}
}
