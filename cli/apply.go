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

// applyCommand puts declarations in force.
type applyCommand struct {
	remote
	operator string
	request  string
	base     int64
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put declarations in force" }

func (*applyCommand) Usage() string {
	return `apply [-base N] [-request ID] [-operator NAME] [-json] PATH
  Checks the declarations in a file or folder and puts them in force, if the
  revision in force is still the base. Without -base that is the revision in
  force now. Exit codes: 3 faults in the files, 4 conflict, 5 no answer.
` + remoteUsage
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
	if err := c.open(); err != nil {
		return fail(exitUsage, err)
	}
	if c.base < 0 {
		inForce, err := c.inForce(ctx)
		if err != nil {
			return failRemote(err, "")
		}
		c.base = int64(inForce.GetRevision().GetNumber())
	}
	if c.request == "" {
		c.request = newRequestID()
	}
	answer, err := c.apply(ctx, items)
	if err != nil {
		return failRemote(err, c.request)
	}
	result, code := newChangeResult(c.request, answer)
	return result.print(c.asJSON, code)
}

func (c *applyCommand) apply(ctx context.Context, items []*rpc.Item) (*rpc.ChangeAnswer, error) {
	request := &rpc.ApplyRequest{Operator: c.operator, Request: c.request, Base: uint64(c.base), Items: items}
	return ask(ctx, &c.remote, func(ctx context.Context, o rpc.Operator) (*rpc.ChangeAnswer, error) {
		return o.Apply(ctx, request)
	})
}

// inForce asks for the configuration in force.
func (r *remote) inForce(ctx context.Context) (*rpc.ConfigurationAnswer, error) {
	return ask(ctx, r, func(ctx context.Context, o rpc.Operator) (*rpc.ConfigurationAnswer, error) {
		return o.Configuration(ctx, &rpc.ConfigurationRequest{})
	})
}

// readItems reads declarations as items. The exit code goes with the failure.
func readItems(path string) ([]*rpc.Item, subcommands.ExitStatus, error) {
	declarations, err := settings.ReadDeclarations(path)
	if err != nil {
		return nil, exitInvalid, err
	}
	items, err := configuration.Encode(*declarations)
	return items, exitFailure, trace.Wrap(err)
}

// diffCommand compares declarations with what is in force.
type diffCommand struct{ remote }

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "compare declarations with what is in force" }

func (*diffCommand) Usage() string {
	return `diff [-json] PATH
  Shows what applying the declarations in a file or folder would change.
  Exit codes: 0 nothing, 7 something, 3 faults in the files, 5 no answer.
` + remoteUsage
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

// diffResult is what -json prints.
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
	if err := c.open(); err != nil {
		return fail(exitUsage, err)
	}
	inForce, err := c.inForce(ctx)
	if err != nil {
		return failRemote(err, "")
	}
	from := configuration.NewContent(inForce.GetItems())
	return c.print(diffResult{
		Revision: inForce.GetRevision().GetNumber(),
		Changes:  differenceLines(configuration.DiffContents(from, configuration.NewContent(items))),
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

// exportCommand writes what is in force as declarations.
type exportCommand struct{ remote }

func (*exportCommand) Name() string     { return "export" }
func (*exportCommand) Synopsis() string { return "write what is in force as declarations" }

func (*exportCommand) Usage() string {
	return `export [-json]
  Writes the configuration in force to standard output, as YAML that apply
  reads, or with -json as one object with its revision.
` + remoteUsage
}

func (c *exportCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *exportCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	if err := c.open(); err != nil {
		return fail(exitUsage, err)
	}
	answer, err := c.inForce(ctx)
	if err != nil {
		return failRemote(err, "")
	}
	if err := c.write(answer); err != nil {
		return fail(exitFailure, err)
	}
	return exitOK
}

func (c *exportCommand) write(answer *rpc.ConfigurationAnswer) error {
	inForce, err := decodeItems(answer)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.asJSON {
		return trace.Wrap(writeJSON(os.Stdout, inForce))
	}
	text, err := settings.WriteDeclarations(&inForce)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = os.Stdout.Write(text)
	return trace.Wrap(err)
}
