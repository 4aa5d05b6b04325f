package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sliptide/internal/fleet/directory"
)

// hollowEnv is the environment variable that makes the test binary run as a process of hollow members.
const hollowEnv = "SLIPTIDE_SCALE_MEMBERS"

func TestMain(m *testing.M) {
	if os.Getenv(hollowEnv) != "" || len(os.Args) == 2 && os.Args[1] == "scale-members" {
		if err := RunHollow(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// programs builds the sender's program, and returns it with this test binary as the program of hollow members.
func programs(t *testing.T) Programs {
	t.Helper()
	sender := filepath.Join(t.TempDir(), "sliptide")
	if out, err := exec.Command("go", "build", "-o", sender, "sliptide/cmd/sliptide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	lab, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Programs{Sender: sender, Lab: lab}
}

// runFile runs a scale file in a temporary directory, with options that configure may alter.
func runFile(t *testing.T, path string, configure func(*Options)) *Result {
	t.Helper()
	f, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{File: f, Programs: programs(t), Dir: t.TempDir(), OnPhase: func(size int, phase string) { t.Logf("%d members: %s", size, phase) }, OnTick: func(time.Duration, time.Duration) {}}
	if configure != nil {
		configure(&o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSmallRun runs all faults against sixty members, three control members and two real senders. The judge must find
// no violation, and the run must yield enough observations and the usage of both senders.
func TestSmallRun(t *testing.T) {
	r := runFile(t, "../../../experiments/fleet/scale-small.xml", nil)
	s := r.Sizes[0]
	if s.Verdict == nil {
		t.Fatalf("the run ended without a verdict: %s", s.Failure)
	}
	t.Logf("p50 %.2f, p99 %.2f, worst %.2f s of %d times; longest unserved %.1f s", s.Verdict.Median, s.Verdict.P99, s.Verdict.Worst, s.Verdict.InForceCount, s.Verdict.LongestUnserved)
	if !s.Verdict.Clean() {
		t.Errorf("findings %v: %+v", s.Verdict.Findings, s.Verdict.Examples)
	}
	if s.Verdict.InForceCount < 100 || len(s.Senders) != 2 || Worst(s.Senders).MemoryMB == 0 {
		t.Errorf("too few observations or measurements: %+v", s)
	}
}

// TestSmallRunWithoutSilenceCheck disables the check by which a member notices that its control member is silent: the
// judge must report members that stay at an old version or miss changes.
func TestSmallRunWithoutSilenceCheck(t *testing.T) {
	r := runFile(t, "../../../experiments/fleet/scale-small.xml", func(o *Options) { o.DisabledChecks = directory.CheckSilence })
	v := r.Sizes[0].Verdict
	if v == nil {
		t.Fatalf("the run ended without a verdict: %s", r.Sizes[0].Failure)
	}
	if v.Findings[RuleStale]+v.Findings[RuleMissed] == 0 {
		t.Errorf("with the silence check disabled, the judge found neither stale members nor missed changes: %v", v.Findings)
	}
}

// The scale files of the repository are valid, and the error for an invalid one says what is allowed.
func TestLoad(t *testing.T) {
	for _, name := range []string{"scale.xml", "scale-small.xml"} {
		if _, err := Load("../../../experiments/fleet/" + name); err != nil {
			t.Error(err)
		}
	}
	for text, want := range map[string]string{
		`<scale version="1" name="x" sizes="20 10" length="40s"/>`:                                            "ascending",
		`<scale version="1" name="x" sizes="10" length="40s"><fleet regions="5" zones="3"/></scale>`:          "a zone for each region",
		`<scale version="1" name="x" sizes="10" length="9s"><fault kind="rack" at="5s" for="10s"/></scale>`:   "an end within",
		`<scale version="1" name="x" sizes="10" length="40s"><fault kind="flood" at="5s" for="10s"/></scale>`: "kind",
		`<scale version="1" name="x" sizes="10,20" length="40s"/>`:                                            "whole numbers",
	} {
		path := filepath.Join(t.TempDir(), "scale.xml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one about %q", text, err, want)
		}
	}
}

// The schema file matches this version's schema.
func TestSchemaIsCurrent(t *testing.T) {
	text, err := os.ReadFile("../../../experiments/fleet/scale.xsd")
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != Schema() {
		t.Error("experiments/fleet/scale.xsd differs from the output of `sliptide lab scale --schema`: run make generate")
	}
}
