package search

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxRegretShown is the largest absolute regret in a plot, in percentage points. Larger ones are
// clipped to it.
const maxRegretShown = 30

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	lineWidth  = 1.2 // typographic points
)

// Plot writes an SVG plot of the distributions of regret of several searches.
func Plot(w io.Writer, names []string, summaries []Summary) error {
	p := plot.New()
	p.X.Label.Text = "share of sites"
	p.Y.Label.Text = "regret, points"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, s := range summaries {
		var xy plotter.XYs
		for n, r := range s.Regrets {
			points := max(min(100*r, maxRegretShown), -maxRegretShown)
			xy = append(xy, plotter.XY{X: float64(n+1) / float64(len(s.Regrets)), Y: points})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(names[i], line)
	}
	p.Add(plotter.NewGrid())
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}
