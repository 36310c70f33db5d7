package settings

import (
	"errors"
	"os"
	"path/filepath"
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
	assert.Equal(t, f.Retries.Extra, 58.0)
	assert.Equal(t, f.Drain.Announce, defaultForwardAnnounce)
	assert.Equal(t, len(f.Seeds), 1)
	assert.Equal(t, f.Advertise.Membership, f.Listen.Membership)
	assert.Assert(t, !f.Source.IsValid())
}

// Guards against rate limits that are enforced without the tolerance that operators grant.
func TestUsageToleranceIsRead(t *testing.T) {
	f, err := ParseForwarding("f.yaml", []byte(forwarding+"usage:\n  overage: 0.1\n  slack: 110000\n"))
	assert.NilError(t, err)
	assert.Equal(t, f.Usage, ForwardingUsage{Overage: 0.1, Slack: 110_000})
	f, err = ParseForwarding("f.yaml", []byte(forwarding))
	assert.NilError(t, err)
	assert.Equal(t, f.Usage, ForwardingUsage{})
}

// Guards against retries to an address that the platform has assigned to another process
// sooner than the instance assumes.
func TestAddressReuseIsRead(t *testing.T) {
	text := strings.Replace(forwarding, "window: 10s", "window: 10s\n  address_reuse: 1.5s", 1)
	f, err := ParseForwarding("f.yaml", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, f.Retries.AddressReuse, 1500*time.Millisecond)
	f, err = ParseForwarding("f.yaml", []byte(forwarding))
	assert.NilError(t, err)
	assert.Equal(t, f.Retries.AddressReuse, defaultAddressReuse)
}

// Guards against instances that start with settings that cannot work. A control instance
// without a data folder would lose acknowledged state at its next restart.
func TestInvalidForwardingSettingsAreRejected(t *testing.T) {
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
		var invalid *ValidationError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", name, err)
	}
}

// Guards against a deployment that does not start because its share of the retry budget is
// not an integer.
func TestFractionalRetriesAreRead(t *testing.T) {
	text := strings.Replace(forwarding, "extra: 58", "extra: 33.1578947368421", 1)
	f, err := ParseForwarding("f.yaml", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, f.Retries.Extra, 33.1578947368421)
}

// Guards against one invalid value that stops all instances at once, since all of them get
// the same settings.
func TestInvalidQuantityFallsBackToDefault(t *testing.T) {
	for name, c := range map[string]struct {
		old, odd string
		holds    func(*Forwarding) bool
	}{
		"fraction of memory": {"memory_mb: 134", "memory_mb: 61.7", func(f *Forwarding) bool { return f.MemoryMB == 61 }},
		"memory is absent":   {"memory_mb: 134", "memory_mb:", func(f *Forwarding) bool { return f.MemoryMB == defaultMemoryMB }},
		"memory is a word":   {"memory_mb: 134", "memory_mb: plenty", func(f *Forwarding) bool { return f.MemoryMB == defaultMemoryMB }},
		"no memory":          {"memory_mb: 134", "memory_mb: 0", func(f *Forwarding) bool { return f.MemoryMB == 16 }},
		"many may be lost":   {"tolerate_instances: 2", "tolerate_instances: 9", func(f *Forwarding) bool { return f.Tolerate == 4 }},
		"window is absent":   {"window: 10s", "window: s", func(f *Forwarding) bool { return f.Retries.Window == defaultRetryWindow }},
		"negative extra":     {"extra: 58", "extra: -1", func(f *Forwarding) bool { return f.Retries.Extra == 0 }},
		"extra is no number": {"extra: 58", "extra: NaN", func(f *Forwarding) bool { return f.Retries.Extra == defaultRetryExtra }},
		"long lease":         {"lease: 3000ms", "lease: 90000000ms", func(f *Forwarding) bool { return f.Orders.Lease == time.Minute }},
		"lease of a list":    {"lease: 3000ms", "lease: [3000ms]", func(f *Forwarding) bool { return f.Orders.Lease == defaultOrdersLease }},
	} {
		path := filepath.Join(t.TempDir(), "f.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(forwarding, c.old, c.odd, 1)), 0o600))
		f, replaced, err := ReadForwardingLenient(path)
		assert.NilError(t, err, name)
		assert.Assert(t, c.holds(f), "%s: %+v", name, f)
		if name == "fraction of memory" {
			continue
		}
		assert.Equal(t, len(replaced), 1, name)
		_, err = ReadForwarding(path)
		var invalid *ValidationError
		assert.Assert(t, errors.As(err, &invalid), "%s: strict validation does not report it: %v", name, err)
	}
}

// Guards against a switch that is read under another key, or is on by default.
func TestStartupSwitchIsRead(t *testing.T) {
	for text, want := range map[string]CapacitySwitch{"": CapacityOff, "capacity: {startup: auto}\n": CapacityAuto, "capacity: {startup: on}\n": CapacityOn} {
		f, err := ParseForwarding("f.yaml", []byte(forwarding+text))
		assert.NilError(t, err)
		assert.Equal(t, f.Capacity.Startup, want)
	}
}
