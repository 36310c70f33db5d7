package entry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against one organisation that opens requests without end and uses up
// the instance. Its further requests are rejected as not run while other
// organisations have capacity, and it is served again as soon as one of its
// requests has ended.
func TestConcurrencyLimitPerOrganisation(t *testing.T) {
	r := newHarness(t, func(o *Options) { o.Limits.MaxInFlightPerOrganisation = 1 })
	r.client.generate = []generateFunc{r.client.respondWith([]string{"a"}, nil)}
	id := testConfiguration().Organisations[0].ID
	assert.Assert(t, r.server.organisationLimiter.acquire(id))
	assert.Assert(t, r.server.organisationLimiter.acquire("another"))

	resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":1}`)
	failure := failureIn(t, read(t, resp))
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, tables.ErrorCode(failure.Code), tables.CodeOrganisationLimit)
	assert.Equal(t, string(failure.Outcome), string(tables.OutcomeNotRun))
	assert.Equal(t, len(r.client.received()), 0)

	r.server.organisationLimiter.release(id)
	resp = r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":1}`)
	assert.Equal(t, resp.StatusCode, http.StatusOK, read(t, resp))
	r.server.organisationLimiter.release("another")
	assert.Equal(t, len(r.server.organisationLimiter.inFlight), 0)
}
