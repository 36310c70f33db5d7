package client

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// leaseGroup is a control group that commits commands at once, unless they are delayed or their answers are held.
type leaseGroup struct {
	state *state.State
	index uint64
	now   time.Duration
	// delayed collects releases that are committed by commitDelayed only. Their senders get no answer.
	delaysReleases bool
	delayed        []*rpc.Command
	// beforeAnswer runs between the commit of a command and its answer.
	beforeAnswer func()
}

func (g *leaseGroup) Execute(_ context.Context, command *rpc.Command) (*rpc.Result, error) {
	if g.delaysReleases && command.GetReleaseLease() != nil {
		g.delayed = append(g.delayed, command)
		return nil, &tables.NoQuorumError{}
	}
	result := g.commit(command)
	if between := g.beforeAnswer; between != nil {
		g.beforeAnswer = nil
		between()
	}
	return result, nil
}

func (g *leaseGroup) commit(command *rpc.Command) *rpc.Result {
	g.index++
	command.Stamp = int64(g.now)
	return g.state.Execute(g.index, command)
}

func (g *leaseGroup) commitDelayed() {
	for _, command := range g.delayed {
		g.commit(command)
	}
	g.delaysReleases, g.delayed = false, nil
}

func (g *leaseGroup) lease(instance tables.InstanceID) *Lease {
	return NewLease(LeaseOptions{
		Executor: g, Name: "orders", Instance: instance, Boot: 1, Duration: 10 * time.Second,
		Now: func() tables.Instant { return g.now },
	})
}

func newLeaseGroup() *leaseGroup {
	return &leaseGroup{state: state.New(state.DefaultLimits()), now: time.Second}
}

func holdsLease(l *Lease) bool {
	_, left := l.TokenAndTTL()
	return left > 0
}

// Guards against two holders: a release without an answer is committed after the renewal that followed it.
func TestDelayedReleaseDoesNotEndALaterLease(t *testing.T) {
	g := newLeaseGroup()
	first, second := g.lease("i1"), g.lease("i2")
	assert.NilError(t, first.AcquireOrRenew(t.Context()))
	released, _ := first.TokenAndTTL()
	g.delaysReleases = true
	assert.Assert(t, first.Release(t.Context()) != nil)
	_ = first.AcquireOrRenew(t.Context())
	g.commitDelayed()
	err := second.AcquireOrRenew(t.Context())
	assert.Assert(t, !holdsLease(first) || !holdsLease(second), "two instances hold the lease")
	assert.NilError(t, err, "the release was committed")

	g.now += 11 * time.Second
	assert.NilError(t, first.AcquireOrRenew(t.Context()))
	next, _ := first.TokenAndTTL()
	assert.Assert(t, next > released)
}

// Guards against a lease that is renewed under the token that was to be given up, because its release was lost.
func TestLeaseAfterALostReleaseHasANewToken(t *testing.T) {
	g := newLeaseGroup()
	lease := g.lease("i1")
	assert.NilError(t, lease.AcquireOrRenew(t.Context()))
	released, _ := lease.TokenAndTTL()
	g.delaysReleases = true
	assert.Assert(t, lease.Release(t.Context()) != nil)
	g.delaysReleases, g.delayed = false, nil
	assert.NilError(t, lease.AcquireOrRenew(t.Context()))
	next, _ := lease.TokenAndTTL()
	assert.Assert(t, next > released, "token %d again", next)
}

// Guards against two holders: a renewal is committed before a release and answered after it.
func TestRenewalAnsweredAfterAReleaseDoesNotHoldTheLease(t *testing.T) {
	g := newLeaseGroup()
	first, second := g.lease("i1"), g.lease("i2")
	assert.NilError(t, first.AcquireOrRenew(t.Context()))
	g.beforeAnswer = func() { assert.NilError(t, first.Release(t.Context())) }
	err := first.AcquireOrRenew(t.Context())
	var ended *LeaseReleasedError
	assert.Assert(t, !holdsLease(first), "the lease was released")
	assert.Assert(t, errors.As(err, &ended))
	assert.NilError(t, second.AcquireOrRenew(t.Context()))
	assert.Assert(t, holdsLease(second))
}
