// Package results computes the measures of runs: a row for each run and, over the seeds of each point, the mean with
// its 95% confidence interval. It writes results as CSV and JSON, reads the JSON, and compares two results.
//
// It runs no experiment and draws no plots.
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

// WatchedSeconds is the number of seconds after the return whose calls are compared with the limit: the first second
// and ten more.
const WatchedSeconds = 11

// Measures lists the names of the measures in the order of the tables.
var Measures = []string{
	"first-second", "most-in-a-second", "seconds-over", "most-of-limit", "back-95", "goodput", "retries", "refusals",
	"p50", "p99", "p99.9", "others-p50", "others-p99", "falls", "twice",
}

// Meaning explains each measure.
var Meaning = map[string]string{
	"first-second":     "calls at partner 0 in the first second after its return",
	"most-in-a-second": "most calls in any of the first eleven seconds after the return",
	"seconds-over":     "of these eleven seconds, those with more calls than the stated limit",
	"most-of-limit":    "most calls in a second as a share of the limit",
	"back-95":          "seconds from the return until 95% of the goodput before the outage is back, over three seconds; the whole run if it never is",
	"goodput":          "messages delivered as a share of those submitted",
	"retries":          "resubmissions by clients",
	"refusals":         "submissions refused, at once or after the message was accepted",
	"p50":              "milliseconds from the first submission to delivery, partner 0, median",
	"p99":              "the same, 99th percentile",
	"p99.9":            "the same, 99.9th percentile",
	"others-p50":       "the same, all other partners, median",
	"others-p99":       "the same, 99th percentile",
	"falls":            "times that a partner collapsed under overload",
	"twice":            "messages that ran more than once (they are keyed: the partner drops the repeat)",
}

// Experiment holds the results of an experiment.
type Experiment struct {
	Name   string   `json:"name"`
	About  string   `json:"about,omitempty"`
	Vary   []string `json:"vary"`
	Points []Point  `json:"points"`
	Events uint64   `json:"events"` // that the emulator processed in all runs
	// PerSecond is the emulator's speed: the events of all runs divided by the sum of their running times.
	PerSecond float64 `json:"events_per_core_second"`
}

// Point holds the results of one point of the grid.
type Point struct {
	Labels       []string           `json:"labels"`
	ReturnSecond int                `json:"back_at"` // first second of the run that begins at or after the return
	Limit        float64            `json:"limit"`   // of partner 0 at the end of the run, in calls per second
	Runs         []Run              `json:"runs"`
	Summary      map[string]Summary `json:"summary"`
	Series       []Band             `json:"series"` // by second of the run
}

// Run holds the figures of one run, by measure.
type Run struct {
	Seed    uint64             `json:"seed"`
	Figures map[string]float64 `json:"figures"`
	seconds []world.Second
}

// Summary summarizes a measure over the seeds of a point.
type Summary struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"` // half the width of the 95% confidence interval
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
	N    int     `json:"n"`
	SD   float64 `json:"sd"`
}

// Band holds the counters of one second of a point, as means over its seeds. CallsMax is the maximum over the seeds;
// Handed counts the submitted messages.
type Band struct {
	Calls, CallsMax, Delivered, Retries, Refusals, Handed float64
}

// FromRun computes the figures of one run. The seconds after the return are whole seconds of the run, the first of
// which begins at the return or less than a second later.
func FromRun(p *world.Params, r *world.Run) Run {
	back := int(math.Ceil(p.ReturnTime() / 1000))
	f := map[string]float64{"goodput": float64(r.Delivered) / float64(max(r.Submitted, 1)), "retries": float64(r.Retries),
		"refusals": float64(r.Refusals), "falls": float64(r.Overloads), "twice": float64(r.RanTwice)}
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
	f["back-95"] = goodputRecovery(p, r, back)
	for name, q := range map[string]float64{"p50": 50, "p99": 99, "p99.9": 99.9} {
		f[name] = float64(r.AffectedLatency.ValueAtQuantile(q))
		if name != "p99.9" {
			f["others-"+name] = float64(r.OtherLatency.ValueAtQuantile(q))
		}
	}
	for _, m := range Measures {
		f[m] += 0 // adds missing measures as zero
	}
	return Run{Seed: r.Seed, Figures: f, seconds: r.Seconds}
}

