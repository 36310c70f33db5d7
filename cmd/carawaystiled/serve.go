package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// exitInvalidFile is the exit code for a settings or declarations file with faults.
// The operators' command uses the same number.
const exitInvalidFile subcommands.ExitStatus = 3

// serveCommand implements the subcommand that runs an instance until a signal ends
// it.
type serveCommand struct{ path string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one instance" }

func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Runs one instance. SIGTERM or SIGINT drains it: open requests end, then
  the process does. A SIGINT after it ends it at once.
  Exit codes: 0 ended, 1 failure, 2 usage, 3 a file has faults.
`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file of this instance")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	received := notifySignals()
	process, declarations, err := readSettings(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidFile
	}
	log := newLogger(process.LogLevel)
	d, err := daemon.Start(daemon.Options{Process: process, Declarations: declarations, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	defer d.Stop()
	received.awaitStop()
	received.drain(ctx, process.Drain.Timeout, log, func(ctx context.Context) { _ = d.Drain(ctx) })
	return subcommands.ExitSuccess
}

// readSettings reads the settings and the declarations file that they name, if any.
func readSettings(path string) (*settings.Process, *tables.Configuration, error) {
	process, err := settings.ReadProcess(path)
	if err != nil || process.Declarations == "" {
		return process, nil, err
	}
	declarations, err := settings.ReadDeclarations(process.Declarations)
	return process, declarations, err
}

// newLogger returns a logger that writes one JSON object per line to standard
// error.
func newLogger(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(os.Stderr), level)
	return zap.New(core)
}
