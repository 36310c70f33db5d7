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

// The seed is fixed, so that a change is judged the same way every time.
func init() { _ = flag.Set("rapid.seed", "1") }

// naive holds the items in order of arrival and searches them all.
type naive []waiting.Item

// heads is the first item of each group by start-by time, and then the groups
// by that, with the recent one in front.
func (n naive) heads(recent tables.BlockHash, limit int) []*tables.RequestRow {
	sorted := slices.Clone(n)
	slices.SortStableFunc(sorted, func(a, b waiting.Item) int { return int(a.StartBy - b.StartBy) })
	var rows, first []*tables.RequestRow
	seen := make(map[tables.BlockHash]bool)
	for _, item := range sorted {
		if seen[item.Key] {
			continue
		}
		seen[item.Key] = true
		if recent != 0 && item.Key == recent {
			first = append(first, item.Row)
			continue
		}
		rows = append(rows, item.Row)
	}
	rows = append(first, rows...)
	return rows[:min(limit, len(rows))]
}

func rowsOf(items []waiting.Item) []*tables.RequestRow {
	var rows []*tables.RequestRow
	for _, item := range items {
		rows = append(rows, item.Row)
	}
	return rows
}

func TestQueueAgreesWithASearchOfEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q waiting.Queue
		var n naive
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				item := waiting.Item{
					Row: &tables.RequestRow{}, Key: tables.BlockHash(rapid.IntRange(0, 4).Draw(t, "key")),
					StartBy: tables.Instant(rapid.IntRange(0, 20).Draw(t, "by")),
				}
				q.Add(item)
				n = append(n, item)
			case 2:
				if len(n) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(n)-1).Draw(t, "remove")
				assert.Assert(t, q.Remove(n[i].Row, n[i].Key))
				n = slices.Delete(n, i, i+1)
			case 3:
				now := tables.Instant(rapid.IntRange(0, 20).Draw(t, "now"))
				want := 0
				for _, item := range n {
					if item.StartBy <= now {
						want++
					}
				}
				assert.Equal(t, len(q.Overdue(nil, now)), want)
			}
			recent := tables.BlockHash(rapid.IntRange(0, 4).Draw(t, "recent"))
			limit := rapid.IntRange(0, 6).Draw(t, "limit")
			assert.Assert(t, slices.Equal(rowsOf(q.Heads(nil, recent, limit)), n.heads(recent, limit)))
			assert.Equal(t, q.Len(), len(n))
		}
	})
}
