package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against totals that exceed their bandwidth where it allows less than one in an interval, and
// against totals that wait for seconds there: 23 receivers and 9,400 bytes a second are those of 24
// instances with 7.5 Mbit/s.
func TestCostsStayWithinTheirBandwidth(t *testing.T) {
	for _, c := range []struct {
		rate             float64
		receivers, least int
	}{{9400, 23, 4}, {50_000, 23, 28}, {50_000, 2, 400}} {
		const seconds = 60
		var budget costBudget
		bytes, costs, waited, longest := 0, 0, time.Duration(0), time.Duration(0)
		for range int(seconds * time.Second / costInterval) {
			limit := budget.add(c.rate, costInterval, c.receivers)
			assert.Assert(t, limit >= 0 && limit <= maxCosts)
			if waited += costInterval; limit == 0 {
				continue
			}
			budget.sent(limit, c.receivers)
			bytes += c.receivers * (costDatagramBytes + limit*bytesPerCost)
			costs, longest, waited = costs+limit, max(longest, waited), 0
		}
		assert.Assert(t, float64(bytes) <= c.rate*(seconds+1), "%d bytes", bytes)
		assert.Assert(t, longest <= time.Second, "%s between two sends", longest)
		assert.Assert(t, costs >= c.least*seconds, "%d totals", costs)
	}
}
