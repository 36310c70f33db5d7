// Package waiting holds the requests of one organisation and class until they
// can be placed. Those with a prefix in common form a group, so that they are
// dispatched one after the other to the endpoint that has just computed it.
// Groups are served in the order of their most pressing request: the one that
// must start first. No request is passed over for ever, since the start-by
// times of later ones are later.
package waiting

import (
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// Item is a waiting request.
type Item struct {
	Row *tables.RequestRow
	// GroupKey is the block that the request has in common with its group; requests
	// with key 0 are served in order of start-by time and not grouped.
	GroupKey tables.BlockHash
	// StartBy is when it must have started or be refused.
	StartBy tables.Instant
	// arrival is the order of arrival.
	arrival uint64
}

// group holds items of one key by start-by time.
type group struct {
	key   tables.BlockHash
	items []Item
}

// Queue holds the waiting requests of one organisation in one class. It is not
// safe for concurrent use.
type Queue struct {
	groups map[tables.BlockHash]*group
	// byStartBy holds the groups by their first item.
	byStartBy []*group
	size  int
	lastArrival  uint64
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.size }

func startsBefore(a, b Item) bool {
	if a.StartBy != b.StartBy {
		return a.StartBy < b.StartBy
	}
	return a.arrival < b.arrival
}

// Add enters a request.
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

func insertionIndex(items []Item, item Item) int {
	at := len(items)
	for at > 0 && startsBefore(item, items[at-1]) {
		at--
	}
	return at
}

func (q *Queue) insertGroup(g *group) {
	at := len(q.byStartBy)
	for at > 0 && startsBefore(g.items[0], q.byStartBy[at-1].items[0]) {
		at--
	}
	q.byStartBy = slices.Insert(q.byStartBy, at, g)
}

func (q *Queue) removeGroup(g *group) {
	at := slices.Index(q.byStartBy, g)
	q.byStartBy = slices.Delete(q.byStartBy, at, at+1)
}

// Candidates appends to dst the most pressing request of each group, at most limit
// of them, in the order in which they should be tried: first that of the group
// with the given key, if there is one, since its prefix has just been computed
// somewhere; then half of the rest by start-by time; then as many groups as are
// left from the one at the cursor on, so that groups which cannot be placed do
// not keep the others from being tried.
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

// Remove takes a request out, and says whether it was there.
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

// Expired appends to dst the requests that had to start by now.
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
