// Package zone scores the network distance to an endpoint.
package zone

import "github.com/carawaystile/carawaystile/systems/placement"

// CrossZoneCost is the cost, in seconds, of an endpoint in another availability
// zone. The latency between zones is well under a millisecond, so the cost only
// decides between candidates that are otherwise nearly equal.
const CrossZoneCost = 0.002

// Scorer returns 0 for endpoints in the availability zone of this instance and
// CrossZoneCost for all others.
type Scorer struct{}

// Name is the name of the cost term in reports.
func (Scorer) Name() string { return "zone" }

// Score compares the zones of the endpoint and of this instance.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	if c.Row.Endpoint.Zone == q.Zone {
		return 0
	}
	return CrossZoneCost
}
