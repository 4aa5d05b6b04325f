package sender

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Of the messages that share a call, one expires before the answer, and one was accepted in this step, so that its
// client may still turn out to be gone. Neither may be the first in the call: if the first message ends before the
// answer, a partner that identifies the call by it may discard the whole call.
func TestLongestLivedMessageIsFirstInCall(t *testing.T) {
	first := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var items []struct{ ID string }
		json.NewDecoder(r.Body).Decode(&items)
		if len(items) != 3 {
			t.Errorf("%d messages in the call, want 3", len(items))
		}
		first <- items[0].ID
	}))
	defer srv.Close()
	s := newTestSender(t, t.TempDir(), "", testSettings())
	s.listedDests[3] = true
	s.submit("short", 0, 300*time.Millisecond)
	s.submit("settled", 0, 10*time.Second)
	s.runStep() // no endpoint is listed yet: both wait
	for _, m := range s.messages {
		m.acceptedAt -= 2 * disconnectDetectionMS
	}
	s.submit("fresh", 0, 19*time.Second)
	s.listEndpoint(srv.Listener.Addr().String())
	s.runStep()
	select {
	case id := <-first:
		if id != "settled" {
			t.Errorf("%q is first in the call, want the message with the most time left whose client was answered", id)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call received")
	}
}
