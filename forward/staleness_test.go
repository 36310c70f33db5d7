package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The log of a failed request contains the age of the instance's configuration. A control
// instance that lags still answers at once. If the age were counted from its answer, the
// log would hide that it was the source of an outdated configuration.
func TestControlStalenessIncludesReplicationLag(t *testing.T) {
	now := 10 * time.Second
	s := New(Options{Headers: headerNames, Now: func() time.Duration { return now }})
	s.RecordControlSync(4 * time.Second)
	assert.Equal(t, s.controlStaleness(), 4*time.Second)
	s.RecordControlSync(6 * time.Second)
	assert.Equal(t, s.controlStaleness(), 4*time.Second)
	s.RecordControlSync(-1)
	assert.Equal(t, s.controlStaleness(), 4*time.Second)
	s.RecordControlSync(0)
	assert.Equal(t, s.controlStaleness(), time.Duration(0))
}
