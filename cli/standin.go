package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/standin"
)

// standinCommand runs simulated endpoints at the addresses of the declared ones
// until the process is interrupted. speedup divides their service times.
type standinCommand struct{ speedup float64 }

func (*standinCommand) Name() string { return "standin" }
func (*standinCommand) Synopsis() string {
	return "run stand-ins for declared endpoints, to try the daemon"
}

func (*standinCommand) Usage() string {
	return `standin [-speedup X] PATH
  Runs a stand-in for each endpoint of the declarations in a file or folder, at
  its address, which must be of the loopback range. Ends at SIGINT or SIGTERM,
  and then prints what the stand-ins have seen as one JSON object. Exit code 6
  if a call of a plain service ran twice under one key, or an engine was asked
  for something that breaks a promise.
`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.speedup, "speedup", 1, "how many times faster than declared the stand-ins run")
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	declarations, err := settings.ReadDeclarations(f.Arg(0))
	if err != nil {
		return fail(exitInvalidInput, err)
	}
	running, err := standin.StartDeclared(declarations, c.speedup)
	if err != nil {
		return fail(exitFailure, err)
	}
	fmt.Fprintf(os.Stderr, "%d stand-ins run.\n", len(declarations.Endpoints))
	<-ctx.Done()
	running.Close()
	summary := running.Summary()
	if err := writeJSON(os.Stdout, summary); err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	if hasViolations(summary) {
		return exitViolation
	}
	return exitOK
}

// hasViolations reports whether the simulated endpoints observed a request that
// violates the delivery guarantees, such as a duplicate execution under one
// idempotency key or the use of a stale or foreign cache.
func hasViolations(s standin.Summary) bool {
	e := s.Engines
	return len(s.DuplicateKeys) > 0 ||
		e.ForeignCache+e.OldWeightsCache+e.DeadCache+e.BadResumes+e.DuplicateAttempts+e.OldOrders > 0
}
