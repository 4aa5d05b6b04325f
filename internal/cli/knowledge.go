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

// files are the knowledge files that path stands for: itself, or those of a folder.
func files(path string) ([]string, error) {
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

func decode(file string) (*knowledge.Facts, int, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, 0, err
	}
	b, err := store.Decode(text)
	if err != nil {
		return nil, len(text), fmt.Errorf("%s: %w", file, err)
	}
	return b, len(text), nil
}

type knowledgeShow struct {
	Path     string `arg:"" help:"A knowledge file, or the folder that lasts."`
	JSON     bool   `help:"As JSON."`
	Operator string `help:"The operators' file with the half-lives; else their defaults." placeholder:"FILE"`
}

// Run runs the command.
func (c *knowledgeShow) Run(env *Env) error {
	set := operator.Default()
	if c.Operator != "" {
		f, err := operator.Load(c.Operator)
		if err != nil {
			return fmt.Errorf("%w%w", misuse, err)
		}
		set = *f
	}
	list, err := files(c.Path)
	if err != nil {
		return err
	}
	book := knowledge.New("")
	for _, file := range list {
		b, _, err := decode(file)
		if err != nil {
			return err
		}
		book.Merge(b)
		book.Sender, book.WrittenAt = b.Sender, max(book.WrittenAt, b.WrittenAt)
	}
	v := viewOf(book, env.Now(), set.Knowledge.HalfLives)
	if c.JSON {
		enc := json.NewEncoder(env.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return v.print(env)
}

// view is a book as people and their programs read it.
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
	Dest       int            `json:"dest"`
	AgeSeconds float64        `json:"age_s"`
	Limit      float64        `json:"limit_per_s"` // 0: none known
	Reported   bool           `json:"limit_reported"`
	LimitLeft  float64        `json:"limit_weight"`
	Pace       float64        `json:"pace_per_s"`
	LatencyMS  float64        `json:"latency_ms"`
	Theta      [2]float64     `json:"theta"`
	EXMS       float64        `json:"ex_ms"`
	Endpoints  []endpointView `json:"endpoints"`
}

type endpointView struct {
	Name       string  `json:"name"`
	AgeSeconds float64 `json:"age_s"`
	Health     string  `json:"health"`
	Weight     float64 `json:"health_weight"`
	Fails      int     `json:"fails"`
	Base       float64 `json:"rate_before_outage_per_s"`
	Limit      float64 `json:"limit_per_s,omitempty"`
}

func viewOf(b *knowledge.Facts, now float64, h operator.HalfLives) *view {
	v := &view{Sender: b.Sender, Written: time.UnixMilli(b.WrittenAt).UTC(), AgeSeconds: round(now-float64(b.WrittenAt)) / 1e3,
		Waits: []waitView{}, Destinations: []destView{}}
	for _, w := range b.SortedWaits() {
		if left := w.End(now) - now; left > 0 {
			v.Waits = append(v.Waits, waitView{w.Dest, w.Endpoint, round(left)})
		}
	}
	for _, n := range b.DestNumbers() {
		d := b.Dests[n]
		shared := policy.RouteFacts{}
		if d.SharedRoute != nil {
			shared = *d.SharedRoute
		}
		dv := destView{Dest: n, AgeSeconds: round(now-d.LearnedAt) / 1e3, Limit: shared.AdvertisedLimit, Reported: shared.LimitReported,
			LimitLeft: share(now-d.LearnedAt, h.Limit), Pace: shared.Pace, LatencyMS: d.Latency.Mean,
			Theta: d.Admission.Theta, EXMS: d.Admission.EX, Endpoints: []endpointView{}}
		for _, e := range d.Endpoints {
			ev := endpointView{Name: e.Name, AgeSeconds: round(now-e.LearnedAt) / 1e3, Health: healthName(e.Health),
				Weight: share(now-e.LearnedAt, h.Health), Fails: e.Failures, Base: e.RateBeforeOutage}
			if e.OwnRoute != nil {
				ev.Limit = e.OwnRoute.AdvertisedLimit
			}
			dv.Endpoints = append(dv.Endpoints, ev)
		}
		v.Destinations = append(v.Destinations, dv)
	}
	return v
}

func round(v float64) float64 { return math.Round(v) }

func share(age float64, halfLife time.Duration) float64 {
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
			rate(d.Limit), d.LimitLeft, rate(d.Pace), d.LatencyMS, d.Theta[0], d.Theta[1], d.EXMS)
		for _, e := range d.Endpoints {
			fmt.Fprintf(w, "\t%s\t%.0f s\t%s\t%d\t%s\t%.2f\t\t\t\t\n", e.Name, e.AgeSeconds, e.Health, e.Fails, rate(e.Limit), e.Weight)
		}
	}
	return w.Flush()
}

