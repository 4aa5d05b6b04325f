package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/sender"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

const patient = 10 * time.Second

// hooks are called in the connections that a door lets in; each may be nil.
type hooks struct {
	accepted func()         // before the server hears of a connection
	wrote    func()         // after an answer is written, before the server goes on
	closing  func(net.Conn) // once a connection, before the server closes any part of it
	halved   func(net.Conn) // after the half-close
}

// door is a listener whose connections call the hooks.
type door struct {
	net.Listener
	*hooks
}

func (d door) Accept() (net.Conn, error) {
	nc, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if d.accepted != nil {
		d.accepted()
	}
	return &hookedConn{TCPConn: nc.(*net.TCPConn), hooks: d.hooks}, nil
}

type hookedConn struct {
	*net.TCPConn
	*hooks
	once sync.Once
}

func (c *hookedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if c.wrote != nil {
		c.wrote()
	}
	return n, err
}

func (c *hookedConn) first() {
	c.once.Do(func() {
		if c.closing != nil {
			c.closing(c.TCPConn)
		}
	})
}

func (c *hookedConn) Close() error {
	c.first()
	return c.TCPConn.Close()
}

func (c *hookedConn) CloseWrite() error {
	c.first()
	err := c.TCPConn.CloseWrite()
	if c.halved != nil {
		c.halved(c.TCPConn)
	}
	return err
}

// rig is a server with a sender that has one destination, 3, at which nobody answers.
type rig struct {
	*Server
	t    *testing.T
	snd  *sender.Sender
	ln   net.Listener
	dir  string
	addr string
}

var rigSettings = policy.Settings{
	Senders: 1, CallSlots: 10, MaxAttempts: 6, MaxHeld: 1000, KeepAlive: 10000, DialTimeout: 1500, WarmUpDuration: 10000, ColdCapacity: 0.25,
	OverloadMultiple: 1.5, OverloadWindow: 3000, SendsRetryAfter: true, MaxRetryAfter: 2000, AllowanceIndex: -1, LimitIndex: -1, MinStepInterval: 1, Kinds: []policy.DestKind{{Batch: 1}},
	Classes: []policy.Class{{Name: "safe", Aim: 15000, Deadline: 20000, Worth: 1, LateWorth: 0.5, Effect: policy.Safe}},
}

func newRig(t *testing.T, room int, h *hooks) *rig {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections come up, and nobody answers
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, dir: t.TempDir()}
	jr, restored, err := journal.Open(r.dir, statedir.NewSpace(1<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	set := rigSettings
	r.snd = sender.New(sender.Options{Settings: set, Seed: 1, MaxConns: 10, Journal: jr, Restored: restored, Clock: sender.NewClock(),
		Log: zerolog.Nop(), Notify: func(discovery.Notice) {}})
	go r.snd.Run()
	r.snd.UpdateEndpoints(discovery.List{Full: true, Endpoints: []discovery.Endpoint{{
		Endpoint: policy.Endpoint{ID: 1, Dest: 3, State: policy.Ready}, Name: "e", Addr: silent.Addr().String()}}})
	r.Server = New(&set, r.snd, room, zerolog.Nop())
	r.SetReady()
	if r.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	r.addr = r.ln.Addr().String()
	go r.Serve(door{r.ln, h})
	t.Cleanup(func() {
		r.ln.Close()
		r.snd.Stop()
		r.snd.ClientsGone()
		<-r.snd.Done()
		jr.Close()
		silent.Close()
	})
	return r
}

// journaled tells what the next life would find, once the sender has left.
func (r *rig) journaled() map[string]bool {
	r.t.Helper()
	jr, restored, err := journal.Open(r.dir, statedir.NewSpace(1<<20).Account())
	if err != nil {
		r.t.Fatal(err)
	}
	defer jr.Close()
	held := map[string]bool{}
	for _, e := range restored {
		held[e.Trace] = true
	}
	return held
}

// guest is a client's connection.
type guest struct {
	net.Conn
	rd *bufio.Reader
}

func (r *rig) visit() *guest {
	r.t.Helper()
	nc, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patient))
	return &guest{nc, bufio.NewReader(nc)}
}

func request(id string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: safe\r\nX-Expires-In: 15.0\r\n"+
		"X-Route-To: dest=3\r\nContent-Length: 5\r\n\r\nhello", id)
}

func (g *guest) say(text string) error {
	_, err := io.WriteString(g, text)
	return err
}

// hear reads one answer whole.
func (g *guest) hear(t *testing.T) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(g.rd, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		t.Fatalf("an answer cut short: %v", err)
	}
	return res
}

// ends reports how the connection ends for the client: io.EOF where it was closed cleanly.
func (g *guest) ends() error {
	_, err := g.rd.ReadByte()
	return err
}

func (r *rig) cleanEnd(g *guest) {
	r.t.Helper()
	if err := g.ends(); !errors.Is(err, io.EOF) {
		r.t.Errorf("the connection ends with %v, want a clean end", err)
	}
}

// rested is a connection that has had so many answers and rests.
func (r *rig) rested(name string, answers int) *guest {
	r.t.Helper()
	g := r.visit()
	for i := range answers {
		g.say(request(fmt.Sprintf("%s-%d", name, i)))
		if res := g.hear(r.t); res.StatusCode != 202 {
			r.t.Fatalf("answer %d", res.StatusCode)
		}
	}
	return g
}

// delayed reports whether the system may hold small writes back.
func delayed(t *testing.T, nc *net.TCPConn) bool {
	raw, err := nc.SyscallConn()
	if err != nil {
		t.Error(err)
		return true
	}
	on := 0
	raw.Control(func(fd uintptr) {
		on, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	})
	return err != nil || on == 0
}
