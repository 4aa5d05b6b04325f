package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/admin"
	"sliptide/internal/config"
	"sliptide/internal/intake"
	"sliptide/internal/operator"
	"sliptide/internal/sender"
	"sliptide/internal/statedir"
)

// An upgrade starts the program once more while it serves, in the same folder and on the same address for
// clients. The new process is the heir: it listens beside the old one (SO_REUSEPORT), takes clients at
// once, and waits with its calls until the old one has left; see internal/sender/upgrade.go.

const (
	handClients = time.Second            // an old process that hands over answers its clients for so long at most
	handLinger  = 100 * time.Millisecond // and waits so long for them to close: the heir waits for the folder
	takeFor     = 24 * time.Hour         // an heir waits so long for the folder; SIGKILL comes seconds after the yes
)

// place is this process's place in the lasting folder: the folder itself, or the heir's beside it.
type place struct {
	dir  string
	mu   sync.Mutex
	lock *statedir.DirLock // the folder's; nil while an heir waits
	heir *statedir.DirLock // the heir's place, until it holds the folder
}

// takePlace takes the folder, or the heir's place where the same sender, on the same address for clients,
// holds it: a new version started beside the present one. Any other holder keeps it.
func takePlace(dir, listen string, log zerolog.Logger) (*place, error) {
	lock, err := statedir.Lock(dir, 0)
	if err == nil {
		if err := lock.SetHolder(holder(listen)); err != nil { // an upgrade can't start beside it, which is no reason not to serve
			log.Warn().Err(err).Msg("state folder: the lock says nothing of its holder")
		}
		return &place{dir: dir, lock: lock}, nil
	}
	if !errors.Is(err, statedir.ErrInUse) || statedir.Holder(dir) != holder(listen) {
		return nil, err
	}
	heir, err := statedir.LockSuccessor(dir)
	if err != nil {
		return nil, err
	}
	return &place{dir: dir, heir: heir}, nil
}

// holder is what a holder of the folder notes of itself.
func holder(listen string) string { return "sender listening on " + listen + "\n" }

// waiting reports whether this process is an heir that has not taken over.
func (p *place) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lock == nil
}

func (p *place) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lock != nil {
		p.lock.Unlock()
	}
	if p.heir != nil {
		p.heir.Unlock()
	}
}

// memoryBox holds what the sender knows over restarts; an heir has it only once it takes over.
type memoryBox struct {
	mu sync.Mutex
	m  memory
}

func (b *memoryBox) get() memory {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.m
}

func (b *memoryBox) set(m memory) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m = m
}

// heir is what an heir needs to take over.
type heir struct {
	place  *place
	cfg    *config.Config
	op     *operator.File
	space  *statedir.Space
	room   *statedir.Account // the journal's
	clock  sender.Clock
	log    zerolog.Logger
	snd    *sender.Sender
	kept   *admin.DisabledStore
	memory *memoryBox
	team   *membership
}

// takeOver waits until the version before has left the folder, then makes this process the sender.
func (h *heir) takeOver() {
	lock, err := statedir.Lock(h.cfg.StateDir, takeFor)
	if err != nil {
		h.log.Error().Err(err).Msg("the version before does not leave the state folder")
		return
	}
	m := openMemory(h.cfg, h.op.Knowledge, h.space, h.clock, h.log)
	m.room.YieldTo(h.room)
	if m.Writer != nil {
		go m.Writer.Run()
	}
	h.memory.set(m)
	out, err := h.kept.Reload()
	if err != nil {
		h.log.Warn().Err(err).Msg("admin: endpoints taken out: the file cannot be read")
	}
	if err := h.snd.TakeOver(m.Knowledge, out); err != nil {
		h.log.Error().Err(err).Msg("taking over")
	}
	if err := lock.SetHolder(holder(h.cfg.ListenAddr)); err != nil {
		h.log.Warn().Err(err).Msg("state folder: the lock says nothing of its holder")
	}
	h.place.mu.Lock()
	h.place.lock = lock
	h.place.heir.Unlock()
	h.place.heir = nil
	h.place.mu.Unlock()
	if err := h.team.join(); err != nil {
		h.log.Error().Err(err).Msg("the fleet goes on without this sender")
	}
}

// listen listens for clients beside any other process of this sender on the address: an heir starts
// while the version before still listens.
func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

// soReusePort is SO_REUSEPORT of Linux, which package syscall does not name.
const soReusePort = 0xf

// handOver ends an old process whose heir waits: its address for clients closes at once, so that new
// connections go to the heir; the clients it has are answered, with what they hand in taken on, and their
// connections closed; then it begins no further call and leaves when its calls out have ended. What it
// holds goes to the heir by the journal.
func handOver(server *intake.Server, snd *sender.Sender, ln net.Listener) {
	ln.Close()
	server.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), handClients)
	defer cancel()
	server.Shutdown(ctx)
	snd.HandOver()
	<-snd.Done()
	soon, stop := context.WithTimeout(ctx, handLinger)
	defer stop()
	server.WaitClosed(soon)
}
