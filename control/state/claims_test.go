package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/rpc"
)

// world is a state with the log index and time that drive it.
type world struct {
	*State
	index uint64
	time  time.Duration
}

func newWorld() *world {
	limits := DefaultLimits()
	limits.MaxClaims, limits.MaxClaimsPerOrganisation = 6, 4
	limits.MaxAnswerBytes, limits.MaxTotalAnswerBytes = 10, 25
	return &world{State: New(limits)}
}

func (w *world) run(command *rpc.Command) *rpc.Result {
	w.index++
	command.Stamp = int64(w.time)
	return w.Execute(w.index, command)
}

func (w *world) claim(key, body, instance string, boot uint64, token string) *rpc.Result {
	return w.claimAlone(key, body, instance, boot, token, false)
}

func (w *world) claimAlone(key, body, instance string, boot uint64, token string, alone bool) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: "press",
		Key:          key,
		Body:         []byte(body),
		Owner:        &rpc.ClaimOwner{Instance: instance, Boot: boot},
		Token:        token,
		Alone:        alone,
	}}})
}

func (w *world) mark(key string, fence uint64, token string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_MarkDispatched{MarkDispatched: &rpc.MarkDispatched{
		Organisation: "press", Key: key, Fence: fence, Token: token, LostAfterNanos: int64(time.Minute),
	}}})
}

func (w *world) finish(key string, fence uint64, body string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: &rpc.FinishClaim{
		Organisation: "press", Key: key, Fence: fence, Answer: &rpc.StoredAnswer{Status: 200, Body: []byte(body)},
	}}})
}

func (w *world) release(key string, fence uint64) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: "press", Key: key, Fence: fence,
	}}})
}

func reason(r *rpc.Result) rpc.RefusalReason { return r.GetRefusal().GetReason() }

