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

// variantView is a variant with its pictures.
type variantView struct {
	*Variant
	OverTime template.HTML
	Boxplot  template.HTML
}

type pointView struct {
	Point    string
	Variants []variantView
	Latency  template.HTML
}

// HTML writes the page.
func (r *Report) HTML(w io.Writer) error {
	points := r.Points
	if len(points) == 0 {
		points = []Point{{Variants: r.Variants}}
	}
	var shown []pointView
	for _, p := range points {
		s := pointView{Point: p.Point}
		var err error
		if s.Latency, err = latencyChart(p.Variants); err != nil {
			return err
		}
		for i := range p.Variants {
			a := variantView{Variant: &p.Variants[i]}
			if a.OverTime, err = r.overTime(a.Variant); err != nil {
				return err
			}
			if a.Boxplot, err = serverChart(a.Variant); err != nil {
				return err
			}
			s.Variants = append(s.Variants, a)
		}
		shown = append(shown, s)
	}
	return page.Execute(w, struct {
		*Report
		Shown []pointView
	}{r, shown})
}

var colors = []color.Color{color.RGBA{0x2e, 0x7d, 0x32, 0xff}, color.RGBA{0xf9, 0xa8, 0x25, 0xff}, color.RGBA{0x15, 0x65, 0xc0, 0xff},
	color.RGBA{0xc6, 0x28, 0x28, 0xff}, color.RGBA{0x6a, 0x1b, 0x9a, 0xff}, color.RGBA{0x45, 0x5a, 0x64, 0xff}}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// overTime shows what became of requests, second by second, with the faults shaded.
func (r *Report) overTime(a *Variant) (template.HTML, error) {
	if len(a.Seconds) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests a second"
	p.Y.Min = 0
	n := float64(max(len(a.Repeats), 1))
	highest := 1.0
	for _, s := range a.Seconds {
		highest = max(highest, float64(s.ServedInTime+s.ServedLate+s.Rejected+s.Failed)/n)
	}
	for _, f := range r.Faults {
		shade, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: f.ToS, Y: 0}, {X: f.ToS, Y: highest}, {X: f.FromS, Y: highest}})
		if err != nil {
			return "", err
		}
		shade.Color, shade.LineStyle.Width = color.RGBA{0xee, 0xee, 0xee, 0xff}, 0
		p.Add(shade)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.FromS, Y: highest}}, Labels: []string{f.Kind}})
		if err != nil {
			return "", err
		}
		p.Add(label)
	}
	for i, series := range []struct {
		name string
		of   func(Second) int64
	}{
		{"in time", func(s Second) int64 { return s.ServedInTime }}, {"late", func(s Second) int64 { return s.ServedLate }},
		{"refused", func(s Second) int64 { return s.Rejected }}, {"failed", func(s Second) int64 { return s.Failed }},
	} {
		var xy plotter.XYs
		for t, s := range a.Seconds {
			xy = append(xy, plotter.XY{X: float64(t) + 0.5, Y: float64(series.of(s)) / n})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = colors[i], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	p.Legend.Top = true
	return svg(p, plotWidth, plotHeight)
}

// latencyChart shows the percentiles of all variants side by side.
func latencyChart(arms []Variant) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.NominalX("p50", "p90", "p99", "p99.9")
	width := vg.Points(60 / float64(max(len(arms), 1)))
	for i, a := range arms {
		bars, err := plotter.NewBarChart(plotter.Values{a.LatencyMs.P50, a.LatencyMs.P90, a.LatencyMs.P99, a.LatencyMs.P999}, width)
		if err != nil {
			return "", err
		}
		bars.Color, bars.LineStyle.Width = colors[i%len(colors)], 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(arms)-1)/2)
		p.Add(bars)
		p.Legend.Add(a.Name, bars)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return svg(p, plotWidth, plotHeight)
}

// maxServersShown is how many servers a picture shows; the table has them all.
const maxServersShown = 100

// serverChart shows how busy each server was.
func serverChart(a *Variant) (template.HTML, error) {
	if len(a.Servers) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "box", "busy share of its cores"
	p.Y.Min = 0
	var values plotter.Values
	for _, b := range a.Servers[:min(len(a.Servers), maxServersShown)] {
		values = append(values, b.Load)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(max(400/float64(len(values)), 2)))
	if err != nil {
		return "", err
	}
	bars.Color, bars.LineStyle.Width = colors[2], 0
	p.Add(bars)
	return svg(p, plotWidth, plotHeight/2)
}

// svg draws a plot as an element that can stand in a page.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // the XML declaration has no place within a page
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // drawn here, and vgsvg escapes the labels
}
