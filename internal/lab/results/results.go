// Package results turns runs into figures: a row for each run, and over the seeds of each point the mean with
// its 95% confidence interval. It writes them as CSV and JSON, reads the JSON back, and compares two of them.
//
// It computes. It runs no experiment and draws nothing.
package results

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"sliptide/internal/lab/world"
)

// Watched is how many seconds from the return are held against the limit: the first one back, and ten more.
const WatchedSeconds = 11

// Measures are the names of a run's figures, in the order of the tables.
var Measures = []string{
	"first-second", "most-in-a-second", "seconds-over", "most-of-limit", "back-95", "goodput", "retries", "refusals",
	"p50", "p99", "p99.9", "others-p50", "others-p99", "falls", "twice",
}

// Meaning says what each measure is.
var Meaning = map[string]string{
	"first-second":     "calls at partner 0 in its first second back",
	"most-in-a-second": "most calls in any of the first eleven seconds back",
	"seconds-over":     "of these, seconds with more calls than the stated limit",
	"most-of-limit":    "most calls in a second as a share of the limit",
	"back-95":          "seconds from the return until 95% of the goodput before the outage is back, over three seconds; the whole run if it never is",
	"goodput":          "messages delivered as a share of those handed in",
	"retries":          "second tries by clients",
	"refusals":         "messages turned away or handed back",
	"p50":              "milliseconds from first hand-in to delivery, partner 0, median",
	"p99":              "the same, 99th percentile",
	"p99.9":            "the same, 99.9th percentile",
	"others-p50":       "the same, all other partners, median",
	"others-p99":       "the same, 99th percentile",
	"falls":            "times that a partner was pushed over",
	"twice":            "messages that ran more than once (keyed: the repeat is dropped there)",
}

// Experiment is all that an experiment has come to.
type Experiment struct {
	Name   string   `json:"name"`
	About  string   `json:"about,omitempty"`
	Vary   []string `json:"vary"`
	Points []Point  `json:"points"`
	Events uint64   `json:"events"`
	// PerSecond is the events of all runs over their time on one core: the emulator's speed.
	PerSecond float64 `json:"events_per_core_second"`
}

// Point is one point of the grid.
type Point struct {
	Labels       []string           `json:"labels"`
	ReturnSecond int                `json:"back_at"` // second of the return
	Limit        float64            `json:"limit"`
	Runs         []Run              `json:"runs"`
	Summary      map[string]Summary `json:"summary"`
	Series       []Band             `json:"series"`
}

// Run is the figures of one run, by measure.
type Run struct {
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	seconds []world.Second
}

// Summary is a measure over the seeds of a point.
type Summary struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"` // half the width of the 95% confidence interval
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	N    int     `json:"n"`
	SD   float64 `json:"sd"`
}

// Band is one second of a point over its seeds.
type Band struct {
	Calls, CallsMax, Delivered, Retries, Refusals, Handed float64
}

// Of computes the figures of one run.
func FromRun(p *world.Params, r *world.Run) Run {
	back := int(math.Ceil(p.ReturnTime() / 1000))
	f := map[string]float64{"goodput": float64(r.Delivered) / float64(max(r.Submitted, 1)), "retries": float64(r.Retries),
		"refusals": float64(r.Refusals), "falls": float64(r.Overloads), "twice": float64(r.RunTwice)}
	for i := back; i < min(back+WatchedSeconds, len(r.Seconds)); i++ {
		calls := float64(r.Seconds[i].Calls)
		if i == back {
			f["first-second"] = calls
		}
		f["most-in-a-second"] = max(f["most-in-a-second"], calls)
		if calls > r.Limit {
			f["seconds-over"]++
		}
	}
	f["most-of-limit"] = f["most-in-a-second"] / r.Limit
	f["back-95"] = backAfter(p, r, back)
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p99.9": 99.9} {
		f[name] = float64(r.AffectedLatency.ValueAtQuantile(q))
		if name != "p99.9" {
			f["others-"+name] = float64(r.OtherLatency.ValueAtQuantile(q))
		}
	}
	for _, m := range Measures {
		f[m] += 0 // those that nothing counted are zero
	}
	return Run{Seed: r.Seed, Figures: f, seconds: r.Seconds}
}

