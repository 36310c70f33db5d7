package cli

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/demo"
)

// demoCommand runs a small cluster in this process against simulated endpoints on
// the loopback interface, optionally with fault injection, and checks the
// delivery guarantees afterwards.
type demoCommand struct {
	asJSON  bool
	options demo.Options
	fault   string
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the system against stand-in endpoints" }

func (*demoCommand) Usage() string {
	return `demo [-json] [-seed N] [-requests N] [-rate N] [-fault NAME]
  Starts three entry instances and stand-in endpoints in three availability
  zones on loopback, sends a mixed load and checks every promise from the
  stand-ins' own records. Exit code 6 if a promise was broken.
  Faults: ` + faultNames() + `.
`
}

// faultNames lists the faults that -fault accepts, for the usage text.
func faultNames() string {
	var names []string
	for _, f := range demo.Faults() {
		if f != demo.NoFault {
			names = append(names, string(f))
		}
	}
	return strings.Join(names, ", ")
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the result as one JSON object")
	f.Uint64Var(&c.options.Seed, "seed", 1, "seed of the load")
	f.IntVar(&c.options.Requests, "requests", demo.DefaultRequests, "number of requests")
	f.Float64Var(&c.options.Rate, "rate", demo.DefaultRate, "requests a second")
	f.StringVar(&c.fault, "fault", "", "what goes wrong during the run")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	c.options.Fault = demo.Fault(c.fault)
	c.options.Progress = os.Stderr
	report, err := demo.Run(ctx, c.options)
	var broken *demo.BrokenPromises
	if err != nil && !errors.As(err, &broken) {
		return fail(exitFailure, err)
	}
	if c.asJSON {
		if err := writeJSON(os.Stdout, report); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
	} else {
		report.WriteTable(os.Stdout)
	}
	if broken != nil {
		return exitViolation
	}
	return exitOK
}
