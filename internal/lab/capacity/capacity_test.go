package capacity

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const targetFile = "../../../experiments/fleet/target.xml"

func loadTarget(t *testing.T) *Target {
	t.Helper()
	loaded, err := LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

// The target file is read with its quantities, and an invalid or incomplete one is rejected.
func TestTarget(t *testing.T) {
	loaded := loadTarget(t)
	if loaded.Senders != 14000 || math.Round(loaded.EventsPerSecondPerSender()) != 1143 ||
		loaded.DownDestinations() != 46000 || math.Round(loaded.BacklogPerSender()/1e4) != 607 {
		t.Errorf("%+v", loaded)
	}
	text, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct{ from, to, want string }{
		{`count="2000000"`, `count="many"`, "decimal number"},
		{`senders="14000" `, "", "senders"},
		{`<backlog events="85000000000"/>`, "", "<backlog> is missing or states 0"},
		{`<backlog events="85000000000"/>`, `<backlog events="0"/>`, "<backlog> is missing or states 0"},
		{`ready-within="10s"`, `ready-within="10"`, "ready-within"},
		{`zones="13"`, `zones="13" racks="2"`, "racks"},
	} {
		path := filepath.Join(t.TempDir(), "target.xml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(text), bad.from, bad.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadTarget(path); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%q in place of %q: error %v, want one about %q", bad.to, bad.from, err, bad.want)
		}
	}
}

// The fit recovers an exact line over four powers of ten and excludes the largest point, which lies off the line.
func TestFitExcludesTheLargestPoint(t *testing.T) {
	s := Series{Points: []Point{{10, 7}, {100, 25}, {1000, 205}, {10000, 2005}, {100000, 40010}}}
	s.fitAllButLargest()
	if math.Abs(s.Fit.Base-5) > 1e-6 || math.Abs(s.Fit.Slope-0.2) > 1e-9 || s.Fit.Residual > 1e-9 {
		t.Errorf("fit %+v, want 5 + 0.2", s.Fit)
	}
	if missed := s.ForecastError(); math.Abs(missed-(20005.0/40010-1)) > 1e-9 {
		t.Errorf("forecast error %g, want that of 20005 against 40010", missed)
	}
	noisy := FitLine([]Point{{10, 7.7}, {100, 25}, {1000, 205}, {10000, 2005}})
	if noisy.Residual < 0.01 || math.Abs(noisy.Slope-0.2) > 0.02 {
		t.Errorf("with a tenth of noise at the smallest size: %+v, want a residual of 0.01 or more and a slope near 0.2", noisy)
	}
}

// BreaksAt finds the share at which a need reaches its budget: for linear and quadratic growth, for the load of one
// sender, and for a row without a budget. The slopes are multiples of those at which the need at the target is the
// whole budget of 128 MB.
func TestBreaksAt(t *testing.T) {
	at := loadTarget(t)
	memory := func(t *Target) float64 { return t.MemoryMB }
	for _, c := range []struct {
		name  string
		row   Row
		slope float64
		want  float64
	}{
		{"linear", Row{Need: func(t *Target, s []float64) float64 { return s[0] * t.Destinations }, Budget: memory},
			64e-6 * 10, 0.1},
		{"quadratic", Row{Need: func(t *Target, s []float64) float64 { return s[0] * t.Senders * t.Senders },
			Budget: memory}, 128 / 14000.0 / 14000 * 4, 0.5},
		{"holds", Row{Need: func(t *Target, s []float64) float64 { return s[0] * t.Senders }, Budget: memory},
			128 / 14000.0 / 3, 3},
		{"one sender's", Row{PerSender: true,
			Need:   func(t *Target, s []float64) float64 { return s[0] * t.BacklogPerSender() },
			Budget: memory}, 128 / at.BacklogPerSender() * 5, 0.2},
	} {
		if got, stated := c.row.BreaksAt(at, []float64{c.slope}); !stated || math.Abs(got/c.want-1) > 1e-6 {
			t.Errorf("%s: breaks at %g, want %g", c.name, got, c.want)
		}
	}
	none := Row{Need: func(*Target, []float64) float64 { return 1 }}
	if _, stated := none.BreaksAt(at, nil); stated {
		t.Error("BreaksAt reports a share for a row without a budget")
	}
}

// Every slope that the page uses is measured, at five or more ascending sizes, of which the largest is at least 90
// times the smallest.
func TestMeasurementsCoverThePage(t *testing.T) {
	names := map[string]bool{}
	for _, m := range Measurements() {
		if names[m.Name] {
			t.Errorf("measurement %s is defined twice", m.Name)
		}
		names[m.Name] = true
		if len(m.Sizes) < 5 || !slices.IsSorted(m.Sizes) || m.Sizes[len(m.Sizes)-1] < 90*m.Sizes[0] {
			t.Errorf("%s: sizes %v, want five or more in ascending order, the largest 90 times the smallest", m.Name, m.Sizes)
		}
	}
	for _, row := range Rows() {
		for _, name := range row.Series {
			if !names[name] {
				t.Errorf("row %q uses the slope of %s, which no measurement yields", row.Description, name)
			}
		}
	}
}

// Measurements that need no separate process yield positive values at their three smallest sizes.
func TestMeasurementsRun(t *testing.T) {
	e := &Env{Ctx: context.Background(), ScratchDir: t.TempDir()}
	for _, m := range Measurements() {
		if m.RealProcess {
			continue
		}
		m.Sizes, m.Repeats = m.Sizes[:3], 1
		s, err := m.run(e, func(string) {})
		if err != nil {
			t.Errorf("%s: %v", m.Name, err)
			continue
		}
		for _, p := range s.Points {
			if p.Value <= 0 {
				t.Errorf("%s at %g: %g %s, want more than 0", m.Name, p.Size, p.Value, m.Unit)
			}
		}
	}
}

// The tables of the page match its record, target and bounds. The test fails if a number in the page was edited by
// hand, or if the target or a bound changed and the page was not regenerated.
func TestPageIsCurrent(t *testing.T) {
	const page, record = "../../../docs/CAPACITY.md", "../../../docs/capacity/record.json"
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	r, err := LoadRecord(record)
	if err != nil {
		t.Fatal(err)
	}
	regenerated := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(regenerated, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(regenerated, loadTarget(t), r); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(regenerated)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(text) {
		t.Error("docs/CAPACITY.md differs from the page generated from its record and target: run make capacity-page")
	}
}

// A page without the markers is rejected, and the error names the missing marker.
func TestPageWithoutMarkers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte("# Capacity\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(path, loadTarget(t), &Record{}); err == nil ||
		!strings.Contains(err.Error(), "generated: target") {
		t.Errorf("page without markers: error %v, want one that names the marker of the target", err)
	}
}

// Numbers have three significant digits, no exponent, and thousands separators.
func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 1234567: "1,234,567", 1000: "1,000", 128: "128", 12.345: "12.3",
		0.00512:   "0.00512",
		0.0000123: "0.0000123", -18.44: "-18.4", -1234: "-1,234"} {
		if got := formatNumber(v); got != want {
			t.Errorf("%g: %q, want %q", v, got, want)
		}
	}
}
