package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/measure"
)

// measureCommand runs a discrete-event simulation in virtual time that compares
// placement policies under the same traffic.
type measureCommand struct {
	options measure.Options
	// sites, policies, faults and seeds are the lists as given in the flags.
	sites    string
	policies string
	faults   string
	seeds    string
	asJSON   bool
}

func (*measureCommand) Name() string     { return "measure" }
func (*measureCommand) Synopsis() string { return "compare placement policies in virtual time" }

func (*measureCommand) Usage() string {
	return `measure [-sites LIST] [-policies LIST] [-faults LIST] [-seeds LIST] [-load X] [-blind] [-peer-bytes X] [-json]
  Plays the same traffic to each policy, with small fakes of engines in virtual
  time, and compares what callers would see. Lists are separated by commas;
  docs/design/placement.md names their words.
`
}

func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sites, "sites", "", "sites; empty means all")
	f.StringVar(&c.policies, "policies", "", "policies; empty means all")
	f.StringVar(&c.faults, "faults", "", "faults; empty means none")
	f.StringVar(&c.seeds, "seeds", "1", "seeds")
	f.Float64Var(&c.options.Load, "load", 0, "offered load as a part of capacity; 0 means 0.8")
	f.IntVar(&c.options.Instances, "count", 0, "number of entry instances; 0 means 6")
	f.DurationVar(&c.options.Duration, "duration", time.Duration(0), "virtual time; 0 means 240s")
	f.BoolVar(&c.options.Blind, "blind", false, "instances hear no cache events")
	f.Float64Var(&c.options.PeerBytes, "peer-bytes", 0,
		"bytes a second that an instance passes on of its placements; 0 means 2000, below 0 none")
	f.BoolVar(&c.asJSON, "json", false, "print the result as one JSON object")
}

func (c *measureCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	if err := c.parse(); err != nil {
		return fail(exitUsage, err)
	}
	report, err := measure.Run(ctx, c.options)
	if err != nil {
		return fail(exitFailure, err)
	}
	if c.asJSON {
		err = writeJSON(os.Stdout, report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	return exitOK
}

// parse converts the lists in the flags to options.
func (c *measureCommand) parse() error {
	c.options.Sites = splitList(c.sites)
	c.options.Policies = splitList(c.policies)
	for _, fault := range splitList(c.faults) {
		c.options.Faults = append(c.options.Faults, measure.Fault(fault))
	}
	for _, text := range splitList(c.seeds) {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return &flagError{Flag: "seeds", Reason: fmt.Sprintf("%q is not a number", text)}
		}
		c.options.Seeds = append(c.options.Seeds, seed)
	}
	return nil
}

// splitList splits a list at commas and spaces and drops empty elements.
func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
