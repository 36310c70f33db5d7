package state

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// save writes the rows in the order of their last change, from which load
// builds the queues again just as they were.
func (c *claims) save(snapshot *rpc.Snapshot) {
	for id, row := range c.rows {
		snapshot.Claims = append(snapshot.Claims, &rpc.ClaimRow{
			Organisation:  id.organisation,
			Key:           id.key,
			Body:          []byte(row.body),
			Stage:         row.stage,
			Owner:         &rpc.ClaimOwner{Instance: row.owner.instance, Boot: row.owner.boot},
			Fence:         row.fence,
			Token:         row.token,
			DispatchToken: row.dispatchToken,
			Changed:       row.changed,
			Expires:       int64(row.expires),
			LostAt:        int64(row.lostAt),
			Answer:        row.answer,
		})
	}
	slices.SortFunc(snapshot.Claims, func(a, b *rpc.ClaimRow) int {
		return cmp.Compare(a.GetChanged(), b.GetChanged())
	})
	c.sessions.save(snapshot)
	snapshot.ClaimsHeldUntil = int64(c.heldUntil)
}

func (c *claims) load(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetClaims() {
		id := claimID{saved.GetOrganisation(), saved.GetKey()}
		row := &claim{
			body:          string(saved.GetBody()),
			stage:         saved.GetStage(),
			owner:         owner{saved.GetOwner().GetInstance(), saved.GetOwner().GetBoot()},
			fence:         saved.GetFence(),
			token:         saved.GetToken(),
			dispatchToken: saved.GetDispatchToken(),
			changed:       saved.GetChanged(),
			expires:       time.Duration(saved.GetExpires()),
			lostAt:        time.Duration(saved.GetLostAt()),
			answer:        saved.GetAnswer(),
		}
		c.rows[id] = row
		c.organisations[id.organisation]++
		entry := due{id, row.changed, row.expires}
		if row.stage == rpc.ClaimStage_STAGE_CLAIMED {
			c.short = append(c.short, entry)
		} else {
			c.long = append(c.long, entry)
		}
		if row.stage == rpc.ClaimStage_STAGE_DONE {
			c.keepAnswer(id, row)
		}
	}
	c.sessions.load(snapshot)
	c.heldUntil = time.Duration(snapshot.GetClaimsHeldUntil())
}
