package deployment

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// barrierTimeout bounds the linearizable read behind an answer to Targets.
	barrierTimeout = time.Second
	// targetsHedgeDelay is the delay after which the next control instance is asked as well.
	targetsHedgeDelay = 100 * time.Millisecond
	// maxTargetsSources bounds the control instances that are asked for one answer.
	maxTargetsSources = 3
)

// Targets returns the target versions of weights by a linearizable read. Concurrent calls share reads.
func (s *Service) Targets(ctx context.Context, _ *rpc.TargetsRequest) (*rpc.TargetsAnswer, error) {
	if _, _, err := s.barriers.Do(ctx, struct{}{}); err != nil {
		return nil, trace.Wrap(err)
	}
	return &rpc.TargetsAnswer{Weights: s.TargetVersions()}, nil
}

func (s *Service) barrier(ctx context.Context, _ []struct{}) (map[struct{}]struct{}, error) {
	return nil, s.replica.Barrier(ctx)
}

// NoTargetsError reports that no control instance has answered a question for target versions.
type NoTargetsError struct {
	// Asked is the number of control instances that were asked, and Last the last of their errors.
	Asked int
	Last  error
}

// Error returns the last error.
func (e *NoTargetsError) Error() string {
	if e.Last == nil {
		return "no control instance has answered"
	}
	return "no control instance has answered: " + e.Last.Error()
}

// Unwrap returns the last error.
func (e *NoTargetsError) Unwrap() error { return e.Last }

// AskTargets asks control instances for the target versions of weights, in the given order: the next one
// after a failure, and also while the others take long.
func AskTargets(ctx context.Context, sources []Source) (map[string]uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources = sources[:min(len(sources), maxTargetsSources)]
	type result struct {
		answer *rpc.TargetsAnswer
		err    error
	}
	results := make(chan result, len(sources))
	failure := &NoTargetsError{}
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for failed := 0; failed < len(sources); {
		select {
		case <-hedge.C:
			if failure.Asked < len(sources) {
				source := sources[failure.Asked]
				failure.Asked++
				go func() {
					answer, err := source.Targets(ctx, &rpc.TargetsRequest{})
					results <- result{answer, err}
				}()
				hedge.Reset(targetsHedgeDelay)
			}
		case r := <-results:
			if r.err == nil {
				return r.answer.GetWeights(), nil
			}
			failed++
			failure.Last = r.err
			hedge.Reset(0)
		case <-ctx.Done():
			failure.Last = ctx.Err()
			return nil, failure
		}
	}
	return nil, failure
}
