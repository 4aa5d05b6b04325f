package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sliptide/internal/lab/capacity"
)

// Budgets holds the limits for a real sender, and the size of the fleet that they are stated for.
type Budgets struct {
	Senders     float64 // number of senders at the target
	CorePercent float64 // of one core
	MemoryMB    float64 // 10^6 bytes
	LinkKBps    float64 // 10^3 bytes per second
}

// BudgetsOf returns the budgets of a capacity target.
func BudgetsOf(t *capacity.Target) Budgets {
	return Budgets{t.Senders, t.CorePercent, t.MemoryMB, t.LinkKBPerSecond}
}

// quantity is a figure of each size that is plotted and extrapolated to the target.
type quantity struct {
	name, unit string
	budget     func(Budgets) float64
	value      func(*SizeResult) float64
}

var quantities = []quantity{
	{"processor of the worst real sender", "% of a core", func(b Budgets) float64 { return b.CorePercent }, func(s *SizeResult) float64 { return Worst(s.Senders).CorePercent }},
	{"memory of the worst real sender", "MB", func(b Budgets) float64 { return b.MemoryMB }, func(s *SizeResult) float64 { return Worst(s.Senders).MemoryMB }},
	{"links of the worst real sender", "KB/s", func(b Budgets) float64 { return b.LinkKBps }, func(s *SizeResult) float64 { return Worst(s.Senders).LinkKBps }},
	{"a change in force, median", "s", func(Budgets) float64 { return InForceTimeout.Seconds() }, func(s *SizeResult) float64 { return s.Verdict.Median }},
	{"a change in force, 99th percentile", "s", func(Budgets) float64 { return InForceTimeout.Seconds() }, func(s *SizeResult) float64 { return s.Verdict.P99 }},
	{"a change in force, worst", "s", func(Budgets) float64 { return InForceTimeout.Seconds() }, func(s *SizeResult) float64 { return s.Verdict.Worst }},
}

// extrapolate returns the quantity at a size, by a line fitted through the measured sizes. It returns false for fewer
// than three sizes.
func (q *quantity) extrapolate(sizes []SizeResult, at float64) (float64, bool) {
	var points []capacity.Point
	for i := range sizes {
		points = append(points, capacity.Point{Size: float64(sizes[i].Members), Value: q.value(&sizes[i])})
	}
	if len(points) < 3 {
		return 0, false
	}
	return capacity.FitLine(points).At(at), true
}

