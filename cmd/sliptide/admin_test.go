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

// newAdminRig returns an unstarted rig whose sender has an admin address, and that address.
func newAdminRig(t *testing.T, kinds ...string) (*rig, string) {
	t.Helper()
	t.Parallel()
	r := newUnstartedRig(t, "", nil, kinds...)
	return r, r.useFreeAdminAddr()
}

// useFreeAdminAddr gives the next process of the sender an admin address that no other has had.
func (r *rig) useFreeAdminAddr() string {
	r.t.Helper()
	n := rigCount.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", n/250, n%250+1))
	if err != nil {
		r.t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r.config["admin"] = addr
	return addr
}

// callAdmin makes one request to the admin address and returns the status and body of the answer, which must arrive
// within a second.
func callAdmin(t *testing.T, addr, method, path, body string) (int, string) {
	t.Helper()
	q, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	begin := time.Now()
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%s %s answered after %v, want 1 s at most", method, path, took)
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// An endpoint disabled by an operator gets no call until it is enabled again, whatever discovery lists and also after a
// restart. An ID that was never listed is answered 404.
func TestEndpointDisabledByOperator(t *testing.T) {
	r, admin := newAdminRig(t, "one")
	r.endpoints = append(r.endpoints, r.endpoint("s-b", "one", 0))
	r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
	r.start()
	if status, text := callAdmin(t, admin, "POST", "/endpoints/disable", "s-9"); status != 404 {
		t.Errorf("disable of an endpoint that was never listed: status %d %s, want 404", status, text)
	}
	for range 2 { // disabling is idempotent
		if status, text := callAdmin(t, admin, "POST", "/endpoints/disable", "s-0"); status != 200 {
			t.Fatalf("disable: %d %s", status, text)
		}
	}
	expectAt := func(id, endpoint string) {
		t.Helper()
		r.mustSubmit(id, 0, 15, "")
		c := r.expectCallFor(id)
		if c.endpoint != endpoint {
			t.Errorf("%s went to %s, want %s", id, c.endpoint, endpoint)
		}
		c.respond(200)
	}
	for i := range 4 {
		expectAt(fmt.Sprint("m", i), "s-b")
	}
	r.updateList(func() { r.endpoints[0].State = "up" }) // discovery lists it again
	r.awaitCurrentList()
	expectAt("listed", "s-b")
	r.kill(syscall.SIGTERM)
	r.start()
	expectAt("restarted", "s-b")
	if status, text := callAdmin(t, admin, "POST", "/endpoints/enable", "s-0"); status != 200 {
		t.Fatalf("enable: %d %s", status, text)
	}
	r.updateList(func() { r.endpoints[len(r.endpoints)-1].State = "draining" })
	r.awaitCurrentList()
	expectAt("back", "s-0")
}

// During a drain /up and /ready answer 503, connections are closed after their answer or at once if idle, and
// messages are still accepted. After an undrain /up and /ready answer 200 again.
func TestDrainByOperator(t *testing.T) {
	r, admin := newAdminRig(t, "one")
	r.start()
	if status, _ := callAdmin(t, admin, "GET", "/ready", ""); status != 200 {
		t.Fatalf("/ready before the drain: status %d, want 200", status)
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
		t.Fatalf("/up before the drain: answer %v, error %v; want 200 on a connection that stays open", resp, err)
	}
	if status, text := callAdmin(t, admin, "POST", "/drain", ""); status != 200 {
		t.Fatalf("drain: %d %s", status, text)
	}
	idle.SetReadDeadline(time.Now().Add(time.Second))
	if n, err := rd.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("an idle connection is not closed within 1 s of the drain: %d bytes read, error %v", n, err)
	}
	if r.upStatus() != 503 {
		t.Errorf("/up does not answer 503 during a drain")
	}
	if status, _ := callAdmin(t, admin, "GET", "/ready", ""); status != 503 {
		t.Errorf("/ready during a drain: status %d, want 503", status)
	}
	resp = r.submit("during", 0, 15, "")
	if resp.StatusCode != 202 || !resp.Close {
		t.Errorf("a message during a drain: %s, close %v; want 202 and close", resp.Status, resp.Close)
	}
	r.expectCallFor("during").respond(200)
	if status, text := callAdmin(t, admin, "POST", "/undrain", ""); status != 200 {
		t.Fatalf("undrain: %d %s", status, text)
	}
	r.awaitUp(200)
	if status, _ := callAdmin(t, admin, "GET", "/ready", ""); status != 200 {
		t.Errorf("/ready after the undrain: status %d, want 200", status)
	}
}

// awaitCurrentList waits until the sender watches from the current version of the list, which it has received then.
func (r *rig) awaitCurrentList() {
	r.t.Helper()
	r.mu.Lock()
	want := fmt.Sprintf("index=%d&", r.listVersion)
	r.mu.Unlock()
	for q := ""; !strings.Contains(q, want); q = receive(r.t, r.watches, "a watch from "+want) {
	}
}

// submitWithClass submits a message of a class and returns the status.
func (r *rig) submitWithClass(id, class string) int {
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

// Guards against a SIGHUP with an invalid file that is not reported or stops the sender, and one with a valid file that
// is not followed: it adds a class at once and lowers max_attempts, also for a message whose call is in progress.
func TestConfigurationReload(t *testing.T) {
	r := newRig(t, nil, "one")
	settings := r.config["settings"].(map[string]any)
	note := settings["services"].([]any)[0].(map[string]any)
	r.mustSubmit("held", 0, 15, "")
	first := r.expectCallFor("held")
	broken := map[string]any{}
	for k, v := range note {
		broken[k] = v
	}
	broken["deadline"] = -5
	good := r.config["discovery"]
	settings["services"] = []any{note, broken}
	r.config["discovery"] = "127.0.0.1:9"
	r.writeConfig()
	r.proc.Process.Signal(syscall.SIGHUP)
	r.awaitLog("the new configuration is invalid")
	r.config["discovery"] = good
	if status := r.submitWithClass("early", "urgent"); status != 400 {
		t.Errorf("a class that no file has named yet: status %d, want 400", status)
	}
	urgent := map[string]any{"name": "urgent", "aim": 1000, "deadline": 5000, "effect": "unsafe", "worth": 2, "late_worth": 0.4}
	settings["services"] = []any{note, urgent}
	settings["limits"].(map[string]any)["max_attempts"] = 2
	r.writeConfig()
	r.proc.Process.Signal(syscall.SIGHUP)
	r.awaitLog("settings reloaded")
	if status := r.submitWithClass("new", "urgent"); status != 202 {
		t.Errorf("a class of the new file: status %d, want 202", status)
	}
	r.expectCallFor("new").respond(200)
	first.respond(500) // its first attempt; the second is its last now
	r.expectCallFor("held").respond(500)
	if n := r.nextNotice(); n.Message != "held" {
		t.Errorf("notice %+v, want the one of message \"held\" after its second attempt", n)
	}
	r.updateList(func() {})
	// Any recorded request is enough, also one from before the reloads.
	receive(t, r.watches, "a watch")
}
