// Package cli implements the command line of the lab, a separate program that "sliptide lab" starts. Senders do not
// link it: plots, distributions and progress bars would cost memory that the smallest supported machine does not have.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"sliptide/internal/command"
	"sliptide/internal/lab/experiment"
	"sliptide/internal/lab/report"
	"sliptide/internal/lab/results"
	"sliptide/internal/lab/runner"
	"sliptide/internal/strictxml"
)

// Env holds the context, the output streams and the terminal setting of the commands.
type Env struct {
	Ctx          context.Context
	Out, Err     io.Writer
	ShowProgress bool // whether Err is a terminal
}

type grammar struct {
	Run       runCmd       `cmd:"" help:"Run an experiment and write its results."`
	List      listCmd      `cmd:"" help:"List the experiments of a folder, and their results."`
	Report    reportCmd    `cmd:"" help:"Draw results as an HTML page."`
	Compare   compareCmd   `cmd:"" help:"Show the statistically significant differences between two results."`
	Collector collectorCmd `cmd:"" help:"Serve as an OTLP collector and show the traces that arrive."`
	Count     countCmd     `cmd:"" help:"Sum up the logs of a fleet per time window: calls, refusals, failed lists, messages held."`
	Capacity  capacityCmd  `cmd:"" help:"Measure how the use of each resource grows, and write the capacity page."`
	Scale     scaleCmd     `cmd:"" help:"Run a sharded fleet of hollow members on this machine, with faults and a judge."`
	Members   membersCmd   `cmd:"" name:"scale-members" hidden:"" help:"Hollow members of a scale run."`
	Schema    schemaCmd    `cmd:"" help:"Print the XML Schema of experiment files."`
}

type runCmd struct {
	File    string `arg:"" help:"The experiment file."`
	Out     string `default:"lab-results" help:"Folder for NAME.json, NAME.csv and NAME.html." placeholder:"DIR"`
	Workers int    `help:"Runs at a time; 0: one a core." default:"0"`
	Seeds   int    `help:"Seeds of each point, in place of the file's." placeholder:"N"`
}

// Run runs the experiment, writes the results as JSON, CSV and HTML, and prints a table of them.
func (c *runCmd) Run(env *Env) error {
	f, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	if c.Seeds > 0 {
		f.SeedCount = c.Seeds
	}
	if err := os.MkdirAll(c.Out, 0o777); err != nil {
		return err
	}
	total := len(f.Points()) * f.SeedCount
	done := func() {}
	if env.ShowProgress {
		bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(env.Err), progressbar.OptionShowCount(),
			progressbar.OptionSetDescription(f.Name), progressbar.OptionClearOnFinish())
		done = func() { bar.Add(1) }
	}
	e, err := runner.Run(env.Ctx, f, c.Workers, done)
	if err != nil {
		return fmt.Errorf("%s: run stopped, no results written: %w", f.Name, err)
	}
	base := filepath.Join(c.Out, f.Name)
	for _, o := range []struct {
		name  string
		write func(io.Writer) error
	}{
		{base + ".json", e.WriteJSON}, {base + ".csv", e.WriteCSV},
		{base + ".html", func(w io.Writer) error { return report.Write(w, e) }},
	} {
		if err := writeFile(o.name, o.write); err != nil {
			return err
		}
	}
	writeTable(env.Out, e)
	fmt.Fprintf(env.Out, "%d runs, %d events, %.0f a second on one core; %s.json, .csv, .html\n",
		total, e.Events, e.PerSecond, base)
	return nil
}

