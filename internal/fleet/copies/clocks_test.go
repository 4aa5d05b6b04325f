package copies

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sliptide/internal/fleet/pb"
)

// TestClocksThatDisagree: an owner's clock that is hours off and both machines' that run fast or slow, batches that come
// late, reordered or not at all, a holder that is started again, an answer that takes its time. A deadline never comes
// out late by more than the quickest batch of late took and what clocks drift apart in two windows, a wait never early by
// more than that drift.
func TestClocksThatDisagree(t *testing.T) {
	flag.Set("rapid.checks", "200")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		ms := int64(time.Millisecond)
		drift := func(name string) float64 { return 1 + float64(rapid.IntRange(-200, 200).Draw(t, name))/1e6 }
		off := rapid.Int64Range(-1e9, 1e9).Draw(t, "the owner's clock, ms") + 1.7e12
		owner, holder := drift("owner"), drift("holder")
		boot := rapid.Int64Range(0, 1e6).Draw(t, "holder's clock, ms") * ms
		ownerMS := func(now int64) int64 { return off + int64(float64(now)*owner)/ms }
		holderNS := func(now int64) int64 { return boot + int64(float64(now)*holder) }

		store := memStore{}
		h := NewHolder(store, 1<<20, 1, nil)
		now, seq := int64(0), uint64(0)
		var quick []int64 // how long each batch of late took
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			now += rapid.Int64Range(1, 3000).Draw(t, "pause") * ms
			took := rapid.Int64Range(0, 400).Draw(t, "took") * ms
			if seq++; seq > 1 && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				seq--
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "started again") == 0 && seq > 1 {
				k, _ := h.State("a")
				h = NewHolder(store, 1<<20, 1, map[string]CopyState{"a": k})
			}
			c := &pb.Copy{Owner: "a", Epoch: 1, Incarnation: 1, Seq: seq, Reset_: seq == 1, Clock: ownerMS(now)}
			now += took
			if a := h.HandleCopy(holderNS(now), c); a == nil || a.Again || a.Sealed {
				t.Fatalf("batch %d: %v", seq, a)
			}
			quick = append(quick, took)
		}
		heir := NewTakeover("a", 2, []string{"h"}, nil)
		asked := now
		now += rapid.Int64Range(0, 500).Draw(t, "on its way") * ms
		s := h.HandleSeal(holderNS(now), &pb.Seal{Owner: "a", Epoch: 2, At: asked})
		now += rapid.Int64Range(0, 500).Draw(t, "back") * ms
		heir.HandleSealed(now, "h", s)
		deadlines, waits, known := heir.ClockOffsets()
		if !known {
			t.Fatal("the clock is not known")
		}
		// What the owner's clock is ahead of the heir's, which is the model's own.
		truth := ownerMS(now) - now/ms
		slack := int64(400*(float64(now)/1e9)/1e3) + 3 // 400 millionths of all the time that went by, and rounding
		worst := int64(0)
		for _, q := range quick {
			worst = max(worst, q/ms)
		}
		if late := truth - deadlines; late > worst+slack {
			t.Fatalf("a deadline comes out %d ms late, batches took %d ms at most", late, worst)
		}
		if early := waits - truth; early > slack {
			t.Fatalf("a wait comes out %d ms early", early)
		}
	})
}

// TestClockOfAnotherStart: what a holder reckoned before its machine was started again is void, and it says so.
func TestClockOfAnotherStart(t *testing.T) {
	h := NewHolder(memStore{}, 1<<20, 2, map[string]CopyState{"a": {Incarnation: 1, Epoch: 1, Seq: 3, ClockOffsetMS: 5, BootID: 1}})
	if s := h.HandleSeal(10, &pb.Seal{Owner: "a", Epoch: 2, At: 1}); !s.Have || s.Clock != 0 {
		t.Errorf("sealed: %v", s)
	}
	heir := NewTakeover("a", 2, []string{"h"}, nil)
	heir.HandleSealed(5, "h", &pb.Sealed{Owner: "a", Epoch: 2, Have: true, From: 1})
	if _, _, known := heir.ClockOffsets(); known {
		t.Error("a clock is known that nobody told")
	}
}
