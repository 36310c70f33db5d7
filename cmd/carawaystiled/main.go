// Command carawaystiled runs one instance from its settings file.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
