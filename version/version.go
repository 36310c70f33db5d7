// Package version names the version of the running binary.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Number is the version of the source; it changes with CHANGELOG.md.
const Number = "0.1.0"

// String gives the number, the commit if the build recorded it, and the Go
// version.
func String() string {
	commit := "unknown commit"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	return fmt.Sprintf("carawaystile %s (%s, %s)", Number, commit, runtime.Version())
}
