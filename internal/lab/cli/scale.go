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
	Target string `default:"experiments/fleet/target.xml" help:"The target whose budgets the results are compared with." placeholder:"FILE"`
	Page   string `help:"A page whose tables are written, too." placeholder:"FILE"`
	Binary string `default:"bin/sliptide" help:"The program of control members and senders." placeholder:"FILE"`
	Keep   string `help:"Keep the processes' logs in this folder." placeholder:"DIR"`
	Again  bool   `help:"Run nothing: write page and report from NAME.json."`
	Schema bool   `help:"Print the XML Schema of scale files."`
}

// errNotClean reports a run with findings, or one that did not complete as planned.
var errNotClean = errors.New("the run has findings or did not complete")

// Run runs the scale file, or loads an earlier result, writes the HTML report and the page, and prints a summary.
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
	result, err := c.runOrLoad(env, f, base)
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
	return c.printResult(env, result)
}

// runOrLoad runs the file, or with --again loads the result of an earlier run.
func (c *scaleCmd) runOrLoad(env *Env, f *scale.File, base string) (*scale.Result, error) {
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
	labBinary, err := os.Executable()
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
	o := scale.Options{File: f, Programs: scale.Programs{Sender: binary, Lab: labBinary}, Dir: dir,
		OnPhase:    func(size int, phase string) { fmt.Fprintf(env.Err, "%d members: %s\n", size, phase) },
		OnTick:     func(time.Duration, time.Duration) {},
		OnSizeDone: func(r *scale.Result) error { return writeFile(base+".json", r.WriteJSON) }}
	if env.ShowProgress {
		bar := progressbar.NewOptions(int(f.Duration/time.Second),
			progressbar.OptionSetWriter(env.Err), progressbar.OptionClearOnFinish())
		o.OnTick = func(done, _ time.Duration) { bar.Set(int(done / time.Second)) }
	}
	result, err := scale.Run(env.Ctx, o)
	if err != nil {
		return nil, err
	}
	return result, writeFile(base+".json", result.WriteJSON)
}

// printResult prints a summary of the result. It returns errNotClean if a size has findings or did not complete.
func (c *scaleCmd) printResult(env *Env, r *scale.Result) error {
	clean := true
	for i := range r.Sizes {
		s := &r.Sizes[i]
		if s.Verdict == nil {
			fmt.Fprintf(env.Out, "%d members: did not complete: %s\n", s.Members, s.Failure)
			clean = false
			continue
		}
		verdict, worst := s.Verdict, scale.Worst(s.Senders)
		fmt.Fprintf(env.Out, "%d members: findings %v; a change in force p50 %.2f, p99 %.2f, worst %.2f s; longest unserved %.1f s; worst real sender %.3f %% of a core, %.1f MB, %.2f KB/s\n",
			s.Members, verdict.Findings, verdict.Median, verdict.P99, verdict.Worst, verdict.LongestUnserved,
			worst.CorePercent, worst.MemoryMB, worst.LinkKBps)
		for _, e := range verdict.Examples[:min(len(verdict.Examples), 5)] {
			fmt.Fprintf(env.Out, "  %s: %s\n", e.Rule, e.Detail)
		}
		clean = clean && verdict.Clean()
	}
	for _, comparison := range r.Comparisons {
		fmt.Fprintf(env.Out, "%d destinations: sender of shards %.1f MB, ready in %.2f s; sender of all destinations %.1f MB, ready in %.2f s %s\n",
			comparison.Destinations, comparison.Sharded.MemoryMB, comparison.Sharded.ReadySeconds,
			comparison.Whole.MemoryMB, comparison.Whole.ReadySeconds, comparison.WholeFailure)
	}
	if !clean {
		return errNotClean
	}
	return nil
}

// membersCmd runs a process of hollow members, which scale runs start. It reads JSON values from standard input until
// that ends.
type membersCmd struct{}

func (c *membersCmd) Run(env *Env) error { return scale.RunHollow(env.Ctx, os.Stdin, env.Out) }
