package sender

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

// Two messages share a call that waits for its connection, and one expires meanwhile and ends with a notice. It must
// not be sent with the other one when the connection is established.
func TestExpiredMessageIsNotSentWithBatch(t *testing.T) {
	bodies := make(chan string, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- r.Header.Get("X-Trace-Id") + string(b)
	}))
	defer srv.Close()
	j, _, err := journal.Open(t.TempDir(), statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	notices := make(chan discovery.Notice, 10)
	s := New(Options{Settings: policy.Settings{
		Senders: 1, CallSlots: 10, MaxAttempts: 6, MaxHeld: 100, KeepAlive: 10000, DialTimeout: 1000, WarmUpDuration: 10000, ColdCapacity: 0.25,
		OverloadMultiple: 1.5, OverloadWindow: 3000, SendsRetryAfter: true, MaxRetryAfter: 2000, AllowanceIndex: -1, LimitIndex: -1, Kinds: []policy.DestKind{{Batch: 5}},
		Classes: []policy.Class{{Name: "safe", Aim: 2000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: policy.Safe}},
	}, Seed: 1, MaxConns: 10, Journal: j, Clock: NewClock(), Log: zerolog.Nop(), Notify: func(n discovery.Notice) { notices <- n }})
	s.pool.PaceDials(3, 2)
	s.handleList(&discovery.List{Full: true, Endpoints: []discovery.Endpoint{{Endpoint: policy.Endpoint{ID: 1, Dest: 3, State: policy.Ready}, Name: "e", Addr: srv.Listener.Addr().String()}}})
	step := func() { s.updateNow(); s.step() }
	submit := func(trace string, left time.Duration) {
		s.handleSubmission(&submission{msg: &Message{Trace: []byte(trace), Dest: 3, Remaining: left, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)})
	}
	submit("first", 10*time.Second) // uses the dial that is allowed at once
	step()
	next := func() string {
		select {
		case b := <-bodies:
			return b
		case <-time.After(10 * time.Second):
			t.Fatal("no call received")
			return ""
		}
	}
	next()
	s.pool.CloseIdleConns(1)
	for len(s.calls) > 0 { // the first call has ended
		s.handleInput(<-s.inputs)
	}
	s.pool.CloseIdleConns(1)
	submit("short", 200*time.Millisecond) // ends before the next dial, which is half a second after the last
	submit("long", 10*time.Second)
	step()
	if len(s.calls) != 1 {
		t.Fatalf("%d calls, want one with both messages", len(s.calls))
	}
	for ended := false; !ended; {
		step()
		select {
		case n := <-notices:
			ended = n.Trace == "short"
		case in := <-s.inputs:
			s.updateNow()
			s.handleInput(in)
		case <-time.After(time.Millisecond):
		}
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case in := <-s.inputs: // results from the pool are discarded
				_ = in
			}
		}
	}()
	for {
		select {
		case b := <-bodies:
			if strings.Contains(b, "short") || strings.Contains(b, "c2hvcnQ") { // base64 of "short"
				t.Fatal("a message was sent after its notice")
			}
			return
		case <-time.After(2 * time.Millisecond):
			step()
		}
	}
}
