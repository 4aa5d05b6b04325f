package scale

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sliptide/internal/fleet/shard"
	"sliptide/internal/lab/capacity"
)

// judgeTwoMembers judges a clean run of two members of one region that both serve the shard of destination 7. edit, if
// set, alters the judge or the observations first: observations 4 and 5 apply the change of the destination at the
// members, and 7 is the second member's last report of its version.
func judgeTwoMembers(edit func(j *Judge, seen []Observation) []Observation) *Verdict {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	id := []uint32{uint32(shard.Of(7))}
	j := &Judge{Rules: Rules{MaxUnserved: 15 * time.Second, InForceTimeout: 20 * time.Second, Replicas: 2},
		Members: []HollowMember{{0, "a", "r", "z1"}, {1, "b", "r", "z2"}}, Changes: []Change{{at(10 * time.Second), 7, 1}}}
	observations := []Observation{
		{At: at(0), Kind: Up, Member: 0}, {At: at(0), Kind: Up, Member: 1},
		{At: at(time.Second), Kind: Applied, Member: 0, Version: 100, Assigned: id},
		{At: at(time.Second), Kind: Applied, Member: 1, Version: 100, Assigned: id},
		{At: at(11 * time.Second), Kind: Applied, Member: 0, Version: 101, Changes: []SeenChange{{7, 1}}},
		{At: at(12 * time.Second), Kind: Applied, Member: 1, Version: 101, Changes: []SeenChange{{7, 1}}},
		{At: at(60 * time.Second), Kind: AtVersion, Member: 0, Version: 101}, {At: at(60 * time.Second), Kind: AtVersion, Member: 1, Version: 101},
	}
	if edit != nil {
		observations = edit(j, observations)
	}
	return j.Run(observations, at(70*time.Second))
}

// A run without violations has no findings, and the delays are those of both members: the change is in force after 1 s
// at the first and after 2 s at the second.
func TestJudgeCleanRun(t *testing.T) {
	v := judgeTwoMembers(nil)
	if !v.Clean() || v.Changes != 1 || v.InForceCount != 2 || v.Worst != 2 || v.Median != 2 {
		t.Errorf("%+v", v)
	}
}

// Each violated rule is reported, and no other rule is.
func TestJudgeReportsViolations(t *testing.T) {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	for name, c := range map[string]struct {
		rule   string
		change func(j *Judge, seen []Observation) []Observation
	}{
		"a version that decreases": {RuleBackward, func(_ *Judge, seen []Observation) []Observation {
			return append(seen, Observation{At: at(61 * time.Second), Kind: Applied, Member: 0, Version: 100}, Observation{At: at(62 * time.Second), Kind: Applied, Member: 0, Version: 101})
		}},
		"a member that stays at an old version": {RuleStale, func(_ *Judge, seen []Observation) []Observation {
			seen[7].Version = 100
			seen[5].Version = 100
			return seen
		}},
		"a change that is applied late": {RuleMissed, func(_ *Judge, seen []Observation) []Observation {
			seen[5].At = at(31 * time.Second)
			return seen
		}},
		"a change that is never applied": {RuleMissed, func(_ *Judge, seen []Observation) []Observation {
			seen[5].Changes = nil
			return seen
		}},
		"a shard without a live member until just after the limit": {RuleUnserved, func(_ *Judge, seen []Observation) []Observation {
			id := []uint32{uint32(shard.Of(7))}
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(30 * time.Second), Kind: Down, Member: 1},
				Observation{At: at(45*time.Second + time.Millisecond), Kind: Up, Member: 0}, Observation{At: at(45*time.Second + 2*time.Millisecond), Kind: Applied, Member: 0, Version: 101, Assigned: id})
		}},
		"a shard without a live member": {RuleUnserved, func(_ *Judge, seen []Observation) []Observation {
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(31 * time.Second), Kind: Down, Member: 1})
		}},
	} {
		v := judgeTwoMembers(c.change)
		if v.Findings[c.rule] == 0 || len(v.Findings) != 1 {
			t.Errorf("%s: findings %v, want %s alone; examples %v", name, v.Findings, c.rule, v.Examples)
		}
	}
}

