package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
)

// historyCommand lists the accepted configuration revisions that the control group
// retains, newest first: the audit log of changes.
type historyCommand struct {
	operatorClient
	limit uint
}

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list accepted revisions, newest first" }

func (*historyCommand) Usage() string {
	return `history [-limit N] [-json]
  Lists accepted revisions with their operator, request and changed items.
` + operatorClientUsage
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.UintVar(&c.limit, "limit", 20, "how many revisions; 0 means all that are kept")
}

// historyRow is one revision in the JSON output of history. Time is in RFC 3339
// format, Request is the request ID of the change, and Items is the number of items
// that it changed.
type historyRow struct {
	Revision uint64 `json:"revision"`
	Time     string `json:"time"`
	Operator string `json:"operator"`
	Request  string `json:"request"`
	Items    int    `json:"items"`
}

func (c *historyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	answer, err := callFirstAvailable(ctx, &c.operatorClient, func(ctx context.Context, o rpc.Operator) (*rpc.HistoryAnswer, error) {
		return o.History(ctx, &rpc.HistoryRequest{Limit: uint32(c.limit)})
	})
	if err != nil {
		return failCall(err, "")
	}
	rows := make([]historyRow, 0, len(answer.GetRevisions()))
	for _, r := range answer.GetRevisions() {
		rows = append(rows, historyRow{
			Revision: r.GetNumber(), Time: time.Unix(0, r.GetWall()).UTC().Format(time.RFC3339),
			Operator: r.GetOperator(), Request: r.GetRequest(), Items: len(r.GetChanges()),
		})
	}
	if c.asJSON {
		if err := writeJSON(os.Stdout, rows); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
		return exitOK
	}
	printHistory(rows)
	return exitOK
}

func printHistory(rows []historyRow) {
	out := newTable()
	defer out.Flush()
	fmt.Fprintln(out, "revision\ttime\toperator\trequest\titems")
	for _, r := range rows {
		fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%d\n", r.Revision, r.Time, r.Operator, r.Request, r.Items)
	}
}

// newTable returns a writer that aligns tab-separated columns on standard output.
// The caller flushes it.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }
