package relay

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
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

// Guards against requests that find no relay because all instances that could be one are loaded.
func TestLoadedInstancesRelayIfNoOtherDoes(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) { _ = conn.Close() })
	loaded, partitioned := newTestRelay(t, engine.DialTCP), newTestRelay(t, engine.DialTCP)
	partitioned.reject(Partitioned)
	d := newTestDialer(Instance{ID: "loaded", Zone: "a", Loaded: true, Address: loaded.address()}, Instance{ID: "other", Zone: "c", Address: partitioned.address()})
	conn, via, err := d.Dial(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, via, tables.InstanceID("loaded"))
	assert.Equal(t, partitioned.timesAsked(), 1, "the others come first")
	_ = conn.Close()
}
