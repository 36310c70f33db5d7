package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// repeat is a request that has reached an endpoint before.
func repeat() *Request {
	r := ask(1)
	r.SharedParts = nil
	r.DeliveredAttempts = 1
	return r
}

// answerAll has every endpoint answer once.
func answerAll(t *testing.T, d *Dispatcher, now tables.Instant, endpoints int) {
	t.Helper()
	r := ask(1)
	r.SharedParts = nil
	for range endpoints {
		a := mustPlace(t, d, now, r)
		r.Tried = append(r.Tried, a.Endpoint.ID)
		d.RecordOutcome(now, a, Completed)
	}
}

// Guards against a repeat at an idle endpoint that may be gone while others are known to live.
func TestARepeatGoesToAnEndpointThatAnsweredLately(t *testing.T) {
	d, _ := world(4)
	answerAll(t, d, time.Second, 4)
	now := 4 * time.Second
	r := ask(1)
	r.SharedParts = nil
	living := mustPlace(t, d, now, r)
	d.RecordResponseStart(now, living)
	for range 3 {
		assert.Equal(t, mustPlace(t, d, now, repeat()).Endpoint.ID, living.Endpoint.ID)
	}
	assert.Equal(t, d.straysIn(now), 0)
}

// Guards against repeats without bound while nobody knows which endpoints live, and against
// requests that are refused for good once endpoints have shown that they do.
func TestRepeatsAtUnconfirmedEndpointsAreBounded(t *testing.T) {
	d, _ := world(40)
	d.SetInstanceCount(9)
	now := time.Second
	share := int(d.extraShare())
	var strays []*Attempt
	for range share {
		strays = append(strays, mustPlace(t, d, now, repeat()))
	}
	_, reason := d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordOutcome(now, strays[0], Misdirected)
	d.RecordOutcome(now, strays[1], Broken)
	d.RecordOutcome(now, strays[2], Cancelled)
	_, reason = d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordOutcome(now, strays[3], ConnectTimeout)
	mustPlace(t, d, now, repeat())
	_, reason = d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.RecordResponseStart(now, strays[4])
	assert.Equal(t, mustPlace(t, d, now, repeat()).Endpoint.ID, strays[4].Endpoint.ID)
}

// Guards against the sum of both kinds of repeats exceeding what a service bears.
func TestStraysLeaveLessForOtherRepeats(t *testing.T) {
	d, _ := world(40)
	d.SetInstanceCount(9)
	now := time.Second
	share := int(d.extraShare())
	mustPlace(t, d, now, repeat())
	for range share - 1 {
		assert.Assert(t, d.TakeRetry(now, "other"))
	}
	assert.Assert(t, !d.TakeRetry(now, "other"))
	assert.Assert(t, !d.CanRetryUnconfirmed(now))
	assert.Assert(t, d.CanRetryUnconfirmed(now+11*time.Second))
}

// Guards against a count that is taken back from a slice which has left the window.
func TestAStrayThatEndsLateTakesNothingBack(t *testing.T) {
	d, _ := world(40)
	now := time.Second
	late := mustPlace(t, d, now, repeat())
	now += 12 * time.Second
	mustPlace(t, d, now, repeat())
	d.RecordOutcome(now, late, Completed)
	assert.Equal(t, d.straysIn(now), 1)
}

// Guards against a scheduler that counts the repeats of others as its own, or sends them to
// endpoints that the asking instance may not use.
func TestARepeatForAnotherInstanceKeepsToWhatThatOneAllows(t *testing.T) {
	d, _ := world(4)
	now := time.Second
	r := repeat()
	r.Remote, r.ConfirmedOnly = true, true
	_, reason := d.Place(now, r)
	assert.Equal(t, reason, NoEndpoint)

	r.ConfirmedOnly = false
	a := mustPlace(t, d, now, r)
	assert.Equal(t, d.straysIn(now), 0)

	asking, _ := world(4)
	assert.Assert(t, asking.AcceptDecision(now, repeat(), a.Decision(0)) != nil)
	assert.Equal(t, asking.straysIn(now), 1)
}
