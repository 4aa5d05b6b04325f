package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/store"
	"sliptide/internal/operator"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

type knowledgeCmd struct {
	Show   knowledgeShow   `cmd:"" help:"Show what a knowledge file holds, and how much each fact still weighs."`
	Verify knowledgeVerify `cmd:"" help:"Check knowledge files; status 1 if one is damaged."`
	Forget knowledgeForget `cmd:"" help:"Forget everything, or some destinations. The sender must not run."`
}

// knowledgeFiles returns path itself, or the knowledge files in it if it is a directory.
func knowledgeFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var list []string
	for _, name := range []string{store.SnapshotName, store.WaitsName} {
		full := filepath.Join(path, name)
		if _, err := os.Lstat(full); err == nil {
			list = append(list, full)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: no knowledge files", path)
	}
	return list, nil
}

// decode reads a knowledge file and returns its facts and its size in bytes.
func decode(file string) (*knowledge.Facts, int, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, 0, err
	}
	facts, err := store.Decode(text)
	if err != nil {
		return nil, len(text), fmt.Errorf("%s: %w", file, err)
	}
	return facts, len(text), nil
}

type knowledgeShow struct {
	Path     string `arg:"" help:"A knowledge file, or the state directory."`
	JSON     bool   `help:"As JSON."`
	Operator string `help:"The operators' file with the half-lives; else their defaults." placeholder:"FILE"`
}

