package server

import (
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// peers sends messages to the other replicas, each over a queue of its own so
// that one which cannot be reached holds up no other.
type peers struct {
	ctx    context.Context
	dialer Dialer
	// self is the address that this replica is answered at.
	self string
	// learned holds addresses of replicas that are not among the known members.
	learned map[replog.ReplicaID]string
	lost    chan<- replog.ReplicaID
	running *sync.WaitGroup
	senders map[replog.ReplicaID]*sender
}

// sender is the way to one replica at one address. Snapshots go apart, or their
// transfer would hold up heartbeats for longer than an election takes.
type sender struct {
	address   string
	stop      context.CancelFunc
	messages  chan *rpc.LogMessage
	snapshots chan *rpc.LogMessage
}

func newPeers(ctx context.Context, options Options, lost chan<- replog.ReplicaID, running *sync.WaitGroup) *peers {
	return &peers{
		ctx:     ctx,
		dialer:  options.Dialer,
		self:    options.Self.Address,
		learned: map[replog.ReplicaID]string{},
		lost:    lost,
		running: running,
		senders: map[replog.ReplicaID]*sender{},
	}
}

// send queues the messages. It is called by the loop only.
func (p *peers) send(members replog.Members, messages []replog.Message) {
	for _, m := range messages {
		to := p.sender(members, m.To)
		if to == nil {
			continue
		}
		queue := to.messages
		if m.Snapshot != nil {
			queue = to.snapshots
		}
		select {
		case queue <- encodeMessage(m):
		default:
			p.report(m.To)
		}
	}
}

// learn notes where a replica is answered. A replica that has just joined has
// no members yet and could not answer the leader otherwise.
func (p *peers) learn(replica replog.ReplicaID, address string) {
	if len(p.learned) < maxLearned || p.learned[replica] != "" {
		p.learned[replica] = address
	}
}

func (p *peers) sender(members replog.Members, replica replog.ReplicaID) *sender {
	member, found := members.Find(replica)
	s := p.senders[replica]
	if !found {
		member.Address = p.learned[replica]
	}
	if member.Address == "" || s != nil && s.address == member.Address {
		return s
	}
	if s != nil {
		s.stop()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s = &sender{
		address:   member.Address,
		stop:      cancel,
		messages:  make(chan *rpc.LogMessage, peerQueue),
		snapshots: make(chan *rpc.LogMessage, 1),
	}
	p.senders[replica] = s
	control := p.dialer.Control(member.Address)
	p.running.Go(func() { p.run(ctx, replica, control, s.messages, deliverTimeout) })
	p.running.Go(func() { p.run(ctx, replica, control, s.snapshots, snapshotTimeout) })
	return s
}

// run delivers what is queued, all of it in one call.
func (p *peers) run(ctx context.Context, replica replog.ReplicaID, to rpc.Control, queue <-chan *rpc.LogMessage, timeout time.Duration) {
	for {
		var batch []*rpc.LogMessage
		select {
		case m := <-queue:
			batch = drain(queue, m)
		case <-ctx.Done():
			return
		}
		deadline, cancel := context.WithTimeout(ctx, timeout)
		_, err := to.Deliver(deadline, &rpc.DeliverRequest{Messages: batch, Address: p.self})
		cancel()
		if err != nil {
			p.report(replica)
		}
	}
}

func drain(queue <-chan *rpc.LogMessage, first *rpc.LogMessage) []*rpc.LogMessage {
	batch := []*rpc.LogMessage{first}
	for range cap(queue) {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// report tells the loop that a message was lost.
func (p *peers) report(replica replog.ReplicaID) {
	select {
	case p.lost <- replica:
	default:
	}
}
