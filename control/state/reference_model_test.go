package state

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/rpc"
)

// claimModel is the reference model of claimTable: a list with linear search,
// without queues, counters or snapshots.
type claimModel struct {
	limits   Limits
	rows     []*claimModelRow
	lastSeen map[string]time.Duration
	boots    map[string]uint64
}

// claimModelRow is the expected row of one key. since is when its stage began.
type claimModelRow struct {
	key, body, owner, token, dispatchToken string
	boot, fence                            uint64
	stage                                  string
	since                                  time.Duration
}

func (n *claimModel) find(now time.Duration, key string) *claimModelRow {
	var found *claimModelRow
	var kept []*claimModelRow
	for _, row := range n.rows {
		lifetime := n.limits.ClaimRetention
		if row.stage == "claimed" {
			lifetime = n.limits.ClaimedTTL
		}
		if now-row.since >= lifetime {
			continue
		}
		kept = append(kept, row)
		if row.key == key {
			found = row
		}
	}
	n.rows = kept
	return found
}

func (n *claimModel) ownerLost(now time.Duration, row *claimModelRow) bool {
	return n.boots[row.owner] > row.boot || now-n.lastSeen[row.owner] >= n.limits.SessionTimeout
}

// claim returns the expected answer to a Claim as text.
func (n *claimModel) claim(now time.Duration, index uint64, c *rpc.Claim) string {
	instance, boot := c.GetOwner().GetInstance(), c.GetOwner().GetBoot()
	if boot >= n.boots[instance] {
		n.boots[instance], n.lastSeen[instance] = boot, now
	}
	row := n.find(now, c.GetKey())
	switch {
	case row == nil && len(n.rows) >= n.limits.MaxClaimsPerOrganisation:
		return "REFUSED_CLAIMS_FULL"
	case row == nil:
		row = &claimModelRow{key: c.GetKey(), body: string(c.GetBody())}
		n.rows = append(n.rows, row)
	case row.body != string(c.GetBody()):
		return "REFUSED_KEY_REUSED"
	case row.stage == "done":
		return "CLAIM_DONE"
	case row.stage == "dispatched" && (n.ownerLost(now, row) || now-row.since >= time.Minute):
		return "CLAIM_UNKNOWN"
	case row.stage == "dispatched":
		return "CLAIM_IN_PROGRESS"
	case row.owner == instance && row.boot == boot && row.token == c.GetToken():
		return fmt.Sprint("CLAIM_NEW ", row.fence)
	case row.owner == instance && row.boot == boot && c.GetAlone():
	case !n.ownerLost(now, row):
		return "CLAIM_IN_PROGRESS"
	}
	row.stage, row.owner, row.boot, row.token = "claimed", instance, boot, c.GetToken()
	row.fence, row.since = index, now
	return fmt.Sprint("CLAIM_NEW ", index)
}

func (n *claimModel) markDispatched(now time.Duration, m *rpc.MarkDispatched) string {
	row := n.find(now, m.GetKey())
	switch {
	case row == nil || row.fence != m.GetFence():
		return "REFUSED_CLAIM_LOST"
	case row.stage == "claimed":
		row.stage, row.dispatchToken, row.since = "dispatched", m.GetToken(), now
		return "done"
	case row.dispatchToken == m.GetToken():
		return "done"
	}
	return "REFUSED_ALREADY_DISPATCHED"
}

func (n *claimModel) finish(now time.Duration, f *rpc.FinishClaim) string {
	row := n.find(now, f.GetKey())
	switch {
	case row == nil || row.fence != f.GetFence() || row.stage == "claimed":
		return "REFUSED_CLAIM_LOST"
	case row.stage == "dispatched":
		row.stage, row.since = "done", now
	}
	return "done"
}