// WriteTables writes a result's tables in Markdown.
func WriteTables(b *bytes.Buffer, r *Result, budgets Budgets) {
	fmt.Fprintln(b, "| members | destinations | judge | p50, p99, worst of a change in force | longest without a live member | worst real sender | worst control member | all processes | load |")
	fmt.Fprintln(b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range r.Sizes {
		s := &r.Sizes[i]
		if s.Verdict == nil {
			fmt.Fprintf(b, "| %d | %d | not judged: %s | | | | | %.0f MB | %.1f |\n", s.Members, s.Destinations, s.Failure, s.MemoryMB, s.LoadAverage)
			continue
		}
		v, x, c := s.Verdict, Worst(s.Senders), Worst(s.Controls)
		fmt.Fprintf(b, "| %d | %d | %s | %.2f, %.2f, %.2f s (%d changes, %d times) | %.1f s | %.3f %% of a core, %.1f MB, %.2f KB/s | %.1f %%, %.0f MB | %.0f MB | %.1f |\n",
			s.Members, s.Destinations, verdictText(v), v.Median, v.P99, v.Worst, v.Changes, v.InForceCount, v.LongestUnserved, x.CorePercent, x.MemoryMB, x.LinkKBps, c.CorePercent, c.MemoryMB, s.MemoryMB, s.LoadAverage)
	}
	writeBudgets(b, r, budgets)
	if len(r.Comparisons) > 0 {
		writeComparison(b, r)
	}
}

// verdictText returns "clean", or the number of findings by rule.
func verdictText(v *Verdict) string {
	if v.Clean() {
		return "clean"
	}
	var parts []string
	for rule, n := range v.Findings {
		parts = append(parts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(parts)
	return "NOT CLEAN: " + strings.Join(parts, ", ")
}

// writeBudgets writes, for each quantity, whether its budget holds at each measured size and at the extrapolated
// target.
func writeBudgets(b *bytes.Buffer, r *Result, budgets Budgets) {
	sizes := r.judgedSizes()
	if len(sizes) == 0 {
		return
	}
	fmt.Fprintf(b, "\n| quantity | budget | measured | at %.0f members, extrapolated linearly |\n| --- | --- | --- | --- |\n", budgets.Senders)
	for _, q := range quantities {
		budget := q.budget(budgets)
		var measured []string
		for i := range sizes {
			mark := "holds"
			if q.value(&sizes[i]) > budget {
				mark = "DOES NOT HOLD"
			}
			measured = append(measured, fmt.Sprintf("%d: %.3g (%s)", sizes[i].Members, q.value(&sizes[i]), mark))
		}
		extrapolated := "fewer than three sizes: not predicted"
		if v, ok := q.extrapolate(sizes, budgets.Senders); ok && v <= 0 {
			extrapolated = "the extrapolation is negative and predicts nothing"
		} else if ok {
			mark := "would hold"
			if v > budget {
				mark = "WOULD NOT HOLD"
			}
			extrapolated = fmt.Sprintf("%.3g (%s)", v, mark)
		}
		fmt.Fprintf(b, "| %s | %.3g %s | %s | %s |\n", q.name, budget, q.unit, strings.Join(measured, ", "), extrapolated)
	}
}

// writeComparison writes the table of the comparisons, a row for each number of destinations.
func writeComparison(b *bytes.Buffer, r *Result) {
	fmt.Fprintln(b, "\n| destinations | members | sender of shards: knows about, ready, memory, links until ready, links then | sender of all: ready, memory, links until ready, links then |")
	fmt.Fprintln(b, "| --- | --- | --- | --- |")
	for _, c := range r.Comparisons {
		whole := fmt.Sprintf("%.2f s, %.1f MB, %.0f KB, %.2f KB/s", c.Whole.ReadySeconds, c.Whole.MemoryMB, c.WholeStartKB, c.Whole.LinkKBps)
		if c.WholeFailure != "" {
			whole = fmt.Sprintf("%s (%.1f MB, %.0f KB requested without success)", c.WholeFailure, c.Whole.MemoryMB, c.WholeStartKB)
		}
		fmt.Fprintf(b, "| %d | %d | %d, %.2f s, %.1f MB, %.0f KB, %.2f KB/s | %s |\n", c.Destinations, c.Members, c.KnownDestinations, c.Sharded.ReadySeconds, c.Sharded.MemoryMB, c.ShardedStartKB, c.Sharded.LinkKBps, whole)
	}
}

// Markers around the generated tables of a page.
const (
	beginMarker = "<!-- generated: scale. `make scale` writes the text between these markers. -->"
	endMarker   = "<!-- end of scale -->"
)

// WritePage replaces the tables between a page's markers with those of a result.
func WritePage(path string, r *Result, budgets Budgets) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	begin, end := bytes.Index(text, []byte(beginMarker)), bytes.Index(text, []byte(endMarker))
	if begin < 0 || end < begin {
		return fmt.Errorf("%s: markers %q and %q not found in this order", path, beginMarker, endMarker)
	}
	var b bytes.Buffer
	WriteTables(&b, r, budgets)
	return os.WriteFile(path, slices.Concat(text[:begin+len(beginMarker)], []byte("\n\n"), b.Bytes(), []byte("\n"), text[end:]), 0o644)
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// LoadResult reads a result from a JSON file.
func LoadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &r, nil
}

// WriteHTML writes the result as a self-contained HTML page, with the plots as inline SVG.
func (r *Result) WriteHTML(out io.Writer, budgets Budgets) error {
	var tables bytes.Buffer
	WriteTables(&tables, r, budgets)
	page := struct {
		*Result
		Tables string
		Plots  []template.HTML
	}{Result: r, Tables: tables.String()}
	sizes := r.judgedSizes()
	for i := range quantities {
		if len(sizes) == 0 {
			break
		}
		svg, err := quantities[i].draw(sizes, budgets)
		if err != nil {
			return err
		}
		page.Plots = append(page.Plots, svg)
	}
	return pageTemplate.Execute(out, page)
}

// draw plots the quantity over the number of members, with its budget as a dashed line.
func (q *quantity) draw(sizes []SizeResult, budgets Budgets) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = q.name
	p.X.Label.Text, p.Y.Label.Text = "members", q.unit
	p.X.Min, p.Y.Min = 0, 0
	var points plotter.XYs
	maxValue := q.budget(budgets)
	for i := range sizes {
		points = append(points, plotter.XY{X: float64(sizes[i].Members), Y: q.value(&sizes[i])})
		maxValue = math.Max(maxValue, points[i].Y)
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", err
	}
	limit := plotter.NewFunction(func(float64) float64 { return q.budget(budgets) })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line, marks, limit)
	p.Legend.Add("measured", line)
	p.Legend.Add("budget", limit)
	p.Y.Max = maxValue * 1.1
	canvas := vgsvg.New(16*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}

var pageTemplate = template.Must(template.New("scale").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{white-space:pre-wrap}</style></head>
<body><h1>{{.Name}}</h1><p>{{.About}}</p>
{{range .Plots}}<div>{{.}}</div>
{{end}}<pre>{{.Tables}}</pre></body></html>
`))
