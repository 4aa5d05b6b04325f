package sender

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestTheLongestLivedLeads: of the messages that share a call, one ends before the answer (its time is up), and one was
// taken on in this very step, so that its client may yet be found gone. Neither may be named first.
func TestLongestLivedMessageIsFirstInCall(t *testing.T) {
	first := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var items []struct{ ID string }
		json.NewDecoder(q.Body).Decode(&items)
		if len(items) != 3 {
			t.Errorf("%d messages in the call, want 3", len(items))
		}
		first <- items[0].ID
	}))
	defer srv.Close()
	b := newTestSender(t, t.TempDir(), "", testSettings())
	b.listedDests[3] = true
	b.submit("short", 0, 300*time.Millisecond)
	b.submit("settled", 0, 10*time.Second)
	b.nextStep() // nobody is listed yet: both wait
	for _, m := range b.messages {
		m.acceptedAt -= 2 * disconnectDetectionMS
	}
	b.submit("fresh", 0, 19*time.Second)
	b.listEndpoint(srv.Listener.Addr().String())
	b.nextStep()
	select {
	case id := <-first:
		if id != "settled" {
			t.Errorf("%q leads the call, want the longest-lived of those whose client was answered", id)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call")
	}
}
