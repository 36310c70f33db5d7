package cacheview

import "github.com/carawaystile/carawaystile/tables"

// RecordPlacement records that a prompt was sent to an endpoint, which will cache
// its blocks unless the attempt fails.
func (x *Index) RecordPlacement(now tables.Instant, index tables.EndpointIndex, blocks []tables.BlockHash) {
	id := x.currentIDs[index]
	timestamp := timestampOf(now)
	added := 0
	for _, hash := range blocks {
		if x.add(timestamp, id, hash) {
			added++
		}
	}
	g := &x.generations[id]
	if !g.hasEvents(now) {
		g.addInsertions(now, float64(added)/x.trafficShare)
	}
}

// RecordPeerReport records that another instance reported a block as cached by
// an endpoint.
func (x *Index) RecordPeerReport(now tables.Instant, index tables.EndpointIndex, hash tables.BlockHash) {
	x.add(timestampOf(now), x.currentIDs[index], hash)
}

// RemoveBlocks removes the entries of blocks that a failed attempt did not bring
// into the endpoint's cache.
func (x *Index) RemoveBlocks(index tables.EndpointIndex, blocks []tables.BlockHash) {
	for _, hash := range blocks {
		x.remove(x.currentIDs[index], hash)
	}
}

// RecordCachedTokens compares the cached tokens that were expected at an endpoint
// with those that it found, and adjusts the confidence in its entries.
func (x *Index) RecordCachedTokens(index tables.EndpointIndex, expected, found int) {
	if expected <= 0 {
		return
	}
	g := &x.generations[x.currentIDs[index]]
	hitRatio := min(1, float64(found)/float64(expected))
	g.reliability += reliabilityAlpha * (hitRatio - g.reliability)
	g.reliability = max(minReliability, g.reliability)
}

// Event is a cache event of an endpoint's current boot: the blocks that its
// cache stored and evicted since the event before.
type Event struct {
	// Sequence increases by one with each event.
	Sequence uint64
	// Stored and Evicted are the blocks that entered and left the cache.
	Stored  []tables.BlockHash
	Evicted []tables.BlockHash
}

// ApplyEvent applies a cache event. Events may be late, lost, duplicated and
// reordered. A gap in the sequence lowers the confidence in all entries of the
// endpoint. A duplicate is ignored. An event that arrives after a later one only
// removes entries: if it stored a block that the later event evicted, an entry
// created now would be wrong and no event would ever correct it.
func (x *Index) ApplyEvent(now tables.Instant, index tables.EndpointIndex, e Event) {
	id := x.currentIDs[index]
	g := &x.generations[id]
	g.lastEventAt = now
	if g.hasSequence && e.Sequence <= g.sequence {
		x.applyLate(id, g, e)
		return
	}
	if g.hasSequence {
		gap := e.Sequence - g.sequence
		if gap > 1 {
			g.addLostEvents(now, gap-1)
		}
		g.recentMask = shiftMask(g.recentMask, gap)
	}
	g.hasSequence = true
	g.sequence = e.Sequence
	g.recentMask |= 1
	x.applyInOrder(now, id, e)
}

// shiftMask shifts the mask of recent sequence numbers, also by 64 or more.
func shiftMask(recent, by uint64) uint64 {
	if by >= 64 {
		return 0
	}
	return recent << by
}

// applyInOrder applies an event that has a higher sequence number than all
// before.
func (x *Index) applyInOrder(now tables.Instant, id generationID, e Event) {
	for _, hash := range e.Evicted {
		x.remove(id, hash)
	}
	timestamp := timestampOf(now)
	for _, hash := range e.Stored {
		x.add(timestamp, id, hash)
	}
	g := &x.generations[id]
	g.addInsertions(now, float64(len(e.Stored)))
	g.meanEvicted += evictedAlpha * (float64(len(e.Evicted)) - g.meanEvicted)
}

// applyLate applies the evictions of an event that arrives after a later one.
// Duplicates and events that are 64 or more behind are ignored.
func (x *Index) applyLate(id generationID, g *generation, e Event) {
	back := g.sequence - e.Sequence
	if back >= 64 || g.recentMask&(1<<back) != 0 {
		return
	}
	g.recentMask |= 1 << back
	for _, hash := range e.Evicted {
		x.remove(id, hash)
	}
}
