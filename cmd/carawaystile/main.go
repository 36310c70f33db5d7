// Command carawaystile is the operators' command. Each subcommand explains
// itself with `carawaystile help NAME`; docs/OPERATING.md tells when to use
// which.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(run(ctx)))
}

func run(ctx context.Context) subcommands.ExitStatus {
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
	commander.Register(&backupCommand{}, "instances")
	commander.Register(&restoreCommand{}, "instances")
	commander.Register(&demoCommand{}, "trials")
	commander.Register(&measureCommand{}, "trials")
}
