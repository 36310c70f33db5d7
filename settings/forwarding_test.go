package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const forwarding = `instance: edge-1
zone: north
roles: [entry]
listen:
  callers: "127.0.0.1:8782"
  ready: "127.0.0.1:8789"
  instances: "127.0.0.1:7340"
  membership: "127.0.0.1:7340"
seeds:
  - "127.0.0.2:8783"
new_deployment: true
tolerate_instances: 2
memory_mb: 134
orders:
  lease: 3000ms
  fenced: true
  weights_timeout: 8000ms
retries:
  ratio: 0.2
  extra: 58
  window: 10s
`

func TestForwardingSettingsAreRead(t *testing.T) {
	f, err := ParseForwarding("f.yaml", []byte(forwarding))
	assert.NilError(t, err)
	assert.Equal(t, f.Entry, true)
	assert.Equal(t, f.Control, false)
	assert.Equal(t, f.Tolerate, 2)
	assert.Equal(t, f.Orders.WeightsTimeout, 8*time.Second)
	assert.Equal(t, f.Retries.Extra, 58)
	assert.Equal(t, f.Drain.Announce, defaultForwardAnnounce)
	assert.Equal(t, len(f.Seeds), 1)
	assert.Equal(t, f.Advertise.Membership, f.Listen.Membership)
	assert.Assert(t, !f.Source.IsValid())
}

// A settings file names no data folder for a control instance. Started, the
// instance would forget what it has acknowledged at its next restart.
func TestFaultsOfForwardingSettingsAreNamed(t *testing.T) {
	for name, text := range map[string]string{
		"no data folder":  strings.Replace(forwarding, "[entry]", "[control]", 1),
		"no seeds":        strings.Replace(forwarding, "seeds:\n  - \"127.0.0.2:8783\"\n", "", 1),
		"no callers":      strings.Replace(forwarding, "  callers: \"127.0.0.1:8782\"\n", "", 1),
		"unknown key":     forwarding + "colour: red\n",
		"no unit of time": strings.Replace(forwarding, "10s", "10", 1),
		"no IP number":    forwarding + "source: edge-1\n",
		"a host name":     strings.Replace(forwarding, "127.0.0.2", "control.example", 1),
	} {
		_, err := ParseForwarding("f.yaml", []byte(text))
		var invalid *Invalid
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", name, err)
	}
}