func rate(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f/s", v)
}

type knowledgeVerify struct {
	Path string `arg:"" help:"A knowledge file, or the folder that lasts."`
	JSON bool   `help:"As JSON."`
}

type verdict struct {
	File  string `json:"file"`
	Bytes int    `json:"bytes"`
	Fine  bool   `json:"fine"`
	Why   string `json:"why,omitempty"`
}

// Run runs the command.
func (c *knowledgeVerify) Run(env *Env) error {
	list, err := files(c.Path)
	if err != nil {
		return err
	}
	var verdicts []verdict
	bad := 0
	for _, file := range list {
		_, n, err := decode(file)
		v := verdict{File: file, Bytes: n, Fine: err == nil}
		if err != nil {
			bad++
			v.Why = errors.Unwrap(err).Error()
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
			if !v.Fine {
				state = v.Why
			}
			fmt.Fprintf(env.Out, "%s: %d bytes, %s\n", v.File, v.Bytes, state)
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files can't be read", bad, len(list))
	}
	return nil
}

type knowledgeForget struct {
	Path string `arg:"" help:"The folder that lasts."`
	Dest []int  `help:"Forget these destinations only." placeholder:"NUMBER"`
}

// Run runs the command.
func (c *knowledgeForget) Run(env *Env) error {
	if info, err := os.Stat(c.Path); err != nil || !info.IsDir() {
		return fmt.Errorf("%w%s: not a folder", misuse, c.Path)
	}
	lock, err := statedir.Lock(c.Path, 0)
	if err != nil {
		return err
	}
	defer lock.Unlock()
	if len(c.Dest) > 0 {
		return c.some(env)
	}
	n := 0
	for _, name := range store.FileNames {
		err := os.Remove(filepath.Join(c.Path, name))
		switch {
		case err == nil:
			n++
		case !errors.Is(err, fs.ErrNotExist):
			return err
		}
	}
	fmt.Fprintf(env.Out, "%s: %d files removed\n", c.Path, n)
	return nil
}

// some rewrites the files without the destinations that are named. The generation before, which has
// them too, goes.
func (c *knowledgeForget) some(env *Env) error {
	list, err := files(c.Path)
	if err != nil {
		return err
	}
	for _, file := range list {
		b, _, err := decode(file)
		if err != nil {
			return err
		}
		for _, n := range c.Dest {
			delete(b.Dests, n)
			for r := range b.Waits {
				if r.Dest == n {
					delete(b.Waits, r)
				}
			}
		}
		text, err := store.Encode(b)
		if err != nil {
			return err
		}
		fresh := file + ".new"
		if err := os.WriteFile(fresh, text, 0o600); err != nil {
			return errors.Join(err, os.Remove(fresh))
		}
		if err := os.Rename(fresh, file); err != nil {
			return err
		}
	}
	if err := os.Remove(filepath.Join(c.Path, store.PreviousName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	fmt.Fprintf(env.Out, "%s: %d destinations forgotten\n", c.Path, len(c.Dest))
	return nil
}
