package logs

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against logs that grow as fast as clients make an instance log, and against a budget that stays used up.
func TestLinesBeyondTheBudgetAreDropped(t *testing.T) {
	w := NewWriter(io.Discard)
	defer w.Close()
	var now time.Time
	b := budgetedWriter{Writer: w, now: func() time.Time { return now }}
	const line = 1 << 10
	taken := func() (lines int) {
		for b.take(line) {
			lines++
		}
		return lines
	}
	assert.Equal(t, taken(), budgetBurstBytes/line)
	now = now.Add(time.Second)
	assert.Equal(t, taken(), budgetBytesPerSecond/line)
	now = now.Add(time.Hour)
	assert.Equal(t, taken(), budgetBurstBytes/line)
}
