// Package lab contains the packages of the lab. Its tests run them together, from the experiment file to the report.
package lab

import (
	"bytes"
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sliptide/internal/lab/cli"
	"sliptide/internal/lab/experiment"
	"sliptide/internal/lab/results"
	"sliptide/internal/lab/runner"
	"sliptide/internal/strictxml"
)

const smallExperiment = `<experiment version="1" name="small" about="A test.">
  <world load="20" limit="30" warm-up="3s" outage="2s" after="5s"/>
  <vary name="system" values="before sliptide"/><vary name="senders" values="1 3"/>
  <seeds first="4" count="3"/>
</experiment>`

// Invalid experiments are refused with an error that names the fault and what is allowed.
func TestBadExperiments(t *testing.T) {
	for text, want := range map[string]string{
		`<experiment version="1" name="a"><vary name="sender" values="1"/></experiment>`:                                    `name="sender" in <vary>; allowed: system, senders`,
		`<experiment version="1" name="a"><vary name="senders" values="1 x"/></experiment>`:                                 `vary senders: value "x"; allowed: a whole number from 1 to 1000`,
		`<experiment version="1" name="a"><vary name="senders" values="1 1"/></experiment>`:                                 `is listed twice`,
		`<experiment version="1" name="a"><world outage="5"/></experiment>`:                                                 `outage="5" in <world>; allowed: 0ms to 1h`,
		`<experiment version="1" name="A"/>`:                                                                                `lowercase letters`,
		`<experiment version="1" name="a"><world partners="20000" endpoints="10"/></experiment>`:                            `200000 endpoints; allowed: 20000`,
		`<experiment version="1" name="a"><vary name="tells" values="true false"/><seeds count="0"/></experiment>`:          `count="0"`,
		`<experiment version="1" name="a"><seeds count="10000"/><vary name="senders" values="1 2 3 4 5 6 7"/></experiment>`: `70000 runs`,
	} {
		_, err := experiment.Read("f.xml", strings.NewReader(text))
		var bad *strictxml.Error
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\nerror %v, want one with %q", text, err, want)
		}
	}
}

// The shipped experiments can be read, and the schema file beside them is up to date.
func TestShippedExperiments(t *testing.T) {
	files, _ := filepath.Glob("../../experiments/*.xml")
	if len(files) == 0 {
		t.Fatal("no experiment files in ../../experiments")
	}
	for _, name := range files {
		if _, err := experiment.Load(name); err != nil {
			t.Error(err)
		}
	}
	if have, err := os.ReadFile("../../experiments/experiment.xsd"); err != nil || string(have) != experiment.Schema() {
		t.Errorf("experiments/experiment.xsd differs from the generated schema (run make generate): %v", err)
	}
}

// The results do not depend on the number of workers, and can be read back from JSON. Compared with themselves they
// show no differences; a lowered goodput shows as the only difference.
func TestResultsIndependentOfWorkers(t *testing.T) {
	f, err := experiment.Read("f.xml", strings.NewReader(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	var encoded [][]byte
	for _, workers := range []int{1, 4} {
		e, err := runner.Run(context.Background(), f, workers, nil)
		if err != nil {
			t.Fatal(err)
		}
		e.PerSecond = 0 // depends on the machine
		var b bytes.Buffer
		if err := e.WriteJSON(&b); err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, b.Bytes())
	}
	if !bytes.Equal(encoded[0], encoded[1]) {
		t.Error("results with four workers differ from those with one")
	}
	e, err := results.ReadJSON(bytes.NewReader(encoded[0]))
	if err != nil || len(e.Points) != 4 || len(e.Points[0].Runs) != 3 {
		t.Fatalf("read back: error %v, experiment %+v", err, e)
	}
	if list, common := results.Compare(e, e, 0.05); len(list) > 0 || common != 4 {
		t.Errorf("results compared with themselves: differences %v, want none, and 4 points in common", list)
	}
	changed, _ := results.ReadJSON(bytes.NewReader(encoded[0]))
	s := changed.Points[0].Summary["goodput"]
	s.Mean -= 10 * (s.SD + 0.01)
	changed.Points[0].Summary["goodput"] = s
	if list, _ := results.Compare(e, changed, 0.01); len(list) != 1 || list[0].Measure != "goodput" {
		t.Errorf("goodput lowered by ten standard deviations: differences %+v, want goodput only", list)
	}
	if _, err := results.ReadJSON(strings.NewReader(`{"name":"x","vary":["a"],"points":[{"labels":[]}]}`)); err == nil {
		t.Error("a point with too few labels was accepted")
	}
}

// The commands work in sequence from an experiment file to the report, and errors give the right exit status.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "small.xml")
	if err := os.WriteFile(file, []byte(smallExperiment), 0o600); err != nil {
		t.Fatal(err)
	}
	runCLI := func(args ...string) (int, string) {
		var out bytes.Buffer
		status := cli.Main(args, cli.Env{Ctx: context.Background(), Out: &out, Err: &out})
		return status, out.String()
	}
	resultsFile := filepath.Join(dir, "small.json")
	for _, row := range []struct {
		want   int
		substr string
		args   []string
	}{
		{0, "12 runs", []string{"run", file, "--out", dir}},
		{0, "small.html", []string{"report", resultsFile}},
		{0, "4 points in common, 0 differences", []string{"compare", resultsFile, resultsFile}},
		{0, "A test.", []string{"list", dir, "--results", dir}},
		{0, "xs:schema", []string{"schema"}},
		{1, "no such file", []string{"report", filepath.Join(dir, "none.json")}},
		{1, "not the lab's results", []string{"report", file}},
		{2, "no such file", []string{"run", filepath.Join(dir, "none.xml")}},
		{2, "nonsense", []string{"nonsense"}},
	} {
		if status, out := runCLI(row.args...); status != row.want || !strings.Contains(out, row.substr) {
			t.Errorf("%v: status %d, want %d with %q:\n%s", row.args, status, row.want, row.substr, out)
		}
	}
	page, err := os.Open(filepath.Join(dir, "small.html"))
	if err != nil {
		t.Fatal(err)
	}
	defer page.Close()
	dec := xml.NewDecoder(page)
	dec.Strict, dec.Entity, dec.AutoClose = false, xml.HTMLEntity, xml.HTMLAutoClose
	svgs := 0
	for {
		tok, err := dec.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("parse the report page: %v", err)
		}
		if s, ok := tok.(xml.StartElement); ok && s.Name.Local == "svg" {
			svgs++
		}
	}
	if svgs != 8 { // four plots for each number of senders
		t.Errorf("the report has %d plots, want 8", svgs)
	}
}

// A cancelled run returns context.Canceled and no results.
func TestCancelledRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f, _ := experiment.Read("f.xml", strings.NewReader(smallExperiment))
	if e, err := runner.Run(ctx, f, 2, nil); e != nil || !reflect.DeepEqual(err, context.Canceled) {
		t.Errorf("result %v, error %v; want no result and context canceled", e, err)
	}
}