// goodputRecovery returns the seconds from the return until the start of the first three seconds that deliver, on
// average, at least 95% of the goodput before the outage. If there are none, it returns the whole time after the
// return. The first two seconds of the run do not count towards the goodput before the outage.
func goodputRecovery(p *world.Params, r *world.Run, back int) float64 {
	before, seconds := 0.0, 0
	for i := 2; i < int(p.BeforeOutage/1000); i++ {
		before += float64(r.Seconds[i].Delivered)
		seconds++
	}
	before /= float64(max(seconds, 1))
	for i := back; i+3 < len(r.Seconds); i++ {
		if float64(r.Seconds[i].Delivered+r.Seconds[i+1].Delivered+r.Seconds[i+2].Delivered)/3 >= 0.95*before {
			return float64(i - back)
		}
	}
	return p.AfterOutage / 1000
}

// Aggregate combines the runs of a point, which must come from FromRun: results that were read from JSON lack the
// counters of the seconds.
func Aggregate(labels []string, p *world.Params, limit float64, runs []Run) Point {
	point := Point{Labels: labels, ReturnSecond: int(math.Ceil(p.ReturnTime() / 1000)), Limit: limit, Runs: runs,
		Summary: map[string]Summary{}}
	for _, m := range Measures {
		var values []float64
		for i := range runs {
			values = append(values, runs[i].Figures[m])
		}
		point.Summary[m] = summarize(values)
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
		point.Series = append(point.Series, b)
	}
	return point
}

// summarize returns the summary of a list of values, with the confidence interval by Student's t-distribution.
func summarize(values []float64) Summary {
	s := Summary{N: len(values), Min: slices.Min(values), Max: slices.Max(values)}
	s.Mean = stat.Mean(values, nil)
	if s.N > 1 {
		s.SD = stat.StdDev(values, nil)
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

// WriteJSON writes all results.
func (e *Experiment) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return enc.Encode(e)
}

// ReadJSON reads results that WriteJSON wrote.
func ReadJSON(in io.Reader) (*Experiment, error) {
	e := &Experiment{}
	dec := json.NewDecoder(in)
	dec.DisallowUnknownFields()
	if err := dec.Decode(e); err != nil {
		return nil, fmt.Errorf("not the lab's results: %w", err)
	}
	for _, p := range e.Points {
		if len(p.Labels) != len(e.Vary) || len(p.Runs) == 0 || p.Summary == nil || len(p.Series) == 0 {
			return nil, fmt.Errorf("not the lab's results: point %v lacks labels, runs, a summary or a series", p.Labels)
		}
	}
	return e, nil
}

// Difference is a measure that differs between two experiments at a point that both have.
type Difference struct {
	Labels  []string
	Measure string
	A, B    Summary
	PValue  float64 // of Welch's t-test
}

// Compare returns the measures that differ between two experiments, by Welch's t-test at the given significance level,
// and the number of points that both have. Points correspond if their labels are the same; the names of the dimensions
// are not compared.
func Compare(a, b *Experiment, level float64) (differences []Difference, common int) {
	for i := range a.Points {
		j := slices.IndexFunc(b.Points, func(p Point) bool { return slices.Equal(p.Labels, a.Points[i].Labels) })
		if j < 0 {
			continue
		}
		common++
		for _, m := range Measures {
			d := Difference{a.Points[i].Labels, m, a.Points[i].Summary[m], b.Points[j].Summary[m], 1}
			if d.PValue = welchPValue(d.A, d.B); d.PValue < level {
				differences = append(differences, d)
			}
		}
	}
	return differences, common
}

// welchPValue returns the two-sided p-value of Welch's t-test (B. L. Welch, Biometrika 34, 1947), or 1 if an experiment
// has fewer than two runs.
func welchPValue(a, b Summary) float64 {
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
