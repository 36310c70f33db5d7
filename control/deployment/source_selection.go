package deployment

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// probeTimeout is how long a source may take to say whether it knows its
	// documents to be the newest. Two silent sources in a row then cost a client
	// followTimeout + probeTimeout, less than a change may take to be in force;
	// asked with a wait for news, they would cost twice the former.
	probeTimeout = 400 * time.Millisecond
	// backToNearer is after how long a source that failed is tried before others
	// again, and the time between two looks whether a nearer one is back.
	backToNearer = 3 * time.Second
)

// Source is a control instance that can be followed.
type Source struct {
	// Name tells sources apart in logs.
	Name string
	rpc.Deployment
}

// choice is what a client remembers for the choice of its source.
type choice struct {
	// following is the source that answered last and knew its documents to be the
	// newest, empty for none.
	following string
	// failed is when sources were last found silent or behind, by the client's clock.
	failed map[string]time.Duration
	// looked is when nearer sources were last looked at.
	looked time.Duration
	// rounds counts those in which no source knew its documents to be the newest.
	rounds int
}

// leave remembers that a source does not serve.
func (h *choice) leave(source Source, now time.Duration) {
	h.failed[source.Name] = now
	if h.following == source.Name {
		h.following = ""
	}
}

// order lists the sources in the order in which to try them: nearest first, those
// that failed of late last.
func (h *choice) order(sources []Source, now time.Duration) []Source {
	var good, doubted []Source
	for _, source := range sources {
		if at, failed := h.failed[source.Name]; failed && now-at < backToNearer {
			doubted = append(doubted, source)
		} else {
			good = append(good, source)
		}
	}
	return append(good, doubted...)
}

// forget drops what is remembered of sources that are gone.
func (h *choice) forget(sources []Source) {
	listed := func(name string) bool {
		return slices.ContainsFunc(sources, func(s Source) bool { return s.Name == name })
	}
	for name := range h.failed {
		if !listed(name) {
			delete(h.failed, name)
		}
	}
	if !listed(h.following) {
		h.following = ""
	}
}

// choose returns the source to follow: the nearest that knows its documents to be
// the newest. The one followed so far is trusted until it fails.
func (c *Client) choose(ctx context.Context) (Source, bool) {
	sources := c.options.Sources()
	if len(sources) == 0 {
		return Source{}, false
	}
	if len(c.have) == 0 && c.choice.following == "" {
		// Anything is better than nothing: an instance that has just started takes
		// what the next source has, at once. One that serves but has no documents is
		// followed like any other: it holds the call until an operator sends one.
		c.choice.rounds++
		return sources[(c.choice.rounds-1)%len(sources)], true
	}
	c.choice.forget(sources)
	now := c.options.Now()
	if c.choice.following != "" && now-c.choice.looked < backToNearer {
		n := slices.IndexFunc(sources, func(s Source) bool { return s.Name == c.choice.following })
		return sources[n], true
	}
	c.choice.looked = now
	return c.lookAround(ctx, sources), true
}

// lookAround probes the sources in order until one serves. If none does, the round
// still ends with one to ask: without a quorum no source knows its documents to be
// the newest, and the table of endpoints has to be followed all the same.
func (c *Client) lookAround(ctx context.Context, sources []Source) Source {
	answering := sources
	var behind []Source
	for _, source := range c.choice.order(sources, c.options.Now()) {
		if source.Name == c.choice.following {
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
		answering = behind
	}
	c.choice.rounds++
	return answering[c.choice.rounds%len(answering)]
}

// probe asks a source whether it knows its documents to be the newest, and notes if
// it does not serve.
func (c *Client) probe(ctx context.Context, source Source) (*rpc.FollowAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := c.options.Now()
	answer, err := source.Follow(bounded, &rpc.FollowRequest{Instance: c.options.Instance, Probe: true})
	switch {
	case err != nil:
		c.choice.leave(source, c.options.Now())
		c.noteLost(ctx, source, zap.Duration("took", c.options.Now()-asked), zap.Error(err))
	case answer.GetBehind():
		c.choice.leave(source, c.options.Now())
		c.noteBehind(ctx, source, answer)
	}
	return answer, err
}
