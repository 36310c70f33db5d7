// Package settings parses and validates the two kinds of YAML files that operators write:
// the settings of one process, and the declarations of a deployment (models, profiles,
// organisations, endpoints). Validation does not stop at the first fault: it reports all of
// them at once, each with its position, what is wrong and what would be accepted.
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one validation error in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; zero refers to the file as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the position within the document, such as profiles[2].timeout.
	Path string `json:"path"`
	// Wrong says what the file contains, Right what would be accepted.
	Wrong string `json:"wrong"`
	Right string `json:"right"`
}

// String formats the problem as one line that starts with file:line:column, which editors
// can jump to.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Path != "" {
		where += ": " + p.Path
	}
	if p.Right == "" {
		return fmt.Sprintf("%s: %s.", where, p.Wrong)
	}
	return fmt.Sprintf("%s: %s. Right would be: %s.", where, p.Wrong, p.Right)
}

// ValidationError holds all problems found in one read.
type ValidationError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// collector accumulates problems over one or several files.
type collector struct {
	problems []Problem
	// replaced are the problems of lenient quantities whose values were replaced.
	replaced []Problem
}

func (c *collector) add(p Problem) { c.problems = append(c.problems, p) }

// err returns a *ValidationError with the problems sorted by file and line, or nil if there
// are none.
func (c *collector) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	sort.SliceStable(c.problems, func(i, j int) bool {
		a, b := c.problems[i], c.problems[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &ValidationError{Problems: c.problems}
}
