package model

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"sliptide/internal/fleet/share"
)

// TestNeverOverTheLimit: whichever member is cut off, stopped or replaced, and however demand changes, the sum of all
// members' rates is at most the limit at every moment. SLIPTIDE_SCHEDULES sets the number of schedules.
func TestNeverOverTheLimit(t *testing.T) {
	if os.Getenv("SLIPTIDE_SCHEDULES") == "" {
		flag.Set("rapid.checks", "60")
	} else {
		flag.Set("rapid.checks", os.Getenv("SLIPTIDE_SCHEDULES"))
	}
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		if w := runSchedule(rapid.Uint64().Draw(t, "seed"), terms, 0, 0, 1, 2, 3); w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}

// TestGuards disables each safety check in turn: some schedule must detect that, and up to it none may have a violation
// with all checks enabled. The kinds of faults are those of runSchedule.
func TestGuards(t *testing.T) {
	for name, c := range map[string]struct {
		skip  share.Skip
		kinds []int
	}{
		"a low share binds from the report":        {share.SkipBindStart, []int{0, 1, 2}},
		"a raised share counts from the answer":    {share.SkipRaiseStart, []int{0, 1, 2}},
		"unconfirmed low shares are relied on":     {share.SkipConfirm, []int{0, 1, 2}},
		"a holder that takes over answers at once": {share.SkipWait, []int{3}},
		"answers with older tokens are applied":    {share.SkipToken, []int{2, 3}},
		"no allowance for clock drift":             {share.SkipDrift, []int{0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			with := terms
			if c.skip == share.SkipDrift {
				with.Drift = 0.2
			}
			for seed := range uint64(400) {
				if w := runSchedule(seed, with, 0, c.kinds...); w.violation != "" {
					t.Fatalf("with all checks enabled: %s", w.violation)
				}
				if w := runSchedule(seed, with, c.skip, c.kinds...); w.violation != "" {
					t.Logf("detected by schedule %d: %s", seed, w.violation)
					return
				}
			}
			t.Error("400 schedules do not detect that the check is disabled")
		})
	}
}

// TestGoodput: with shares the members send nearly as much as an oracle would: at least 0.97 of it, or 0.9 if demand
// moves each second, and at most 0.02 less than with even parts.
func TestGoodput(t *testing.T) {
	sizes := []int{3, 30}
	if os.Getenv("SLIPTIDE_MEASURE") != "" {
		sizes = append(sizes, 300)
	}
	const limit = 40.0
	for _, n := range sizes {
		for _, c := range []struct {
			name        string
			minFraction float64 // fraction of the oracle's goodput
			load        func(now int64, i int) float64
		}{
			{"even demand", 0.97, func(_ int64, i int) float64 { return 0.9 * limit / float64(n) }},
			{"one member has six tenths", 0.97, func(_ int64, i int) float64 {
				if i == 1 {
					return 0.6 * 0.9 * limit
				}
				return 0.4 * 0.9 * limit / float64(n-1)
			}},
			{"a third of the members has all", 0.97, func(_ int64, i int) float64 {
				if i%3 == 1 {
					return 0.9 * limit / float64((n+1)/3)
				}
				return 0
			}},
			{"demand moves each second", 0.9, func(now int64, i int) float64 {
				if int(now/(1000*ms))%n == i {
					return 0.9 * limit
				}
				return 0
			}},
		} {
			shared, even, oracle, reports := goodput(n, limit, c.load)
			t.Logf("%3d members, %-18s: shared %.3f, even parts %.3f, oracle %.3f; shared is %.3f of the oracle's; %.0f reports a second", n, c.name, shared, even, oracle, shared/oracle, reports)
			if shared < c.minFraction*oracle || shared < even-0.02 {
				t.Errorf("%d members, %s: %.3f sent with shares, the oracle sends %.3f, even parts %.3f", n, c.name, shared, oracle, even)
			}
		}
	}
}
