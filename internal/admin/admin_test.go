package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/fsys"
	"sliptide/internal/operate"
)

// fake records what the address asked of the sender.
type fake struct {
	mu    sync.Mutex
	did   []string
	ready bool
}

func (f *fake) note(s string) { f.mu.Lock(); f.did = append(f.did, s); f.mu.Unlock() }

func (f *fake) calls() Handlers {
	out := func(what string) func(string) error {
		return func(id string) error {
			if id == "never" {
				return operate.ErrNeverListed
			}
			f.note(what + " " + id)
			return nil
		}
	}
	return Handlers{
		Ready:   func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.ready },
		Disable: out("disable"), Enable: out("enable"),
		Drain: func() { f.note("drain") }, Undrain: func() { f.note("undrain") },
	}
}

func serve(t *testing.T, f *fake) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { New(f.calls(), zerolog.Nop()).Serve(ln); close(done) }()
	t.Cleanup(func() { ln.Close(); <-done })
	return ln.Addr().String()
}

// ask writes text on a connection of its own and returns the answer's first line and body, and how long
// the answer took.
func ask(t *testing.T, addr, text string) (status, body string, took time.Duration) {
	t.Helper()
	began := time.Now()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(nc, text)
	all, _ := io.ReadAll(bufio.NewReader(nc))
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	status, _, _ = strings.Cut(head, "\r\n")
	return status, strings.TrimSpace(body), time.Since(began)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Each call gets its yes or its no, with a reason where it is a no.
func TestCalls(t *testing.T) {
	f := &fake{}
	addr := serve(t, f)
	for _, c := range []struct{ text, status, body string }{
		{"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 503 Service Unavailable", "not taking clients"},
		{post("/endpoints/disable", "s-5be2a07c"), "HTTP/1.1 200 OK", "taken out: s-5be2a07c"},
		{post("/endpoints/disable", "s-5be2a07c\n"), "HTTP/1.1 200 OK", "taken out: s-5be2a07c"},
		{post("/endpoints/enable", "s-5be2a07c"), "HTTP/1.1 200 OK", "may serve again: s-5be2a07c"},
		{post("/endpoints/disable", "never"), "HTTP/1.1 404 Not Found", "no list has named this endpoint: never"},
		{post("/endpoints/disable", ""), "HTTP/1.1 400 Bad Request", operate.ErrMalformedID.Error()},
		{post("/endpoints/disable", "two words"), "HTTP/1.1 400 Bad Request", operate.ErrMalformedID.Error()},
		{post("/endpoints/disable", strings.Repeat("x", 4000)), "HTTP/1.1 413 Content Too Large", "a call's body is an endpoint id at most"},
		{post("/drain", ""), "HTTP/1.1 200 OK", "sending clients away"},
		{post("/undrain", ""), "HTTP/1.1 200 OK", "taking clients"},
		{"GET /drain HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 405 Method Not Allowed", "POST is the method of /drain"},
		{post("/ready", ""), "HTTP/1.1 405 Method Not Allowed", "GET is the method of /ready"},
		{post("/reboot", ""), "HTTP/1.1 404 Not Found", "no such call: /ready, /endpoints/disable, /endpoints/enable, /drain, /undrain"},
		{"HELLO\r\n\r\n", "HTTP/1.1 400 Bad Request", "not an HTTP/1.1 request"},
		{"POST /undrain HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK", "taking clients"}, // no length: no body
		{"POST /endpoints/enable HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-1\r\n0\r\n\r\n", "HTTP/1.1 411 Length Required", "a call's body goes with Content-Length"},
	} {
		status, body, took := ask(t, addr, c.text)
		if status != c.status || body != c.body || took > time.Second {
			t.Errorf("%.40q: %s %q after %v, want %s %q", c.text, status, body, took, c.status, c.body)
		}
	}
	f.mu.Lock()
	f.ready = true
	f.mu.Unlock()
	if status, _, _ := ask(t, addr, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"); status != "HTTP/1.1 200 OK" {
		t.Errorf("ready: %s", status)
	}
	want := "disable s-5be2a07c,disable s-5be2a07c,enable s-5be2a07c,drain,undrain,undrain"
	if got := strings.Join(f.did, ","); got != want {
		t.Errorf("did %s, want %s", got, want)
	}
}

// Callers that say nothing, or half a call, and stay: each is cut off when its time is up, holds nothing
// after, does nothing, and a call that comes whole meanwhile is answered within a second.
func TestSilentAndHalfCallers(t *testing.T) {
	f := &fake{ready: true}
	addr := serve(t, f)
	var held []net.Conn
	for i := range 3 * MaxConns {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, nc)
		if i%2 == 1 {
			io.WriteString(nc, "POST /drain HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
		}
	}
	status, _, took := ask(t, addr, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if status != "HTTP/1.1 200 OK" || took > time.Second {
		t.Errorf("ready answered after %v, among callers that stay", took)
	}
	t.Logf("ready among %d callers that stay: %s after %v", len(held), status, took)
	for _, nc := range held {
		nc.SetReadDeadline(time.Now().Add(CallTimeout + time.Second))
		if n, err := nc.Read(make([]byte, 1)); n != 0 || err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("a caller that stays: read %d bytes, %v; want the end", n, err)
		}
		nc.Close()
	}
	if len(f.did) != 0 {
		t.Errorf("half calls did %v", f.did)
	}
	status, _, took = ask(t, addr, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if status != "HTTP/1.1 200 OK" || took > 100*time.Millisecond {
		t.Errorf("after the callers left: %s after %v", status, took)
	}
}

// Two processes of one sender in an upgrade: what an operator takes out at one holds at the other, which
// follows the file; an id that the other has never seen listed is taken too.
func TestKeptIsFollowed(t *testing.T) {
	dir := fsys.OS{Dir: t.TempDir()}
	old, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	old.Bind(func(string, bool) error { return nil })
	heir, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	var told []string
	follow := func(id string, out bool) error { told = append(told, fmt.Sprint(id, " ", out)); return nil }
	old.Disable("s-1")
	old.Disable("s-2")
	heir.follow(follow)
	old.Enable("s-1")
	heir.follow(follow)
	heir.follow(follow) // nothing new
	if got := strings.Join(told, ","); got != "s-1 true,s-2 true,s-1 false" {
		t.Errorf("followed %s", got)
	}
	if ids := heir.Disabled().IDs(); len(ids) != 1 || ids[0] != "s-2" {
		t.Errorf("the heir holds %v", ids)
	}
	if err := dir.Write(outName, []byte("garbage"), false); err != nil {
		t.Fatal(err)
	}
	if err := heir.follow(follow); err == nil || heir.Disabled().Len() != 1 {
		t.Errorf("a broken file: %v, %v", err, heir.Disabled().IDs())
	}
}