// Delays in a partitioned region count from the end of the partition. Members that are down or no longer serve the
// shard need not apply its changes, and a shard that a real sender serves is not unserved. A periodic version report
// that does not agree with the order of updates around it is no step backward.
func TestJudgeAcceptsPermittedDelays(t *testing.T) {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	for name, change := range map[string]func(j *Judge, seen []Observation) []Observation{
		"a partitioned region": func(j *Judge, seen []Observation) []Observation {
			j.Partitions = []Partition{{"r", at(9 * time.Second), at(40 * time.Second)}}
			seen[4].At, seen[5].At = at(45*time.Second), at(50*time.Second)
			return seen
		},
		"a member that went down before the change was applied": func(_ *Judge, seen []Observation) []Observation {
			seen[5] = Observation{At: at(12 * time.Second), Kind: Down, Member: 1}
			return seen[:7]
		},
		"a shard that was reassigned": func(_ *Judge, seen []Observation) []Observation {
			seen[5] = Observation{At: at(12 * time.Second), Kind: Applied, Member: 1, Version: 101, Unassigned: []uint32{uint32(shard.Of(7))}}
			return seen
		},
		"a real sender serves it": func(j *Judge, seen []Observation) []Observation {
			j.RealSenders = []HollowMember{{0, "c", "r", "z3"}}
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(31 * time.Second), Kind: Down, Member: 1})
		},
		"a version report that overlaps with updates": func(_ *Judge, seen []Observation) []Observation {
			return append(seen, Observation{At: at(59 * time.Second), Kind: AtVersion, Member: 0, Version: 103},
				Observation{At: at(59*time.Second + 1), Kind: Applied, Member: 0, Version: 102}, Observation{At: at(59*time.Second + 2), Kind: Applied, Member: 0, Version: 103},
				Observation{At: at(59*time.Second + 3), Kind: Applied, Member: 1, Version: 103}, Observation{At: at(60*time.Second + 1), Kind: AtVersion, Member: 0, Version: 102})
		},
	} {
		if v := judgeTwoMembers(change); !v.Clean() {
			t.Errorf("%s: want no findings, got %v", name, v.Examples)
		}
	}
}

// The tables of docs/scale.md match the recorded result.
func TestPageIsCurrent(t *testing.T) {
	const page, recordedResult = "../../../docs/scale.md", "../../../docs/capacity/scale.json"
	target, err := capacity.LoadTarget("../../../experiments/fleet/target.xml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := LoadResult(recordedResult)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	regenerated := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(regenerated, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(regenerated, r, BudgetsOf(target)); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(regenerated)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(text) {
		t.Error("docs/scale.md differs from the tables of the recorded result; to regenerate it: sliptide lab scale --again --out docs/capacity --page docs/scale.md")
	}
}

// The tables name findings, a size that ended early, a delay beyond its bound and a failed comparison, and the HTML
// report has a plot for each quantity.
func TestReports(t *testing.T) {
	budgets := Budgets{Senders: 14000, CorePercent: 3.6, MemoryMB: 128, LinkKBps: 19}
	r := &Result{Name: "x", Sizes: []SizeResult{
		{Members: 500, Verdict: &Verdict{Worst: 1}, Senders: []Usage{{MemoryMB: 20}}},
		{Members: 1000, Verdict: &Verdict{Worst: 2, Findings: map[string]int{RuleStale: 3}}, Senders: []Usage{{MemoryMB: 21}}},
		{Members: 2000, Verdict: &Verdict{Worst: 30}, Senders: []Usage{{MemoryMB: 23}}},
		{Members: 4000, Failure: "the memory"},
	}, Comparisons: []Comparison{{Destinations: 9, WholeFailure: "the list"}}}
	var tables, html bytes.Buffer
	WriteTables(&tables, r, budgets)
	for _, want := range []string{"NOT CLEAN: stale 3", "not judged: the memory", "2000: 30 (DOES NOT HOLD)", "WOULD NOT HOLD", "the list"} {
		if !strings.Contains(tables.String(), want) {
			t.Errorf("%q is missing in\n%s", want, tables.String())
		}
	}
	if err := r.WriteHTML(&html, budgets); err != nil || strings.Count(html.String(), "<svg") != len(quantities) {
		t.Errorf("HTML report: error %v, %d plots; want a plot for each quantity", err, strings.Count(html.String(), "<svg"))
	}
}

// A command to a process that has just been killed must not fail the run. This occurs when a zone is killed while a
// stopped rack in it is due to start again; the two faults can coincide to the second in the small run.
func TestCommandToKilledProcess(t *testing.T) {
	lab, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	h := &hollowProcess{name: "hollows"}
	r := newObservationLog()
	if err := h.start(context.Background(), lab, t.TempDir(), r); err != nil {
		t.Fatal(err)
	}
	if err := h.send(Command{Stop: []int{1}}); err != nil {
		t.Errorf("command to a running process: %v", err)
	}
	h.kill(func() int64 { return 1 }, r)
	if err := h.send(Command{Start: []int{1}}); err != nil {
		t.Errorf("command to a killed process: %v", err)
	}
	if err := h.start(context.Background(), lab, t.TempDir(), r); err != nil {
		t.Fatal(err)
	}
	if err := h.send(Command{Start: []int{1}}); err != nil {
		t.Errorf("command to a restarted process: %v", err)
	}
	h.kill(func() int64 { return 2 }, r)
}
