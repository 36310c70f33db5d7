// Package zone scores the way to an endpoint.
package zone

import "github.com/carawaystile/carawaystile/systems/placement"

// CrossZoneCost is the cost of leaving the zone in seconds. Zones are well under a
// millisecond apart, so that it only decides between near equals.
const CrossZoneCost = 0.002

// Scorer gives 0 within the zone of this instance and CrossZone outside.
type Scorer struct{}

// Name names the part in explanations.
func (Scorer) Name() string { return "zone" }

// Score compares the zones.
func (Scorer) Score(q *placement.Query, c *placement.Candidate) float64 {
	if c.Row.Endpoint.Zone == q.Zone {
		return 0
	}
	return CrossZoneCost
}
