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

// run is a run of two members of one region that serve the shard of destination 7, one of which the test makes err.
func judgeTwoMembers(change func(j *Judge, seen []Observation) []Observation) *Verdict {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	id := []uint32{uint32(shard.Of(7))}
	j := &Judge{Rules: Rules{MaxUnserved: 15 * time.Second, InForceTimeout: 20 * time.Second, Replicas: 2},
		Members: []HollowMember{{0, "a", "r", "z1"}, {1, "b", "r", "z2"}}, Changes: []Change{{at(10 * time.Second), 7, 1}}}
	seen := []Observation{
		{At: at(0), Kind: Up, Member: 0}, {At: at(0), Kind: Up, Member: 1},
		{At: at(time.Second), Kind: Applied, Member: 0, Version: 100, Assigned: id},
		{At: at(time.Second), Kind: Applied, Member: 1, Version: 100, Assigned: id},
		{At: at(11 * time.Second), Kind: Applied, Member: 0, Version: 101, Changes: []SeenChange{{7, 1}}},
		{At: at(12 * time.Second), Kind: Applied, Member: 1, Version: 101, Changes: []SeenChange{{7, 1}}},
		{At: at(60 * time.Second), Kind: AtVersion, Member: 0, Version: 101}, {At: at(60 * time.Second), Kind: AtVersion, Member: 1, Version: 101},
	}
	if change != nil {
		seen = change(j, seen)
	}
	return j.Run(seen, at(70*time.Second))
}

func TestJudgeOfACleanRun(t *testing.T) {
	v := judgeTwoMembers(nil)
	if !v.Clean() || v.Changes != 1 || v.InForceCount != 2 || v.Worst != 2 || v.Median != 2 {
		t.Errorf("%+v", v)
	}
}

// Each rule that is broken is found, and nothing else.
func TestJudgeFinds(t *testing.T) {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	for name, c := range map[string]struct {
		rule   string
		change func(j *Judge, seen []Observation) []Observation
	}{
		"a version that goes back": {RuleBackward, func(_ *Judge, seen []Observation) []Observation {
			return append(seen, Observation{At: at(61 * time.Second), Kind: Applied, Member: 0, Version: 100}, Observation{At: at(62 * time.Second), Kind: Applied, Member: 0, Version: 101})
		}},
		"a member that stays behind": {RuleStale, func(_ *Judge, seen []Observation) []Observation {
			seen[7].Version = 100
			seen[5].Version = 100
			return seen
		}},
		"a change that comes late": {RuleMissed, func(_ *Judge, seen []Observation) []Observation {
			seen[5].At = at(31 * time.Second)
			return seen
		}},
		"a change that never comes": {RuleMissed, func(_ *Judge, seen []Observation) []Observation {
			seen[5].Changes = nil
			return seen
		}},
		"nobody serves a shard, until just after the bound": {RuleUnserved, func(_ *Judge, seen []Observation) []Observation {
			id := []uint32{uint32(shard.Of(7))}
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(30 * time.Second), Kind: Down, Member: 1},
				Observation{At: at(45*time.Second + time.Millisecond), Kind: Up, Member: 0}, Observation{At: at(45*time.Second + 2*time.Millisecond), Kind: Applied, Member: 0, Version: 101, Assigned: id})
		}},
		"nobody serves a shard": {RuleUnserved, func(_ *Judge, seen []Observation) []Observation {
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(31 * time.Second), Kind: Down, Member: 1})
		}},
	} {
		v := judgeTwoMembers(c.change)
		if v.Findings[c.rule] == 0 || len(v.Findings) != 1 {
			t.Errorf("%s: findings %v, want %s alone: %v", name, v.Findings, c.rule, v.Examples)
		}
	}
}

// What a member could not hear of is counted from when it could: its region was cut off. And members that were down, or
// whose shard a real sender serves, owe nothing.
func TestJudgeExcuses(t *testing.T) {
	at := func(d time.Duration) int64 { return int64(time.Hour + d) }
	for name, change := range map[string]func(j *Judge, seen []Observation) []Observation{
		"a region that was cut off": func(j *Judge, seen []Observation) []Observation {
			j.Partitions = []Partition{{"r", at(9 * time.Second), at(40 * time.Second)}}
			seen[4].At, seen[5].At = at(45*time.Second), at(50*time.Second)
			return seen
		},
		"a member that went down before": func(_ *Judge, seen []Observation) []Observation {
			seen[5] = Observation{At: at(12 * time.Second), Kind: Down, Member: 1}
			return seen[:7]
		},
		"a shard that went to others": func(_ *Judge, seen []Observation) []Observation {
			seen[5] = Observation{At: at(12 * time.Second), Kind: Applied, Member: 1, Version: 101, Unassigned: []uint32{uint32(shard.Of(7))}}
			return seen
		},
		"a real sender serves it": func(j *Judge, seen []Observation) []Observation {
			j.RealSenders = []HollowMember{{0, "c", "r", "z3"}}
			return append(seen[:6:6], Observation{At: at(30 * time.Second), Kind: Down, Member: 0}, Observation{At: at(31 * time.Second), Kind: Down, Member: 1})
		},
		"a look that the member has overtaken": func(_ *Judge, seen []Observation) []Observation {
			return append(seen, Observation{At: at(59 * time.Second), Kind: AtVersion, Member: 0, Version: 103},
				Observation{At: at(59*time.Second + 1), Kind: Applied, Member: 0, Version: 102}, Observation{At: at(59*time.Second + 2), Kind: Applied, Member: 0, Version: 103},
				Observation{At: at(59*time.Second + 3), Kind: Applied, Member: 1, Version: 103}, Observation{At: at(60*time.Second + 1), Kind: AtVersion, Member: 0, Version: 102})
		},
	} {
		if v := judgeTwoMembers(change); !v.Clean() {
			t.Errorf("%s: %v", name, v.Examples)
		}
	}
}

// The tables of docs/scale.md are those of the recorded result.
func TestPageIsCurrent(t *testing.T) {
	const page, record = "../../../docs/scale.md", "../../../docs/capacity/scale.json"
	target, err := capacity.LoadTarget("../../../experiments/fleet/target.xml")
	if err != nil {
		t.Fatal(err)
	}
	r, err := LoadResult(record)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	again := filepath.Join(t.TempDir(), "page.md")
	if err := os.WriteFile(again, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(again, r, BudgetsOf(target)); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(again)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(text) {
		t.Error("docs/scale.md differs from what its record comes to: sliptide lab scale --again --out docs/capacity --page docs/scale.md")
	}
}

// A result is drawn whole, also where sizes ended early or the judge found something.
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
		t.Errorf("%v, %d plots", err, strings.Count(html.String(), "<svg"))
	}
}

// An order that crosses the end of its process, as when a zone is lost while a rack of it is to come back, is no failure
// of the run. It was: the two coincided to the second in the small run.
func TestOrderToAnEndedProcess(t *testing.T) {
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
		t.Errorf("an order to a process that runs: %v", err)
	}
	h.kill(func() int64 { return 1 }, r)
	if err := h.send(Command{Start: []int{1}}); err != nil {
		t.Errorf("an order to a process that has ended: %v", err)
	}
	if err := h.start(context.Background(), lab, t.TempDir(), r); err != nil {
		t.Fatal(err)
	}
	if err := h.send(Command{Start: []int{1}}); err != nil {
		t.Errorf("an order to a process that was started again: %v", err)
	}
	h.kill(func() int64 { return 2 }, r)
}
