// Command slopes draws the costs that docs/CAPACITY.md is worked out from. It
// reads the output of go test -bench from standard input, writes a drawing a
// line into a folder, and prints a table of what they come to at the target.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/carawaystile/carawaystile/capacity"
)

func main() {
	folder := flag.String("out", "docs/plots", "folder for the drawings")
	flag.Parse()
	if err := run(*folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(folder string) error {
	results, err := capacity.ReadResults(os.Stdin, "standard input")
	if err != nil {
		return err
	}
	var fits []capacity.Fit
	for _, line := range capacity.Lines {
		fit, err := capacity.NewFit(line, results)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fits = append(fits, fit)
		if err := write(folder, fit); err != nil {
			return err
		}
	}
	return capacity.WriteTable(os.Stdout, fits)
}

func write(folder string, fit capacity.Fit) error {
	name := strings.ReplaceAll(strings.ToLower(fit.Line.Title), " ", "-") + ".svg"
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	defer file.Close()
	return fit.Draw(file)
}
