package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
	suspectpeers "github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const (
	// notifyCallTimeout bounds one call that notifies an instance of a crash, and
	// notifyTimeout bounds all calls to it: the failure response of the request is
	// delayed by up to this time.
	notifyCallTimeout = 2 * time.Second
	notifyTimeout     = 2500 * time.Millisecond
)

// suspectNotifier broadcasts reports of crashed endpoints to the other entry
// instances, with the requests that were running there and are suspected of the
// crash. A caller whose request crashes endpoints retries it immediately, most
// likely through another instance. A report that was piggybacked on membership
// pings would arrive too late, and each retry would crash another endpoint. The
// report is therefore sent to every live entry instance directly.
type suspectNotifier struct {
	ctx         context.Context
	client      *http.Client
	broadcaster *suspectpeers.Broadcaster
	// members returns the live instances to notify.
	members func() []membership.Member
	log     *zap.Logger
}

// newSuspectNotifier returns a notifier that sends reports until the context ends.
func newSuspectNotifier(ctx context.Context, ring *keys.Ring, base http.RoundTripper, members func() []membership.Member, log *zap.Logger) *suspectNotifier {
	n := &suspectNotifier{
		ctx:     ctx,
		client:  &http.Client{Transport: &keys.Transport{Ring: ring, Base: base}, Timeout: notifyCallTimeout},
		members: members,
		log:     log,
	}
	n.broadcaster = suspectpeers.NewBroadcaster(n.sendReport, n.logDropped)
	return n
}

// broadcast reports suspects to all live instances, and returns a channel that is closed
// once all of them have been notified or notifyTimeout has elapsed. It does not block.
func (n *suspectNotifier) broadcast(suspects []quarantine.Suspect) <-chan struct{} {
	var to []netip.AddrPort
	for _, m := range n.members() {
		to = append(to, m.Control)
	}
	sent := n.broadcaster.Broadcast(to, suspects)
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		select {
		case <-sent:
		case <-time.After(notifyTimeout):
		}
	}()
	return notified
}

// convictionGossipFanout is the number of instances to which convictions are sent at a time.
const convictionGossipFanout = 2

// gossip sends convictions to some live instances in the background. Reports of crashes reach all
// instances; this repairs what instances have missed that have just started or were partitioned.
func (n *suspectNotifier) gossip(convictions []quarantine.Suspect) {
	report, members := suspectpeers.EncodeReport(convictions), n.members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(len(members), convictionGossipFanout)] {
		go n.sendReport(m.Control, report)
	}
}

// logDropped logs that suspects were not reported to an instance.
func (n *suspectNotifier) logDropped(address netip.AddrPort, err *suspectpeers.QueueFullError) {
	events.SuspectReportFailed.Log(n.log, zap.Stringer("instance_address", address), zap.Error(err))
}

// sendReport sends a report to one instance, and logs a failure.
func (n *suspectNotifier) sendReport(address netip.AddrPort, report *rpc.SuspectReport) {
	ctx, cancel := context.WithTimeout(n.ctx, notifyTimeout)
	defer cancel()
	err := suspectpeers.SendReport(ctx, rpc.NewPeerProtobufClient("http://"+address.String(), n.client), report)
	if err != nil {
		events.SuspectReportFailed.Log(n.log, zap.Stringer("instance_address", address), zap.Error(err))
	}
}
