// Package report renders an experiment's results as one self-contained HTML page with inline SVG plots. It computes no
// figures.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sliptide/internal/lab/results"
)

const (
	width  = 16 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// colours can be told apart by readers with colour vision deficiency: P. Okabe and K. Ito, "Color Universal Design",
// 2008.
var colours = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{230, 159, 0, 255},
}

// page is the data of pageTemplate.
type page struct {
	*results.Experiment
	Measures []string
	Meaning  map[string]string
	Groups   []group
}

// group holds the points that differ only in the first dimension. They share plots.
type group struct {
	Title  string
	Points []results.Point
	Plots  []template.HTML
}

// Write writes the page of e to out.
func Write(out io.Writer, e *results.Experiment) error {
	p := page{Experiment: e, Measures: results.Measures, Meaning: results.Meaning}
	for _, point := range e.Points {
		title := groupTitle(e.Vary, point.Labels)
		i := slices.IndexFunc(p.Groups, func(g group) bool { return g.Title == title })
		if i < 0 {
			i = len(p.Groups)
			p.Groups = append(p.Groups, group{Title: title})
		}
		p.Groups[i].Points = append(p.Groups[i].Points, point)
	}
	for i := range p.Groups {
		if err := p.Groups[i].draw(e.Vary); err != nil {
			return err
		}
	}
	return pageTemplate.Execute(out, p)
}

// groupTitle returns the title of a point's group: the dimensions after the first with their values.
func groupTitle(vary, labels []string) string {
	var parts []string
	for i := 1; i < len(vary); i++ {
		parts = append(parts, vary[i]+" "+labels[i])
	}
	return strings.Join(parts, ", ")
}

// plots describes the plots of a group.
var plots = []struct {
	name  string
	value func(results.Band) float64
	limit bool // also draw the limit
}{
	{"calls a second at the partner (worst seed), and its limit", func(b results.Band) float64 { return b.CallsMax }, true},
	{"messages delivered a second", func(b results.Band) float64 { return b.Delivered }, false},
	{"resubmissions a second", func(b results.Band) float64 { return b.Retries }, false},
	{"refusals a second", func(b results.Band) float64 { return b.Refusals }, false},
}

// draw renders the plots of the group.
func (g *group) draw(vary []string) error {
	for _, s := range plots {
		pl := plot.New()
		pl.Title.Text, pl.X.Label.Text, pl.Y.Min = s.name, "seconds from the return", 0
		pl.Legend.Top = true
		pl.Add(plotter.NewGrid())
		for i, point := range g.Points {
			xy := make(plotter.XYs, 0, len(point.Series))
			for second, band := range point.Series[:len(point.Series)-1] { // the last second is incomplete
				xy = append(xy, plotter.XY{X: float64(second-point.ReturnSecond) + 0.5, Y: s.value(band)})
			}
			line, err := plotter.NewLine(xy)
			if err != nil {
				return fmt.Errorf("drawing the plot of point %v: %w", point.Labels, err)
			}
			line.Color, line.Width = colours[i%len(colours)], vg.Points(1.3)
			if i >= len(colours) {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
			}
			pl.Add(line)
			if len(vary) > 0 {
				pl.Legend.Add(point.Labels[0], line)
			}
			if s.limit && i == 0 {
				limitLine := plotter.NewFunction(func(float64) float64 { return point.Limit })
				limitLine.Dashes, limitLine.Color = []vg.Length{vg.Points(2), vg.Points(2)}, color.Black
				pl.Add(limitLine)
				pl.Legend.Add("limit", limitLine)
			}
		}
		c := vgsvg.New(width, height)
		pl.Draw(draw.New(c))
		var b bytes.Buffer
		if _, err := c.WriteTo(&b); err != nil {
			return fmt.Errorf("writing an SVG plot: %w", err)
		}
		_, svg, _ := strings.Cut(b.String(), "?>")
		g.Plots = append(g.Plots, template.HTML(svg)) // trusted: rendered above, not read from a file
	}
	return nil
}

// formatNumber formats numbers under 10 with three significant digits and others as integers.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 10:
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.0f", v)
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"show": formatNumber}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>
body{font:15px/1.5 sans-serif;margin:2em auto;max-width:75em;padding:0 1em;color:#222}
table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:.2em .5em;text-align:right}
th{background:#f2f2f2}td:first-child,th:first-child{text-align:left}small{color:#666}svg{max-width:48%;height:auto}
</style></head><body>
<h1>{{.Name}}</h1><p>{{.About}}</p>
{{range .Groups}}<h2>{{.Title}}</h2>
<div>{{range .Plots}}{{.}}{{end}}</div>
<table><tr><th>{{if $.Vary}}{{index $.Vary 0}}{{end}}</th>{{range $.Measures}}<th title="{{index $.Meaning .}}">{{.}}</th>{{end}}</tr>
{{range .Points}}{{$p := .}}<tr><td>{{if .Labels}}{{index .Labels 0}}{{end}}</td>{{range $.Measures}}{{with index $p.Summary .}}<td>{{show .Mean}}<br><small>&plusmn;{{show .Half}}</small></td>{{end}}{{end}}</tr>
{{end}}</table>
{{end}}
<h2>What is measured</h2><dl>{{range .Measures}}<dt><b>{{.}}</b></dt><dd>{{index $.Meaning .}}</dd>{{end}}</dl>
<p>Means over the seeds, with the 95% confidence interval by Student's t. {{.Events}} events, {{show .PerSecond}} a second on one core.</p>
</body></html>
`))
