package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/carawaystile/carawaystile/version"
)

// versionCommand prints the release number, commit and Go version of the binary.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n  Prints the version of this binary.\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(version.String())
	return exitOK
}
