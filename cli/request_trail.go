package cli

import (
	"errors"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/logs/trail"
)

// printRequestTrail prints the timeline of a request from collected log files. The
// path - means standard input.
func printRequestTrail(request string, paths []string) subcommands.ExitStatus {
	reader := trail.NewReader(request)
	for _, path := range paths {
		if err := readLog(reader, path); err != nil {
			return fail(exitFailure, err)
		}
	}
	found, err := reader.Trace()
	var missing *trail.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return fail(exitFailure, err)
	}
	found.Write(os.Stdout)
	if missing != nil {
		return fail(exitFailure, missing)
	}
	return exitOK
}

// logReader parses one log file at a time and accumulates what it finds. The file
// argument is the name that errors refer to.
type logReader interface {
	Read(file string, log io.Reader) error
}

// readLog passes a log file to the reader. The path - means standard input.
func readLog(reader logReader, path string) error {
	if path == "-" {
		return trace.Wrap(reader.Read("standard input", os.Stdin))
	}
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	return trace.Wrap(reader.Read(path, file))
}
