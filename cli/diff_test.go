package cli

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/tables"
)

// TestFormatChangesByField checks that a changed item is reported by the keys of
// its declaration, and not as a whole, and that a renamed item is reported as a
// removal and an addition.
func TestFormatChangesByField(t *testing.T) {
	profile := tables.Profile{Name: "p", Model: "m", Timeout: 30 * time.Second, Idempotent: true, Hedge: true}
	changed := profile
	changed.Timeout = 40 * time.Second
	changed.Hedge = false
	from := tables.Configuration{Profiles: []tables.Profile{profile}, Models: []tables.Model{{Name: "m", Weights: "w1"}}}
	to := tables.Configuration{Profiles: []tables.Profile{changed}, Models: []tables.Model{{Name: "n", Weights: "w1"}}}
	changes, err := configuration.Diff(from, to)
	assert.NilError(t, err)
	assert.DeepEqual(t, formatChanges(changes), []string{
		"~ profile p: timeout: 30s -> 40s",
		"~ profile p: hedge: true -> (none)",
		"- model m",
		"+ model n: weights: w1",
	})
}
