// Package quarantinelog logs the decisions of package quarantine, which has no log of its own.
package quarantinelog

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// PartChanges logs the convictions and releases of parts.
func PartChanges(log *zap.Logger, changes []quarantine.PartChange) {
	for _, change := range changes {
		part := zap.String("part", strconv.FormatUint(uint64(change.Part), 16))
		if change.Count == 0 {
			events.PartReleased.Log(log, part)
			continue
		}
		endpoints := make([]string, 0, len(change.Endpoints))
		for _, id := range change.Endpoints {
			endpoints = append(endpoints, string(id))
		}
		events.PartConvicted.Log(log, part, zap.Strings("endpoints", endpoints), zap.Duration("length", change.Length), zap.Int("convictions", change.Count))
	}
}
