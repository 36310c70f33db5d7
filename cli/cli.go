// Package cli implements the operators' command line tool, carawaystile, as a
// library, so that tests can run it in their own process. Each subcommand is a
// type that implements subcommands.Command. `carawaystile help NAME` prints the
// usage of one; docs/OPERATING.md describes when to use which.
package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Run executes the subcommand that os.Args selects and returns its exit code. It
// registers the subcommands with the global commander and parses the global
// flags, so a process calls it only once.
func Run(ctx context.Context) subcommands.ExitStatus {
	registerCommands(subcommands.DefaultCommander)
	flag.Parse()
	return subcommands.Execute(ctx)
}

// registerCommands adds every subcommand to the commander, under the group that
// the help text lists it in.
func registerCommands(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")
	commander.Register(&versionCommand{}, "help")
	commander.Register(&validateCommand{}, "declarations")
	commander.Register(&tokenCommand{}, "declarations")
	commander.Register(&diffCommand{}, "declarations")
	commander.Register(&applyCommand{}, "declarations")
	commander.Register(&exportCommand{}, "declarations")
	commander.Register(&historyCommand{}, "declarations")
	commander.Register(&endpointCommand{}, "instances")
	commander.Register(&statusCommand{}, "instances")
	commander.Register(&explainCommand{}, "instances")
	commander.Register(&lossesCommand{}, "instances")
	commander.Register(&backupCommand{}, "instances")
	commander.Register(&restoreCommand{}, "instances")
	commander.Register(&demoCommand{}, "trials")
	commander.Register(&measureCommand{}, "trials")
	commander.Register(&standinCommand{}, "trials")
}
