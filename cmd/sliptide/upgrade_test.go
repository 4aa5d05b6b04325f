package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// An upgrade: a second process starts on the same address and folder while the first serves. It takes
// clients at once and sends nothing until the first, told to stop, has left; then it delivers what both
// took on, each message once, and the first one's held message with them.
func TestUpgrade(t *testing.T) {
	r := newRig(t, nil, "one")
	r.mustSubmit("old", 0, 15, "")
	first := r.expectCallFor("old") // out at the old process while the new one starts
	var logs logBuffer
	next := exec.Command(binary)
	next.Env = r.proc.Env
	next.Stderr = &logs
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { next.Process.Kill(); next.Wait() })
	for end := time.Now().Add(testTimeout); !strings.Contains(logs.String(), `"started"`); {
		if time.Now().After(end) {
			t.Fatalf("the new process does not start: %s", logs.String())
		}
		time.Sleep(time.Millisecond) // a poll of its log
	}
	// New connections are spread over both listeners: some messages go to each.
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
	r.await(r.exited, "the old process leaves")
	for id, n := range called {
		if !want[id] || n != 1 {
			t.Errorf("%s called %d times", id, n)
		}
	}
	if !strings.Contains(logs.String(), "took over from the version before") {
		t.Errorf("log of the new process:\n%s", logs.String())
	}
	if next.ProcessState != nil {
		t.Errorf("the new process ended: %v", next.ProcessState)
	}
	if _, err := os.Stat(r.stateDir + "/journal.heir"); !os.IsNotExist(err) {
		t.Errorf("the heir's journal is left: %v", err)
	}
	r.proc = nil // the rig's process is gone; the new one is ended by its cleanup
	r.expectNoCall()
}
