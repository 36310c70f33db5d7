package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
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
	// notifyTimeout bounds all calls of a report: the failure response of the
	// request is delayed by up to this time.
	notifyCallTimeout = 2 * time.Second
	notifyTimeout     = 2500 * time.Millisecond
	// maxQueuedReports bounds the queue of reports that wait to be sent.
	maxQueuedReports = 64
)

// suspectNotifier broadcasts reports of crashed endpoints to the other entry
// instances, with the requests that were running there and are suspected of the
// crash. A caller whose request crashes endpoints retries it immediately, most
// likely through another instance. A report that was piggybacked on membership
// pings would arrive too late, and each retry would crash another endpoint. The
// report is therefore sent to every live entry instance directly. Crashes are rare,
// so that the cost is low even with hundreds of instances.
type suspectNotifier struct {
	client  *http.Client
	reports chan suspectReport
	// members returns the live instances to notify.
	members func() []membership.Member
	log     *zap.Logger
}

// suspectReport is a queued report. The channel notified is closed after the report
// was sent.
type suspectReport struct {
	report   *rpc.SuspectReport
	notified chan struct{}
}

// newSuspectNotifier returns a notifier; run must be called to send reports.
func newSuspectNotifier(ring *keys.Ring, base http.RoundTripper, members func() []membership.Member, log *zap.Logger) *suspectNotifier {
	return &suspectNotifier{
		client:  &http.Client{Transport: &keys.Transport{Ring: ring, Base: base}, Timeout: notifyCallTimeout},
		reports: make(chan suspectReport, maxQueuedReports),
		members: members,
		log:     log,
	}
}

// enqueue queues a report, and returns a channel that is closed once all live
// instances have been notified or notifyTimeout has elapsed. It does not block:
// when the queue is full the report is dropped, which costs at most one further
// endpoint crash.
func (n *suspectNotifier) enqueue(suspects []quarantine.Suspect) <-chan struct{} {
	queued := suspectReport{report: suspectpeers.EncodeReport(suspects), notified: make(chan struct{})}
	select {
	case n.reports <- queued:
	default:
		close(queued.notified)
	}
	return queued.notified
}

// run sends queued reports until the context ends.
func (n *suspectNotifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-n.reports:
			go n.notifyAll(ctx, queued)
		}
	}
}

// notifyAll sends a report to all live instances concurrently.
func (n *suspectNotifier) notifyAll(ctx context.Context, queued suspectReport) {
	defer close(queued.notified)
	bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, m := range n.members() {
		sent.Go(func() { n.sendReport(bounded, m.Control, queued.report) })
	}
	sent.Wait()
}

// convictionGossipFanout is the number of instances to which convictions are sent at a time.
const convictionGossipFanout = 2

// gossip sends convictions to some live instances in the background. Reports of crashes reach all
// instances; this repairs what instances have missed that have just started or were partitioned.
func (n *suspectNotifier) gossip(ctx context.Context, convictions []quarantine.Suspect) {
	report, members := suspectpeers.EncodeReport(convictions), n.members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(len(members), convictionGossipFanout)] {
		go func() {
			bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			n.sendReport(bounded, m.Control, report)
		}()
	}
}

// sendReport sends a report to one instance, and logs a failure.
func (n *suspectNotifier) sendReport(ctx context.Context, address netip.AddrPort, report *rpc.SuspectReport) {
	err := suspectpeers.SendReport(ctx, rpc.NewPeerProtobufClient("http://"+address.String(), n.client), report)
	if err != nil {
		events.SuspectReportFailed.Log(n.log, zap.Stringer("instance_address", address), zap.Error(err))
	}
}
