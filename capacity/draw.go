package capacity

import (
	"fmt"
	"image/color"
	"io"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var (
	measuredColour = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	targetColour   = color.RGBA{R: 0xb0, G: 0x30, B: 0x20, A: 0xff}
)

// WriteSVG plots the fit as SVG: the measured points, the fitted line from size 0
// to the target size, the cost at the target size, and the limit if there is one.
func (f Fit) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = f.Series.Title
	p.X.Label.Text = f.Series.SizeName
	p.Y.Label.Text = f.Series.Unit
	p.X.Min = 0
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	if err := f.addFittedLine(p); err != nil {
		return trace.Wrap(err)
	}
	if err := f.addTargetAndLimit(p); err != nil {
		return trace.Wrap(err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return trace.Wrap(err)
}

// addFittedLine adds the measured points and the fitted line to the plot.
func (f Fit) addFittedLine(p *plot.Plot) error {
	points := make(plotter.XYs, len(f.Points))
	for i, point := range f.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Cost}
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	measured.Shape = draw.CircleGlyph{}
	measured.Color = measuredColour
	line, err := plotter.NewLine(plotter.XYs{
		{X: 0, Y: f.Intercept},
		{X: f.Series.TargetSize, Y: f.Intercept + f.Slope*f.Series.TargetSize},
	})
	if err != nil {
		return err
	}
	line.Color = measuredColour
	p.Add(line, measured)
	p.Legend.Add("measured", measured)
	p.Legend.Add("fitted", line)
	return nil
}

// addTargetAndLimit adds the cost at the target size and, if the series has one, the
// limit as a dashed horizontal line.
func (f Fit) addTargetAndLimit(p *plot.Plot) error {
	target, err := plotter.NewScatter(plotter.XYs{{X: f.Series.TargetSize, Y: f.TargetCost}})
	if err != nil {
		return err
	}
	target.Shape = draw.CrossGlyph{}
	target.Color = targetColour
	p.Add(target)
	p.Legend.Add("target", target)
	p.Legend.Top = true
	p.Legend.Left = true
	if f.Series.Limit == 0 {
		return nil
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: f.Series.Limit}, {X: f.Series.TargetSize, Y: f.Series.Limit}})
	if err != nil {
		return err
	}
	limit.Color = targetColour
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(limit)
	p.Legend.Add("limit", limit)
	return nil
}

// WriteTable writes the fits as a Markdown table with one row for each fit.
func WriteTable(w io.Writer, fits []Fit) error {
	_, err := fmt.Fprintln(w, "| what | measured over | cost | at the target | limit | verdict |\n|---|---|---|---|---|---|")
	for _, f := range fits {
		if err != nil {
			break
		}
		_, err = fmt.Fprintln(w, f.tableRow())
	}
	return trace.Wrap(err)
}

// tableRow formats the fit as a row of the table that WriteTable writes.
func (f Fit) tableRow() string {
	first, last := f.Points[0].Size, f.Points[len(f.Points)-1].Size
	limit, verdict := "none", "-"
	if f.Series.Limit > 0 {
		limit, verdict = formatCost(f.Series.Limit, f.Series.Unit), "holds"
	}
	if f.ExceedsLimit() {
		verdict = "**misses**"
	}
	origin := "measured"
	if f.Extrapolated {
		origin = "extrapolated"
	}
	return fmt.Sprintf("| %s | %g to %g %s | %s + %s each | %s at %g (%s) | %s | %s |",
		f.Series.Title, first, last, f.Series.SizeName, formatCost(f.Intercept, f.Series.Unit), formatCost(f.Slope, f.Series.Unit),
		formatCost(f.TargetCost, f.Series.Unit), f.Series.TargetSize, origin, limit, verdict)
}

// formatCost formats a cost with its unit. It scales a time per operation to s, ms,
// µs or ns.
func formatCost(v float64, unit string) string {
	if strings.Contains(unit, "sec/") {
		switch {
		case v >= 1 || v <= -1:
			return fmt.Sprintf("%.3g s", v)
		case v >= 1e-3 || v <= -1e-3:
			return fmt.Sprintf("%.3g ms", v*1e3)
		case v >= 1e-6 || v <= -1e-6:
			return fmt.Sprintf("%.3g µs", v*1e6)
		}
		return fmt.Sprintf("%.3g ns", v*1e9)
	}
	return fmt.Sprintf("%.4g %s", v, unit)
}
