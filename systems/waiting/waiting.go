// Package waiting provides the queue in which the requests of one organisation and
// priority class wait for an endpoint. It is an earliest-deadline-first queue that
// batches by key: requests with a common prompt prefix form a group, so that they
// are dispatched one after another to the endpoint that has just computed the
// prefix. Groups are ordered by the earliest start-by time of their requests. No
// request starves, because later requests have later start-by times.
package waiting

import (
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// Item is a request in a Queue.
type Item struct {
	Row *tables.RequestRow
	// GroupKey is the hash of the block that the request has in common with its
	// group. Requests with key 0 have no common prefix; they are served in order of
	// start-by time.
	GroupKey tables.BlockHash
	// StartBy is the deadline for the start of the request. A request that has not
	// started by then is refused.
	StartBy tables.Instant
	// arrival numbers the items in order of arrival. It breaks ties between equal
	// start-by times.
	arrival uint64
}

// group holds the items with the same key, ordered by start-by time.
type group struct {
	key   tables.BlockHash
	items []Item
}

// Queue is an earliest-deadline-first queue of the requests of one organisation and
// priority class, grouped by key. The zero value is an empty queue. It is not safe
// for concurrent use.
type Queue struct {
	groups map[tables.BlockHash]*group
	// byStartBy holds the groups, ordered by their first item.
	byStartBy []*group
	size      int
	// lastArrival is the arrival number of the newest item.
	lastArrival uint64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// startsBefore orders items by start-by time, then by arrival.
func startsBefore(a, b Item) bool {
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.arrival < b.arrival
}

// Add enqueues a request.
func (q *Queue) Add(item Item) {
	if q.groups == nil {
		q.groups = make(map[tables.BlockHash]*group)
	}
	q.lastArrival++
	item.arrival = q.lastArrival
	q.size++
	g := q.groups[item.GroupKey]
	if g == nil {
		g = &group{key: item.GroupKey, items: []Item{item}}
		q.groups[item.GroupKey] = g
		q.insertGroup(g)
		return
	}
	at := insertionIndex(g.items, item)
	g.items = slices.Insert(g.items, at, item)
	if at == 0 {
		q.removeGroup(g)
		q.insertGroup(g)
	}
}

// insertionIndex returns the index at which item keeps items in order.
func insertionIndex(items []Item, item Item) int {
	at := len(items)
	for at > 0 && startsBefore(item, items[at-1]) {
		at--
	}
	return at
}

// insertGroup inserts a group at its place in byStartBy.
func (q *Queue) insertGroup(g *group) {
	at := len(q.byStartBy)
	for at > 0 && startsBefore(g.items[0], q.byStartBy[at-1].items[0]) {
		at--
	}
	q.byStartBy = slices.Insert(q.byStartBy, at, g)
}

// removeGroup removes a group from byStartBy.
func (q *Queue) removeGroup(g *group) {
	at := slices.Index(q.byStartBy, g)
	q.byStartBy = slices.Delete(q.byStartBy, at, at+1)
}

// Candidates appends to dst the first request of each group, at most limit of them,
// in the order in which the caller tries to place them. The group with key recent
// comes first, since its prefix has just been computed at some endpoint. Half of
// the remaining limit goes to the groups with the earliest start-by times. The rest
// goes to the other groups in round-robin order, starting at cursor, so that groups
// that cannot be placed do not starve the others.
func (q *Queue) Candidates(dst []Item, recent tables.BlockHash, cursor, limit int) []Item {
	if g := q.groups[recent]; g != nil && recent != 0 && limit > 0 {
		dst = append(dst, g.items[0])
		limit--
	}
	urgent := min((limit+1)/2, len(q.byStartBy))
	for _, g := range q.byStartBy[:urgent] {
		if recent == 0 || g.key != recent {
			dst = append(dst, g.items[0])
			limit--
		}
	}
	others := q.byStartBy[urgent:]
	for i := range min(limit, len(others)) {
		g := others[(cursor+i)%len(others)]
		if recent == 0 || g.key != recent {
			dst = append(dst, g.items[0])
		}
	}
	return dst
}

// First returns the first request of a group that is accepted, in order of start-by time, and
// whether there is one.
func (q *Queue) First(key tables.BlockHash, accept func(*tables.RequestRow) bool) (Item, bool) {
	g := q.groups[key]
	if g == nil {
		return Item{}, false
	}
	at := slices.IndexFunc(g.items, func(i Item) bool { return accept(i.Row) })
	if at < 0 {
		return Item{}, false
	}
	return g.items[at], true
}

// Remove removes a request with the given group key and reports whether it was
// queued.
func (q *Queue) Remove(row *tables.RequestRow, key tables.BlockHash) bool {
	g := q.groups[key]
	if g == nil {
		return false
	}
	at := slices.IndexFunc(g.items, func(i Item) bool { return i.Row == row })
	if at < 0 {
		return false
	}
	q.removeGroup(g)
	g.items = slices.Delete(g.items, at, at+1)
	q.size--
	if len(g.items) == 0 {
		delete(q.groups, key)
		return true
	}
	q.insertGroup(g)
	return true
}

// Expired appends to dst the requests whose start-by time is not after now. It
// leaves them in the queue.
func (q *Queue) Expired(dst []Item, now tables.Instant) []Item {
	for _, g := range q.byStartBy {
		if g.items[0].StartBy > now {
			break
		}
		for _, item := range g.items {
			if item.StartBy > now {
				break
			}
			dst = append(dst, item)
		}
	}
	return dst
}
