package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"
)

// Guards against messages that an upgrade loses or sends twice. A second process starts with the same address and state
// directory while the first serves, and the first exits on SIGTERM. Each message that either of them has accepted must
// be called once, the second process must log that it took over, and its own temporary journal must be gone.
func TestUpgrade(t *testing.T) {
	r := newRig(t, nil, "one")
	r.mustSubmit("old", 0, 15, "")
	first := r.expectCallFor("old") // in progress in the old process while the new one starts
	var logs logBuffer
	_, ended := r.startSuccessor(&logs)
	// New connections are distributed over both listeners, so that each process gets some messages.
	want := map[string]bool{"old": true}
	for i := range 20 {
		id := fmt.Sprint("new-", i)
		r.mustSubmitOnNewConn(id, 0, 15)
		want[id] = true
	}
	r.proc.Process.Signal(syscall.SIGTERM)
	first.respond(200)
	called := map[string]int{"old": 1}
	for len(called) < len(want) {
		c := r.nextCall()
		called[c.id()]++
		c.respond(200)
	}
	r.await(r.exited, "the old process exits")
	for id, n := range called {
		if !want[id] || n != 1 {
			t.Errorf("%s called %d times, want once", id, n)
		}
	}
	logs.await(t, "took over from the previous version") // a pipe carries the log: a line may arrive after the calls
	select {
	case <-ended:
		t.Errorf("the new process ended:\n%s", logs.String())
	default:
	}
	if _, err := os.Stat(r.stateDir + "/journal.heir"); !os.IsNotExist(err) {
		t.Errorf("the successor's journal still exists: %v", err)
	}
	r.proc = nil // the rig's process has exited; the cleanup above kills the new one
	r.expectNoCall()
}
