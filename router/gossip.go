package router

import (
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// maxPendingPlacements limits the queue of placements to send to peers; the
// oldest are dropped first.
const maxPendingPlacements = 2048

// placementQueue is a bounded queue, without duplicates, of the placements to
// gossip to other instances: blocks that an endpoint is about to compute and
// was not known to hold. A placement that found its whole prefix cached is no
// news to peers and is not queued.
type placementQueue struct {
	pending []PeerPlacement
	queued  map[PeerPlacement]bool
}

// add queues the blocks of a prompt that the chosen endpoint was not known to
// hold.
func (q *placementQueue) add(endpoint *tables.EndpointRow, blocks []tables.BlockHash, c *placement.Candidate) {
	if q.queued == nil {
		q.queued = make(map[PeerPlacement]bool)
	}
	known := min(len(blocks), int(c.KnownTokens+0.5)/prefix.BlockTokens)
	for _, hash := range blocks[known:] {
		row := PeerPlacement{Endpoint: endpoint.Endpoint.ID, Boot: endpoint.Boot, Block: hash}
		if q.queued[row] {
			continue
		}
		q.queued[row] = true
		q.pending = append(q.pending, row)
	}
	if excess := len(q.pending) - maxPendingPlacements; excess > 0 {
		q.dropOldest(excess)
	}
}

func (q *placementQueue) dropOldest(count int) {
	for _, row := range q.pending[:count] {
		delete(q.queued, row)
	}
	q.pending = append(q.pending[:0], q.pending[count:]...)
}

// DrainPlacements moves at most limit placements from the gossip queue to dst,
// oldest first. The caller sends them to its peers, within its byte budget. A
// lost placement costs some cache reuse and nothing else.
func (r *Router) DrainPlacements(dst []PeerPlacement, limit int) []PeerPlacement {
	limit = min(limit, len(r.gossip.pending))
	dst = append(dst, r.gossip.pending[:limit]...)
	r.gossip.dropOldest(limit)
	return dst
}
