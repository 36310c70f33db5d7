package deployment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// maxPropagationDelay is the shortest time within which a change has to be in force
// at all instances.
const maxPropagationDelay = 2 * time.Second

func unresponsive(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &unreachableError{} }

// Guards against slow failover when two control instances of a zone freeze at once
// while a change is committed. Their hosts still accept connections, so only a
// timeout detects the failure. Long polls to one after the other would keep the
// replaced configuration in force longer than operators were promised.
func TestFailoverPastTwoUnresponsiveSources(t *testing.T) {
	first, second := &scriptedSource{answer: serveDocument(5, false)}, &scriptedSource{answer: serveDocument(5, false)}
	third := &scriptedSource{answer: serveDocument(7, false)}
	c, taken := newTestClient(first, second, third)
	c.step(t.Context())
	first.answer, second.answer = unresponsive, unresponsive
	first.totalTimeout, second.totalTimeout = 0, 0
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5, 7})
	assert.Assert(t, first.totalTimeout+second.totalTimeout+retryDelay < maxPropagationDelay)
}

// Guards against retrying a source that has been unresponsive for minutes before
// one that answers. Each such attempt would leave an older configuration in force
// for seconds.
func TestFailedSourceIsTriedLast(t *testing.T) {
	first, second := &scriptedSource{answer: serveDocument(5, false)}, &scriptedSource{answer: serveDocument(5, false)}
	c, _ := newTestClient(first, second)
	now := time.Duration(0)
	c.options.Now = func() time.Duration { return now }
	c.step(t.Context())
	first.answer = unresponsive
	for range 5 {
		c.step(t.Context())
	}
	assert.DeepEqual(t, first.probes, []bool{false, false})
	now += failbackInterval
	c.step(t.Context())
	assert.DeepEqual(t, first.probes, []bool{false, false, true})
	assert.Equal(t, c.selector.current, "b")
	first.answer = serveDocument(5, false)
	now += failbackInterval
	c.step(t.Context())
	assert.Equal(t, c.selector.current, "a")
}

// Guards against a client that stops following when the group has no quorum and no
// source is up to date. Endpoints still come and go, and requests would be sent to
// endpoints that have left.
func TestStaleSourcesArePolledWithDelay(t *testing.T) {
	first, second := &scriptedSource{answer: serveDocument(5, false)}, &scriptedSource{answer: serveDocument(6, true)}
	c, taken := newTestClient(first, second)
	c.step(t.Context())
	first.answer = serveDocument(5, true)
	c.step(t.Context())
	pauses := 0
	for range 4 {
		if c.step(t.Context()) == staleRetryDelay {
			pauses++
		}
	}
	assert.Equal(t, pauses, 4)
	assert.DeepEqual(t, *taken, []uint64{5, 6})
}

// Guards against a starting instance that waits for an up-to-date source while the
// control group has no leader. It would refuse requests until one is elected.
func TestNewClientAcceptsStaleSource(t *testing.T) {
	first := &scriptedSource{answer: serveDocument(5, true)}
	c, taken := newTestClient(first, &scriptedSource{answer: serveDocument(7, false)})
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
	assert.DeepEqual(t, first.probes, []bool{false})
}

// Guards against clients that switch sources without delay before an operator has
// sent a configuration. A source answers a client that is new to it at once, with
// all endpoints.
func TestClientKeepsSourceBeforeFirstDocument(t *testing.T) {
	empty := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return &rpc.FollowAnswer{}, nil }
	first, second := &scriptedSource{answer: empty}, &scriptedSource{answer: empty}
	c, taken := newTestClient(first, second)
	c.options.Now = func() time.Duration { return 0 }
	for range 10 {
		c.step(t.Context())
	}
	assert.Equal(t, len(first.probes), 10)
	assert.Equal(t, len(second.probes), 0)
	first.answer = serveDocument(5, false)
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
}

// Guards against a client that stays with a source that became unresponsive before
// the first document, while another source has one.
func TestUnresponsiveSourceIsReplacedBeforeFirstDocument(t *testing.T) {
	empty := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return &rpc.FollowAnswer{}, nil }
	first, second := &scriptedSource{answer: empty}, &scriptedSource{answer: serveDocument(5, false)}
	c, taken := newTestClient(first, second)
	c.step(t.Context())
	first.answer = unresponsive
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5})
}
