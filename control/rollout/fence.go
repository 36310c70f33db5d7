package rollout

import "github.com/carawaystile/carawaystile/tables"

// generationBits is the number of low bits of an order's fencing token that hold the generation of the targets.
const generationBits = 20

// orderToken returns the fencing token of an order. Engines that check tokens carry out no order under a lower one
// than they have seen: none of an earlier lease, and none for earlier targets of the same lease.
func orderToken(lease tables.FencingToken, generation uint64) tables.FencingToken {
	return lease<<generationBits | tables.FencingToken(min(generation, 1<<generationBits-1))
}
