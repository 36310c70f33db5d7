package daemon

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/keys"
	suspectpeers "github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// Guards against a failing answer that goes out while one of the other instances is still
// to be notified of the crash.
func TestAReportCountsAsSentOnceAllInstancesHaveTakenIt(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	var members []membership.Member
	for _, slow := range []bool{false, true} {
		handler := rpc.NewPeerServer(suspectpeers.Service{Receive: func(quarantine.Suspect) {
			arrived <- struct{}{}
			if slow {
				<-release
			}
		}})
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		at, err := url.Parse(server.URL)
		assert.NilError(t, err)
		members = append(members, membership.Member{InstanceInfo: membership.InstanceInfo{Control: netip.MustParseAddrPort(at.Host)}})
	}
	p := newPeers(keys.Of("k"), http.DefaultTransport, func() []membership.Member { return members }, zap.NewNop())
	go p.run(t.Context())
	notified := p.share([]quarantine.Suspect{{Fingerprint: 1}})
	<-arrived
	<-arrived
	select {
	case <-notified:
		t.Fatal("counted as sent before the slow instance had taken it")
	default:
	}
	close(release)
	<-notified
}

// Guards against a failing answer that waits for ever behind a full queue of reports.
func TestAReportThatIsLeftOutHoldsNothingUp(t *testing.T) {
	p := newPeers(keys.Of("k"), http.DefaultTransport, func() []membership.Member { return nil }, zap.NewNop())
	for range suspectQueue {
		p.share(nil)
	}
	<-p.share(nil)
}
