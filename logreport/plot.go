package logreport

import (
	"bytes"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	// headroom is the ratio of the Y axis to the highest point. It leaves room for the legend.
	headroom = 1.6
)

// svg returns a plot of the curves of a service as an SVG element.
func svg(curves []Curve, bin time.Duration) (string, error) {
	p := plot.New()
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = "in each " + bin.String()
	p.Legend.Top, p.Legend.Left = true, true
	highest := 1
	var lines []any
	for _, curve := range curves {
		points := make(plotter.XYs, len(curve.Counts))
		for i, count := range curve.Counts {
			points[i] = plotter.XY{X: float64(i) * bin.Seconds(), Y: float64(count)}
			highest = max(highest, count)
		}
		lines = append(lines, curve.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", Error.Wrap(err)
	}
	p.Y.Min, p.Y.Max = 0, headroom*float64(highest)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", Error.Wrap(err)
	}
	return element(out.String()), nil
}

// element removes the XML prologue before the SVG element, which is not allowed inside HTML.
func element(document string) string {
	if i := strings.Index(document, "<svg"); i >= 0 {
		return document[i:]
	}
	return document
}
