package node

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/internal/batch"
)

const (
	// targetsTimeout bounds one question to the control group for target weights.
	targetsTimeout = 500 * time.Millisecond
	// maxTargetModels bounds the models of one question; the answer has all models anyway.
	maxTargetModels = 64
)

// newTargetWeights returns a function that reads the target version of a model's weights from the control
// group. When an endpoint crashes, all of its runs ask at once, and share the questions.
func (n *Node) newTargetWeights() func(ctx context.Context, model string) (uint64, error) {
	caller := batch.NewCaller(func(ctx context.Context, _ []string) (map[string]uint64, error) {
		return deployment.AskTargets(ctx, n.controlSources())
	}, targetsTimeout, maxTargetModels)
	return func(ctx context.Context, model string) (uint64, error) {
		version, _, err := caller.Do(ctx, model)
		return version, trace.Wrap(err)
	}
}
