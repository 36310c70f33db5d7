package measure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/measure"
)

func run(t *testing.T, options measure.Options) measure.Report {
	t.Helper()
	report, err := measure.Run(context.Background(), options)
	assert.NilError(t, err)
	return report
}

func row(t *testing.T, report measure.Report, site string, fault measure.Fault, policy string) measure.Row {
	t.Helper()
	r, ok := report.Find(site, fault, policy)
	assert.Assert(t, ok, "%s %s %s", site, fault, policy)
	return r
}

// At four fifths of its capacity a fleet serves drafting with half the tail of
// the best baseline, and refuses nothing.
func TestDraftingTailAtLoad(t *testing.T) {
	report := run(t, measure.Options{Sites: []string{"ashanti"}, Policies: []string{"round-robin", "least-requests", "prefix-hash", "ours"}, Duration: 160 * time.Second})
	ours := row(t, report, "ashanti", measure.None, "ours")
	for _, policy := range []string{"round-robin", "least-requests", "prefix-hash"} {
		other := row(t, report, "ashanti", measure.None, policy)
		assert.Assert(t, ours.Classes[0].P99 < other.Classes[0].P99/2, "%s: %v and %v", policy, ours.Classes[0].P99, other.Classes[0].P99)
	}
	assert.Equal(t, ours.Refused+ours.Failed+ours.Unanswered, 0)
}

// More work comes than the fleet can do, twice and four times as much. Callers
// are refused, but those who are not must be answered at nine tenths of the
// rate at which the fleet answers at its capacity.
func TestGoodputUnderOverload(t *testing.T) {
	good := func(load float64) float64 {
		report := run(t, measure.Options{Sites: []string{"ashanti"}, Policies: []string{"ours"}, Load: load, Duration: 180 * time.Second})
		return row(t, report, "ashanti", measure.None, "ours").GoodPerSecond
	}
	full := good(1)
	assert.Assert(t, good(2) > 0.9*full, "2 times: %v, at capacity %v", good(2), full)
	assert.Assert(t, good(4) > 0.9*full, "4 times: %v, at capacity %v", good(4), full)
}

// Instances hear neither cache events nor each other, so each knows only its own
// placements. If each follows those, every prefix is computed at several
// endpoints, and callers wait and are refused.
func TestBlindInstancesAgreeOnHomes(t *testing.T) {
	report := run(t, measure.Options{Policies: []string{"ours"}, Blind: true, PeerBytes: -1})
	assert.Assert(t, row(t, report, "ashanti", measure.None, "ours").HitRate > 0.86)
	assert.Assert(t, row(t, report, "tawe", measure.None, "ours").HitRate > 0.79)
}

func TestSameSeedSameReport(t *testing.T) {
	options := measure.Options{Sites: []string{"tawe"}, Policies: []string{"ours"}, Faults: []measure.Fault{measure.Crash}, Duration: 140 * time.Second}
	first, err := json.Marshal(run(t, options))
	assert.NilError(t, err)
	second, err := json.Marshal(run(t, options))
	assert.NilError(t, err)
	assert.Equal(t, string(first), string(second))
}

func TestTableNamesEveryPolicy(t *testing.T) {
	report := run(t, measure.Options{Sites: []string{"ashanti"}, Duration: 125 * time.Second, Load: 0.2})
	var out bytes.Buffer
	assert.NilError(t, report.WriteTable(&out))
	for _, policy := range []string{"round-robin", "least-requests", "prefix-hash", "ours", "oracle"} {
		assert.Assert(t, strings.Contains(out.String(), policy))
	}
}

func TestUnknownNamesAreErrors(t *testing.T) {
	var unknown *measure.UnknownNameError
	_, err := measure.Run(context.Background(), measure.Options{Sites: []string{"atlantis"}})
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.Name, "atlantis")
	_, err = measure.Run(context.Background(), measure.Options{Policies: []string{"luck"}})
	assert.Assert(t, errors.As(err, &unknown))
	_, err = measure.Run(context.Background(), measure.Options{Faults: []measure.Fault{"rain"}})
	assert.Assert(t, errors.As(err, &unknown))
}
