// Package link carries frames between the members of a fleet, and between senders and the control members that publish
// the directory: one gRPC stream over one connection for each pair. Only one of the two dials the other; the caller
// decides which. A link on which nothing arrives for a while is closed together with its connection and dialled again,
// so that a loss of one direction becomes a loss of both.
//
// Sending never blocks: a frame is dropped if there is no link or its bounded queue is full. A caller that needs an
// answer sends its request again.
package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"sliptide/internal/fleet/pb"
)

const (
	maxQueuedFrames = 256                     // frames queued on a link
	pingInterval    = 250 * time.Millisecond  // default of Options.PingInterval
	silenceTimeout  = 1500 * time.Millisecond // default of Options.SilenceTimeout; also limits the handshake of a link
	minRedialDelay  = 50 * time.Millisecond   // doubled after each failed attempt, up to maxRedialDelay
	maxRedialDelay  = time.Second
)

// Bounds on a member's links.
const (
	MaxFrame = 8 << 20 // bytes in a frame
	MaxLinks = 1100    // links that a member accepts, unless Options.MaxLinks is set
)

// Options configure a Manager.
type Options struct {
	Self         string
	Incarnation  uint64
	SettingsHash uint64            // hash of the settings that must be equal at both ends
	DialAddrs    map[string]string // addresses of the members that this one dials, by name
	IsMember     func(name string) bool
	Client       *tls.Config // nil: no TLS
	Server       *tls.Config
	// Receive handles a frame. It is called concurrently for different links. While it blocks, nothing more is read from
	// the link. It must return when ctx ends.
	Receive func(ctx context.Context, from string, f *pb.Frame)
	// Call answers an operator's command.
	Call    func(ctx context.Context, a *pb.Ask) (*pb.Answer, error)
	OnEvent func(what, member string, err error) // logs a change of a link's state; must not be nil
	// The interval of pings, the silence after which a link is closed, and the number of links accepted; 0: the default.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	MaxLinks       int
}

// Manager holds a member's links. Its methods are safe for concurrent use.
type Manager struct {
	pb.UnimplementedLinksServer
	o      Options
	server *grpc.Server
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	links   map[string]*link
	dialing map[string]bool
}

type link struct {
	queue       chan *pb.Frame
	cancel      context.CancelFunc
	incarnation uint64 // of the peer's state directory
}

// stream is the client's or the server's end of a gRPC stream.
type stream interface {
	Send(*pb.Frame) error
	Recv() (*pb.Frame, error)
}

// New returns a Manager and starts to dial.
func New(o Options) *Manager {
	o.PingInterval, o.SilenceTimeout, o.MaxLinks = cmp.Or(o.PingInterval, pingInterval), cmp.Or(o.SilenceTimeout, silenceTimeout), cmp.Or(o.MaxLinks, MaxLinks)
	m := &Manager{o: o, links: map[string]*link{}, dialing: map[string]bool{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(MaxFrame), grpc.MaxConcurrentStreams(16), grpc.ConnectionTimeout(2 * time.Second),
		grpc.ReadBufferSize(4 << 10), grpc.WriteBufferSize(4 << 10)}
	if o.Server != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(o.Server)))
	}
	m.server = grpc.NewServer(opts...)
	pb.RegisterLinksServer(m.server, m)
	for name, addr := range o.DialAddrs {
		m.Connect(name, addr)
	}
	return m
}

// Connect keeps a link to another member up from now on. Only one of two members may connect to the other: a new link
// replaces the earlier one between them.
func (m *Manager) Connect(name, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dialing[name] || m.ctx.Err() != nil {
		return
	}
	m.dialing[name] = true
	m.done.Add(1)
	go m.dialLoop(name, addr)
}

// Serve accepts links until Close.
func (m *Manager) Serve(ln net.Listener) error { return m.server.Serve(ln) }

// Close closes all links. Queued frames may be lost.
func (m *Manager) Close() {
	m.cancel()
	m.server.Stop()
	m.done.Wait()
}

// Send queues a frame for a member. It never blocks; without a link or space in the queue the frame is dropped.
func (m *Manager) Send(to string, f *pb.Frame) {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- f:
	default:
	}
}

// Connected returns the members to which a link is up.
func (m *Manager) Connected() (names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.links {
		names = append(names, name)
	}
	return names
}

