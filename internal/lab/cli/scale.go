package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/schollz/progressbar/v3"

	"sliptide/internal/lab/capacity"
	"sliptide/internal/lab/scale"
)

type scaleCmd struct {
	File   string `arg:"" optional:"" help:"The scale run's file." default:"experiments/fleet/scale.xml"`
	Out    string `default:"lab-results" help:"Folder for NAME.json and NAME.html." placeholder:"DIR"`
	Target string `default:"experiments/fleet/target.xml" help:"The target whose budgets are held against." placeholder:"FILE"`
	Page   string `help:"A page whose tables are written, too." placeholder:"FILE"`
	Binary string `default:"bin/sliptide" help:"The program of control members and senders." placeholder:"FILE"`
	Keep   string `help:"Keep the processes' logs in this folder." placeholder:"DIR"`
	Again  bool   `help:"Run nothing: write page and report from NAME.json."`
	Schema bool   `help:"Print the XML Schema of scale files."`
}

// errNotClean is the error of a run whose judge found something, or that did not end as planned.
var errNotClean = errors.New("the run is not clean")

// Run runs the command.
func (c *scaleCmd) Run(env *Env) error {
	if c.Schema {
		_, err := fmt.Fprint(env.Out, scale.Schema())
		return err
	}
	f, err := scale.Load(c.File)
	if err != nil {
		return err
	}
	target, err := capacity.LoadTarget(c.Target)
	if err != nil {
		return err
	}
	base := filepath.Join(c.Out, f.Name)
	result, err := c.result(env, f, base)
	if err != nil {
		return err
	}
	budgets := scale.BudgetsOf(target)
	if err := writeFile(base+".html", func(w io.Writer) error { return result.WriteHTML(w, budgets) }); err != nil {
		return err
	}
	if c.Page != "" {
		if err := scale.WritePage(c.Page, result, budgets); err != nil {
			return err
		}
	}
	return c.tell(env, result)
}

// result runs the file, or reads what an earlier run came to.
func (c *scaleCmd) result(env *Env, f *scale.File, base string) (*scale.Result, error) {
	if c.Again {
		return scale.LoadResult(base + ".json")
	}
	if err := os.MkdirAll(c.Out, 0o777); err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return nil, err
	}
	lab, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "sliptide-scale-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	o := scale.Options{File: f, Programs: scale.Programs{Sender: binary, Lab: lab}, Dir: dir,
		OnPhase:    func(size int, phase string) { fmt.Fprintf(env.Err, "%d members: %s\n", size, phase) },
		OnTick:     func(time.Duration, time.Duration) {},
		OnSizeDone: func(r *scale.Result) error { return writeFile(base+".json", r.WriteJSON) }}
	if env.Bar {
		bar := progressbar.NewOptions(int(f.Duration/time.Second), progressbar.OptionSetWriter(env.Err), progressbar.OptionClearOnFinish())
		o.OnTick = func(done, _ time.Duration) { bar.Set(int(done / time.Second)) }
	}
	result, err := scale.Run(env.Ctx, o)
	if err != nil {
		return nil, err
	}
	return result, writeFile(base+".json", result.WriteJSON)
}

// tell prints what a run came to.
func (c *scaleCmd) tell(env *Env, r *scale.Result) error {
	clean := true
	for i := range r.Sizes {
		s := &r.Sizes[i]
		if s.Verdict == nil {
			fmt.Fprintf(env.Out, "%d members: ended: %s\n", s.Members, s.Failure)
			clean = false
			continue
		}
		v, x := s.Verdict, scale.Worst(s.Senders)
		fmt.Fprintf(env.Out, "%d members: findings %v; a change in force p50 %.2f, p99 %.2f, worst %.2f s; longest unserved %.1f s; worst real sender %.3f %% of a core, %.1f MB, %.2f KB/s\n",
			s.Members, v.Findings, v.Median, v.P99, v.Worst, v.LongestUnserved, x.CorePercent, x.MemoryMB, x.LinkKBps)
		for _, e := range v.Examples[:min(len(v.Examples), 5)] {
			fmt.Fprintf(env.Out, "  %s: %s\n", e.Rule, e.Detail)
		}
		clean = clean && v.Clean()
	}
	for _, x := range r.Comparisons {
		fmt.Fprintf(env.Out, "%d destinations: of shards %.1f MB, ready in %.2f s; of all %.1f MB, ready in %.2f s %s\n", x.Destinations, x.Sharded.MemoryMB, x.Sharded.ReadySeconds, x.Whole.MemoryMB, x.Whole.ReadySeconds, x.WholeFailure)
	}
	if !clean {
		return errNotClean
	}
	return nil
}

// membersCmd is a process of hollow members, which a scale run starts.
type membersCmd struct{}

// Run runs the command.
func (c *membersCmd) Run(env *Env) error { return scale.RunHollow(env.Ctx, os.Stdin, env.Out) }
