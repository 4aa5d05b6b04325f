package copies

import (
	"slices"
	"testing"

	"sliptide/internal/fleet/pb"
)

// memStore keeps records in memory; all of them are live.
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

// TestScrub: a copy that is not what the owner has is found by the sum that comes with a batch, and sent anew.
func TestScrub(t *testing.T) {
	store := memStore{}
	h := NewHolder(store, 1<<20, 1, nil)
	o := NewOwner("a", 1)
	o.BeginEpoch(3)
	o.SetHolders([]string{"b"})
	var journal []byte
	snapshot := func() []byte { return journal }
	deliver := func(now int64) (again bool) {
		for _, out := range o.TakeOutgoing(now, snapshot) {
			a := h.HandleCopy(now, out.Frame.GetCopy())
			o.HandleCopied(now, "b", a)
			again = again || a.Again
		}
		return again
	}
	take := func(now int64, num uint64) {
		journal = append(journal, byte(num))
		o.Append(now, []byte{byte(num)}, num, snapshot)
	}
	deliver(0)
	take(checksumInterval, 1)
	if deliver(checksumInterval) || h.Mismatches() != 0 {
		t.Fatal("a copy that is right is found wrong")
	}
	store["a"] = nil // the disk has lost something, and says nothing
	take(2*checksumInterval+1, 2)
	if !deliver(2*checksumInterval+1) || h.Mismatches() != 1 {
		t.Fatal("a copy that is wrong is not found")
	}
	deliver(2*checksumInterval + 2 + resendTimeout)
	if got := store["a"]; string(got) != "\x01\x02" || !o.Synced("b") {
		t.Errorf("after it was sent anew: %v", got)
	}
	if a := h.HandleCopy(0, &pb.Copy{Owner: "a", Epoch: 2, Seq: 9}); !a.Sealed {
		t.Errorf("an older epoch: %v", a)
	}
}

// TestFullIsNotForEver: a holder that had no room is asked again after a while, and until then counts as full for the
// choice of holders, also where it is none any more.
func TestFullIsNotForEver(t *testing.T) {
	o := NewOwner("a", 1)
	o.BeginEpoch(3)
	o.SetHolders([]string{"b"})
	snapshot := func() []byte { return []byte{1} }
	if out := o.TakeOutgoing(1, snapshot); len(out) != 1 {
		t.Fatalf("%d frames", len(out))
	}
	o.HandleCopied(2, "b", &pb.Copied{Owner: "a", Epoch: 3, Full: true})
	o.SetHolders(nil)
	if list := o.FullMembers(3); len(list) != 1 {
		t.Errorf("full: %v", list)
	}
	o.SetHolders([]string{"b"})
	o.HandleCopied(4, "b", &pb.Copied{Owner: "a", Epoch: 3, Full: true})
	if out := o.TakeOutgoing(4+fullRetryDelay, snapshot); len(out) != 0 {
		t.Errorf("it is asked again at once")
	}
	if at, due := o.NextWakeup(); !due || at != 4+fullRetryDelay+1 {
		t.Errorf("next at %d, %v", at, due)
	}
	out := o.TakeOutgoing(5+fullRetryDelay, snapshot)
	if len(out) != 1 || !out[0].Frame.GetCopy().Reset_ {
		t.Fatalf("it is not asked again: %v", out)
	}
	o.HandleCopied(6+fullRetryDelay, "b", &pb.Copied{Owner: "a", Epoch: 3, Seq: out[0].Frame.GetCopy().Seq})
	if len(o.FullMembers(6+fullRetryDelay)) != 0 || !o.Synced("b") {
		t.Error("it has room and everything, and counts as full")
	}
}

// TestRestartResumes: an owner that starts again with what its holder has sends none of it; with anything else it does.
func TestRestartResumes(t *testing.T) {
	journal := []byte{1, 2}
	snapshot := func() []byte { return journal }
	h := NewHolder(memStore{}, 1<<20, 1, nil)
	epoch, now := uint64(2), int64(0)
	start := func(incarnation uint64) (bytes int) {
		o := NewOwner("a", incarnation)
		epoch++
		o.BeginEpoch(epoch)
		o.SetHolders([]string{"b"})
		for range 3 {
			now += resendTimeout + 1
			for _, out := range o.TakeOutgoing(now, snapshot) {
				bytes += len(out.Frame.GetCopy().Records)
				o.HandleCopied(now, "b", h.HandleCopy(now, out.Frame.GetCopy()))
			}
		}
		if k, _ := h.State("a"); !o.Synced("b") || k.Epoch != epoch || k.Incarnation != incarnation {
			t.Errorf("epoch %d: not whole: %+v", epoch, k)
		}
		return bytes
	}
	for _, c := range []struct {
		what        string
		incarnation uint64
		bytes       int
	}{{"at first", 1, 2}, {"again", 1, 0}, {"with another folder", 2, 2}} {
		if n := start(c.incarnation); n != c.bytes {
			t.Errorf("%s: %d bytes are sent, want %d", c.what, n, c.bytes)
		}
	}
	journal = append(journal, 3) // its last batch did not come
	if n := start(2); n != 3 {
		t.Errorf("with more than the holder has: %d bytes are sent, want 3", n)
	}
}
