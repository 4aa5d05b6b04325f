// Package link carries frames between the members of a fleet: one gRPC stream for each pair of a voter and another
// member, over one connection. Of two voters the one whose name sorts first dials; every other member dials the
// voters, and the voters dial nobody else. A link that says nothing for a while is closed, connection and all, and
// dialled anew: a cut in one direction is then a cut in both.
//
// Nothing waits for a link: what finds its bounded queue full, or no link, is dropped, and whoever needs an answer
// asks again.
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
	maxQueuedFrames = 256 // frames that wait on a link
	pingInterval    = 250 * time.Millisecond
	silenceTimeout  = 1500 * time.Millisecond // a link that says nothing for so long is closed
	minRedialDelay  = 50 * time.Millisecond   // before a further try, doubled up to
	maxRedialDelay  = time.Second
)

// Bounds of a member's links.
const (
	MaxFrame = 8 << 20 // bytes of a frame
	MaxLinks = 1100    // links that a voter accepts
)

// Options are what a Net works with.
type Options struct {
	Self         string
	Incarnation  uint64
	SettingsHash uint64            // hash of what must be alike at both ends
	DialAddrs    map[string]string // members that this one dials, with their addresses
	IsMember     func(name string) bool
	Client       *tls.Config // nil: no TLS
	Server       *tls.Config
	// Receive takes a frame; it may wait for a short time, as long as ctx goes on.
	Receive func(ctx context.Context, from string, f *pb.Frame)
	// Call answers an operator's command.
	Call     func(ctx context.Context, a *pb.Ask) (*pb.Answer, error)
	LogEvent func(what, member string, err error) // a change of state, for the log
	// How often a link says that it is there, how long one may say nothing, and how many are accepted; 0: as for voters.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	MaxLinks       int
}

// Net is a member's links.
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
	incarnation uint64 // of the folder at its other end
}

// stream is either end of one.
type stream interface {
	Send(*pb.Frame) error
	Recv() (*pb.Frame, error)
}

// New returns a Net, and dials.
func New(o Options) *Manager {
	o.PingInterval, o.SilenceTimeout, o.MaxLinks = cmp.Or(o.PingInterval, pingInterval), cmp.Or(o.SilenceTimeout, silenceTimeout), cmp.Or(o.MaxLinks, MaxLinks)
	n := &Manager{o: o, links: map[string]*link{}, dialing: map[string]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(MaxFrame), grpc.MaxConcurrentStreams(16), grpc.ConnectionTimeout(2 * time.Second),
		grpc.ReadBufferSize(4 << 10), grpc.WriteBufferSize(4 << 10)}
	if o.Server != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(o.Server)))
	}
	n.server = grpc.NewServer(opts...)
	pb.RegisterLinksServer(n.server, n)
	for name, addr := range o.DialAddrs {
		n.Connect(name, addr)
	}
	return n
}

// Reach keeps a link to a further member up from now on. Of two members one alone is to reach the other.
func (n *Manager) Connect(name, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dialing[name] || n.ctx.Err() != nil {
		return
	}
	n.dialing[name] = true
	n.done.Add(1)
	go n.dialLoop(name, addr)
}

// Serve accepts links until Close.
func (n *Manager) Serve(ln net.Listener) error { return n.server.Serve(ln) }

// Close ends all links. What is queued is given a moment.
func (n *Manager) Close() {
	n.cancel()
	n.server.Stop()
	n.done.Wait()
}

// Send queues a frame for a member. It never waits.
func (n *Manager) Send(to string, f *pb.Frame) {
	n.mu.Lock()
	l := n.links[to]
	n.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- f:
	default:
	}
}

// Linked are the members that a link is up to.
func (n *Manager) Connected() (names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.links {
		names = append(names, name)
	}
	return names
}

func (n *Manager) dialLoop(name, addr string) {
	defer n.done.Done()
	pause := minRedialDelay
	told := false
	for n.ctx.Err() == nil {
		began := time.Now()
		err := n.dialOnce(name, addr)
		if time.Since(began) > 2*silenceTimeout {
			pause, told = minRedialDelay, false
		}
		if !told && n.ctx.Err() == nil {
			n.o.LogEvent("link down", name, err)
			told = true
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRedialDelay)
	}
}

