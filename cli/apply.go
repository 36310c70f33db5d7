package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/settings"
)

// applyCommand replaces the cluster's configuration by declarations from files.
// It is a compare-and-swap: the control group accepts the change only if the
// current revision is still base.
type applyCommand struct {
	operatorClient
	// operator is the name that the history records for the change.
	operator string
	// request identifies the change; operator and request together are its
	// idempotency key.
	request string
	// base is the revision that the change expects to replace; below 0 it is the
	// current revision at the time of the call.
	base int64
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put declarations in force" }

func (*applyCommand) Usage() string {
	return `apply [-base N] [-request ID] [-operator NAME] [-json] PATH
  Checks the declarations in a file or folder and puts them in force, if the
  revision in force is still the base. Without -base that is the revision in
  force now. Exit codes: 3 faults in the files, 4 conflict, 5 no answer.
` + operatorClientUsage
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Int64Var(&c.base, "base", -1, "revision that the change is made from")
	f.StringVar(&c.request, "request", "", "identity of the change, to send the same one again")
	f.StringVar(&c.operator, "operator", defaultOperator(), "name that the change is recorded under")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	items, code, err := readItems(f.Arg(0))
	if err != nil {
		return fail(code, err)
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	if c.base < 0 {
		current, err := c.currentConfiguration(ctx)
		if err != nil {
			return failCall(err, "")
		}
		c.base = int64(current.GetRevision().GetNumber())
	}
	if c.request == "" {
		c.request = newRequestID()
	}
	answer, err := c.apply(ctx, items)
	if err != nil {
		return failCall(err, c.request)
	}
	result, code := newChangeResult(c.request, answer)
	return result.print(c.asJSON, code)
}

func (c *applyCommand) apply(ctx context.Context, items []*rpc.Item) (*rpc.ChangeAnswer, error) {
	request := &rpc.ApplyRequest{Operator: c.operator, Request: c.request, Base: uint64(c.base), Items: items}
	return callFirstAvailable(ctx, &c.operatorClient, func(ctx context.Context, o rpc.Operator) (*rpc.ChangeAnswer, error) {
		return o.Apply(ctx, request)
	})
}

// currentConfiguration fetches the current configuration and its revision.
func (c *operatorClient) currentConfiguration(ctx context.Context) (*rpc.ConfigurationAnswer, error) {
	return callFirstAvailable(ctx, c, func(ctx context.Context, o rpc.Operator) (*rpc.ConfigurationAnswer, error) {
		return o.Configuration(ctx, &rpc.ConfigurationRequest{})
	})
}

// readItems reads declarations from a file or folder and encodes them as items.
// The exit code applies only if the error is not nil.
func readItems(path string) ([]*rpc.Item, subcommands.ExitStatus, error) {
	declarations, err := settings.ReadDeclarations(path)
	if err != nil {
		return nil, exitInvalidInput, err
	}
	items, err := configuration.Encode(*declarations)
	return items, exitFailure, trace.Wrap(err)
}

// diffCommand is a dry run of apply: it lists the differences between
// declarations in files and the current configuration.
type diffCommand struct{ operatorClient }

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "compare declarations with what is in force" }

func (*diffCommand) Usage() string {
	return `diff [-json] PATH
  Shows what applying the declarations in a file or folder would change.
  Exit codes: 0 nothing, 7 something, 3 faults in the files, 5 no answer.
` + operatorClientUsage
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// diffResult is the JSON output of diff: the current revision and the changes to
// it, in the format of formatChanges.
type diffResult struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	items, code, err := readItems(f.Arg(0))
	if err != nil {
		return fail(code, err)
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	current, err := c.currentConfiguration(ctx)
	if err != nil {
		return failCall(err, "")
	}
	from := configuration.NewContent(current.GetItems())
	return c.print(diffResult{
		Revision: current.GetRevision().GetNumber(),
		Changes:  formatChanges(configuration.DiffContents(from, configuration.NewContent(items))),
	})
}

func (c *diffCommand) print(result diffResult) subcommands.ExitStatus {
	if c.asJSON {
		if err := writeJSON(os.Stdout, result); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
	} else {
		fmt.Printf("%d changes against revision %d.\n", len(result.Changes), result.Revision)
		for _, line := range result.Changes {
			fmt.Println(line)
		}
	}
	if len(result.Changes) > 0 {
		return exitDiffers
	}
	return exitOK
}

// exportCommand prints the current configuration as declarations that apply and
// validate can read.
type exportCommand struct{ operatorClient }

func (*exportCommand) Name() string     { return "export" }
func (*exportCommand) Synopsis() string { return "write what is in force as declarations" }

func (*exportCommand) Usage() string {
	return `export [-json]
  Writes the configuration in force to standard output, as YAML that apply
  reads, or with -json as one object with its revision.
` + operatorClientUsage
}

func (c *exportCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *exportCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	answer, err := c.currentConfiguration(ctx)
	if err != nil {
		return failCall(err, "")
	}
	if err := c.write(answer); err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}

func (c *exportCommand) write(answer *rpc.ConfigurationAnswer) error {
	current, err := decodeConfiguration(answer)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.asJSON {
		return trace.Wrap(writeJSON(os.Stdout, current))
	}
	text, err := settings.WriteDeclarations(&current)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = os.Stdout.Write(text)
	return trace.Wrap(err)
}