func (n *claimModel) release(now time.Duration, r *rpc.ReleaseClaim) string {
	row := n.find(now, r.GetKey())
	if row == nil {
		return "done"
	}
	byToken := row.stage == "claimed" && row.owner == r.GetOwner().GetInstance() &&
		row.boot == r.GetOwner().GetBoot() && row.token == r.GetToken()
	if r.GetFence() != row.fence && (r.GetFence() != 0 || !byToken) {
		return "done"
	}
	if row.stage == "done" {
		return "REFUSED_CLAIM_LOST"
	}
	n.rows = slices.DeleteFunc(n.rows, func(other *claimModelRow) bool { return other == row })
	return "done"
}

func resultText(r *rpc.Result) string {
	switch {
	case r.GetDone() != nil:
		return "done"
	case r.GetRefusal() != nil:
		return r.GetRefusal().GetReason().String()
	case r.GetClaim().GetState() == rpc.ClaimState_CLAIM_NEW:
		return fmt.Sprint("CLAIM_NEW ", r.GetClaim().GetFence())
	}
	return r.GetClaim().GetState().String()
}

// The claim table answers as the reference model does, over days of log time,
// restores from snapshots, and any order of messages.
func TestClaimsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, replica := newHarness(), newHarness()
		n := &claimModel{limits: w.limits, lastSeen: map[string]time.Duration{}, boots: map[string]uint64{}}
		key := func() string { return rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5"}).Draw(t, "key") }
		granted := []*rpc.ClaimAnswer{{}}
		keys := []string{""}
		grant := func() (string, uint64) {
			i := rapid.IntRange(max(0, len(keys)-4), len(keys)-1).Draw(t, "grant")
			return keys[i], granted[i].GetFence()
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				command := &rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
					Key:   key(),
					Body:  []byte(rapid.SampledFrom([]string{"b", "b", "b", "c"}).Draw(t, "body")),
					Owner: &rpc.ClaimOwner{Instance: rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "owner"), Boot: rapid.Uint64Range(1, 3).Draw(t, "boot")},
					Token: rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "token"),
					Alone: rapid.Bool().Draw(t, "alone"),
				}}}
				result := w.run(command)
				assert.Equal(t, resultText(result), n.claim(w.time, w.index, command.GetClaim()))
				if result.GetClaim().GetState() == rpc.ClaimState_CLAIM_NEW {
					granted, keys = append(granted, result.GetClaim()), append(keys, command.GetClaim().GetKey())
				}
			},
			"mark": func(t *rapid.T) {
				at, with := grant()
				token := rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "mark")
				m := &rpc.MarkDispatched{Key: at, Fence: with, Token: token, LostAfterNanos: int64(time.Minute)}
				got := resultText(w.run(&rpc.Command{Action: &rpc.Command_MarkDispatched{MarkDispatched: m}}))
				assert.Equal(t, got, n.markDispatched(w.time, m))
			},
			"finish": func(t *rapid.T) {
				at, with := grant()
				f := &rpc.FinishClaim{Key: at, Fence: with, Answer: &rpc.StoredAnswer{Body: []byte("123456789")}}
				got := resultText(w.run(&rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: f}}))
				assert.Equal(t, got, n.finish(w.time, f))
			},
			"release": func(t *rapid.T) {
				r := &rpc.ReleaseClaim{Key: key(), Owner: &rpc.ClaimOwner{Instance: "i1", Boot: 2}, Token: "t1"}
				if rapid.Bool().Draw(t, "by fence") {
					r = &rpc.ReleaseClaim{}
					r.Key, r.Fence = grant()
				}
				got := resultText(w.run(&rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: r}}))
				assert.Equal(t, got, n.release(w.time, r))
			},
			"time": func(t *rapid.T) {
				steps := []time.Duration{time.Second, 7 * time.Second, time.Minute, 2 * time.Hour, 24 * time.Hour}
				w.time += rapid.SampledFrom(steps).Draw(t, "passed")
			},
			"snapshot": func(t *rapid.T) {
				encoded, err := w.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, replica.Restore(encoded))
				w.State, replica.State = replica.State, w.State
			},
		})
	})
}