// An instance is paused between its claim and its call, for longer than the
// take-over takes. The caller sends again through another instance, which runs
// the work. When the first one wakes, it must not run it too: the caller would
// find the note published twice.
func TestPausedOwnerIsRefusedAfterTakeOver(t *testing.T) {
	w := newWorld()
	first := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Equal(t, first.GetState(), rpc.ClaimState_CLAIM_NEW)
	early := w.claim("k", "b", "i2", 1, "t2").GetClaim()
	assert.Equal(t, early.GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	w.time += w.limits.SessionTimeout
	second := w.claim("k", "b", "i2", 1, "t3").GetClaim()
	assert.Equal(t, second.GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Assert(t, second.GetFence() > first.GetFence())
	assert.Equal(t, reason(w.mark("k", first.GetFence(), "d1")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	assert.Assert(t, w.mark("k", second.GetFence(), "d2").GetDone() != nil)
	assert.Equal(t, reason(w.finish("k", first.GetFence(), "x")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
}

// The owner restarts after its call has left. Nobody can tell whether the work
// ran, so a resend is told that the outcome is unknown, and never runs it. If
// the answer still comes, later resends get it.
func TestRestartAfterDispatchGivesUnknown(t *testing.T) {
	w := newWorld()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Assert(t, w.mark("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	assert.Equal(t, w.claim("other", "b", "i1", 2, "t3").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	assert.Assert(t, w.finish("k", grant.GetFence(), "late").GetDone() != nil)
	resend := w.claim("k", "b", "i2", 1, "t4").GetClaim()
	assert.Equal(t, resend.GetState(), rpc.ClaimState_CLAIM_DONE)
	assert.Equal(t, string(resend.GetAnswer().GetBody()), "late")
}

func TestClaimAnswers(t *testing.T) {
	w := newWorld()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t1").GetClaim().GetFence(), grant.GetFence())
	assert.Equal(t, reason(w.claim("k", "other", "i1", 1, "t2")), rpc.RefusalReason_REFUSED_KEY_REUSED)
	assert.Equal(t, reason(w.finish("k", grant.GetFence(), "early")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	assert.Assert(t, w.mark("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Assert(t, w.mark("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Equal(t, reason(w.mark("k", grant.GetFence(), "second")), rpc.RefusalReason_REFUSED_ALREADY_DISPATCHED)
	w.time += time.Minute
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t1").GetClaim().GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	assert.Assert(t, w.finish("k", grant.GetFence(), "a").GetDone() != nil)
	assert.Equal(t, reason(w.release("k", grant.GetFence())), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	w.time += w.limits.ClaimRetention - 1
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t5").GetClaim().GetState(), rpc.ClaimState_CLAIM_DONE)
	w.time++
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t6").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
}

// Work that can wait is queued for minutes while its caller asks again through
// another instance. The one that queues it is alive and keeps the claim, or the
// work would start its wait anew with every resend.
func TestLivingOwnerKeepsItsClaim(t *testing.T) {
	w := newWorld()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	for range 100 {
		w.time += w.limits.SessionTimeout - 1
		w.run(&rpc.Command{Action: &rpc.Command_KeepAlive{KeepAlive: &rpc.KeepAlive{
			Owner: &rpc.ClaimOwner{Instance: "i1", Boot: 1},
		}}})
		assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	}
	assert.Assert(t, w.mark("k", grant.GetFence(), "d").GetDone() != nil)
}

// More keys come than can be kept. Old keys must stay, or their work could run
// again; so new ones are refused, and nothing of them has run. Answers that
// need too many bytes go first, and what ran is still known to have run.
func TestClaimsAreBounded(t *testing.T) {
	w := newWorld()
	for i := range 4 {
		key := fmt.Sprint("k", i)
		grant := w.claim(key, "b", "i1", 1, key).GetClaim()
		w.mark(key, grant.GetFence(), "d")
		assert.Assert(t, w.finish(key, grant.GetFence(), "123456789"[:6+i]).GetDone() != nil)
	}
	assert.Equal(t, reason(w.claim("k4", "b", "i1", 1, "t")), rpc.RefusalReason_REFUSED_CLAIMS_FULL)
	assert.Assert(t, w.claims.answerBytes <= w.limits.MaxTotalAnswerBytes)
	first := w.claim("k0", "b", "i2", 1, "t").GetClaim()
	assert.Equal(t, first.GetState(), rpc.ClaimState_CLAIM_DONE)
	assert.Assert(t, first.GetAnswer().GetDropped())
	assert.Equal(t, string(w.claim("k3", "b", "i2", 1, "t").GetClaim().GetAnswer().GetBody()), "123456789")
	w.time += w.limits.ClaimRetention
	assert.Equal(t, w.claim("k4", "b", "i1", 1, "t").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Equal(t, w.claims.answerBytes, 0)
	assert.Equal(t, len(w.claims.answers), 0)
}

// caller is one try of one instance at running a key, as an entry makes it.
type caller struct {
	key   string
	fence uint64
	// stopped callers have given up before their dispatch and never make it.
	stopped    bool
	dispatched bool
}

// claimNetwork loses, repeats and reorders what callers send and are answered.
type claimNetwork struct {
	*world
	callers  []*caller
	inFlight []func(answered bool)
	runs     map[string]int
}

func (n *claimNetwork) send(message func(answered bool)) { n.inFlight = append(n.inFlight, message) }

func (n *claimNetwork) start(key, instance string, boot uint64, alone bool) {
	c := &caller{key: key}
	token := fmt.Sprint("t", len(n.callers))
	n.callers = append(n.callers, c)
	n.send(func(answered bool) {
		answer := n.claimAlone(key, "body", instance, boot, token, alone).GetClaim()
		if answered && answer.GetState() == rpc.ClaimState_CLAIM_NEW && c.fence == 0 {
			c.fence = answer.GetFence()
			n.send(func(answered bool) { n.dispatch(c, token, answered) })
		}
	})
}

func (n *claimNetwork) dispatch(c *caller, token string, answered bool) {
	accepted := n.mark(c.key, c.fence, token).GetDone() != nil
	if accepted && answered && !c.stopped && !c.dispatched {
		c.dispatched = true
		n.runs[c.key]++
	}
}

// giveUp lets the caller stop: before its dispatch it releases the claim, after
// it either has an answer or proof that nothing ran.
func (n *claimNetwork) giveUp(c *caller, proof bool) {
	if c.fence == 0 || c.stopped {
		return
	}
	c.stopped = true
	if c.dispatched && !proof {
		n.send(func(bool) { n.finish(c.key, c.fence, "a") })
		return
	}
	if c.dispatched {
		n.runs[c.key]--
	}
	n.send(func(bool) { n.release(c.key, c.fence) })
}

// Callers send one key through several instances at once. Messages and answers
// are lost, repeated and reordered, instances restart, and control instances
// come back from snapshots. The caller must never find its work done twice.
func TestAtMostOneDispatchPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &claimNetwork{world: newWorld(), runs: map[string]int{}}
		replica := newWorld()
		boots := map[string]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				instance := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "instance")
				n.start(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), instance, boots[instance], rapid.Bool().Draw(t, "alone"))
			},
			"restart": func(t *rapid.T) {
				boots[rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "instance")]++
			},
			"deliver": func(t *rapid.T) {
				if len(n.inFlight) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
				message := n.inFlight[i]
				if !rapid.Bool().Draw(t, "repeat") {
					n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
				}
				message(rapid.IntRange(0, 3).Draw(t, "answered") > 0)
			},
			"give up": func(t *rapid.T) {
				if len(n.callers) == 0 {
					t.Skip("no caller")
				}
				c := rapid.SampledFrom(n.callers).Draw(t, "caller")
				n.giveUp(c, rapid.Bool().Draw(t, "proof"))
			},
			"time": func(t *rapid.T) {
				n.time += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "passed"))
			},
			"snapshot": func(t *rapid.T) {
				before, err := n.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, replica.Restore(before))
				after, err := replica.Snapshot()
				assert.NilError(t, err)
				assert.DeepEqual(t, before, after)
				n.State, replica.State = replica.State, n.State
			},
			"": func(t *rapid.T) {
				for key, runs := range n.runs {
					assert.Assert(t, runs <= 1, "key %s was dispatched %d times", key, runs)
				}
			},
		})
	})
}
