package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// adminRig is a rig whose sender has an operators' address, not yet started.
func adminRig(t *testing.T, kinds ...string) (*rig, string) {
	t.Helper()
	t.Parallel()
	r := makeRig(t, "", nil, kinds...)
	n := rigs.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r.config["admin"] = addr
	return r, addr
}

// byHand makes one call to the operators' address and returns its status and reason.
func byHand(t *testing.T, addr, method, path, body string) (int, string) {
	t.Helper()
	q, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	began := time.Now()
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if took := time.Since(began); took > time.Second {
		t.Errorf("%s %s answered after %v", method, path, took)
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// An endpoint taken out by hand gets nothing new, whatever discovery lists, over a restart, until it is put
// back; an id that no list named is a no.
func TestTakenOutByHand(t *testing.T) {
	r, admin := adminRig(t, "one")
	r.list = append(r.list, r.endpoint("s-b", "one", 0))
	r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.list}
	r.start()
	if status, text := byHand(t, admin, "POST", "/endpoints/disable", "s-9"); status != 404 {
		t.Errorf("never listed: %d %s", status, text)
	}
	for range 2 { // calls may be repeated
		if status, text := byHand(t, admin, "POST", "/endpoints/disable", "s-0"); status != 200 {
			t.Fatalf("disable: %d %s", status, text)
		}
	}
	expectAt := func(id, endpoint string) {
		t.Helper()
		r.take(id, 0, 15, "")
		c := r.callFor(id)
		if c.endpoint != endpoint {
			t.Errorf("%s went to %s, want %s", id, c.endpoint, endpoint)
		}
		c.status(200)
	}
	for i := range 4 {
		expectAt(fmt.Sprint("m", i), "s-b")
	}
	r.change(func() { r.list[0].State = "up" }) // discovery lists it anew
	r.awaitWatchFrom()
	expectAt("listed", "s-b")
	r.kill(syscall.SIGTERM)
	r.start()
	expectAt("restarted", "s-b")
	if status, text := byHand(t, admin, "POST", "/endpoints/enable", "s-0"); status != 200 {
		t.Fatalf("enable: %d %s", status, text)
	}
	r.change(func() { r.list[len(r.list)-1].State = "draining" })
	r.awaitWatchFrom()
	expectAt("back", "s-0")
}

// Sent away by hand: /up and /ready say no, kept connections are closed after their answer or at once if
// idle, messages are still taken on; undrained, it says yes again.
func TestDrainByHand(t *testing.T) {
	r, admin := adminRig(t, "one")
	r.start()
	if status, _ := byHand(t, admin, "GET", "/ready", ""); status != 200 {
		t.Fatalf("ready: %d", status)
	}
	idle, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	io.WriteString(idle, "GET /up HTTP/1.1\r\nHost: s\r\n\r\n")
	rd := bufio.NewReader(idle)
	resp, err := http.ReadResponse(rd, nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before: %v %v", resp, err)
	}
	if status, text := byHand(t, admin, "POST", "/drain", ""); status != 200 {
		t.Fatalf("drain: %d %s", status, text)
	}
	idle.SetReadDeadline(time.Now().Add(time.Second))
	if n, err := rd.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("an idle connection is kept: %d %v", n, err)
	}
	if r.up() != 503 {
		t.Errorf("/up says yes while clients are sent away")
	}
	if status, _ := byHand(t, admin, "GET", "/ready", ""); status != 503 {
		t.Errorf("ready: %d while clients are sent away", status)
	}
	resp = r.handIn("during", 0, 15, "")
	if resp.StatusCode != 202 || !resp.Close {
		t.Errorf("a message while sent away: %s, close %v", resp.Status, resp.Close)
	}
	r.callFor("during").status(200)
	if status, text := byHand(t, admin, "POST", "/undrain", ""); status != 200 {
		t.Fatalf("undrain: %d %s", status, text)
	}
	r.awaitUp(200)
	if status, _ := byHand(t, admin, "GET", "/ready", ""); status != 200 {
		t.Errorf("ready: %d after undrain", status)
	}
}

// awaitWatchFrom waits until the sender watches from the present version: it has had the list as it is.
func (r *rig) awaitWatchFrom() {
	r.t.Helper()
	r.mu.Lock()
	want := fmt.Sprintf("index=%d&", r.version)
	r.mu.Unlock()
	for q := ""; !strings.Contains(q, want); q = next(r.t, r.watches, "a watch from "+want) {
	}
}

// handInClass hands in a message of a class and returns the status.
func (r *rig) handInClass(id, class string) int {
	r.t.Helper()
	q, _ := http.NewRequest("POST", "http://"+r.addr+"/api", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": class, "X-Customer": "acme", "Idempotency-Key": "key-" + id,
		"X-Expires-In": "15", "X-Route-To": "dest=0"} {
		q.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatalf("message %s: %v", id, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Settings read on SIGHUP: a broken file changes nothing, its discovery neither; a good one brings a class
// at once and allows fewer attempts, for a message under way too.
func TestRetune(t *testing.T) {
	r := newRig(t, nil, "one")
	settings := r.config["settings"].(map[string]any)
	note := settings["services"].([]any)[0].(map[string]any)
	r.take("held", 0, 15, "")
	first := r.callFor("held")
	broken := map[string]any{}
	for k, v := range note {
		broken[k] = v
	}
	broken["deadline"] = -5
	good := r.config["discovery"]
	settings["services"] = []any{note, broken}
	r.config["discovery"] = "127.0.0.1:9"
	r.configure()
	r.proc.Process.Signal(syscall.SIGHUP)
	r.awaitLog("the new configuration is of no use")
	r.config["discovery"] = good
	if status := r.handInClass("early", "urgent"); status != 400 {
		t.Errorf("a class of a broken file: %d", status)
	}
	urgent := map[string]any{"name": "urgent", "aim": 1000, "deadline": 5000, "effect": "unsafe", "worth": 2, "late_worth": 0.4}
	settings["services"] = []any{note, urgent}
	settings["limits"].(map[string]any)["max_attempts"] = 2
	r.configure()
	r.proc.Process.Signal(syscall.SIGHUP)
	r.awaitLog("settings read anew")
	if status := r.handInClass("new", "urgent"); status != 202 {
		t.Errorf("a class of the new file: %d", status)
	}
	r.callFor("new").status(200)
	first.status(500) // its first attempt; the second is its last now
	r.callFor("held").status(500)
	if n := r.notice(); n.Message != "held" {
		t.Errorf("notice %+v", n)
	}
	r.change(func() {}) // discovery is still the one that the broken file did not move
	next(t, r.watches, "a watch")
}
