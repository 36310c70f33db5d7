package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/tables"
)

func drawLoad(t *rapid.T) Load {
	load := Load{
		Boot:         tables.BootID(rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "boot")),
		Running:      rapid.IntRange(0, 3).Draw(t, "running"),
		Queued:       rapid.IntRange(0, 3).Draw(t, "queued"),
		QueuedTokens: rapid.IntRange(0, 3).Draw(t, "tokens"),
		CacheBlocks:  rapid.IntRange(0, 3).Draw(t, "blocks"),
		AgeMillis:    rapid.Int64Range(0, 3).Draw(t, "age"),
		Weights:      map[tables.ModelName]tables.WeightsVersion{},
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 6, rapid.ID[int]).Draw(t, "attempts") {
		load.Attempts = append(load.Attempts, tables.AttemptID(fmt.Sprint(n)))
	}
	for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(t, "weights") {
		load.Weights[tables.ModelName(fmt.Sprint(n))] = tables.WeightsVersion(fmt.Sprint(n / 2))
	}
	return load
}

// If a delta is lost or applied twice, an instance places work by a load that the
// endpoint does not have. Applying the deltas of any sequence of reports, also across a
// restart, must reproduce the reports.
func TestLoadDeltasReproduceReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, got Load
		for range rapid.IntRange(1, 8).Draw(t, "reports") {
			next := drawLoad(t)
			data, err := json.Marshal(NewLoadDelta(sent, next))
			assert.NilError(t, err)
			var delta LoadDelta
			assert.NilError(t, json.Unmarshal(data, &delta))
			before := slices.Clone(got.Attempts)
			held := got.Attempts
			got = delta.Apply(got)
			assert.DeepEqual(t, held, before)
			sent = next
			slices.Sort(next.Attempts)
			same := got
			same.Attempts = slices.Sorted(slices.Values(got.Attempts))
			if len(same.Weights) == 0 {
				same.Weights = next.Weights
				assert.Equal(t, len(next.Weights), 0)
			}
			assert.Equal(t, fmt.Sprint(same), fmt.Sprint(next))
		}
	})
}

// An endpoint only ever adds attempts to its reports. Each event is short, but the
// accumulated report must not grow without limit in the instance.
func TestLoadStreamIsBounded(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", typeEventStream)
		for i := range 100 {
			_, _ = fmt.Fprintf(w, "data: {\"boot\":\"b\",\"began\":[\"%d-%s\"]}\n\n", i, strings.Repeat("x", 100))
		}
	}))
	defer s.Close()
	c := NewHTTPClient(Options{MaxResponseBytes: 1000})
	stream, err := c.LoadStream(t.Context(), s.Listener.Addr().(*net.TCPAddr).AddrPort(), time.Second)
	assert.NilError(t, err)
	defer stream.Close()
	reports := 0
	for err == nil {
		_, err = stream.Next()
		reports++
	}
	var long *TooLargeError
	assert.Assert(t, errors.As(err, &long), "%v", err)
	assert.Equal(t, reports, 10)
}
