package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// Two instances receive no information about each other's placements. Each has
// served other prompts of a profile, in which prompts of one topic share four
// blocks. Both must send a topic that is new to them to the same endpoint;
// otherwise it is computed twice, and its second caller waits for the
// computation again.
func TestUninformedInstancesSendNewPrefixToSameEndpoint(t *testing.T) {
	first, second := newUninformedRouter(t, "i1", 1), newUninformedRouter(t, "i2", 1000)
	for topic := range 12 {
		now := time.Minute + time.Duration(topic)*600*ms
		a := completeRequest(t, first, now, topicRequest("a", 5000+topic, 1, now))
		b := completeRequest(t, second, now, topicRequest("b", 5000+topic, 2, now))
		assert.Equal(t, a.Endpoint.ID, b.Endpoint.ID, "topic %d", topic)
	}
}

// completeRequest submits a request and completes its attempt immediately.
func completeRequest(t *testing.T, r *router.Router, now time.Duration, req *tables.Request) router.Dispatch {
	t.Helper()
	d := submitForDispatch(t, r, now, req)
	r.Observe(now, router.FirstToken{Attempt: d.Attempt})
	r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed})
	r.Tick(now)
	return d
}

// newUninformedRouter returns the router of one of two instances. It has served
// five topics, numbered from the given one, for the first minute after its
// start.
func newUninformedRouter(t *testing.T, name tables.InstanceID, from int) *router.Router {
	t.Helper()
	r := router.New(router.Options{Instance: name, Zone: "z1", Seed: uint64(from)})
	r.Configure(0, testConfiguration(9))
	r.Observe(0, router.EntryPeers{Share: 0.5})
	for n := range 100 {
		now := time.Duration(n) * 600 * ms
		completeRequest(t, r, now, topicRequest("w", from+n%5, n, now))
	}
	return r
}

// topicRequest returns a request that shares four blocks with the others of its
// topic and ends in two blocks of its own.
func topicRequest(id string, topic, n int, now time.Duration) *tables.Request {
	req := request(fmt.Sprintf("%s-%d-%d", id, topic, n), "draft", now)
	for block := range 4 {
		req.Blocks = append(req.Blocks, tables.BlockHash(1e6*(topic+1)+block))
	}
	for block := range 2 {
		req.Blocks = append(req.Blocks, tables.BlockHash(1e12+1e6*(topic+1)+10*(n+1)+block))
	}
	req.PromptTokens = len(req.Blocks) * 4000
	return req
}
