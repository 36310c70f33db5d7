package daemon

import (
	"context"
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
	// suspectTimeout bounds telling one instance of a crash.
	suspectTimeout = 2 * time.Second
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
	reports chan *rpc.SuspectReport
	// members returns the living instances to tell.
	members func() []membership.Member
	log     *zap.Logger
}

func newPeers(ring *keys.Ring, base http.RoundTripper, members func() []membership.Member, log *zap.Logger) *peers {
	return &peers{
		client:  &http.Client{Transport: &keys.Transport{Ring: ring, Base: base}, Timeout: suspectTimeout},
		reports: make(chan *rpc.SuspectReport, suspectQueue),
		members: members,
		log:     log,
	}
}

// share queues a report. It does not block: when crashes come faster than they
// can be told, the newest are left out, which costs a further endpoint at most.
func (p *peers) share(suspects []quarantine.Suspect) {
	select {
	case p.reports <- suspectpeers.Report(suspects):
	default:
	}
}

// run tells reports until the context ends.
func (p *peers) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-p.reports:
			for _, m := range p.members() {
				go p.tell(ctx, m.Control, report)
			}
		}
	}
}

func (p *peers) tell(ctx context.Context, at netip.AddrPort, report *rpc.SuspectReport) {
	err := suspectpeers.Tell(ctx, rpc.NewPeerProtobufClient("http://"+at.String(), p.client), report)
	if err != nil {
		events.SuspectsNotTold.Log(p.log, zap.Stringer("instance_address", at), zap.Error(err))
	}
}
