package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/settings"
)

// Guards against an exchange of cache state that waits for its whole period although the members are
// known, or that starts before they are known.
func TestAwaitMembersEndsWhenMembersAreKnown(t *testing.T) {
	for _, c := range []struct {
		name            string
		startup         settings.CapacitySwitch
		known, recorded int64
		waits           bool
	}{
		{"members known", settings.CapacityOn, 54, 59, false},
		{"few members known", settings.CapacityOn, 53, 59, true},
		{"no number recorded", settings.CapacityOn, 59, 0, true},
		{"switch off", settings.CapacityOff, 59, 59, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &Node{started: time.Now(), options: Options{Settings: &settings.Forwarding{Capacity: settings.ForwardingCapacity{Startup: c.startup}}}}
			n.knownEntries.Store(c.known)
			n.recordedEntries.Store(c.recorded)
			timeout := time.Hour
			if c.waits {
				timeout = 50 * time.Millisecond
			}
			assert.NilError(t, n.awaitMembers(t.Context(), timeout))
			assert.Equal(t, n.now() >= timeout, c.waits)
		})
	}
}
