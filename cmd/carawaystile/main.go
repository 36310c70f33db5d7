// Command carawaystile is the operators' command line tool. Package cli implements
// it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/carawaystile/carawaystile/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(cli.Run(ctx)))
}
