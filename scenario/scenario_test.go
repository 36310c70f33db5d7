package scenario

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: Setup, Cmds: Commands()})
}