// backAfter is the seconds from the return until three seconds in a row deliver 95% of what was delivered
// before the outage, on average.
func backAfter(p *world.Params, r *world.Run, back int) float64 {
	before, n := 0.0, 0
	for i := 2; i < int(p.BeforeOutage/1000); i++ {
		before += float64(r.Seconds[i].Delivered)
		n++
	}
	before /= float64(max(n, 1))
	for i := back; i+3 < len(r.Seconds); i++ {
		if float64(r.Seconds[i].Delivered+r.Seconds[i+1].Delivered+r.Seconds[i+2].Delivered)/3 >= 0.95*before {
			return float64(i - back)
		}
	}
	return p.AfterOutage / 1000
}

// Add puts the runs of a point together.
func Aggregate(labels []string, p *world.Params, limit float64, runs []Run) Point {
	pt := Point{Labels: labels, ReturnSecond: int(math.Ceil(p.ReturnTime() / 1000)), Limit: limit, Runs: runs, Summary: map[string]Summary{}}
	for _, m := range Measures {
		var list []float64
		for i := range runs {
			list = append(list, runs[i].Figures[m])
		}
		pt.Summary[m] = summarize(list)
	}
	for i := range runs[0].seconds {
		var b Band
		for _, r := range runs {
			s := r.seconds[i]
			n := float64(len(runs))
			b.Calls += float64(s.Calls) / n
			b.CallsMax = max(b.CallsMax, float64(s.Calls))
			b.Delivered += float64(s.Delivered) / n
			b.Retries += float64(s.Retries) / n
			b.Refusals += float64(s.Refusals) / n
			b.Handed += float64(s.Submitted) / n
		}
		pt.Series = append(pt.Series, b)
	}
	return pt
}

// summarize is the mean of a list with Student's interval.
func summarize(list []float64) Summary {
	s := Summary{N: len(list), Min: slices.Min(list), Max: slices.Max(list)}
	s.Mean = stat.Mean(list, nil)
	if s.N > 1 {
		s.SD = stat.StdDev(list, nil)
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(s.N - 1)}.Quantile(0.975)
		s.Half = t * s.SD / math.Sqrt(float64(s.N))
	}
	return s
}

// WriteCSV writes a row for each run.
func (e *Experiment) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write(append(append(slices.Clone(e.Vary), "seed"), Measures...))
	for _, p := range e.Points {
		for _, r := range p.Runs {
			row := append(slices.Clone(p.Labels), strconv.FormatUint(r.Seed, 10))
			for _, m := range Measures {
				row = append(row, strconv.FormatFloat(r.Figures[m], 'g', 6, 64))
			}
			w.Write(row)
		}
	}
	w.Flush()
	return w.Error()
}

// WriteJSON writes all of it.
func (e *Experiment) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(e)
}

// ReadJSON reads what WriteJSON wrote.
func ReadJSON(in io.Reader) (*Experiment, error) {
	e := &Experiment{}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(e); err != nil {
		return nil, fmt.Errorf("not the lab's results: %w", err)
	}
	for _, p := range e.Points {
		if len(p.Labels) != len(e.Vary) || len(p.Runs) == 0 || p.Summary == nil || len(p.Series) == 0 {
			return nil, fmt.Errorf("not the lab's results: point %v is not whole", p.Labels)
		}
	}
	return e, nil
}

// Difference is a measure at a point that both experiments have.
type Difference struct {
	Labels  []string
	Measure string
	A, B    Summary
	PValue  float64 // of Welch's t-test: how likely such a difference is by chance
}

// Compare finds the measures in which two experiments part, by Welch's t-test at the level given, for the
// points that have the same labels.
func Compare(a, b *Experiment, level float64) (list []Difference, common int) {
	for i := range a.Points {
		j := slices.IndexFunc(b.Points, func(p Point) bool { return slices.Equal(p.Labels, a.Points[i].Labels) })
		if j < 0 {
			continue
		}
		common++
		for _, m := range Measures {
			d := Difference{a.Points[i].Labels, m, a.Points[i].Summary[m], b.Points[j].Summary[m], 1}
			if d.PValue = welch(d.A, d.B); d.PValue < level {
				list = append(list, d)
			}
		}
	}
	return list, common
}

// welch is the two-sided p-value of Welch's t-test (B. L. Welch, Biometrika 34, 1947).
func welch(a, b Summary) float64 {
	if a.N < 2 || b.N < 2 {
		return 1
	}
	va, vb := a.SD*a.SD/float64(a.N), b.SD*b.SD/float64(b.N)
	if va+vb == 0 {
		if a.Mean == b.Mean {
			return 1
		}
		return 0
	}
	t := (a.Mean - b.Mean) / math.Sqrt(va+vb)
	nu := (va + vb) * (va + vb) / (va*va/float64(a.N-1) + vb*vb/float64(b.N-1))
	return 2 * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: nu}.Survival(math.Abs(t))
}
