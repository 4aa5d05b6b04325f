package sender

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"sliptide/policy"
)

// Messages of each effect are accepted, and the process is killed before any is sent. The next process must send all of
// them, also if its settings lack or redefine their class.
func TestRestoredUnsentMessagesAreSent(t *testing.T) {
	for name, change := range map[string]func(*policy.Settings){
		"same settings":     func(*policy.Settings) {},
		"classes redefined": func(set *policy.Settings) { set.Classes = rotateEffects(set.Classes) },
		"classes removed":   func(set *policy.Settings) { set.Classes = []policy.Class{{Name: "other", Aim: 100, Deadline: 100}} },
	} {
		dir := t.TempDir()
		s := newTestSender(t, dir, "", testSettings())
		s.listedDests[3] = true // no endpoint is listed yet
		for i := range 30 {
			s.submit(string(rune('A'+i)), i%3, 20*time.Second)
		}
		s.runStep()
		s.journal.Close()

		called := make(chan string, 100)
		srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { called <- r.Header.Get("X-Trace-Id") }))
		set := testSettings()
		set.Kinds = []policy.DestKind{{Batch: 1}}
		change(&set)
		restarted := newTestSender(t, dir, srv.Listener.Addr().String(), set)
		sent := map[string]bool{}
		restarted.await(name+": not all messages are sent", func() bool {
			for len(called) > 0 {
				sent[<-called] = true
			}
			return len(sent) == 30
		})
		if len(restarted.notices) > 0 {
			t.Errorf("%s: %d messages abandoned without a call", name, len(restarted.notices))
		}
		srv.Close()
	}
}

// rotateEffects gives each class another effect.
func rotateEffects(classes []policy.Class) []policy.Class {
	out := slices.Clone(classes)
	for i := range out {
		out[i].Effect = classes[(i+1)%len(classes)].Effect
		out[i].DedupWindow = 2000
	}
	return out
}

// A message that may have run, of a class that the settings lack, is not repeated but ends at once. Clients must not be
// able to use the placeholder for that class.
func TestRestoredMessageOfUnknownClassIsNotRepeated(t *testing.T) {
	dir, ln := t.TempDir(), listen(t)
	s := newTestSender(t, dir, ln.Addr().String(), testSettings())
	s.submit("m", 0, 20*time.Second)
	s.runStep()
	if s.held("m").call == nil {
		t.Fatal("no call in progress")
	}
	s.journal.Close()
	set := testSettings()
	set.Classes = []policy.Class{{Name: "other", Aim: 2000, Deadline: 20000, Worth: 1}}
	restarted := newTestSender(t, dir, ln.Addr().String(), set)
	restarted.runStep()
	if len(restarted.calls) > 0 {
		t.Error("a message that may have run was sent again")
	}
	if n := <-restarted.notices; n.Trace != "m" || n.Returned {
		t.Errorf("notice %+v, want one that says that m was abandoned", n)
	}
	for _, name := range []string{"", "safe"} {
		if i, _ := restarted.ClassOf([]byte(name)); i >= 0 {
			t.Errorf("clients can use class %q, index %d", name, i)
		}
	}
}
