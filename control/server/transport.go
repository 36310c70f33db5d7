package server

import (
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// transport sends Raft messages to the other replicas. Each replica has queues of
// its own, so that an unreachable replica delays no other.
type transport struct {
	ctx    context.Context
	dialer Dialer
	// self is the address of this replica, to which the others reply.
	self string
	// learnedAddresses holds the addresses of replicas that are not known members.
	learnedAddresses map[replog.ReplicaID]string
	unreachable      chan<- replog.ReplicaID
	goroutines       *sync.WaitGroup
	senders          map[replog.ReplicaID]*sender
}

// sender holds the queues for one replica at one address. Snapshots have a queue of
// their own, because their transfer would delay heartbeats for longer than an
// election timeout.
type sender struct {
	address   string
	stop      context.CancelFunc
	messages  chan *rpc.LogMessage
	snapshots chan *rpc.LogMessage
}

func newTransport(ctx context.Context, options Options, unreachable chan<- replog.ReplicaID, goroutines *sync.WaitGroup) *transport {
	return &transport{
		ctx:              ctx,
		dialer:           options.Dialer,
		self:             options.Self.Address,
		learnedAddresses: map[replog.ReplicaID]string{},
		unreachable:      unreachable,
		goroutines:       goroutines,
		senders:          map[replog.ReplicaID]*sender{},
	}
}

// send queues messages. It is called by the event loop only.
func (t *transport) send(members replog.Members, messages []replog.Message) {
	for _, m := range messages {
		to := t.senderFor(members, m.To)
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
			t.reportUnreachable(m.To)
		}
	}
}

// learnAddress records the address of the sender of a message. A replica that has
// just joined knows no members yet and could not reply to the leader otherwise.
func (t *transport) learnAddress(replica replog.ReplicaID, address string) {
	if len(t.learnedAddresses) < maxLearnedAddresses || t.learnedAddresses[replica] != "" {
		t.learnedAddresses[replica] = address
	}
}

// senderFor returns the sender for a replica and starts it if there is none for its
// current address. It returns nil if no address is known.
func (t *transport) senderFor(members replog.Members, replica replog.ReplicaID) *sender {
	member, found := members.Find(replica)
	s := t.senders[replica]
	if !found {
		member.Address = t.learnedAddresses[replica]
	}
	if member.Address == "" || s != nil && s.address == member.Address {
		return s
	}
	if s != nil {
		s.stop()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s = &sender{
		address:   member.Address,
		stop:      cancel,
		messages:  make(chan *rpc.LogMessage, maxQueuedMessages),
		snapshots: make(chan *rpc.LogMessage, 1),
	}
	t.senders[replica] = s
	control := t.dialer.Control(member.Address)
	t.goroutines.Go(func() { t.deliverLoop(ctx, replica, control, s.messages, deliverTimeout) })
	t.goroutines.Go(func() { t.deliverLoop(ctx, replica, control, s.snapshots, snapshotTimeout) })
	return s
}

// deliverLoop delivers queued messages, all that are queued in one call.
func (t *transport) deliverLoop(ctx context.Context, replica replog.ReplicaID, to rpc.Control, queue <-chan *rpc.LogMessage, timeout time.Duration) {
	for {
		var batch []*rpc.LogMessage
		select {
		case m := <-queue:
			batch = drainQueue(queue, m)
		case <-ctx.Done():
			return
		}
		deadline, cancel := context.WithTimeout(ctx, timeout)
		_, err := to.Deliver(deadline, &rpc.DeliverRequest{Messages: batch, Address: t.self})
		cancel()
		if err != nil {
			t.reportUnreachable(replica)
		}
	}
}

// drainQueue returns the first message and those that are queued after it, up to maxDeliveryBytes.
func drainQueue(queue <-chan *rpc.LogMessage, first *rpc.LogMessage) []*rpc.LogMessage {
	batch := []*rpc.LogMessage{first}
	bytes := entryBytes(first)
	for range cap(queue) {
		if bytes >= maxDeliveryBytes {
			break
		}
		select {
		case m := <-queue:
			batch = append(batch, m)
			bytes += entryBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func entryBytes(m *rpc.LogMessage) int {
	bytes := 0
	for _, entry := range m.GetEntries() {
		bytes += len(entry.GetData())
	}
	return bytes
}

// reportUnreachable informs the event loop that a message to a replica was lost.
func (t *transport) reportUnreachable(replica replog.ReplicaID) {
	select {
	case t.unreachable <- replica:
	default:
	}
}
