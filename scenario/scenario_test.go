package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: Setup, Cmds: Commands()})
}

// TestSlowEngine is a test of its own so that KNOWN-RED.txt can name it.
func TestSlowEngine(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/slow", Setup: Setup, Cmds: Commands()})
}