func (c *knowledgeShow) Run(env *Env) error {
	settings := operator.Default()
	if c.Operator != "" {
		f, err := operator.Load(c.Operator)
		if err != nil {
			return fmt.Errorf("%w%w", usageError, err)
		}
		settings = *f
	}
	list, err := knowledgeFiles(c.Path)
	if err != nil {
		return err
	}
	merged := knowledge.New("")
	for _, file := range list {
		facts, _, err := decode(file)
		if err != nil {
			return err
		}
		merged.Merge(facts)
		merged.Sender, merged.WrittenAt = facts.Sender, max(merged.WrittenAt, facts.WrittenAt)
	}
	v := viewOf(merged, env.Now(), settings.Knowledge.HalfLives)
	if c.JSON {
		enc := json.NewEncoder(env.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return v.print(env)
}

// view holds facts in the form that is printed, as text or JSON.
type view struct {
	Sender       string     `json:"sender"`
	Written      time.Time  `json:"written"`
	AgeSeconds   float64    `json:"age_s"`
	Waits        []waitView `json:"waits"`
	Destinations []destView `json:"destinations"`
}

type waitView struct {
	Dest     int     `json:"dest"`
	Endpoint string  `json:"endpoint,omitempty"`
	LeftMS   float64 `json:"left_ms"`
}

type destView struct {
	Dest           int            `json:"dest"`
	AgeSeconds     float64        `json:"age_s"`
	LimitPerSecond float64        `json:"limit_per_s"` // 0: none known
	LimitReported  bool           `json:"limit_reported"`
	LimitWeight    float64        `json:"limit_weight"`
	PacePerSecond  float64        `json:"pace_per_s"`
	LatencyMS      float64        `json:"latency_ms"`
	Theta          [2]float64     `json:"theta"`
	EXMS           float64        `json:"ex_ms"`
	Endpoints      []endpointView `json:"endpoints"`
}

type endpointView struct {
	Name             string  `json:"name"`
	AgeSeconds       float64 `json:"age_s"`
	Health           string  `json:"health"`
	HealthWeight     float64 `json:"health_weight"`
	Failures         int     `json:"fails"`
	RateBeforeOutage float64 `json:"rate_before_outage_per_s"`
	LimitPerSecond   float64 `json:"limit_per_s,omitempty"`
}

// viewOf returns the view of the facts at now, in Unix milliseconds, without the waits that are over by then.
func viewOf(facts *knowledge.Facts, now float64, h operator.HalfLives) *view {
	v := &view{Sender: facts.Sender, Written: time.UnixMilli(facts.WrittenAt).UTC(), AgeSeconds: round(now-float64(facts.WrittenAt)) / 1e3,
		Waits: []waitView{}, Destinations: []destView{}}
	for _, w := range facts.SortedWaits() {
		if left := w.End(now) - now; left > 0 {
			v.Waits = append(v.Waits, waitView{w.Dest, w.Endpoint, round(left)})
		}
	}
	for _, n := range facts.DestNumbers() {
		d := facts.Dests[n]
		shared := policy.RouteFacts{}
		if d.SharedRoute != nil {
			shared = *d.SharedRoute
		}
		dv := destView{Dest: n, AgeSeconds: round(now-d.LearnedAt) / 1e3, LimitPerSecond: shared.AdvertisedLimit, LimitReported: shared.LimitReported,
			LimitWeight: roundedWeight(now-d.LearnedAt, h.Limit), PacePerSecond: shared.Pace, LatencyMS: d.Latency.Mean,
			Theta: d.Admission.Theta, EXMS: d.Admission.EX, Endpoints: []endpointView{}}
		for _, e := range d.Endpoints {
			ev := endpointView{Name: e.Name, AgeSeconds: round(now-e.LearnedAt) / 1e3, Health: healthName(e.Health),
				HealthWeight: roundedWeight(now-e.LearnedAt, h.Health), Failures: e.Failures, RateBeforeOutage: e.RateBeforeOutage}
			if e.OwnRoute != nil {
				ev.LimitPerSecond = e.OwnRoute.AdvertisedLimit
			}
			dv.Endpoints = append(dv.Endpoints, ev)
		}
		v.Destinations = append(v.Destinations, dv)
	}
	return v
}

func round(v float64) float64 { return math.Round(v) }

func roundedWeight(age float64, halfLife time.Duration) float64 {
	return math.Round(1000*knowledge.Weight(age, halfLife)) / 1000
}

func healthName(h policy.Health) string {
	switch h {
	case policy.Healthy:
		return "healthy"
	case policy.Broken:
		return "broken"
	case policy.Ramping:
		return "ramping"
	}
	return "unknown"
}

func (v *view) print(env *Env) error {
	fmt.Fprintf(env.Out, "sender %q, written %s (%.0f s ago): %d waits, %d destinations\n",
		v.Sender, v.Written.Format(time.RFC3339), v.AgeSeconds, len(v.Waits), len(v.Destinations))
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	if len(v.Waits) > 0 {
		fmt.Fprintln(w, "\nWAIT FOR\tENDPOINT\tLEFT")
		for _, x := range v.Waits {
			fmt.Fprintf(w, "%d\t%s\t%.0f ms\n", x.Dest, x.Endpoint, x.LeftMS)
		}
	}
	if len(v.Destinations) > 0 {
		fmt.Fprintln(w, "\nDEST\tENDPOINT\tAGE\tHEALTH\tFAILS\tLIMIT\tWEIGHT\tPACE\tLATENCY\tTHETA\tE[X]")
	}
	for _, d := range v.Destinations {
		fmt.Fprintf(w, "%d\t\t%.0f s\t\t\t%s\t%.2f\t%s\t%.0f ms\t%.2f %.2f\t%.0f ms\n", d.Dest, d.AgeSeconds,
			formatRate(d.LimitPerSecond), d.LimitWeight, formatRate(d.PacePerSecond), d.LatencyMS, d.Theta[0], d.Theta[1], d.EXMS)
		for _, e := range d.Endpoints {
			fmt.Fprintf(w, "\t%s\t%.0f s\t%s\t%d\t%s\t%.2f\t\t\t\t\n", e.Name, e.AgeSeconds, e.Health, e.Failures, formatRate(e.LimitPerSecond), e.HealthWeight)
		}
	}
	return w.Flush()
}

func formatRate(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f/s", v)
}

type knowledgeVerify struct {
	Path string `arg:"" help:"A knowledge file, or the state directory."`
	JSON bool   `help:"As JSON."`
}

type verdict struct {
	File    string `json:"file"`
	Bytes   int    `json:"bytes"`
	Valid   bool   `json:"fine"`
	Problem string `json:"why,omitempty"`
}

func (c *knowledgeVerify) Run(env *Env) error {
	list, err := knowledgeFiles(c.Path)
	if err != nil {
		return err
	}
	var verdicts []verdict
	invalid := 0
	for _, file := range list {
		_, n, err := decode(file)
		v := verdict{File: file, Bytes: n, Valid: err == nil}
		if err != nil {
			invalid++
			v.Problem = errors.Unwrap(err).Error()
		}
		verdicts = append(verdicts, v)
	}
	if c.JSON {
		if err := json.NewEncoder(env.Out).Encode(verdicts); err != nil {
			return err
		}
	} else {
		for _, v := range verdicts {
			state := "fine"
			if !v.Valid {
				state = v.Problem
			}
			fmt.Fprintf(env.Out, "%s: %d bytes, %s\n", v.File, v.Bytes, state)
		}
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d files can't be read", invalid, len(list))
	}
	return nil
}

type knowledgeForget struct {
	Path string `arg:"" help:"The state directory."`
	Dest []int  `help:"Forget these destinations only." placeholder:"NUMBER"`
}

func (c *knowledgeForget) Run(env *Env) error {
	if info, err := os.Stat(c.Path); err != nil || !info.IsDir() {
		return fmt.Errorf("%w%s: not a directory", usageError, c.Path)
	}
	lock, err := statedir.Lock(c.Path, 0)
	if err != nil {
		return err
	}
	defer lock.Unlock()
	if len(c.Dest) > 0 {
		return c.forgetDestinations(env)
	}
	removed := 0
	for _, name := range store.FileNames {
		err := os.Remove(filepath.Join(c.Path, name))
		switch {
		case err == nil:
			removed++
		case !errors.Is(err, fs.ErrNotExist):
			return err
		}
	}
	fmt.Fprintf(env.Out, "%s: %d files removed\n", c.Path, removed)
	return nil
}

// forgetDestinations rewrites the files without the given destinations. It removes the previous snapshot, which may
// contain them too.
func (c *knowledgeForget) forgetDestinations(env *Env) error {
	list, err := knowledgeFiles(c.Path)
	if err != nil {
		return err
	}
	for _, file := range list {
		facts, _, err := decode(file)
		if err != nil {
			return err
		}
		for _, n := range c.Dest {
			delete(facts.Dests, n)
			for r := range facts.Waits {
				if r.Dest == n {
					delete(facts.Waits, r)
				}
			}
		}
		text, err := store.Encode(facts)
		if err != nil {
			return err
		}
		temporary := file + ".new"
		if err := os.WriteFile(temporary, text, 0o600); err != nil {
			return errors.Join(err, os.Remove(temporary))
		}
		if err := os.Rename(temporary, file); err != nil {
			return err
		}
	}
	if err := os.Remove(filepath.Join(c.Path, store.PreviousName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	fmt.Fprintf(env.Out, "%s: %d destinations forgotten\n", c.Path, len(c.Dest))
	return nil
}
