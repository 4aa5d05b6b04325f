package capacity

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
)

const (
	beginMarker         = "<!-- generated: %s. `make capacity` writes the text between these markers. -->"
	endMarker           = "<!-- end of %s -->"
	markedForecastError = 0.2 // relative forecast error above which the page marks a series
)

// WritePage replaces the generated sections of a page by the tables for a target and a record.
func WritePage(path string, t *Target, r *Record) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for _, section := range []struct {
		name  string
		write func(*bytes.Buffer)
	}{
		{"target", func(b *bytes.Buffer) { writeTarget(b, t) }},
		{"slopes", func(b *bytes.Buffer) { writeSlopes(b, r) }},
		{"rows", func(b *bytes.Buffer) { writeRows(b, t, r) }},
		{"bounds", func(b *bytes.Buffer) { writeBounds(b, t) }},
		{"missing", func(b *bytes.Buffer) { writeGrowthLimits(b, t, r) }},
	} {
		var b bytes.Buffer
		section.write(&b)
		if text, err = replaceSection(text, section.name, b.Bytes()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return os.WriteFile(path, text, 0o644)
}

// replaceSection replaces the text between the markers of a section. It fails if a marker is missing.
func replaceSection(text []byte, name string, content []byte) ([]byte, error) {
	begin, end := fmt.Appendf(nil, beginMarker, name), fmt.Appendf(nil, endMarker, name)
	beginAt, endAt := bytes.Index(text, begin), bytes.Index(text, end)
	if beginAt < 0 || endAt < beginAt {
		return nil, fmt.Errorf("markers %q and %q not found in this order", begin, end)
	}
	return slices.Concat(text[:beginAt+len(begin)], []byte("\n\n"), content, []byte("\n"), text[endAt:]), nil
}

// formatNumber formats a number with three significant digits and no exponent; from 1,000 on it keeps all digits of
// the integer and groups them by thousands.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		text := fmt.Sprintf("%.0f", v)
		var parts []string
		for len(text) > 3 && text[len(text)-4] != '-' {
			parts = append([]string{text[len(text)-3:]}, parts...)
			text = text[:len(text)-3]
		}
		return strings.Join(append([]string{text}, parts...), ",")
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	}
	text := fmt.Sprintf("%.3g", v)
	if strings.Contains(text, "e") {
		text = strings.TrimRight(fmt.Sprintf("%.9f", v), "0")
	}
	return text
}

// formatPercent formats a share as a percentage.
func formatPercent(v float64) string { return formatNumber(100*v) + " %" }

// writeTarget writes the quantities and budgets of the target.
func writeTarget(b *bytes.Buffer, t *Target) {
	fmt.Fprintln(b, "| | at target |\n| --- | --- |")
	fmt.Fprintf(b, "| senders | %s in %s regions with %s zones, accepting %s events a second (%s each, %s bytes) |\n",
		formatNumber(t.Senders), formatNumber(t.Regions), formatNumber(t.Zones), formatNumber(t.EventsPerSecond),
		formatNumber(t.EventsPerSecondPerSender()), formatNumber(t.EventBytes))
	fmt.Fprintf(b, "| destinations | %s, %s %% of them (%s) down at any time |\n", formatNumber(t.Destinations),
		formatNumber(t.DownPercent), formatNumber(t.DownDestinations()))
	fmt.Fprintf(b, "| backlog | up to %s events (%s a sender) |\n", formatNumber(t.Backlog),
		formatNumber(t.BacklogPerSender()))
	fmt.Fprintf(b, "| configuration | %s changes a day (%s a second), in force everywhere within %v |\n",
		formatNumber(t.ChangesPerDay), formatNumber(t.ChangesPerDay/secondsPerDay), t.InForceWithin)
	fmt.Fprintf(b, "| budget for control, per sender | at most %s %% of a core, %s MB, %s KB/s; and %s machines set aside for control |\n",
		formatNumber(t.CorePercent), formatNumber(t.MemoryMB), formatNumber(t.LinkKBPerSecond),
		formatNumber(t.ControlMachines))
	fmt.Fprintf(b, "| failures | %s machines a day, %s restarted or replaced a day; ready within %v |\n",
		formatNumber(t.MachinesLostPerDay), formatNumber(t.RestartsPerDay), t.ReadyWithin)
}

