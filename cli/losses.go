package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/logs/losses"
)

// lossesCommand aggregates the requests that failed or missed their deadline, by
// route and cause, from collected log files. It calls no instance.
type lossesCommand struct{ asJSON bool }

func (*lossesCommand) Name() string     { return "losses" }
func (*lossesCommand) Synopsis() string { return "tell from logs which answers came late, and why" }

func (*lossesCommand) Usage() string {
	return `losses [-json] LOGFILE...
  Sums up from the collected logs of a forwarding deployment's processes how many
  requests of each route were answered in time, and why the others were not: the
  reason, and what had happened just before. - reads standard input. Talks to no
  instance.
`
}

func (c *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return exitUsage
	}
	reader := losses.NewReader()
	for _, path := range f.Args() {
		if err := readLog(reader, path); err != nil {
			return fail(exitFailure, err)
		}
	}
	table := reader.Table()
	if c.asJSON {
		if err := writeJSON(os.Stdout, table); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
		return exitOK
	}
	printLosses(table)
	return exitOK
}

func printLosses(t losses.Table) {
	requestsByRoute := map[string]int{}
	out := newTable()
	defer out.Flush()
	fmt.Fprintln(out, "route\tasked\tin time")
	for _, r := range t.Routes {
		requestsByRoute[r.Name] = r.Asked
		fmt.Fprintf(out, "%s\t%d\t%.1f %%\n", r.Name, r.Asked, percent(r.InTime, r.Asked))
	}
	fmt.Fprintln(out, "\nroute\tlost\tof it\treason\tmoment")
	for _, row := range t.Losses {
		fmt.Fprintf(out, "%s\t%d\t%.2f %%\t%s\t%s\n", row.Route, row.Count, percent(row.Count, requestsByRoute[row.Route]), row.Reason, row.Moment)
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