// writeFile replaces a file atomically: after an error the old file is unchanged.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".lab-*")
	if err != nil {
		return err
	}
	err = errors.Join(write(f), f.Chmod(0o644), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// shownMeasures lists the measures that fit into the width of a terminal.
var shownMeasures = []string{"first-second", "most-in-a-second", "seconds-over", "back-95",
	"goodput", "retries", "p99", "others-p99"}

// writeTable prints a row for each point: its labels, its limit and, for each of shownMeasures, the mean and half the
// width of its confidence interval.
func writeTable(out io.Writer, e *results.Experiment) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(e.Vary, "\t")+"\tlimit\t"+strings.Join(shownMeasures, "\t"))
	for _, p := range e.Points {
		fmt.Fprintf(w, "%s\t%.0f", strings.Join(p.Labels, "\t"), p.Limit)
		for _, m := range shownMeasures {
			s := p.Summary[m]
			fmt.Fprintf(w, "\t%.4g±%.2g", s.Mean, s.Half)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

type listCmd struct {
	Folder  string `arg:"" default:"experiments" help:"Folder of experiment files."`
	Results string `default:"lab-results" help:"Folder of their results." placeholder:"DIR"`
}

// Run prints a row for each experiment file of the folder, also for one that cannot be read, with the time of its
// results.
func (c *listCmd) Run(env *Env) error {
	files, err := filepath.Glob(filepath.Join(c.Folder, "*.xml"))
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "experiment\tpoints\truns\tresults\tabout")
	for _, name := range files {
		f, err := experiment.Load(name)
		if err != nil {
			fmt.Fprintln(w, filepath.Base(name)+"\t-\t-\t-\t"+err.Error())
			continue
		}
		resultsTime := "none"
		if info, err := os.Stat(filepath.Join(c.Results, f.Name+".json")); err == nil {
			resultsTime = info.ModTime().Format("2006-01-02 15:04")
		}
		n := len(f.Points())
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", f.Name, n, n*f.SeedCount, resultsTime, f.About)
	}
	return w.Flush()
}

type reportCmd struct {
	File string `arg:"" help:"Results in JSON."`
	Out  string `help:"The page to write; by default beside the results." placeholder:"FILE"`
}

// Run writes the HTML page of the results and prints its name.
func (c *reportCmd) Run(env *Env) error {
	e, err := loadResults(c.File)
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.Out = strings.TrimSuffix(c.File, ".json") + ".html"
	}
	if err := writeFile(c.Out, func(w io.Writer) error { return report.Write(w, e) }); err != nil {
		return err
	}
	fmt.Fprintln(env.Out, c.Out)
	return nil
}

// loadResults reads the results in a JSON file.
func loadResults(name string) (*results.Experiment, error) {
	in, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	e, err := results.ReadJSON(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return e, nil
}

type compareCmd struct {
	A     string  `arg:"" help:"Results in JSON."`
	B     string  `arg:"" help:"Results in JSON to compare with."`
	Level float64 `default:"0.01" help:"Significance level: differences with a lower p-value are shown."`
}

// Run prints the differences between the results. It fails if they have no points in common.
func (c *compareCmd) Run(env *Env) error {
	a, err := loadResults(c.A)
	if err != nil {
		return err
	}
	b, err := loadResults(c.B)
	if err != nil {
		return err
	}
	list, common := results.Compare(a, b, c.Level)
	if common == 0 {
		return errors.New("the two results have no points in common")
	}
	w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "point\tmeasure\ta\tb\tp")
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%s\t%.4g±%.2g\t%.4g±%.2g\t%.2g\n",
			strings.Join(d.Labels, " "), d.Measure, d.A.Mean, d.A.Half, d.B.Mean, d.B.Half, d.PValue)
	}
	w.Flush()
	fmt.Fprintf(env.Out, "%d points in common, %d differences (Welch's t-test, %g)\n", common, len(list), c.Level)
	return nil
}

type schemaCmd struct{}

func (schemaCmd) Run(env *Env) error {
	_, err := io.WriteString(env.Out, experiment.Schema())
	return err
}

// Main runs the command given by args and returns its exit status.
func Main(args []string, env Env) int {
	p := command.Program{Name: "sliptide lab", Out: env.Out, Err: env.Err, Env: &env, Status: exitStatus,
		Description: "An emulator of senders, clients and partners, and experiments with it."}
	return p.Main(&grammar{}, args)
}

// exitStatus returns the exit status for an error: ExitUsage for a fault in an input file, else ExitFailure. No error
// is quiet.
func exitStatus(err error) (status int, quiet bool) {
	var bad *strictxml.Error
	if errors.As(err, &bad) {
		return command.ExitUsage, false
	}
	return command.ExitFailure, false
}
