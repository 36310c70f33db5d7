package deployment

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// probeTimeout bounds a probe. Failing over past two unresponsive sources in a
	// row then takes followTimeout + probeTimeout, which is less than the time
	// within which a change must be in force. With long polls in place of probes it
	// would take twice followTimeout.
	probeTimeout = 400 * time.Millisecond
	// failbackInterval is how long a failed source is tried only after all others.
	// It is also the time between two probes for a nearer source that has
	// recovered.
	failbackInterval = 3 * time.Second
)

// Source is a control instance that a Client can follow.
type Source struct {
	// Name identifies the source in logs and among the sources of a Client.
	Name string
	rpc.Deployment
}

// sourceSelector keeps the state by which a Client selects its source: nearest
// first, with recently failed sources last.
type sourceSelector struct {
	// current is the source that answered last and was up to date, empty if there
	// is none.
	current string
	// failedAt is when each source was last found unresponsive or behind, by the
	// client's clock.
	failedAt map[string]time.Duration
	// lastProbedAt is when nearer sources were last probed.
	lastProbedAt time.Duration
	// fallbackRounds counts the selections that fell back to a source that is not
	// known to be up to date. It rotates the choice among such sources.
	fallbackRounds int
}

// markFailed records that a source is unresponsive or behind.
func (sel *sourceSelector) markFailed(source Source, now time.Duration) {
	sel.failedAt[source.Name] = now
	if sel.current == source.Name {
		sel.current = ""
	}
}

// preferenceOrder returns the sources in the order in which to try them: in the
// given order, but those that failed within the failbackInterval last.
func (sel *sourceSelector) preferenceOrder(sources []Source, now time.Duration) []Source {
	var healthy, suspect []Source
	for _, source := range sources {
		if at, failed := sel.failedAt[source.Name]; failed && now-at < failbackInterval {
			suspect = append(suspect, source)
		} else {
			healthy = append(healthy, source)
		}
	}
	return append(healthy, suspect...)
}

// prune deletes the state of sources that are no longer listed.
func (sel *sourceSelector) prune(sources []Source) {
	listed := func(name string) bool {
		return slices.ContainsFunc(sources, func(s Source) bool { return s.Name == name })
	}
	for name := range sel.failedAt {
		if !listed(name) {
			delete(sel.failedAt, name)
		}
	}
	if !listed(sel.current) {
		sel.current = ""
	}
}

// selectSource returns the source to follow: the nearest that is up to date. It
// keeps the current source until that fails, and probes for a nearer one once per
// failbackInterval.
func (c *Client) selectSource(ctx context.Context) (Source, bool) {
	sources := c.options.Sources()
	if len(sources) == 0 {
		return Source{}, false
	}
	if len(c.versions) == 0 && c.selector.current == "" {
		// A client without documents accepts any source, because old documents are
		// better than none: an instance that has just started takes what the next
		// source has. A source that is up to date but has no documents becomes the
		// current one as usual; it holds the call until an operator sends a
		// document.
		c.selector.fallbackRounds++
		return sources[(c.selector.fallbackRounds-1)%len(sources)], true
	}
	c.selector.prune(sources)
	now := c.options.Now()
	if c.selector.current != "" && now-c.selector.lastProbedAt < failbackInterval {
		n := slices.IndexFunc(sources, func(s Source) bool { return s.Name == c.selector.current })
		return sources[n], true
	}
	c.selector.lastProbedAt = now
	return c.probeSources(ctx, sources), true
}

// probeSources probes the sources in order of preference until one is up to date.
// If none is, it returns one of those that answered, or else any. Without a quorum
// no source is known to be up to date, but the client still has to follow the
// endpoint table.
func (c *Client) probeSources(ctx context.Context, sources []Source) Source {
	candidates := sources
	var behind []Source
	for _, source := range c.selector.preferenceOrder(sources, c.options.Now()) {
		if source.Name == c.selector.current {
			return source
		}
		answer, err := c.probe(ctx, source)
		if err == nil && !answer.GetBehind() {
			return source
		}
		if err == nil {
			behind = append(behind, source)
		}
	}
	if len(behind) > 0 {
		candidates = behind
	}
	c.selector.fallbackRounds++
	return candidates[c.selector.fallbackRounds%len(candidates)]
}

// probe asks a source whether it is up to date, and marks it as failed if it is not
// or does not answer.
func (c *Client) probe(ctx context.Context, source Source) (*rpc.FollowAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := c.options.Now()
	answer, err := source.Follow(bounded, &rpc.FollowRequest{Instance: c.options.Instance, Probe: true})
	switch {
	case err != nil:
		c.selector.markFailed(source, c.options.Now())
		c.logLost(ctx, source, zap.Duration("took", c.options.Now()-asked), zap.Error(err))
	case answer.GetBehind():
		c.selector.markFailed(source, c.options.Now())
		c.logBehind(ctx, source, answer)
	}
	return answer, err
}
