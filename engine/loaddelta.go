package engine

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// LoadDelta is one event of a load stream, delta-encoded against the event before it. A
// nil field is unchanged. The first event of a stream, and the first after a change of
// the boot identity, is a delta to an empty report.
type LoadDelta struct {
	Boot         tables.BootID                               `json:"boot"`
	Weights      *map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Running      *int                                        `json:"running,omitempty"`
	Queued       *int                                        `json:"queued,omitempty"`
	QueuedTokens *int                                        `json:"queued_tokens,omitempty"`
	CacheBlocks  *int                                        `json:"cache_blocks,omitempty"`
	// Started and Ended are the attempts that were added to or removed from the report.
	Started []tables.AttemptID `json:"began,omitempty"`
	Ended   []tables.AttemptID `json:"ended,omitempty"`
	// AgeMillis is the age of this report and not a difference; it is omitted if zero.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// NewLoadDelta returns the delta between two reports.
func NewLoadDelta(from, to Load) LoadDelta {
	if from.Boot != to.Boot {
		from = Load{}
	}
	d := LoadDelta{
		Boot:         to.Boot,
		Running:      ifChanged(from.Running, to.Running),
		Queued:       ifChanged(from.Queued, to.Queued),
		QueuedTokens: ifChanged(from.QueuedTokens, to.QueuedTokens),
		CacheBlocks:  ifChanged(from.CacheBlocks, to.CacheBlocks),
		Started:      difference(to.Attempts, from.Attempts),
		Ended:        difference(from.Attempts, to.Attempts),
		AgeMillis:    to.AgeMillis,
	}
	if !maps.Equal(from.Weights, to.Weights) {
		d.Weights = &to.Weights
		if to.Weights == nil {
			d.Weights = &map[tables.ModelName]tables.WeightsVersion{}
		}
	}
	return d
}

// ifChanged returns the new value, or nil if it equals the old one.
func ifChanged(from, to int) *int {
	if from == to {
		return nil
	}
	return &to
}

// difference returns the attempts of minuend that are not in subtrahend.
func difference(minuend, subtrahend []tables.AttemptID) []tables.AttemptID {
	if slices.Equal(minuend, subtrahend) {
		return nil
	}
	excluded := make(map[tables.AttemptID]struct{}, len(subtrahend))
	for _, id := range subtrahend {
		excluded[id] = struct{}{}
	}
	var out []tables.AttemptID
	for _, id := range minuend {
		if _, ok := excluded[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}

// Apply returns the report that results from the delta. It does not modify the lists of
// the report before it. The attempts are a set: their order may differ from the
// endpoint's.
func (d LoadDelta) Apply(load Load) Load {
	if d.Boot != load.Boot {
		load = Load{Boot: d.Boot}
	}
	if d.Weights != nil {
		load.Weights = *d.Weights
	}
	setIfPresent(&load.Running, d.Running)
	setIfPresent(&load.Queued, d.Queued)
	setIfPresent(&load.QueuedTokens, d.QueuedTokens)
	setIfPresent(&load.CacheBlocks, d.CacheBlocks)
	load.AgeMillis = d.AgeMillis
	if len(d.Started)+len(d.Ended) > 0 {
		kept := difference(load.Attempts, d.Ended)
		load.Attempts = slices.Concat(kept, difference(d.Started, kept))
	}
	return load
}

// setIfPresent sets a field to a value unless that is nil.
func setIfPresent(field, value *int) {
	if value != nil {
		*field = *value
	}
}
