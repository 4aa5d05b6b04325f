package sender

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"sliptide/policy"
)

// Messages of each effect are taken on, and the process is killed before any is sent. The next life tries them all:
// also where its settings lack their class, and where they define it anew.
func TestWhatIsRestoredUntriedIsTried(t *testing.T) {
	for name, change := range map[string]func(*policy.Settings){
		"same settings":       func(*policy.Settings) {},
		"classes defined new": func(set *policy.Settings) { set.Classes = turned(set.Classes) },
		"classes gone":        func(set *policy.Settings) { set.Classes = []policy.Class{{Name: "other", Aim: 100, Deadline: 100}} },
	} {
		dir := t.TempDir()
		b := newBench(t, dir, "", benchSettings())
		b.dests[3] = true // and no endpoint yet
		for i := range 30 {
			b.hand(string(rune('A'+i)), i%3, 20*time.Second)
		}
		b.next()
		b.journal.Close()

		called := make(chan string, 100)
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { called <- q.Header.Get("X-Trace-Id") }))
		set := benchSettings()
		set.Kinds = []policy.DestKind{{Batch: 1}}
		change(&set)
		next := newBench(t, dir, srv.Listener.Addr().String(), set)
		tried := map[string]bool{}
		next.await(name+": not all are tried", func() bool {
			for len(called) > 0 {
				tried[<-called] = true
			}
			return len(tried) == 30
		})
		if len(next.notices) > 0 {
			t.Errorf("%s: %d given up without a call", name, len(next.notices))
		}
		srv.Close()
	}
}

// turned gives each class another effect.
func turned(classes []policy.Class) []policy.Class {
	out := slices.Clone(classes)
	for i := range out {
		out[i].Effect = classes[(i+1)%len(classes)].Effect
		out[i].DedupWindow = 2000
	}
	return out
}

// One that may have run, of a class that the settings lack, is not repeated: it ends at once. Nor may a client hand
// one in under what stands for that class.
func TestRestoredOfAnUnknownClassIsNotRepeated(t *testing.T) {
	dir, ln := t.TempDir(), listen(t)
	b := newBench(t, dir, ln.Addr().String(), benchSettings())
	b.hand("m", 0, 20*time.Second)
	b.next()
	if b.msgs[b.traces["m"]].call == nil {
		t.Fatal("no call")
	}
	b.journal.Close()
	set := benchSettings()
	set.Classes = []policy.Class{{Name: "other", Aim: 2000, Deadline: 20000, Worth: 1}}
	next := newBench(t, dir, ln.Addr().String(), set)
	next.next()
	if len(next.calls) > 0 {
		t.Error("a message that may have run was sent again")
	}
	if n := <-next.notices; n.Trace != "m" || n.Returned {
		t.Errorf("notice %+v, want that it was given up", n)
	}
	for _, name := range []string{"", "safe"} {
		if i, _ := next.ClassOf([]byte(name)); i >= 0 {
			t.Errorf("clients can name %q, class %d", name, i)
		}
	}
}
