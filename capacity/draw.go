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

// Size of a drawing.
const (
	drawingWidth  = 14 * vg.Centimeter
	drawingHeight = 9 * vg.Centimeter
)

var (
	measuredColour = color.RGBA{R: 0x1f, G: 0x4e, B: 0x79, A: 0xff}
	targetColour   = color.RGBA{R: 0xb0, G: 0x30, B: 0x20, A: 0xff}
)

// WriteSVG writes a drawing of the fit as SVG: measured points, the fitted line up
// to the target, the target, and the limit if there is one.
func (f Fit) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = f.Series.Title
	p.X.Label.Text = f.Series.SizeName
	p.Y.Label.Text = f.Series.Unit
	p.X.Min = 0
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	if err := f.addMeasured(p); err != nil {
		return trace.Wrap(err)
	}
	if err := f.addTarget(p); err != nil {
		return trace.Wrap(err)
	}
	canvas := vgsvg.New(drawingWidth, drawingHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return trace.Wrap(err)
}

func (f Fit) addMeasured(p *plot.Plot) error {
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

func (f Fit) addTarget(p *plot.Plot) error {
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

// WriteTable writes the fits as a Markdown table.
func WriteTable(w io.Writer, fits []Fit) error {
	_, err := fmt.Fprintln(w, "| what | measured over | cost | at the target | limit | verdict |\n|---|---|---|---|---|---|")
	for _, f := range fits {
		if err != nil {
			break
		}
		_, err = fmt.Fprintln(w, f.row())
	}
	return trace.Wrap(err)
}

func (f Fit) row() string {
	first, last := f.Points[0].Size, f.Points[len(f.Points)-1].Size
	limit, verdict := "none", "-"
	if f.Series.Limit > 0 {
		limit, verdict = quantity(f.Series.Limit, f.Series.Unit), "holds"
	}
	if f.ExceedsLimit() {
		verdict = "**misses**"
	}
	how := "measured"
	if f.Extrapolated {
		how = "extrapolated"
	}
	return fmt.Sprintf("| %s | %g to %g %s | %s + %s each | %s at %g (%s) | %s | %s |",
		f.Series.Title, first, last, f.Series.SizeName, quantity(f.Intercept, f.Series.Unit), quantity(f.Slope, f.Series.Unit),
		quantity(f.TargetCost, f.Series.Unit), f.Series.TargetSize, how, limit, verdict)
}

// quantity writes a cost with its unit, in a size that reads well.
func quantity(v float64, unit string) string {
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
