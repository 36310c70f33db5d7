package cacheview

import "github.com/carawaystile/carawaystile/tables"

// RecordPlacement records that a prompt was sent to an endpoint, which will hold its
// blocks unless the attempt fails.
func (v *Index) RecordPlacement(now tables.Instant, index tables.EndpointIndex, blocks []tables.BlockHash) {
	id := v.current[index]
	stamp := stampOf(now)
	fresh := 0
	for _, hash := range blocks {
		if v.add(stamp, id, hash) {
			fresh++
		}
	}
	h := &v.homes[id]
	if !h.hasEvents(now) {
		h.insert(now, float64(fresh)/v.share)
	}
}

// RecordPeerReport records that another instance says an endpoint holds a block.
func (v *Index) RecordPeerReport(now tables.Instant, index tables.EndpointIndex, hash tables.BlockHash) {
	v.add(stampOf(now), v.current[index], hash)
}

// RemoveBlocks removes blocks that an attempt should have brought and did not.
func (v *Index) RemoveBlocks(index tables.EndpointIndex, blocks []tables.BlockHash) {
	for _, hash := range blocks {
		v.remove(v.current[index], hash)
	}
}

// RecordCachedTokens compares the cached tokens that were expected of an endpoint with
// those that it found.
func (v *Index) RecordCachedTokens(index tables.EndpointIndex, expected, found int) {
	if expected <= 0 {
		return
	}
	h := &v.homes[v.current[index]]
	part := min(1, float64(found)/float64(expected))
	h.reliability += learnRate * (part - h.reliability)
	h.reliability = max(minReliability, h.reliability)
}

// Event is a cache event of the endpoint's present boot.
type Event struct {
	Sequence uint64
	Stored   []tables.BlockHash
	Evicted  []tables.BlockHash
}

// ApplyEvent applies a cache event. Events may be late, lost, duplicated and
// reordered. A jump in the sequence widens the doubt in all rows of the
// endpoint. A duplicate is ignored. An event that was overtaken by a later one
// only removes rows: had it stored a block that the later one evicted, a row
// made now would be wrong and nothing would ever correct it.
func (v *Index) ApplyEvent(now tables.Instant, index tables.EndpointIndex, e Event) {
	id := v.current[index]
	h := &v.homes[id]
	h.eventAt = now
	if h.seen && e.Sequence <= h.sequence {
		v.lateEvent(id, h, e)
		return
	}
	if h.seen {
		jump := e.Sequence - h.sequence
		if jump > 1 {
			h.widenDoubt(now, jump-1)
		}
		h.recent = shiftRecent(h.recent, jump)
	}
	h.seen = true
	h.sequence = e.Sequence
	h.recent |= 1
	v.apply(now, id, e)
}

func shiftRecent(recent, by uint64) uint64 {
	if by >= 64 {
		return 0
	}
	return recent << by
}

func (v *Index) apply(now tables.Instant, id homeID, e Event) {
	for _, hash := range e.Evicted {
		v.remove(id, hash)
	}
	stamp := stampOf(now)
	for _, hash := range e.Stored {
		v.add(stamp, id, hash)
	}
	h := &v.homes[id]
	h.insert(now, float64(len(e.Stored)))
	h.evicted += learnEvent * (float64(len(e.Evicted)) - h.evicted)
}

func (v *Index) lateEvent(id homeID, h *home, e Event) {
	back := h.sequence - e.Sequence
	if back >= 64 || h.recent&(1<<back) != 0 {
		return
	}
	h.recent |= 1 << back
	for _, hash := range e.Evicted {
		v.remove(id, hash)
	}
}
