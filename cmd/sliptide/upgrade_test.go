package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
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
	successor := r.startSuccessor(&logs)
	// New connections are distributed over both listeners, so that each process gets some messages.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	want := map[string]bool{"old": true}
	for i := range 20 {
		id := fmt.Sprint("new-", i)
		q, _ := http.NewRequest("POST", "http://"+r.addr+"/api", strings.NewReader("x"))
		for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "note", "X-Customer": "acme", "Idempotency-Key": "k" + id,
			"X-Expires-In": "15", "X-Route-To": "dest=0"} {
			q.Header.Set(k, v)
		}
		resp, err := client.Do(q)
		if err != nil || resp.StatusCode != 202 {
			t.Fatalf("%s: %v %v", id, resp, err)
		}
		resp.Body.Close()
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
	if !strings.Contains(logs.String(), "took over from the previous version") {
		t.Errorf("the new process has not logged that it took over:\n%s", logs.String())
	}
	if successor.ProcessState != nil {
		t.Errorf("the new process ended: %v", successor.ProcessState)
	}
	if _, err := os.Stat(r.stateDir + "/journal.heir"); !os.IsNotExist(err) {
		t.Errorf("the successor's journal still exists: %v", err)
	}
	r.proc = nil // the rig's process has exited; the cleanup above kills the new one
	r.expectNoCall()
}
