package router

import (
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// maxNews bounds what waits to be passed on; the oldest goes first.
const maxNews = 2048

// news collects what other instances do not know of this one's placements:
// blocks that are now to be computed where they were not believed to be held.
// Placements that find their prefix bring nothing new and are not passed on.
type news struct {
	rows []PeerPlacement
	seen map[PeerPlacement]bool
}

// placed notes the blocks of a prompt that the chosen endpoint was not known to
// hold.
func (n *news) placed(endpoint *tables.EndpointRow, blocks []tables.BlockHash, c *placement.Candidate) {
	if n.seen == nil {
		n.seen = make(map[PeerPlacement]bool)
	}
	known := min(len(blocks), int(c.KnownTokens+0.5)/prefix.BlockTokens)
	for _, hash := range blocks[known:] {
		row := PeerPlacement{Endpoint: endpoint.Endpoint.ID, Boot: endpoint.Boot, Block: hash}
		if n.seen[row] {
			continue
		}
		n.seen[row] = true
		n.rows = append(n.rows, row)
	}
	if over := len(n.rows) - maxNews; over > 0 {
		n.drop(over)
	}
}

func (n *news) drop(count int) {
	for _, row := range n.rows[:count] {
		delete(n.seen, row)
	}
	n.rows = append(n.rows[:0], n.rows[count:]...)
}

// DrainPlacements moves at most limit placements that other instances should hear of to
// dst, oldest first. The shell sends them to its peers, as often and as many as
// its budget of bytes allows; what is lost costs some reuse and nothing else.
func (r *Router) DrainPlacements(dst []PeerPlacement, limit int) []PeerPlacement {
	limit = min(limit, len(r.news.rows))
	dst = append(dst, r.news.rows[:limit]...)
	r.news.drop(limit)
	return dst
}
