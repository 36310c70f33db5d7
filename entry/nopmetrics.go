package entry

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// NopMetrics is a Metrics that discards all measurements.
type NopMetrics struct{}

// ObserveTTFT does nothing.
func (NopMetrics) ObserveTTFT(tables.OrganisationID, tables.ProfileName, tables.Priority, time.Duration) {
}

// ObserveTimeBetweenTokens does nothing.
func (NopMetrics) ObserveTimeBetweenTokens(tables.OrganisationID, tables.Priority, time.Duration) {}

// ObserveQueueWait does nothing.
func (NopMetrics) ObserveQueueWait(tables.OrganisationID, tables.Priority, time.Duration) {}

// ObservePrefixHitRatio does nothing.
func (NopMetrics) ObservePrefixHitRatio(tables.OrganisationID, tables.Priority, int, int) {}

// CountFailure does nothing.
func (NopMetrics) CountFailure(tables.OrganisationID, tables.ErrorCode, tables.Outcome) {}

// CountDropped does nothing.
func (NopMetrics) CountDropped(DropReason) {}

// CountResumedStream does nothing.
func (NopMetrics) CountResumedStream(tables.OrganisationID) {}
