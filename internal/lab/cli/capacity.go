package cli

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/schollz/progressbar/v3"

	"sliptide/internal/lab/capacity"
)

type capacityCmd struct {
	Target string   `default:"experiments/fleet/target.xml" help:"The target file, for which the page is calculated." placeholder:"FILE"`
	Record string   `default:"docs/capacity/record.json" help:"The record of the measurements." placeholder:"FILE"`
	Page   string   `default:"docs/CAPACITY.md" help:"The page whose tables are written." placeholder:"FILE"`
	Binary string   `default:"bin/sliptide" help:"The sender that is measured." placeholder:"FILE"`
	Only   []string `help:"Make only these measurements, print them, and write nothing." placeholder:"NAME"`
	Again  bool     `help:"Measure nothing: write the page from the record."`
}

// Run makes the measurements, prints each series with its fit, saves the record and writes the page. With --again it
// only writes the page; with --only it measures and prints only.
func (c *capacityCmd) Run(env *Env) error {
	target, err := capacity.LoadTarget(c.Target)
	if err != nil {
		return err
	}
	if c.Again {
		return c.writePage(target)
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "sliptide-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	done := func(string) {}
	if env.ShowProgress {
		bar := progressbar.NewOptions(capacity.SizeCount(c.Only), progressbar.OptionSetWriter(env.Err),
			progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
		done = func(name string) { bar.Describe(name); bar.Add(1) }
	}
	record, err := capacity.Run(&capacity.Env{Ctx: env.Ctx, Binary: binary, ScratchDir: dir}, c.Only, done)
	if err != nil {
		return err
	}
	for i := range record.Series {
		s := &record.Series[i]
		fmt.Fprintf(env.Out, "%-26s %.4g + %.4g %s a %s, residual %.1f %%; at %.0f predicted %.4g, measured %.4g: error %+.1f %%\n",
			s.Name, s.Fit.Base, s.Fit.Slope, s.Unit, s.Per, 100*s.Fit.Residual, s.Largest().Size,
			s.Fit.At(s.Largest().Size), s.Largest().Value, 100*s.ForecastError())
	}
	if len(c.Only) > 0 {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(c.Record), 0o755); err != nil {
		return err
	}
	if err := record.Save(c.Record); err != nil {
		return err
	}
	return c.writePage(target)
}

func (c *capacityCmd) writePage(target *capacity.Target) error {
	record, err := capacity.LoadRecord(c.Record)
	if err != nil {
		return err
	}
	return capacity.WritePage(c.Page, target, record)
}
