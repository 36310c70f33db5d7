package dialect

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A malformed rate limit in a response must not be taken for a limit that stops all
// requests.
func TestMalformedRateLimitsAreIgnored(t *testing.T) {
	for text, want := range map[string]float64{"1.2": 1.2, " 3 ": 3, "0": 0, "0.05": 0.05} {
		rate, limited := ParseRateLimit(text)
		assert.Assert(t, limited, text)
		assert.Equal(t, rate, want, text)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1.2/s", "one"} {
		_, limited := ParseRateLimit(text)
		assert.Assert(t, !limited, text)
	}
}