// dialLoop keeps a link to a member up until Close. After a failure is logged, the next one is logged only if the link
// had lasted for more than 2*silenceTimeout; the delay before the next attempt then starts over from minRedialDelay.
func (m *Manager) dialLoop(name, addr string) {
	defer m.done.Done()
	delay := minRedialDelay
	logged := false
	for m.ctx.Err() == nil {
		startedAt := time.Now()
		err := m.dialOnce(name, addr)
		if time.Since(startedAt) > 2*silenceTimeout {
			delay, logged = minRedialDelay, false
		}
		if !logged && m.ctx.Err() == nil {
			m.o.OnEvent("link down", name, err)
			logged = true
		}
		select {
		case <-m.ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// dialOnce dials a member and runs the link until it fails.
func (m *Manager) dialOnce(name, addr string) error {
	conn, err := Dial(addr, m.o.Client)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	handshakeTimer := time.AfterFunc(silenceTimeout, cancel)
	st, err := pb.NewLinksClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	if err := st.Send(m.hello()); err != nil {
		return err
	}
	first, err := st.Recv()
	if err != nil {
		return err
	}
	handshakeTimer.Stop()
	h := first.GetHello()
	if h == nil || h.Member != name {
		return fmt.Errorf("the member at %s is %q, expected %q", addr, h.GetMember(), name)
	}
	return m.runLink(ctx, cancel, h, st)
}

// Dial returns a connection to the member at addr, which is established on first use.
func Dial(addr string, tlsConfig *tls.Config) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxFrame)), grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: silenceTimeout,
			Backoff: backoff.Config{BaseDelay: minRedialDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedialDelay}}))
}

func (m *Manager) hello() *pb.Frame {
	return &pb.Frame{What: &pb.Frame_Hello{Hello: &pb.Hello{Member: m.o.Self, Settings: m.o.SettingsHash, Incarnation: m.o.Incarnation}}}
}

var errTooManyLinks = errors.New("no more links are taken")

// Link implements pb.LinksServer: it accepts a link from another member.
func (m *Manager) Link(st grpc.BidiStreamingServer[pb.Frame, pb.Frame]) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	stop := context.AfterFunc(m.ctx, cancel)
	defer stop()
	first := make(chan *pb.Frame, 1)
	go func() {
		if f, err := st.Recv(); err == nil {
			first <- f
		}
		close(first)
	}()
	var h *pb.Hello
	select {
	case f := <-first:
		h = f.GetHello()
	case <-time.After(silenceTimeout):
	case <-ctx.Done():
	}
	if err := m.checkHello(h); err != nil {
		m.o.OnEvent("link refused", h.GetMember(), err)
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	if err := st.Send(m.hello()); err != nil {
		return err
	}
	return m.runLink(ctx, cancel, h, st)
}

// checkHello returns why a link is refused, nil if it is accepted. The error is sent to the dialling member.
func (m *Manager) checkHello(h *pb.Hello) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case h == nil:
		return errors.New("no word of who calls")
	case h.Member == m.o.Self:
		return fmt.Errorf("a second process runs as %q", h.Member)
	case !m.o.IsMember(h.Member):
		return fmt.Errorf("%q is no member of this fleet", h.Member)
	case h.Settings != m.o.SettingsHash:
		return fmt.Errorf("%q has other fleet settings: voters, lease and drift must be alike in all operators' files", h.Member)
	case len(m.links) >= m.o.MaxLinks:
		return errTooManyLinks
	}
	if l := m.links[h.Member]; l != nil && l.incarnation != h.Incarnation {
		return fmt.Errorf("another process runs under this member's name: %q", h.Member)
	}
	return nil
}

// runLink carries frames until the link goes down or a later link to the same member replaces it.
func (m *Manager) runLink(ctx context.Context, cancel context.CancelFunc, h *pb.Hello, st stream) error {
	name := h.Member
	l := &link{queue: make(chan *pb.Frame, maxQueuedFrames), cancel: cancel, incarnation: h.Incarnation}
	m.mu.Lock()
	if old := m.links[name]; old != nil {
		old.cancel()
	}
	m.links[name] = l
	m.mu.Unlock()
	m.o.OnEvent("link up", name, nil)
	defer func() {
		m.mu.Lock()
		if m.links[name] == l {
			delete(m.links, name)
		}
		m.mu.Unlock()
	}()
	errs := make(chan error, 2)
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		errs <- m.write(ctx, l, st)
		cancel()
	}()
	silenceTimer := time.AfterFunc(m.o.SilenceTimeout, cancel)
	defer silenceTimer.Stop()
	go func() { errs <- m.read(ctx, name, st, silenceTimer) }()
	select {
	case err := <-errs:
		cancel()
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read passes the frames that arrive on a link to Options.Receive until the link fails. Every frame, also a ping,
// restarts the silence timer.
func (m *Manager) read(ctx context.Context, name string, st stream, silenceTimer *time.Timer) error {
	for {
		f, err := st.Recv()
		if err != nil {
			return err
		}
		silenceTimer.Reset(m.o.SilenceTimeout)
		if f.GetPing() == nil {
			m.o.Receive(ctx, name, f)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// write sends the queued frames of a link, and pings, until the link fails.
func (m *Manager) write(ctx context.Context, l *link, st stream) error {
	ping := time.NewTicker(m.o.PingInterval)
	defer ping.Stop()
	for {
		var f *pb.Frame
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f = <-l.queue:
		case <-ping.C:
			f = &pb.Frame{What: &pb.Frame_Ping{Ping: &pb.Ping{}}}
		}
		if err := st.Send(f); err != nil {
			return err
		}
	}
}

// Call implements pb.LinksServer: it answers an operator's command.
func (m *Manager) Call(ctx context.Context, a *pb.Ask) (*pb.Answer, error) { return m.o.Call(ctx, a) }
