// Package leaving drops endpoints that must receive no new work because they
// are leaving or are no longer declared.
package leaving

import "github.com/carawaystile/carawaystile/systems/placement"

// Filter keeps endpoints that stay.
type Filter struct{}

// Name is the reason given for a dropped candidate.
func (Filter) Name() string { return "leaving" }

// Keep drops endpoints that any source called leaving.
func (Filter) Keep(_ *placement.Query, c *placement.Candidate) bool { return !c.Row.Draining() }
