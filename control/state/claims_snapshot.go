package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// save writes the rows in the order of their last change. restore rebuilds the
// expiry and eviction queues from that order.
func (c *claimTable) save(snapshot *rpc.Snapshot) {
	for id, row := range c.rows {
		snapshot.Claims = append(snapshot.Claims, &rpc.ClaimRow{
			Organisation:  id.organisation,
			Key:           id.key,
			Body:          []byte(row.bodyHash),
			Stage:         row.stage,
			Owner:         &rpc.ClaimOwner{Instance: row.owner.instance, Boot: row.owner.boot},
			Fence:         row.fence,
			Token:         row.token,
			DispatchToken: row.dispatchToken,
			Changed:       row.modifiedIndex,
			Expires:       int64(row.expiresAt),
			LostAt:        int64(row.outcomeDeadline),
			Answer:        row.answer,
		})
	}
	slices.SortFunc(snapshot.Claims, func(a, b *rpc.ClaimRow) int {
		return cmp.Compare(a.GetChanged(), b.GetChanged())
	})
	c.sessions.save(snapshot)
	snapshot.ClaimsHeldUntil = int64(c.newKeysHeldUntil)
}

func (c *claimTable) restore(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetClaims() {
		id := claimID{saved.GetOrganisation(), saved.GetKey()}
		row := &claim{
			bodyHash:        string(saved.GetBody()),
			stage:           saved.GetStage(),
			owner:           processID{saved.GetOwner().GetInstance(), saved.GetOwner().GetBoot()},
			fence:           saved.GetFence(),
			token:           saved.GetToken(),
			dispatchToken:   saved.GetDispatchToken(),
			modifiedIndex:   saved.GetChanged(),
			expiresAt:       time.Duration(saved.GetExpires()),
			outcomeDeadline: time.Duration(saved.GetLostAt()),
			answer:          saved.GetAnswer(),
		}
		c.rows[id] = row
		c.countByOrganisation[id.organisation]++
		entry := queueEntry{id, row.modifiedIndex, row.expiresAt}
		if row.stage == rpc.ClaimStage_STAGE_CLAIMED {
			c.claimedQueue = append(c.claimedQueue, entry)
		} else {
			c.retentionQueue = append(c.retentionQueue, entry)
		}
		if row.stage == rpc.ClaimStage_STAGE_DONE {
			c.retainAnswer(id, row)
		}
	}
	c.sessions.restore(snapshot)
	c.newKeysHeldUntil = time.Duration(snapshot.GetClaimsHeldUntil())
}