// reach keeps a link to a member up for as long as it goes.
func (n *Manager) dialOnce(name, addr string) error {
	conn, err := Dial(addr, n.o.Client)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	up := time.AfterFunc(silenceTimeout, cancel)
	st, err := pb.NewLinksClient(conn).Link(ctx)
	if err != nil {
		return err
	}
	if err := st.Send(n.hello()); err != nil {
		return err
	}
	first, err := st.Recv()
	if err != nil {
		return err
	}
	up.Stop()
	h := first.GetHello()
	if h == nil || h.Member != name {
		return fmt.Errorf("at %s is %q, not %q", addr, h.GetMember(), name)
	}
	return n.runLink(ctx, cancel, h, st)
}

// Dial returns a connection to the member at addr, which comes up when it is used.
func Dial(addr string, with *tls.Config) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if with != nil {
		creds = credentials.NewTLS(with)
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxFrame)), grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: silenceTimeout, Backoff: backoff.Config{BaseDelay: minRedialDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedialDelay}}))
}

func (n *Manager) hello() *pb.Frame {
	return &pb.Frame{What: &pb.Frame_Hello{Hello: &pb.Hello{Member: n.o.Self, Settings: n.o.SettingsHash, Incarnation: n.o.Incarnation}}}
}

var errFull = errors.New("no more links are taken")

// Link accepts a link.
func (n *Manager) Link(st grpc.BidiStreamingServer[pb.Frame, pb.Frame]) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	stop := context.AfterFunc(n.ctx, cancel)
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
	if err := n.checkHello(h); err != nil {
		n.o.LogEvent("link refused", h.GetMember(), err)
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	if err := st.Send(n.hello()); err != nil {
		return err
	}
	return n.runLink(ctx, cancel, h, st)
}

func (n *Manager) checkHello(h *pb.Hello) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case h == nil:
		return errors.New("no word of who calls")
	case h.Member == n.o.Self:
		return fmt.Errorf("a second process runs as %q", h.Member)
	case !n.o.IsMember(h.Member):
		return fmt.Errorf("%q is no member of this fleet", h.Member)
	case h.Settings != n.o.SettingsHash:
		return fmt.Errorf("%q has other fleet settings: voters, lease and drift must be alike in all operators' files", h.Member)
	case len(n.links) >= n.o.MaxLinks:
		return errFull
	}
	if l := n.links[h.Member]; l != nil && l.incarnation != h.Incarnation {
		return fmt.Errorf("another process runs under this member's name: %q", h.Member)
	}
	return nil
}

// run carries frames until the link goes down; a later link to the same member takes its place.
func (n *Manager) runLink(ctx context.Context, cancel context.CancelFunc, h *pb.Hello, st stream) error {
	name := h.Member
	l := &link{queue: make(chan *pb.Frame, maxQueuedFrames), cancel: cancel, incarnation: h.Incarnation}
	n.mu.Lock()
	if old := n.links[name]; old != nil {
		old.cancel()
	}
	n.links[name] = l
	n.mu.Unlock()
	n.o.LogEvent("link up", name, nil)
	defer func() {
		n.mu.Lock()
		if n.links[name] == l {
			delete(n.links, name)
		}
		n.mu.Unlock()
	}()
	errs := make(chan error, 2)
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		errs <- n.write(ctx, l, st)
		cancel()
	}()
	silent := time.AfterFunc(n.o.SilenceTimeout, cancel)
	defer silent.Stop()
	go func() { errs <- n.read(ctx, name, st, silent) }()
	select {
	case err := <-errs:
		cancel()
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Manager) read(ctx context.Context, name string, st stream, silent *time.Timer) error {
	for {
		f, err := st.Recv()
		if err != nil {
			return err
		}
		silent.Reset(n.o.SilenceTimeout)
		if f.GetPing() == nil {
			n.o.Receive(ctx, name, f)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (n *Manager) write(ctx context.Context, l *link, st stream) error {
	ping := time.NewTicker(n.o.PingInterval)
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

// Call answers an operator's command.
func (n *Manager) Call(ctx context.Context, a *pb.Ask) (*pb.Answer, error) { return n.o.Call(ctx, a) }
