package entry

import (
	"net/http"
	"strings"
	"sync"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

// concurrencyLimiter limits the requests in flight of each organisation. With
// only the limit on all requests, one organisation could use up an instance,
// for example by a bug in its retries, before the router's fair queueing takes
// effect.
type concurrencyLimiter struct {
	limit int

	mu       sync.Mutex
	inFlight map[tables.OrganisationID]int
}

// newConcurrencyLimiter returns a limiter that allows limit requests per
// organisation.
func newConcurrencyLimiter(limit int) *concurrencyLimiter {
	return &concurrencyLimiter{limit: limit, inFlight: make(map[tables.OrganisationID]int)}
}

// acquire counts a request as in flight. It reports whether the organisation
// was below its limit.
func (l *concurrencyLimiter) acquire(id tables.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[id] >= l.limit {
		return false
	}
	l.inFlight[id]++
	return true
}

// release ends the count of a request. Organisations without requests in flight
// use no memory.
func (l *concurrencyLimiter) release(id tables.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[id]--; l.inFlight[id] <= 0 {
		delete(l.inFlight, id)
	}
}

// admitOrganisation counts the request towards its organisation's limit, before
// its body is read. The returned function ends the count. Requests with an
// unknown token pass, because authentication rejects them afterwards.
func (s *Server) admitOrganisation(r *http.Request) (func(), *outcome.Failure) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return func() {}, nil
	}
	organisation := s.configIndex.Load().organisationByToken(token)
	if organisation == nil {
		return func() {}, nil
	}
	if !s.organisationLimiter.acquire(organisation.ID) {
		return nil, notRun("", tables.CodeOrganisationLimit, retryAfterOverload)
	}
	return func() { s.organisationLimiter.release(organisation.ID) }, nil
}
