package copies

import (
	"slices"
	"testing"

	"sliptide/internal/fleet/pb"
)

// memStore stores records in memory; all of them are live.
type memStore map[string][]byte

func (s memStore) Reset(owner string, _ CopyState, r []byte) error {
	s[owner] = slices.Clone(r)
	return nil
}
func (s memStore) Append(owner string, _ CopyState, r []byte) error {
	s[owner] = append(s[owner], r...)
	return nil
}
func (s memStore) SaveState(string, CopyState) error { return nil }
func (s memStore) LiveRecords(owner string) []byte   { return s[owner] }
func (s memStore) Size(owner string) int64           { return int64(len(s[owner])) }

// TestDamagedCopyIsSentAgain checks that the checksum in a batch reveals a copy which differs from the owner's journal,
// and that the owner then sends all live records again. A batch of an older epoch is answered as sealed.
func TestDamagedCopyIsSentAgain(t *testing.T) {
	store := memStore{}
	h := NewHolder(store, 1<<20, 1, nil)
	o := NewOwner("a", 1)
	o.BeginEpoch(3)
	o.SetHolders([]string{"b"})
	var journal []byte
	liveRecords := func() []byte { return journal }
	deliver := func(now int64) (again bool) {
		for _, out := range o.TakeOutgoing(now, liveRecords) {
			a := h.HandleCopy(now, out.Frame.GetCopy())
			o.HandleCopied(now, "b", a)
			again = again || a.Again
		}
		return again
	}
	appendRecord := func(now int64, num uint64) {
		journal = append(journal, byte(num))
		o.Append(now, []byte{byte(num)}, num, liveRecords)
	}
	deliver(0)
	appendRecord(checksumInterval, 1)
	if deliver(checksumInterval) || h.Mismatches() != 0 {
		t.Fatal("a correct copy is reported as different")
	}
	store["a"] = nil // the disk has lost data without an error
	appendRecord(2*checksumInterval+1, 2)
	if !deliver(2*checksumInterval+1) || h.Mismatches() != 1 {
		t.Fatal("a damaged copy is not detected")
	}
	deliver(2*checksumInterval + 2 + resendTimeout)
	if got := store["a"]; string(got) != "\x01\x02" || !o.Synced("b") {
		t.Errorf("copy after it was sent again: %v, want records 1 and 2, and a synced holder", got)
	}
	if a := h.HandleCopy(0, &pb.Copy{Owner: "a", Epoch: 2, Seq: 9}); !a.Sealed {
		t.Errorf("answer to a batch of an older epoch, want sealed: %v", a)
	}
}

// TestFullHolderIsRetried checks that a holder without space is tried again after fullRetryDelay. Until then it is
// reported as full to the placement of copies, even after it has ceased to be a holder.
func TestFullHolderIsRetried(t *testing.T) {
	o := NewOwner("a", 1)
	o.BeginEpoch(3)
	o.SetHolders([]string{"b"})
	liveRecords := func() []byte { return []byte{1} }
	if out := o.TakeOutgoing(1, liveRecords); len(out) != 1 {
		t.Fatalf("%d frames, want 1", len(out))
	}
	o.HandleCopied(2, "b", &pb.Copied{Owner: "a", Epoch: 3, Full: true})
	o.SetHolders(nil)
	if list := o.FullMembers(3); len(list) != 1 {
		t.Errorf("full members: %v, want one", list)
	}
	o.SetHolders([]string{"b"})
	o.HandleCopied(4, "b", &pb.Copied{Owner: "a", Epoch: 3, Full: true})
	if out := o.TakeOutgoing(4+fullRetryDelay, liveRecords); len(out) != 0 {
		t.Errorf("a full holder is tried again before fullRetryDelay")
	}
	if at, due := o.NextWakeup(); !due || at != 4+fullRetryDelay+1 {
		t.Errorf("next wakeup at %d, due %v; want one just after fullRetryDelay", at, due)
	}
	out := o.TakeOutgoing(5+fullRetryDelay, liveRecords)
	if len(out) != 1 || !out[0].Frame.GetCopy().Reset_ {
		t.Fatalf("no reset after fullRetryDelay: %v", out)
	}
	o.HandleCopied(6+fullRetryDelay, "b", &pb.Copied{Owner: "a", Epoch: 3, Seq: out[0].Frame.GetCopy().Seq})
	if len(o.FullMembers(6+fullRetryDelay)) != 0 || !o.Synced("b") {
		t.Error("a synced holder still counts as full")
	}
}

// TestRestartResumesEqualCopy checks that a restarted owner sends no records if the holder's copy equals its journal,
// and all of them otherwise.
func TestRestartResumesEqualCopy(t *testing.T) {
	journal := []byte{1, 2}
	liveRecords := func() []byte { return journal }
	h := NewHolder(memStore{}, 1<<20, 1, nil)
	epoch, now := uint64(2), int64(0)
	restart := func(incarnation uint64) (sentBytes int) {
		o := NewOwner("a", incarnation)
		epoch++
		o.BeginEpoch(epoch)
		o.SetHolders([]string{"b"})
		for range 3 {
			now += resendTimeout + 1
			for _, out := range o.TakeOutgoing(now, liveRecords) {
				sentBytes += len(out.Frame.GetCopy().Records)
				o.HandleCopied(now, "b", h.HandleCopy(now, out.Frame.GetCopy()))
			}
		}
		if state, _ := h.State("a"); !o.Synced("b") || state.Epoch != epoch || state.Incarnation != incarnation {
			t.Errorf("epoch %d: the holder is not synced: %+v", epoch, state)
		}
		return sentBytes
	}
	for _, c := range []struct {
		what        string
		incarnation uint64
		bytes       int
	}{{"first start", 1, 2}, {"again", 1, 0}, {"restart with another state directory", 2, 2}} {
		if n := restart(c.incarnation); n != c.bytes {
			t.Errorf("%s: %d bytes sent, want %d", c.what, n, c.bytes)
		}
	}
	journal = append(journal, 3) // this batch did not reach the holder
	if n := restart(2); n != 3 {
		t.Errorf("restart with an additional record: %d bytes sent, want 3", n)
	}
}
