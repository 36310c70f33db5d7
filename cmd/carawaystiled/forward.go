package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/logs"
	"github.com/carawaystile/carawaystile/node"
	"github.com/carawaystile/carawaystile/platform"
	"github.com/carawaystile/carawaystile/settings"
)

// settingsEnvironmentVariable is the environment variable with the default path of
// the settings file.
const settingsEnvironmentVariable = "CARAWAYSTILE_CONFIG"

// forwardCommand implements the subcommand that runs an instance of a forwarding
// deployment until a signal ends it.
type forwardCommand struct{ path string }

func (*forwardCommand) Name() string { return "forward" }
func (*forwardCommand) Synopsis() string {
	return "run one instance of a forwarding deployment"
}

func (*forwardCommand) Usage() string {
	return `forward [-settings FILE]
  Runs one instance that passes requests on unchanged. Routes come from
  operators, endpoints from the platform's list. Without -settings the file is
  that of the variable ` + settingsEnvironmentVariable + `. SIGTERM or SIGINT drains
  the instance, a SIGINT after it ends it at once; SIGHUP reads the settings again.
  Exit codes: 0 ended, 1 failure, 2 usage, 3 a file has faults.
`
}

func (c *forwardCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", os.Getenv(settingsEnvironmentVariable), "settings file of this instance")
}

func (c *forwardCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.path == "" || f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	received := notifySignals()
	current, replaced, err := settings.ReadForwardingLenient(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidFile
	}
	writer := logs.NewWriter(os.Stdout)
	defer writer.Close()
	log := logs.New(writer, current.LogLevel, zap.String("instance", string(current.Instance)))
	logReplacedSettings(log, replaced)
	n, err := node.Start(node.Options{Settings: current, Platform: newPlatform(current, log), Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return c.supervise(ctx, n, log, received)
}

// supervise handles signals until the instance ends. It reloads the settings at
// SIGHUP, and drains the instance at SIGTERM or SIGINT.
func (c *forwardCommand) supervise(ctx context.Context, n *node.Node, log *zap.Logger, received *signals) subcommands.ExitStatus {
	defer n.Stop()
	for {
		select {
		case <-n.ReplicaStopped():
			return subcommands.ExitFailure
		case <-received.reload:
			c.reload(n, log)
			continue
		case <-received.terminate:
		case <-received.interrupt:
		}
		received.drain(ctx, n.DrainTimeout(), log, n.Drain)
		return subcommands.ExitSuccess
	}
}

// reload rereads the settings file. After a failure the former settings stay in
// effect.
func (c *forwardCommand) reload(n *node.Node, log *zap.Logger) {
	read, replaced, err := settings.ReadForwardingLenient(c.path)
	if err != nil {
		events.SettingsUnreadable.Log(log, zap.Error(err))
		return
	}
	logReplacedSettings(log, replaced)
	n.Reload(read)
}

// logReplacedSettings logs the settings that were replaced when the file was read.
func logReplacedSettings(log *zap.Logger, replaced []settings.Problem) {
	for _, p := range replaced {
		events.SettingReplaced.Log(log, zap.Stringer("setting", p))
	}
}

// newPlatform returns the implementation of the users' platform.
func newPlatform(forwarding *settings.Forwarding, log *zap.Logger) node.Platform {
	dial := engine.DialFrom(forwarding.Source)
	return node.Platform{
		Headers:            platform.Headers(),
		ParseConfiguration: platform.ParseConfiguration,
		NewLister:          func(at netip.AddrPort) node.EndpointLister { return platform.NewEndpointListClient(at, dial, log) },
		EngineClient:       platform.NewEngineClient(dial),
		CacheReporter:      platform.NewCacheEventClient(dial),
		Contended:          platform.Contended(forwarding.PlatformTerms),
		OperatorHandler: func(documents *deployment.Service, log *zap.Logger) http.Handler {
			return (&platform.OperatorAPI{Documents: documents, Log: log}).Handler()
		},
	}
}
