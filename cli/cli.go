// Package cli is the operators' command as a library: one subcommand a type.
// Each explains itself with `carawaystile help NAME`; docs/OPERATING.md tells
// when to use which.
package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Run runs the subcommand that the process's arguments name and returns the
// exit code. It is called once a process.
func Run(ctx context.Context) subcommands.ExitStatus {
	register(subcommands.DefaultCommander)
	flag.Parse()
	return subcommands.Execute(ctx)
}

// register lists the subcommands, by the groups that help shows.
func register(commander *subcommands.Commander) {
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
