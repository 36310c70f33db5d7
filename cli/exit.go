package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Exit codes of all subcommands. docs/OPERATING.md documents them, and a code
// never changes its meaning.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	// exitInvalidInput means that an input file is invalid.
	exitInvalidInput subcommands.ExitStatus = 3
	// exitConflict means that another change was accepted first, so the base
	// revision is outdated.
	exitConflict subcommands.ExitStatus = 4
	// exitUnreachable means that no instance answered, or that the control group
	// has no quorum.
	exitUnreachable subcommands.ExitStatus = 5
	// exitViolation means that demo or standin observed a violation of the
	// delivery guarantees.
	exitViolation subcommands.ExitStatus = 6
	// exitDiffers means that diff found at least one difference.
	exitDiffers subcommands.ExitStatus = 7
)

// fail prints the error to standard error and returns code.
func fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
