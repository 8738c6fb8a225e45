package report

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var pages embed.FS

var page = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.2f%%", 100*x) },
	"fixed":   func(n int, x float64) string { return fmt.Sprintf("%.*f", n, x) },
}).ParseFS(pages, "page.html"))

// variantView is a variant with its charts.
type variantView struct {
	*Variant
	OutcomeChart template.HTML
	ServerChart  template.HTML
}

// pointView is a point with its charts.
type pointView struct {
	Point    string
	Variants []variantView
	Latency  template.HTML
}

// HTML writes the report as one HTML page.
func (r *Report) HTML(w io.Writer) error {
	var shown []pointView
	for _, p := range r.points() {
		view, err := r.newPointView(p)
		if err != nil {
			return err
		}
		shown = append(shown, view)
	}
	return page.Execute(w, struct {
		*Report
		Shown []pointView
	}{r, shown})
}

// newPointView returns a point with its charts drawn.
func (r *Report) newPointView(p Point) (pointView, error) {
	view := pointView{Point: p.Point}
	var err error
	if view.Latency, err = latencyChart(p.Variants); err != nil {
		return view, err
	}
	for i := range p.Variants {
		v := variantView{Variant: &p.Variants[i]}
		if v.OutcomeChart, err = r.outcomeChart(v.Variant); err != nil {
			return view, err
		}
		if v.ServerChart, err = serverChart(v.Variant); err != nil {
			return view, err
		}
		view.Variants = append(view.Variants, v)
	}
	return view, nil
}

// colors are the colors of a chart's series, in order. A chart with more series starts over.
var colors = []color.Color{
	color.RGBA{0x2e, 0x7d, 0x32, 0xff}, color.RGBA{0xf9, 0xa8, 0x25, 0xff}, color.RGBA{0x15, 0x65, 0xc0, 0xff},
	color.RGBA{0xc6, 0x28, 0x28, 0xff}, color.RGBA{0x6a, 0x1b, 0x9a, 0xff}, color.RGBA{0x45, 0x5a, 0x64, 0xff},
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// outcomeChart draws the outcomes of requests second by second. It shades the times of faults.
func (r *Report) outcomeChart(v *Variant) (template.HTML, error) {
	if len(v.Seconds) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	runs := float64(max(len(v.Runs), 1))
	highest := 1.0
	for _, s := range v.Seconds {
		highest = max(highest, float64(s.total())/runs)
	}
	for _, f := range r.Faults {
		if err := shadeFault(p, f, highest); err != nil {
			return "", err
		}
	}
	for i, series := range outcomeSeries {
		var xy plotter.XYs
		for t, s := range v.Seconds {
			xy = append(xy, plotter.XY{X: float64(t) + 0.5, Y: float64(series.count(s)) / runs})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		line.Color = colors[i]
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	p.Legend.Top = true
	return svg(p, plotWidth, plotHeight)
}

// outcomeSeries are the lines of an outcome chart with their names in the legend.
var outcomeSeries = []struct {
	name  string
	count func(Second) int64
}{
	{"in time", func(s Second) int64 { return s.ServedInTime }},
	{"late", func(s Second) int64 { return s.ServedLate }},
	{"refused", func(s Second) int64 { return s.Rejected }},
	{"failed", func(s Second) int64 { return s.Failed }},
}

// shadeFault shades the time span of a fault from 0 up to a height, and labels it.
func shadeFault(p *plot.Plot, f FaultSpan, height float64) error {
	corners := plotter.XYs{{X: f.FromS, Y: 0}, {X: f.ToS, Y: 0}, {X: f.ToS, Y: height}, {X: f.FromS, Y: height}}
	shade, err := plotter.NewPolygon(corners)
	if err != nil {
		return err
	}
	shade.Color = color.RGBA{0xee, 0xee, 0xee, 0xff}
	shade.LineStyle.Width = 0
	p.Add(shade)
	label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.FromS, Y: height}}, Labels: []string{f.Kind}})
	if err != nil {
		return err
	}
	p.Add(label)
	return nil
}

// latencyChart draws the latency percentiles of all variants side by side.
func latencyChart(variants []Variant) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.NominalX("p50", "p90", "p99", "p99.9")
	width := vg.Points(60 / float64(max(len(variants), 1)))
	for i, v := range variants {
		latency := v.LatencyMs
		bars, err := plotter.NewBarChart(plotter.Values{latency.P50, latency.P90, latency.P99, latency.P999}, width)
		if err != nil {
			return "", err
		}
		bars.Color = colors[i%len(colors)]
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(v.Name, bars)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return svg(p, plotWidth, plotHeight)
}

// maxServersShown is the maximum number of servers in a chart. The table lists all servers.
const maxServersShown = 100

// serverChart draws the busy fraction of each server's cores.
func serverChart(v *Variant) (template.HTML, error) {
	if len(v.Servers) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Label.Text = "box"
	p.Y.Label.Text = "busy share of its cores"
	p.Y.Min = 0
	var values plotter.Values
	for _, s := range v.Servers[:min(len(v.Servers), maxServersShown)] {
		values = append(values, s.Load)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(max(400/float64(len(values)), 2)))
	if err != nil {
		return "", err
	}
	bars.Color = colors[2]
	bars.LineStyle.Width = 0
	p.Add(bars)
	return svg(p, plotWidth, plotHeight/2)
}

// svg returns a plot as an svg element of an HTML page.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // HTML allows no XML declaration within a page
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // the plot is drawn here, and vgsvg escapes its labels
}
