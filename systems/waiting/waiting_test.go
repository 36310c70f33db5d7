package waiting_test

import (
	"flag"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/systems/waiting"
	"github.com/carawaystile/carawaystile/tables"
)

// The seed is fixed, so that a change is always judged by the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// referenceQueue holds the items in order of arrival and scans all of them for each
// query.
type referenceQueue []waiting.Item

// candidates returns the first item of each group: that of the recent group, then
// the half of the limit with the earliest start-by times, then the groups from
// cursor on.
func (n referenceQueue) candidates(recent tables.BlockHash, cursor, limit int) []*tables.RequestRow {
	sorted := slices.Clone(n)
	slices.SortStableFunc(sorted, func(a, b waiting.Item) int { return int(a.StartBy - b.StartBy) })
	var groups []waiting.Item
	var rows []*tables.RequestRow
	for _, item := range sorted {
		if slices.ContainsFunc(groups, func(g waiting.Item) bool { return g.GroupKey == item.GroupKey }) {
			continue
		}
		groups = append(groups, item)
		if recent != 0 && item.GroupKey == recent && limit > 0 {
			rows = append(rows, item.Row)
		}
	}
	wanted := limit
	half := min((limit-len(rows)+1)/2, len(groups))
	tail := groups[half:]
	for _, item := range groups[:half] {
		if recent == 0 || item.GroupKey != recent {
			rows = append(rows, item.Row)
		}
	}
	for i := range min(wanted-len(rows), len(tail)) {
		if item := tail[(cursor+i)%len(tail)]; recent == 0 || item.GroupKey != recent {
			rows = append(rows, item.Row)
		}
	}
	return rows
}

func requestsOf(items []waiting.Item) []*tables.RequestRow {
	var rows []*tables.RequestRow
	for _, item := range items {
		rows = append(rows, item.Row)
	}
	return rows
}

// Guards against a queue whose order, size or expired requests differ from those
// that a linear scan of all items finds.
func TestQueueMatchesReferenceImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q waiting.Queue
		var n referenceQueue
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				item := waiting.Item{
					Row: &tables.RequestRow{}, GroupKey: tables.BlockHash(rapid.IntRange(0, 4).Draw(t, "key")),
					StartBy: tables.Instant(rapid.IntRange(0, 20).Draw(t, "by")),
				}
				q.Add(item)
				n = append(n, item)
			case 2:
				if len(n) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(n)-1).Draw(t, "remove")
				assert.Assert(t, q.Remove(n[i].Row, n[i].GroupKey))
				n = slices.Delete(n, i, i+1)
			case 3:
				now := tables.Instant(rapid.IntRange(0, 20).Draw(t, "now"))
				want := 0
				for _, item := range n {
					if item.StartBy <= now {
						want++
					}
				}
				assert.Equal(t, len(q.Expired(nil, now)), want)
			}
			recent := tables.BlockHash(rapid.IntRange(0, 4).Draw(t, "recent"))
			limit := rapid.IntRange(0, 6).Draw(t, "limit")
			cursor := rapid.IntRange(0, 9).Draw(t, "cursor")
			assert.Assert(t, slices.Equal(requestsOf(q.Candidates(nil, recent, cursor, limit)), n.candidates(recent, cursor, limit)))
			assert.Equal(t, q.Len(), len(n))
		}
	})
}
