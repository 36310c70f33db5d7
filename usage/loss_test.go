package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// lossyClient is the client side of an instance whose datagrams may be lost, as Client handles them.
type lossyClient struct {
	*simInstance
	sim      *simulation
	backoffs map[tables.InstanceID]tables.Instant
}

func (s *simulation) newLossyClients() []*lossyClient {
	var all []*lossyClient
	for _, m := range s.members {
		all = append(all, &lossyClient{simInstance: m, sim: s, backoffs: map[tables.InstanceID]tables.Instant{}})
	}
	return all
}

// pickOwner returns the owner that the client asks now, or nil if all are backed off.
func (c *lossyClient) pickOwner(id Subject) *simInstance {
	picked, found := reachableOwner(id, c.sim.entries(c.zone), func(owner tables.InstanceID) bool {
		return c.backoffs[owner] > c.sim.now
	})
	if !found {
		return nil
	}
	return c.sim.find(picked.Instance)
}

// request decides about a caller's request.
func (c *lossyClient) request(id Subject, cost int64) {
	switch verdict, _ := c.limiter(id).Check(c.sim.now, cost); verdict {
	case Admit:
		c.sim.admit(id, cost)
		c.ask(id, 0)
	case Reject:
		c.sim.refused[id]++
	default:
		c.ask(id, cost)
	}
}

// ask sends a debit, and turns to the instance's own share if no reply comes in time.
func (c *lossyClient) ask(id Subject, cost int64) {
	s := c.sim
	to := c.pickOwner(id)
	if to == nil {
		c.admitFromShare(id, cost)
		return
	}
	d := c.limiter(id).NewDebit(s.now, id, cost)
	sentAt, replied := s.now, false
	s.send(c.simInstance, to, func() {
		reply, revoked := to.owner.Debit(s.now, c.name, d)
		for _, holder := range revoked {
			h := s.find(holder)
			s.send(to, h, func() { h.limiter(id).RevokeLease(s.now) })
		}
		s.send(to, c.simInstance, func() {
			if s.now >= sentAt+replyTimeout {
				return
			}
			replied = true
			c.limiter(id).ApplyReply(s.now, d, reply)
			c.decide(id, cost, reply.Admitted)
		})
	})
	s.after(replyTimeout, func() {
		if replied {
			return
		}
		c.limiter(id).RollBack(s.now, d)
		if cost > 0 {
			c.backoffs[to.name] = s.now + silentBackoff
			c.admitFromShare(id, cost)
		}
	})
}

func (c *lossyClient) admitFromShare(id Subject, cost int64) {
	if cost > 0 {
		admitted, _ := c.limiter(id).AdmitFromShare(c.sim.now, c.sim.limits[id], len(c.sim.members), cost)
		c.decide(id, cost, admitted)
	}
}

func (c *lossyClient) decide(id Subject, cost int64, admitted bool) {
	switch {
	case cost == 0:
	case admitted:
		c.sim.admit(id, cost)
	default:
		c.sim.refused[id]++
	}
}

// generateLossyLoad simulates an organisation's callers at all clients until the given time.
func (s *simulation) generateLossyLoad(clients []*lossyClient, id Subject, perSecond float64, cost int64, until tables.Instant) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		clients[s.random.IntN(len(clients))].request(id, 1+s.random.Int64N(2*cost))
		s.after(time.Duration(s.random.ExpFloat64()*float64(cost)/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// Guards against a limit that is exceeded while most datagrams are lost for some seconds,
// so that few reports reach the owners and few replies the instances.
func TestLimitHoldsWhileDatagramsAreLost(t *testing.T) {
	tolerance := Tolerance{Overage: maxOverage, Slack: 120_000}
	configured := Limit{Rate: 30_000, Burst: 30_000}
	allowed := maxUse(configured) + int64(tolerance.Slack)
	for _, demand := range []float64{1.5, 4, 8} {
		for _, loss := range []float64{0.6, 0.9, 1} {
			for seed := range uint64(3) {
				s := newSimulation(6, limitsOf(tolerance.Relax(configured)))
				s.random = rand.New(rand.NewPCG(seed, 3))
				s.generateLossyLoad(s.newLossyClients(), org, demand*configured.Rate, 1500, warmUp+20*time.Second)
				s.runUntil(warmUp + 8*time.Second)
				s.loss = loss
				s.runUntil(warmUp + 12*time.Second)
				s.loss = 0
				s.runUntil(warmUp + 20*time.Second)
				used := s.peakUse(org, window)
				assert.Check(t, used <= allowed, "demand %v, loss %v, seed %d: %d within the window, %d allowed", demand, loss, seed, used, allowed)
			}
		}
	}
}
