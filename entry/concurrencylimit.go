package entry

import (
	"net/http"
	"strings"
	"sync"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

// concurrencyLimiter counts open requests by organisation. The limit over all organisations
// alone would let one of them, by a mistake in its own retries, take every
// place of an instance before the router can weigh its shares.
type concurrencyLimiter struct {
	limit int

	mu       sync.Mutex
	inFlight map[tables.OrganisationID]int
}

func newConcurrencyLimiter(limit int) *concurrencyLimiter {
	return &concurrencyLimiter{limit: limit, inFlight: make(map[tables.OrganisationID]int)}
}

// acquire counts a request in and says whether there was room for it.
func (l *concurrencyLimiter) acquire(id tables.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[id] >= l.limit {
		return false
	}
	l.inFlight[id]++
	return true
}

// release counts a request out. Organisations without open requests take no
// memory.
func (l *concurrencyLimiter) release(id tables.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[id]--; l.inFlight[id] <= 0 {
		delete(l.inFlight, id)
	}
}

// admitOrganisation counts the request in for its organisation, before its body
// is read. The function it returns counts it out. Callers who are not known are
// let through to the refusal that they get behind.
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
