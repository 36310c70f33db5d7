// Command slopes plots the linear cost models behind docs/CAPACITY.md. It reads the
// output of go test -bench from standard input, writes one SVG plot for each fitted
// line into a folder, and prints a table of the costs extrapolated to the target
// size.
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

// run fits and plots each line. A line that cannot be fitted is reported and
// skipped.
func run(folder string) error {
	results, err := capacity.ReadResults(os.Stdin, "standard input")
	if err != nil {
		return err
	}
	var fits []capacity.Fit
	for _, line := range capacity.TrackedSeries {
		fit, err := capacity.NewFit(line, results)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		fits = append(fits, fit)
		if err := writePlot(folder, fit); err != nil {
			return err
		}
	}
	return capacity.WriteTable(os.Stdout, fits)
}

// writePlot writes the plot of a fit to a file that is named after its title.
func writePlot(folder string, fit capacity.Fit) error {
	name := strings.ReplaceAll(strings.ToLower(fit.Series.Title), " ", "-") + ".svg"
	file, err := os.Create(filepath.Join(folder, name))
	if err != nil {
		return err
	}
	defer file.Close()
	return fit.WriteSVG(file)
}
