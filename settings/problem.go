// Package settings reads and checks the two kinds of YAML that operators write:
// the settings of one process and the declarations of a deployment (models,
// profiles, organisations, endpoints). A file is read to its end even when it
// has faults, so that all of them are reported at once, each with its line,
// what is wrong and what would be right.
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; zero means the file as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the place inside the document, such as profiles[2].timeout.
	Path string `json:"path"`
	// Wrong says what is there, Right what would be accepted.
	Wrong string `json:"wrong"`
	Right string `json:"right"`
}

// String gives the problem in one line, in the form that editors can jump to.
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

// ValidationError is the failure of a read; it holds every problem found.
type ValidationError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// collector gathers problems over one or several files.
type collector struct {
	problems []Problem
	// replaced are problems of values that something else stands in for.
	replaced []Problem
}

func (c *collector) add(p Problem) { c.problems = append(c.problems, p) }

// err returns the problems in the order of the files, or nil.
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
