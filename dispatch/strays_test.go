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
	r.Shared = nil
	r.Arrivals = 1
	return r
}

// answerAll has every endpoint answer once.
func answerAll(t *testing.T, d *Dispatcher, now tables.Instant, endpoints int) {
	t.Helper()
	r := ask(1)
	r.Shared = nil
	for range endpoints {
		a := mustPlace(t, d, now, r)
		r.Tried = append(r.Tried, a.Endpoint.ID)
		d.Ended(now, a, Completed)
	}
}

// Guards against a repeat at an idle endpoint that may be gone while others are known to live.
func TestARepeatGoesToAnEndpointThatAnsweredLately(t *testing.T) {
	d, _ := world(4)
	answerAll(t, d, time.Second, 4)
	now := 4 * time.Second
	r := ask(1)
	r.Shared = nil
	living := mustPlace(t, d, now, r)
	d.Began(now, living)
	for range 3 {
		assert.Equal(t, mustPlace(t, d, now, repeat()).Endpoint.ID, living.Endpoint.ID)
	}
	assert.Equal(t, d.straysIn(now), 0)
}

// Guards against repeats without bound while nobody knows which endpoints live, and against
// requests that are refused for good once endpoints have shown that they do.
func TestRepeatsAtUnconfirmedEndpointsAreBounded(t *testing.T) {
	d, _ := world(40)
	d.Peers(9)
	now := time.Second
	share := int(d.extraShare())
	var strays []*Attempt
	for range share {
		strays = append(strays, mustPlace(t, d, now, repeat()))
	}
	_, reason := d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.Ended(now, strays[0], Misdirected)
	d.Ended(now, strays[1], Broken)
	d.Ended(now, strays[2], Cancelled)
	_, reason = d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.Ended(now, strays[3], Lost)
	mustPlace(t, d, now, repeat())
	_, reason = d.Place(now, repeat())
	assert.Equal(t, reason, NoEndpoint)

	d.Began(now, strays[4])
	assert.Equal(t, mustPlace(t, d, now, repeat()).Endpoint.ID, strays[4].Endpoint.ID)
}

// Guards against the sum of both kinds of repeats exceeding what a service bears.
func TestStraysLeaveLessForOtherRepeats(t *testing.T) {
	d, _ := world(40)
	d.Peers(9)
	now := time.Second
	share := int(d.extraShare())
	mustPlace(t, d, now, repeat())
	for range share - 1 {
		assert.Assert(t, d.Repeat(now, "other"))
	}
	assert.Assert(t, !d.Repeat(now, "other"))
	assert.Assert(t, !d.MayStray(now))
	assert.Assert(t, d.MayStray(now+11*time.Second))
}

// Guards against a count that is taken back from a slice which has left the window.
func TestAStrayThatEndsLateTakesNothingBack(t *testing.T) {
	d, _ := world(40)
	now := time.Second
	late := mustPlace(t, d, now, repeat())
	now += 12 * time.Second
	mustPlace(t, d, now, repeat())
	d.Ended(now, late, Completed)
	assert.Equal(t, d.straysIn(now), 1)
}

// Guards against a scheduler that counts the repeats of others as its own, or sends them to
// endpoints that the asking instance may not use.
func TestARepeatForAnotherInstanceKeepsToWhatThatOneAllows(t *testing.T) {
	d, _ := world(4)
	now := time.Second
	r := repeat()
	r.Remote, r.OnlyConfirmed = true, true
	_, reason := d.Place(now, r)
	assert.Equal(t, reason, NoEndpoint)

	r.OnlyConfirmed = false
	a := mustPlace(t, d, now, r)
	assert.Equal(t, d.straysIn(now), 0)

	asking, _ := world(4)
	assert.Assert(t, asking.Adopt(now, repeat(), a.Choice(0)) != nil)
	assert.Equal(t, asking.straysIn(now), 1)
}
