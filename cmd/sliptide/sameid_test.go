package main

import (
	"fmt"
	"syscall"
	"testing"
)

// expectTaken submits IDs on several new connections each, which reach any process of the sender. Each must be refused.
func (r *rig) expectTaken(ids ...string) {
	r.t.Helper()
	const connections = 12
	for _, id := range ids {
		for range connections {
			resp, err := r.trySubmitWith(newConnClient, id, 0, 15, "another body")
			if err != nil || resp.StatusCode != 409 {
				r.t.Fatalf("%s: %v %v, want 409, as this ID was accepted before", id, resp, err)
			}
		}
	}
}

// Guards against an ID that both processes of an upgrade accept, so that it is sent twice.
func TestIDIsAcceptedOnceInUpgrade(t *testing.T) {
	r := newRig(t, nil, "one")
	r.mustSubmit("ended", 0, 15, "")
	r.expectCallFor("ended").respond(200)
	r.mustSubmit("open", 0, 15, "")
	open := r.expectCallFor("open")
	old := r.proc.Process
	var logs logBuffer
	r.startSuccessor(&logs)
	ids := []string{"ended", "open"}
	for i := range 6 { // some reach either process
		ids = append(ids, fmt.Sprint("new-", i))
		r.mustSubmitOnNewConn(ids[len(ids)-1], 0, 15)
	}
	r.expectTaken(ids...)
	old.Signal(syscall.SIGTERM)
	open.respond(200)
	called := map[string]int{"ended": 1, "open": 1}
	for len(called) < len(ids) {
		c := r.nextCall()
		called[c.id()]++
		c.respond(200)
	}
	logs.await(t, "took over from the previous version")
	r.await(r.exited, "the old process exits")
	r.expectTaken(ids...)
	for id, n := range called {
		if n != 1 {
			t.Errorf("%s called %d times, want once", id, n)
		}
	}
	r.proc = nil
	r.expectNoCall()
}

// Guards against an ID that is accepted again after a restart by either signal, since its message had ended before.
func TestIDIsAcceptedOnceOverRestarts(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			r := newRig(t, nil, "one")
			r.mustSubmit("ended", 0, 15, "")
			r.expectCallFor("ended").respond(200)
			r.mustSubmit("open", 0, 15, "")
			call := r.expectCallFor("open")
			for range 2 {
				if sig == syscall.SIGTERM {
					call.respond(200)
				}
				r.kill(sig)
				r.start()
				r.expectTaken("ended", "open")
			}
		})
	}
}

// Guards against a sender without a successor that refuses messages because it cannot open a file to look for one.
func TestMessagesAreAcceptedWithoutDescriptors(t *testing.T) {
	r := newRig(t, nil, "one")
	r.mustSubmit("before", 0, 15, "")
	restore := limitDescriptors(t, r.proc, 3)
	r.mustSubmit("during", 0, 15, "") // on the same connection
	restore()
	for range 2 {
		r.nextCall().respond(200)
	}
}
