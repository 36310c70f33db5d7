package state

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/rpc"
)

// harness drives a state machine with its own log index and log time.
type harness struct {
	*State
	index uint64
	time  time.Duration
}

// newHarness returns a harness with small limits, so that tests reach them.
func newHarness() *harness {
	limits := DefaultLimits()
	limits.MaxClaims, limits.MaxClaimsPerOrganisation = 6, 4
	limits.MaxAnswerBytes, limits.MaxTotalAnswerBytes = 10, 25
	return &harness{State: New(limits)}
}

func (w *harness) run(command *rpc.Command) *rpc.Result {
	w.index++
	command.Stamp = int64(w.time)
	return w.Execute(w.index, command)
}

func (w *harness) claim(key, body, instance string, boot uint64, token string) *rpc.Result {
	return w.claimAlone(key, body, instance, boot, token, false)
}

func (w *harness) claimAlone(key, body, instance string, boot uint64, token string, alone bool) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: "press",
		Key:          key,
		Body:         []byte(body),
		Owner:        &rpc.ClaimOwner{Instance: instance, Boot: boot},
		Token:        token,
		Alone:        alone,
	}}})
}

func (w *harness) markDispatched(key string, fence uint64, token string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_MarkDispatched{MarkDispatched: &rpc.MarkDispatched{
		Organisation: "press", Key: key, Fence: fence, Token: token, LostAfterNanos: int64(time.Minute),
	}}})
}

func (w *harness) finish(key string, fence uint64, body string) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: &rpc.FinishClaim{
		Organisation: "press", Key: key, Fence: fence, Answer: &rpc.StoredAnswer{Status: 200, Body: []byte(body)},
	}}})
}

func (w *harness) release(key string, fence uint64) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: "press", Key: key, Fence: fence,
	}}})
}

func refusalReason(r *rpc.Result) rpc.RefusalReason { return r.GetRefusal().GetReason() }

