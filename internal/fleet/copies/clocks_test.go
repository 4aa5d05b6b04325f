package copies

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sliptide/internal/fleet/pb"
)

// TestDisagreeingClocks varies the difference and the drift of the owner's and the holder's clocks, delays and loses
// batches, restarts the holder and delays the request and its answer. A converted deadline must not be late by more
// than the longest transfer time of a batch plus the clock drift, and a wait must not end early by more than the drift.
func TestDisagreeingClocks(t *testing.T) {
	flag.Set("rapid.checks", "200")
	flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		ms := int64(time.Millisecond)
		drift := func(name string) float64 { return 1 + float64(rapid.IntRange(-200, 200).Draw(t, name))/1e6 }
		ownerStartMS := rapid.Int64Range(-1e9, 1e9).Draw(t, "the owner's clock, ms") + 1.7e12
		ownerRate, holderRate := drift("owner"), drift("holder")
		holderStartNS := rapid.Int64Range(0, 1e6).Draw(t, "holder's clock, ms") * ms
		ownerMS := func(now int64) int64 { return ownerStartMS + int64(float64(now)*ownerRate)/ms }
		holderNS := func(now int64) int64 { return holderStartNS + int64(float64(now)*holderRate) }

		store := memStore{}
		h := NewHolder(store, 1<<20, 1, nil)
		now, seq := int64(0), uint64(0)
		var transferTimes []int64 // of the batches that arrived
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			now += rapid.Int64Range(1, 3000).Draw(t, "pause") * ms
			transfer := rapid.Int64Range(0, 400).Draw(t, "took") * ms
			if seq++; seq > 1 && rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				seq--
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "holder restarted") == 0 && seq > 1 {
				state, _ := h.State("a")
				h = NewHolder(store, 1<<20, 1, map[string]CopyState{"a": state})
			}
			c := &pb.Copy{Owner: "a", Epoch: 1, Incarnation: 1, Seq: seq, Reset_: seq == 1, Clock: ownerMS(now)}
			now += transfer
			if a := h.HandleCopy(holderNS(now), c); a == nil || a.Again || a.Sealed {
				t.Fatalf("batch %d: answer %v, want it accepted", seq, a)
			}
			transferTimes = append(transferTimes, transfer)
		}
		takeover := NewTakeover("a", 2, []string{"h"}, nil)
		requestedAt := now
		now += rapid.Int64Range(0, 500).Draw(t, "transfer of the request") * ms
		sealed := h.HandleSeal(holderNS(now), &pb.Seal{Owner: "a", Epoch: 2, At: requestedAt})
		now += rapid.Int64Range(0, 500).Draw(t, "back") * ms
		takeover.HandleSealed(now, "h", sealed)
		deadlines, waits, known := takeover.ClockOffsets()
		if !known {
			t.Fatal("the offset of the owner's clock is unknown")
		}
		// The true offset from the successor's clock, which is the test's own.
		trueOffset := ownerMS(now) - now/ms
		maxDrift := int64(400*(float64(now)/1e9)/1e3) + 3 // 400 ppm of the elapsed time, and rounding
		maxTransfer := int64(0)
		for _, transfer := range transferTimes {
			maxTransfer = max(maxTransfer, transfer/ms)
		}
		if late := trueOffset - deadlines; late > maxTransfer+maxDrift {
			t.Fatalf("a deadline is %d ms late, although batches took at most %d ms", late, maxTransfer)
		}
		if early := waits - trueOffset; early > maxDrift {
			t.Fatalf("a wait ends %d ms early", early)
		}
	})
}

// TestEstimateOfEarlierBootIsDiscarded checks that a holder reports no clock if its estimate is from before a reboot of
// its machine, and that a takeover then knows no offset.
func TestEstimateOfEarlierBootIsDiscarded(t *testing.T) {
	h := NewHolder(memStore{}, 1<<20, 2, map[string]CopyState{"a": {Incarnation: 1, Epoch: 1, Seq: 3, ClockOffsetMS: 5, BootID: 1}})
	if s := h.HandleSeal(10, &pb.Seal{Owner: "a", Epoch: 2, At: 1}); !s.Have || s.Clock != 0 {
		t.Errorf("sealed, want a copy without a clock: %v", s)
	}
	takeover := NewTakeover("a", 2, []string{"h"}, nil)
	takeover.HandleSealed(5, "h", &pb.Sealed{Owner: "a", Epoch: 2, Have: true, From: 1})
	if _, _, known := takeover.ClockOffsets(); known {
		t.Error("the takeover knows a clock that no holder reported")
	}
}
