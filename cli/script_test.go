package cli

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"carawaystile": func() { os.Exit(int(Run(context.Background()))) },
	})
}

// TestScripts runs each script in testdata against a new instance: the only member
// of its control group, bootstrapped with the declarations in examples/ashanti.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return startInstance(env)
		},
	})
}

// startInstance starts the daemon for one script, waits until it has a
// configuration, and sets the environment variables that the subcommands read.
func startInstance(env *testscript.Env) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	at := netip.MustParseAddrPort(listener.Addr().String())
	key := filepath.Join(env.WorkDir, "operators.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("k", 40)), 0o600); err != nil {
		return err
	}
	declarations, err := settings.ReadDeclarations(filepath.Join(env.Getenv("EXAMPLES"), "ashanti"))
	if err != nil {
		return err
	}
	d, err := daemon.Start(daemon.Options{
		Process: &settings.Process{
			Instance: "i1", Zone: "z1", Data: filepath.Join(env.WorkDir, "data"), Control: true, Size: 1,
			Listen:           settings.Listen{Instances: at, Membership: netip.AddrPortFrom(at.Addr(), 0)},
			ControlInstances: []settings.ControlInstance{{Name: "i1", Zone: "z1", Address: at}},
			Keys:             settings.Keys{Instances: key, Operators: key},
		},
		Declarations: declarations,
		Listen:       func(netip.AddrPort) (net.Listener, error) { return listener, nil },
	})
	if err != nil {
		return err
	}
	env.Defer(d.Stop)
	<-d.Configured()
	env.Setenv(instancesVariable, at.String())
	env.Setenv(keyVariable, key)
	return nil
}
