package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// changeInForce is the shortest time within which a change has to be in force
// everywhere.
const changeInForce = 2 * time.Second

func silent(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &gone{} }

// Two control instances of a zone freeze together and a change is decided. Their
// machines take connections all the while, so only time tells that they are silent.
// An instance that waits for news from one after the other treats callers by the
// configuration before for longer than operators were promised.
func TestTwoSilentSourcesCostLessThanAChangeMayTake(t *testing.T) {
	first, second := &scriptedSource{answer: documents(5, false)}, &scriptedSource{answer: documents(5, false)}
	third := &scriptedSource{answer: documents(7, false)}
	c, taken := follower(first, second, third)
	c.step(t.Context())
	first.answer, second.answer = silent, silent
	first.patience, second.patience = 0, 0
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5, 7})
	assert.Assert(t, first.patience+second.patience+pauseAfterFailure < changeInForce)
}

// A control instance is silent for minutes. Tried again and again before the one
// that answers, it would leave callers under an older configuration for seconds at
// each try.
func TestASourceThatFailedIsTriedLast(t *testing.T) {
	first, second := &scriptedSource{answer: documents(5, false)}, &scriptedSource{answer: documents(5, false)}
	c, _ := follower(first, second)
	now := time.Duration(0)
	c.options.Now = func() time.Duration { return now }
	c.step(t.Context())
	first.answer = silent
	for range 5 {
		c.step(t.Context())
	}
	assert.DeepEqual(t, first.probes, []bool{false, false})
	now += backToNearer
	c.step(t.Context())
	assert.DeepEqual(t, first.probes, []bool{false, false, true})
	assert.Equal(t, c.choice.following, "b")
	first.answer = documents(5, false)
	now += backToNearer
	c.step(t.Context())
	assert.Equal(t, c.choice.following, "a")
}

// The group has no quorum, so no control instance knows its documents to be the
// newest. Endpoints come and go all the same: an instance that asked nobody would
// send callers to those that have left.
func TestWithoutAQuorumSourcesAreFollowedSlowly(t *testing.T) {
	first, second := &scriptedSource{answer: documents(5, false)}, &scriptedSource{answer: documents(6, true)}
	c, taken := follower(first, second)
	c.step(t.Context())
	first.answer = documents(5, true)
	c.step(t.Context())
	pauses := 0
	for range 4 {
		if c.step(t.Context()) == pauseWhileBehind {
			pauses++
		}
	}
	assert.Equal(t, pauses, 4)
	assert.DeepEqual(t, *taken, []uint64{5, 6})
}

// An instance starts while the control group has no leader yet. Callers would be
// refused until there is one if it did not take what the first source has.
func TestAnInstanceThatKnowsNothingTakesWhatItGets(t *testing.T) {
	first := &scriptedSource{answer: documents(5, true)}
	c, taken := follower(first, &scriptedSource{answer: documents(7, false)})
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
	assert.DeepEqual(t, first.probes, []bool{false})
}

// Guards against instances that change between sources without a pause while no operator
// has sent a configuration: each source answers one that it does not know at once, with
// all endpoints.
func TestBeforeTheFirstDocumentOneSourceIsFollowed(t *testing.T) {
	empty := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return &rpc.FollowAnswer{}, nil }
	first, second := &scriptedSource{answer: empty}, &scriptedSource{answer: empty}
	c, taken := follower(first, second)
	c.options.Now = func() time.Duration { return 0 }
	for range 10 {
		c.step(t.Context())
	}
	assert.Equal(t, len(first.probes), 10)
	assert.Equal(t, len(second.probes), 0)
	first.answer = documents(5, false)
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
}

// Guards against an instance that stays with a source that fell silent before there was a
// document, while another one has one.
func TestASilentSourceIsLeftBeforeTheFirstDocument(t *testing.T) {
	empty := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return &rpc.FollowAnswer{}, nil }
	first, second := &scriptedSource{answer: empty}, &scriptedSource{answer: documents(5, false)}
	c, taken := follower(first, second)
	c.step(t.Context())
	first.answer = silent
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
}
