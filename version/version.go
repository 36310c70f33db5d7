// Package version reports the release number and build information of the
// running binary.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Number is the release number of this source tree. Each release changes it
// together with CHANGELOG.md.
const Number = "0.1.0"

// String returns the release number, the commit if the build embedded one, and
// the Go version, on one line.
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
