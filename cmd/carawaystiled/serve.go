package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// exitInvalid: a settings or declarations file has faults. The operators'
// command uses the same number.
const exitInvalid subcommands.ExitStatus = 3

// serveCommand runs an instance until it is told to end.
type serveCommand struct{ path string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one instance" }

func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Runs one instance. The first SIGTERM or SIGINT drains it: open requests end,
  then the process does. A second signal ends it at once.
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
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	process, declarations, err := read(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	log := newLog(process.LogLevel)
	d, err := daemon.Start(daemon.Options{Process: process, Declarations: declarations, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	<-signals
	drain(ctx, d, process.Drain.Timeout, signals)
	return subcommands.ExitSuccess
}

// read reads the settings and the declarations they name.
func read(path string) (*settings.Process, *tables.Configuration, error) {
	process, err := settings.ReadProcess(path)
	if err != nil || process.Declarations == "" {
		return process, nil, err
	}
	declarations, err := settings.ReadDeclarations(process.Declarations)
	return process, declarations, err
}

// newLog writes one JSON object a line to standard error.
func newLog(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(os.Stderr), level)
	return zap.New(core)
}

// drain ends the instance once its requests have ended, the time is over or a
// second signal comes.
func drain(ctx context.Context, d *daemon.Daemon, timeout time.Duration, signals <-chan os.Signal) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = d.Drain(ctx)
	d.Stop()
}
