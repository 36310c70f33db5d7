package entry

import (
	"net/http"
	"strings"
	"sync"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

// quota counts open requests by organisation. The limit over all organisations
// alone would let one of them, by a mistake in its own retries, take every
// place of an instance before the router can weigh its shares.
type quota struct {
	limit int

	mu   sync.Mutex
	open map[tables.OrganisationID]int
}

func newQuota(limit int) *quota {
	return &quota{limit: limit, open: make(map[tables.OrganisationID]int)}
}

// enter counts a request in and says whether there was room for it.
func (q *quota) enter(id tables.OrganisationID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open[id] >= q.limit {
		return false
	}
	q.open[id]++
	return true
}

// leave counts a request out. Organisations without open requests take no
// memory.
func (q *quota) leave(id tables.OrganisationID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open[id]--; q.open[id] <= 0 {
		delete(q.open, id)
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
	organisation := s.directory.Load().organisation(token)
	if organisation == nil {
		return func() {}, nil
	}
	if !s.quota.enter(organisation.ID) {
		return nil, notRun("", tables.CodeOrganisationLimit, retryFull)
	}
	return func() { s.quota.leave(organisation.ID) }, nil
}
