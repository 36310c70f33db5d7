package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// Two instances stand beside each other and hear of nothing that the other
// places. Each has served other prompts of a profile, all sharing four blocks
// by topic. Unless both send a topic that is new to them to the same endpoint,
// it is computed twice, and its second caller waits for it again.
func TestUninformedInstancesSendNewPrefixToSameEndpoint(t *testing.T) {
	first, second := uninformed(t, "i1", 1), uninformed(t, "i2", 1000)
	for topic := range 12 {
		now := time.Minute + time.Duration(topic)*600*ms
		a := served(t, first, now, topical("a", 5000+topic, 1, now))
		b := served(t, second, now, topical("b", 5000+topic, 2, now))
		assert.Equal(t, a.Endpoint.ID, b.Endpoint.ID, "topic %d", topic)
	}
}

// served submits a request and lets its attempt complete at once.
func served(t *testing.T, r *router.Router, now time.Duration, req *tables.Request) router.Dispatch {
	t.Helper()
	d := dispatched(t, r, now, req)
	r.Observe(now, router.FirstToken{Attempt: d.Attempt})
	r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed})
	r.Tick(now)
	return d
}

// uninformed is one of two instances, which has served several topics, numbered
// from the given one, until a minute after its start.
func uninformed(t *testing.T, name tables.InstanceID, from int) *router.Router {
	t.Helper()
	r := router.New(router.Options{Instance: name, Zone: "z1", Seed: uint64(from)})
	r.Configure(0, fixture(9))
	r.Observe(0, router.EntryPeers{Share: 0.5})
	for n := range 100 {
		now := time.Duration(n) * 600 * ms
		served(t, r, now, topical("w", from+n%5, n, now))
	}
	return r
}

// topical is a request that shares four blocks with others of its topic and
// ends in two of its own.
func topical(id string, topic, n int, now time.Duration) *tables.Request {
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
