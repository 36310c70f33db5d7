// Command carawaystiled is the server daemon: it runs one instance from its
// settings file.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() { os.Exit(int(run(context.Background()))) }

// run parses the command line and executes the subcommand.
func run(ctx context.Context) subcommands.ExitStatus {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&forwardCommand{}, "")
	flag.Parse()
	return subcommands.Execute(ctx)
}
