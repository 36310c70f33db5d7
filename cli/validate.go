package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/platform"
	"github.com/carawaystile/carawaystile/settings"
)

// validateCommand checks declarations, settings files or documents offline. At most
// one of its file type flags is meant to be set; without one, the path contains
// declarations.
type validateCommand struct {
	asJSON          bool
	processSettings bool
	forwarding      bool
	document        bool
}

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check declarations or settings files" }

func (*validateCommand) Usage() string {
	return `validate [-settings | -forwarding | -document] [-json] PATH
  Checks the declarations in a file or folder; with -settings the settings file
  of one instance, with -forwarding that of one instance of a forwarding
  deployment, with -document an operator's document for such a deployment.
  Talks to no instance. Exit code 3 if there are faults.
`
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print the result as one JSON object")
	f.BoolVar(&c.processSettings, "settings", false, "PATH is the settings file of one instance")
	f.BoolVar(&c.forwarding, "forwarding", false, "PATH is the settings file of one instance of a forwarding deployment")
	f.BoolVar(&c.document, "document", false, "PATH is an operator's document for a forwarding deployment")
}

// validateResult is the JSON output of validate.
type validateResult struct {
	Path     string             `json:"path"`
	Valid    bool               `json:"valid"`
	Problems []settings.Problem `json:"problems"`
	Summary  string             `json:"summary"`
}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	path := f.Arg(0)
	summary, err := c.check(path)
	var invalid *settings.ValidationError
	if err != nil && !errors.As(err, &invalid) {
		return fail(exitFailure, err)
	}
	result := validateResult{Path: path, Valid: err == nil, Problems: []settings.Problem{}, Summary: summary}
	if invalid != nil {
		result.Problems = invalid.Problems
		result.Summary = fmt.Sprintf("%d faults", len(invalid.Problems))
	}
	return c.print(result, invalid)
}

func (c *validateCommand) print(result validateResult, invalid *settings.ValidationError) subcommands.ExitStatus {
	switch {
	case c.asJSON:
		if err := writeJSON(os.Stdout, result); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
	case invalid != nil:
		fmt.Fprintln(os.Stderr, invalid)
	default:
		fmt.Printf("%s is valid: %s.\n", result.Path, result.Summary)
	}
	if invalid != nil {
		return exitInvalidInput
	}
	return exitOK
}

// check parses the files at path as the type that the flags select and returns a
// one-line summary. If several flags are set, forwarding has precedence over
// document, and document over processSettings.
func (c *validateCommand) check(path string) (string, error) {
	switch {
	case c.forwarding:
		s, err := settings.ReadForwarding(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("instance %s in zone %s", s.Instance, s.Zone), nil
	case c.document:
		return checkDocument(path)
	case c.processSettings:
		p, err := settings.ReadProcess(path)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("instance %s in zone %s", p.Instance, p.Zone), nil
	}
	return checkDeclarations(path)
}

// checkDocument parses an operator's document with the parser of the control
// instances and returns a summary. Any parse error becomes a settings.ValidationError.
func checkDocument(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	table, err := platform.ParseConfiguration(text)
	if err != nil {
		return "", &settings.ValidationError{Problems: []settings.Problem{{File: path, Wrong: err.Error(), Right: "a document that an operator can send"}}}
	}
	return fmt.Sprintf("number %d with %d routes, %d services, %d organisations",
		table.Revision, len(table.Routes), len(table.Services), len(table.Organisations)), nil
}

// checkDeclarations parses declarations and returns the number of items of each
// kind.
func checkDeclarations(path string) (string, error) {
	d, err := settings.ReadDeclarations(path)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d models, %d profiles, %d organisations, %d endpoints",
		len(d.Models), len(d.Profiles), len(d.Organisations), len(d.Endpoints)), nil
}
