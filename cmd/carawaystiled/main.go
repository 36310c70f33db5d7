// Command carawaystiled runs one instance from its settings file.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() { os.Exit(int(run(context.Background()))) }

func run(ctx context.Context) subcommands.ExitStatus {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&forwardCommand{}, "")
	flag.Parse()
	return subcommands.Execute(ctx)
}
