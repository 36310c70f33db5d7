// Package leaving rejects endpoints that are draining: they are leaving or are
// no longer configured, and must receive no new work.
package leaving

import "github.com/carawaystile/carawaystile/systems/placement"

// Filter accepts endpoints that are not draining.
type Filter struct{}

// Name is the reason reported for a rejected candidate.
func (Filter) Name() string { return "leaving" }

// Keep rejects endpoints that are draining according to any source.
func (Filter) Keep(_ *placement.Query, c *placement.Candidate) bool { return !c.Row.Draining() }
