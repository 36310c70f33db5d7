package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against relays that give a small or loaded instance as much work as the others, and
// against bytes between zones that this would cost.
func TestRelaysAreChosenBySizeAndLoad(t *testing.T) {
	const rounds = 5000
	d := newTestDialer(
		Instance{ID: "small", Zone: "a", Size: 14}, Instance{ID: "large", Zone: "a", Size: 48},
		Instance{ID: "loaded", Zone: "a", Size: 48, Loaded: true}, Instance{ID: "far", Zone: "b", Size: 9600},
	)
	d.options.Zone = "a"
	first := map[tables.InstanceID]int{}
	for range rounds {
		order := d.candidates("b")
		assert.Equal(t, len(order), 4)
		assert.Equal(t, order[2].ID, tables.InstanceID("far"))
		assert.Equal(t, order[3].ID, tables.InstanceID("loaded"))
		first[order[0].ID]++
	}
	want := rounds * 48 / 62
	assert.Assert(t, first["large"] > want*9/10 && first["large"] < want*11/10, "the large one came first %d times, want about %d", first["large"], want)
}

// Guards against a loaded instance that takes on more connections, and against requests that are
// not sent to a running endpoint again because no loaded instance tests it.
func TestLoadedRelayOnlyTestsEndpoints(t *testing.T) {
	s := NewServer(ServerOptions{
		Admit: func(*fleet.Endpoint) Reason { return "" }, Loaded: func() bool { return true }, Dial: refuse, MaxConnections: 2,
	})
	for probe, want := range map[string]Reason{"": Busy, "1": Refused} {
		r := httptest.NewRequest(http.MethodPost, Path, nil)
		r.Header.Set("Upgrade", protocol)
		r.Header.Set(headerEndpoint, "e")
		r.Header.Set(headerAddress, "127.0.0.1:1")
		if probe != "" {
			r.Header.Set(headerProbe, probe)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, Reason(w.Header().Get(headerReason)), want)
	}
}
