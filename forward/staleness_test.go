package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The log of a refused request says how old the word is that nothing newer was
// decided. A control instance that lags answers at once all the same: counted from
// its answer, the log would clear just the source that kept callers under an older
// configuration.
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
