package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// The exit codes of every subcommand. They are documented in docs/OPERATING.md
// and never change their meaning.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	// exitInvalid: a file has faults.
	exitInvalid subcommands.ExitStatus = 3
	// exitConflict: another change was accepted first.
	exitConflict subcommands.ExitStatus = 4
	// exitUnreachable: no instance answered, or no quorum.
	exitUnreachable subcommands.ExitStatus = 5
	// exitBroken: a demo or measurement saw a promise broken.
	exitBroken subcommands.ExitStatus = 6
	// exitDiffers: diff found a difference.
	exitDiffers subcommands.ExitStatus = 7
)

// fail prints a failure and returns the exit code.
func fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// writeJSON prints a value as one indented JSON object.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
