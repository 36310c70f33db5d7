package entry

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// NoMetrics is a Metrics that keeps nothing.
type NoMetrics struct{}

// ObserveTTFT does nothing.
func (NoMetrics) ObserveTTFT(tables.OrganisationID, tables.ProfileName, tables.Priority, time.Duration) {
}

// ObserveTokenGap does nothing.
func (NoMetrics) ObserveTokenGap(tables.OrganisationID, tables.Priority, time.Duration) {}

// ObserveQueueWait does nothing.
func (NoMetrics) ObserveQueueWait(tables.OrganisationID, tables.Priority, time.Duration) {}

// ObserveHit does nothing.
func (NoMetrics) ObserveHit(tables.OrganisationID, tables.Priority, int, int) {}

// CountRefused does nothing.
func (NoMetrics) CountRefused(tables.OrganisationID, tables.ErrorCode, tables.Outcome) {}

// CountDropped does nothing.
func (NoMetrics) CountDropped(Dropped) {}

// CountResumed does nothing.
func (NoMetrics) CountResumed(tables.OrganisationID) {}
