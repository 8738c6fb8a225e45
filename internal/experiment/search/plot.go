package search

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxRegretShown is the largest regret of a plot, in points either way.
const maxRegretShown = 30

// Plot draws the distributions of regret of several searches as SVG.
func Plot(w io.Writer, names []string, summaries []Summary) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "share of sites", "regret, points"
	p.Legend.Top, p.Legend.Left = true, true
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
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(names[i], line)
	}
	p.Add(plotter.NewGrid())
	svg, err := p.WriterTo(16*vg.Centimeter, 9*vg.Centimeter, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(w)
	return err
}
