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

// Guards against a failure response that is sent while one of the other instances
// has not been notified of the crash yet.
func TestNotifiedWaitsForAllInstances(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	var members []membership.Member
	for _, slow := range []bool{false, true} {
		handler := rpc.NewPeerServer(suspectpeers.Service{Receive: func([]quarantine.Suspect) {
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
	notifier := newSuspectNotifier(t.Context(), keys.NewRing("k"), http.DefaultTransport, func() []membership.Member { return members }, zap.NewNop())
	notified := notifier.broadcast([]quarantine.Suspect{{Fingerprint: 1}})
	<-arrived
	<-arrived
	select {
	case <-notified:
		t.Fatal("the report counted as sent before the slow instance had received it")
	default:
	}
	close(release)
	<-notified
}