// An owner is paused between its claim and its dispatch for longer than the
// session timeout. The caller retries through another instance, which takes the
// claim over. When the first owner resumes, its dispatch must be refused, or
// the work would run twice.
func TestPausedOwnerIsFencedAfterTakeover(t *testing.T) {
	w := newHarness()
	first := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Equal(t, first.GetState(), rpc.ClaimState_CLAIM_NEW)
	early := w.claim("k", "b", "i2", 1, "t2").GetClaim()
	assert.Equal(t, early.GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	w.time += w.limits.SessionTimeout
	second := w.claim("k", "b", "i2", 1, "t3").GetClaim()
	assert.Equal(t, second.GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Assert(t, second.GetFence() > first.GetFence())
	assert.Equal(t, refusalReason(w.markDispatched("k", first.GetFence(), "d1")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	assert.Assert(t, w.markDispatched("k", second.GetFence(), "d2").GetDone() != nil)
	assert.Equal(t, refusalReason(w.finish("k", first.GetFence(), "x")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
}

// The owner restarts after its dispatch. Whether the work ran cannot be known,
// so a retry gets an unknown outcome and never runs it. If the answer still
// arrives, later retries get the answer.
func TestOwnerRestartAfterDispatchMakesOutcomeUnknown(t *testing.T) {
	w := newHarness()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Assert(t, w.markDispatched("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	assert.Equal(t, w.claim("other", "b", "i1", 2, "t3").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	assert.Assert(t, w.finish("k", grant.GetFence(), "late").GetDone() != nil)
	resend := w.claim("k", "b", "i2", 1, "t4").GetClaim()
	assert.Equal(t, resend.GetState(), rpc.ClaimState_CLAIM_DONE)
	assert.Equal(t, string(resend.GetAnswer().GetBody()), "late")
}

func TestClaimStateTransitions(t *testing.T) {
	w := newHarness()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t1").GetClaim().GetFence(), grant.GetFence())
	assert.Equal(t, refusalReason(w.claim("k", "other", "i1", 1, "t2")), rpc.RefusalReason_REFUSED_KEY_REUSED)
	assert.Equal(t, refusalReason(w.finish("k", grant.GetFence(), "early")), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	assert.Assert(t, w.markDispatched("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Assert(t, w.markDispatched("k", grant.GetFence(), "d").GetDone() != nil)
	assert.Equal(t, refusalReason(w.markDispatched("k", grant.GetFence(), "second")), rpc.RefusalReason_REFUSED_ALREADY_DISPATCHED)
	w.time += time.Minute
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t1").GetClaim().GetState(), rpc.ClaimState_CLAIM_UNKNOWN)
	assert.Assert(t, w.finish("k", grant.GetFence(), "a").GetDone() != nil)
	assert.Equal(t, refusalReason(w.release("k", grant.GetFence())), rpc.RefusalReason_REFUSED_CLAIM_LOST)
	w.time += w.limits.ClaimRetention - 1
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t5").GetClaim().GetState(), rpc.ClaimState_CLAIM_DONE)
	w.time++
	assert.Equal(t, w.claim("k", "b", "i1", 1, "t6").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
}

// Work is queued for minutes while its caller retries through another instance.
// The owner sends keepalives and must keep the claim. Otherwise each retry
// would restart the wait in the queue.
func TestKeepAlivePreventsClaimTakeover(t *testing.T) {
	w := newHarness()
	grant := w.claim("k", "b", "i1", 1, "t1").GetClaim()
	for range 100 {
		w.time += w.limits.SessionTimeout - 1
		w.run(&rpc.Command{Action: &rpc.Command_KeepAlive{KeepAlive: &rpc.KeepAlive{
			Owner: &rpc.ClaimOwner{Instance: "i1", Boot: 1},
		}}})
		assert.Equal(t, w.claim("k", "b", "i2", 1, "t2").GetClaim().GetState(), rpc.ClaimState_CLAIM_IN_PROGRESS)
	}
	assert.Assert(t, w.markDispatched("k", grant.GetFence(), "d").GetDone() != nil)
}

// More keys arrive than can be retained. Existing keys must stay, or their work
// could run again, so new keys are refused before anything of them runs. Answer
// bodies above the byte limit are evicted oldest first, and the rows still
// record that the work ran.
func TestClaimAndAnswerLimits(t *testing.T) {
	w := newHarness()
	for i := range 4 {
		key := fmt.Sprint("k", i)
		grant := w.claim(key, "b", "i1", 1, key).GetClaim()
		w.markDispatched(key, grant.GetFence(), "d")
		assert.Assert(t, w.finish(key, grant.GetFence(), "123456789"[:6+i]).GetDone() != nil)
	}
	assert.Equal(t, refusalReason(w.claim("k4", "b", "i1", 1, "t")), rpc.RefusalReason_REFUSED_CLAIMS_FULL)
	assert.Assert(t, w.claims.answerBytes <= w.limits.MaxTotalAnswerBytes)
	first := w.claim("k0", "b", "i2", 1, "t").GetClaim()
	assert.Equal(t, first.GetState(), rpc.ClaimState_CLAIM_DONE)
	assert.Assert(t, first.GetAnswer().GetDropped())
	assert.Equal(t, string(w.claim("k3", "b", "i2", 1, "t").GetClaim().GetAnswer().GetBody()), "123456789")
	w.time += w.limits.ClaimRetention
	assert.Equal(t, w.claim("k4", "b", "i1", 1, "t").GetClaim().GetState(), rpc.ClaimState_CLAIM_NEW)
	assert.Equal(t, w.claims.answerBytes, 0)
	assert.Equal(t, len(w.claims.answerQueue), 0)
}

// caller is one attempt of an instance to run the work of a key.
type caller struct {
	key   string
	fence uint64
	// stopped is set when the caller has given up. Before its dispatch it then
	// never dispatches.
	stopped    bool
	dispatched bool
}

// claimNetwork loses, duplicates and reorders the callers' requests and loses
// answers.
type claimNetwork struct {
	*harness
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
	accepted := n.markDispatched(c.key, c.fence, token).GetDone() != nil
	if accepted && answered && !c.stopped && !c.dispatched {
		c.dispatched = true
		n.runs[c.key]++
	}
}

// abandon stops the caller. Before its dispatch it releases the claim; after
// the dispatch it either has an answer or proof that nothing ran.
func (n *claimNetwork) abandon(c *caller, proof bool) {
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

// Callers send one key through several instances concurrently. Messages and
// answers are lost, duplicated and reordered, instances restart, and replicas
// are restored from snapshots. Each key must be dispatched at most once.
func TestAtMostOneDispatchPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &claimNetwork{harness: newHarness(), runs: map[string]int{}}
		replica := newHarness()
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
				n.abandon(c, rapid.Bool().Draw(t, "proof"))
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
					assert.Assert(t, runs <= 1, "key %s dispatched %d times", key, runs)
				}
			},
		})
	})
}
