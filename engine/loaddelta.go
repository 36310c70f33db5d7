package engine

import (
	"maps"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// LoadDelta is one event of a load stream: what changed since the event before
// it. A field that is left out is unchanged. The first event of a stream, and
// the first after another boot, changes an empty report.
type LoadDelta struct {
	Boot         tables.BootID                               `json:"boot"`
	Weights      *map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Running      *int                                        `json:"running,omitempty"`
	Queued       *int                                        `json:"queued,omitempty"`
	QueuedTokens *int                                        `json:"queued_tokens,omitempty"`
	CacheBlocks  *int                                        `json:"cache_blocks,omitempty"`
	// Started and Ended are the attempts that are new or gone.
	Started []tables.AttemptID `json:"began,omitempty"`
	Ended   []tables.AttemptID `json:"ended,omitempty"`
	// AgeMillis is always that of this report; left out means zero.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// NewLoadDelta returns what leads from one report to another.
func NewLoadDelta(from, to Load) LoadDelta {
	if from.Boot != to.Boot {
		from = Load{}
	}
	d := LoadDelta{
		Boot:         to.Boot,
		Running:      changed(from.Running, to.Running),
		Queued:       changed(from.Queued, to.Queued),
		QueuedTokens: changed(from.QueuedTokens, to.QueuedTokens),
		CacheBlocks:  changed(from.CacheBlocks, to.CacheBlocks),
		Started:      missing(to.Attempts, from.Attempts),
		Ended:        missing(from.Attempts, to.Attempts),
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

func changed(from, to int) *int {
	if from == to {
		return nil
	}
	return &to
}

// missing returns the attempts of one list that the other does not hold.
func missing(of, in []tables.AttemptID) []tables.AttemptID {
	if slices.Equal(of, in) {
		return nil
	}
	held := make(map[tables.AttemptID]struct{}, len(in))
	for _, id := range in {
		held[id] = struct{}{}
	}
	var out []tables.AttemptID
	for _, id := range of {
		if _, ok := held[id]; !ok {
			out = append(out, id)
		}
	}
	return out
}

// Apply returns the report after the change. It shares no list that a later
// change writes to. The attempts are a set; their order is not the endpoint's.
func (d LoadDelta) Apply(load Load) Load {
	if d.Boot != load.Boot {
		load = Load{Boot: d.Boot}
	}
	if d.Weights != nil {
		load.Weights = *d.Weights
	}
	set(&load.Running, d.Running)
	set(&load.Queued, d.Queued)
	set(&load.QueuedTokens, d.QueuedTokens)
	set(&load.CacheBlocks, d.CacheBlocks)
	load.AgeMillis = d.AgeMillis
	if len(d.Started)+len(d.Ended) > 0 {
		kept := missing(load.Attempts, d.Ended)
		load.Attempts = slices.Concat(kept, missing(d.Started, kept))
	}
	return load
}

func set(field, value *int) {
	if value != nil {
		*field = *value
	}
}