// writeSlopes writes each series with its fit and the prediction for its largest size.
func writeSlopes(b *bytes.Buffer, r *Record) {
	fmt.Fprintf(b, "Measured in %.0f s on %d cores, %s; load average of a minute: %s before, %s after.\n\n",
		r.Seconds, r.Cores, r.GoVersion, formatNumber(r.LoadBefore), formatNumber(r.LoadAfter))
	fmt.Fprintln(b, "| role | quantity | measured on | sizes fitted | base + slope | residual | left out | predicted | measured | error of the prediction |")
	fmt.Fprintln(b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i := range r.Series {
		s := &r.Series[i]
		measuredOn := "this code, in the measuring process"
		if s.RealProcess {
			measuredOn = "a real sender"
		}
		last, fitted := s.Largest(), s.Points[:len(s.Points)-1]
		warning := ""
		if missed := s.ForecastError(); missed > markedForecastError || missed < -markedForecastError {
			warning = " **over 20 %**"
		}
		fmt.Fprintf(b, "| %s | `%s`: %s | %s | %s to %s | %s + %s %s per %s | %s | %s | %s | %s %s | %s%s |\n", s.Role,
			s.Name, s.Description, measuredOn,
			formatNumber(fitted[0].Size), formatNumber(fitted[len(fitted)-1].Size), formatNumber(s.Fit.Base),
			formatNumber(s.Fit.Slope), s.Unit, s.Per,
			formatPercent(s.Fit.Residual), formatNumber(last.Size), formatNumber(s.Fit.At(last.Size)),
			formatNumber(last.Value), s.Unit, formatPercent(s.ForecastError()), warning)
	}
}

// writeRows writes each row with its need at the target and its budget.
func writeRows(b *bytes.Buffer, t *Target, r *Record) {
	fmt.Fprintln(b, "| role | quantity | current mechanism | slope x quantity (arithmetic on measured slopes) | at target | budget | share of the target at which it breaks |")
	fmt.Fprintln(b, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range Rows() {
		slopes, ok := row.slopes(r)
		if !ok {
			fmt.Fprintf(b, "| %s | %s | %s | %s | not measured | | |\n", row.Role, row.Description, row.Mechanism,
				row.Formula)
			continue
		}
		budget, breaks := "none stated", ""
		if share, stated := row.BreaksAt(t, slopes); stated {
			budget = fmt.Sprintf("%s %s: %s", formatNumber(row.Budget(t)), row.Unit, row.BudgetName)
			breaks = describeBreak(&row, share)
		}
		fmt.Fprintf(b, "| %s | %s | %s | `%s`: %s | %s %s | %s | %s |\n", row.Role, row.Description, row.Mechanism,
			strings.Join(row.Series, "`, `"), row.Formula,
			formatNumber(row.Need(t, slopes)), row.Unit, budget, breaks)
	}
}

// describeBreak describes the share of the target at which a row reaches its budget.
func describeBreak(row *Row, share float64) string {
	scope := "of the fleet"
	if row.PerSender {
		scope = "of one sender's load"
	}
	if share >= 1 {
		return fmt.Sprintf("holds (to %s times the target, %s)", formatNumber(share), scope)
	}
	return fmt.Sprintf("%s %s", formatPercent(share), scope)
}

// writeBounds writes each bound in the code with the need at the target and the share of the target at which it is
// reached.
func writeBounds(b *bytes.Buffer, t *Target) {
	fmt.Fprintln(b, "| bound in the code | constant | file | value | at target (arithmetic) | reached at | when exceeded |")
	fmt.Fprintln(b, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, bound := range Bounds() {
		need := bound.Need(t)
		fmt.Fprintf(b, "| %s | `%s` | `%s` | %s | %s | %s | %s |\n", bound.Description, bound.Constant, bound.File,
			formatNumber(bound.Value), formatNumber(need), formatPercent(bound.Value/need), bound.WhenExceeded)
	}
}

// growthLimit is a budget or bound that is reached before the target.
type growthLimit struct {
	share float64 // of the target at which it is reached
	text  string
}

// writeGrowthLimits writes the budgets and bounds that are reached before the target, the lowest share first.
func writeGrowthLimits(b *bytes.Buffer, t *Target, r *Record) {
	var list []growthLimit
	for _, row := range Rows() {
		slopes, ok := row.slopes(r)
		if !ok {
			continue
		}
		if share, stated := row.BreaksAt(t, slopes); stated && share < 1 {
			list = append(list, growthLimit{share,
				fmt.Sprintf("%s: %s (%s)", describeBreak(&row, share), row.Description, row.Mechanism)})
		}
	}
	for _, bound := range Bounds() {
		if share := bound.Value / bound.Need(t); share < 1 {
			list = append(list, growthLimit{share,
				fmt.Sprintf("%s of the fleet: %s (`%s`)", formatPercent(share), bound.Description, bound.Constant)})
		}
	}
	slices.SortStableFunc(list, func(x, y growthLimit) int { return cmp.Compare(x.share, y.share) })
	for i, m := range list {
		fmt.Fprintf(b, "%d. %s\n", i+1, m.text)
	}
}
