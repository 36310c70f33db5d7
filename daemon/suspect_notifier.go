package daemon

import (
	"context"
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
	// suspectTimeout bounds one call that notifies an instance of a crash, and
	// notifyTimeout all calls to it: the failing answer of the request waits so long.
	suspectTimeout = 2 * time.Second
	notifyTimeout  = 2500 * time.Millisecond
	// suspectQueue bounds crashes that wait to be told.
	suspectQueue = 64
)

// peers tells the other entry instances what was running when an endpoint
// crashed. The caller of a request that crashes endpoints sends it again at
// once, most likely through another instance; a report that travelled with the
// membership's pings would come too late, and each resend would take down a
// further endpoint. So every living entry instance is told directly. Crashes
// are few, so that this costs little also with hundreds of instances.
type peers struct {
	client  *http.Client
	reports chan suspectReport
	// members returns the living instances to tell.
	members func() []membership.Member
	log     *zap.Logger
}

// suspectReport is a report that waits to be sent; notified is closed after it was.
type suspectReport struct {
	report   *rpc.SuspectReport
	notified chan struct{}
}

func newPeers(ring *keys.Ring, base http.RoundTripper, members func() []membership.Member, log *zap.Logger) *peers {
	return &peers{
		client:  &http.Client{Transport: &keys.Transport{Ring: ring, Base: base}, Timeout: suspectTimeout},
		reports: make(chan suspectReport, suspectQueue),
		members: members,
		log:     log,
	}
}

// share queues a report, and returns a channel that is closed once the living instances
// were notified, or notifyTimeout has passed. It does not block: when crashes come faster
// than reports go out, the newest are left out, which costs a further endpoint at most.
func (p *peers) share(suspects []quarantine.Suspect) <-chan struct{} {
	queued := suspectReport{report: suspectpeers.EncodeReport(suspects), notified: make(chan struct{})}
	select {
	case p.reports <- queued:
	default:
		close(queued.notified)
	}
	return queued.notified
}

// run sends reports until the context ends.
func (p *peers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-p.reports:
			go p.notifyAll(ctx, queued)
		}
	}
}

// notifyAll sends a report to all living instances.
func (p *peers) notifyAll(ctx context.Context, queued suspectReport) {
	defer close(queued.notified)
	bounded, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, m := range p.members() {
		sent.Go(func() { p.tell(bounded, m.Control, queued.report) })
	}
	sent.Wait()
}

func (p *peers) tell(ctx context.Context, at netip.AddrPort, report *rpc.SuspectReport) {
	err := suspectpeers.SendReport(ctx, rpc.NewPeerProtobufClient("http://"+at.String(), p.client), report)
	if err != nil {
		events.SuspectsNotTold.Log(p.log, zap.Stringer("instance_address", at), zap.Error(err))
	}
}
