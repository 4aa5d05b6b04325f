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
	"sliptide/internal/transient"
)

// This file implements the process side of an upgrade. The new version of the program, the successor, starts while the
// old process still serves, with the same state directory and the same address for clients (SO_REUSEPORT). It serves
// clients at once, but calls no endpoint until the old process has exited; see internal/sender/upgrade.go.

const (
	// handOverClientTimeout limits how long a process that hands over answers the clients that it has.
	handOverClientTimeout = time.Second

	// acceptQueueTimeout limits the wait for connections in the listener's queue to be accepted.
	acceptQueueTimeout = 100 * time.Millisecond

	// takeOverTimeout limits a successor's wait for the state directory. The wait is far shorter in practice, since the
	// old process is killed within seconds of the successor reporting ready.
	takeOverTimeout = 24 * time.Hour

	// successorLockTimeout limits the wait of a starting process for another one that is about to take over.
	successorLockTimeout = 5 * time.Second

	// disabledReadTimeout limits a takeover's wait for the file of disabled endpoints: messages are due meanwhile.
	disabledReadTimeout = time.Second

	failureLogInterval = time.Second // minimum time between two log lines on failures of a takeover
)

// stateDirLocks holds this process's lock on the state directory or, in a waiting successor, the successor's lock. It
// is safe for concurrent use.
type stateDirLocks struct {
	dir           string
	mu            sync.Mutex
	dirLock       *statedir.DirLock // nil in a successor that has not taken over
	successorLock *statedir.DirLock // nil unless this process is a waiting successor
}

// lockStateDir locks the state directory. If the same sender, with the same address for clients, holds that lock, this
// process is a new version started beside it and takes the successor's lock instead. Any other holder is an error. While
// another process is about to take over, lockStateDir waits for that, up to successorLockTimeout.
func lockStateDir(dir, listen string, log zerolog.Logger) (locks *stateDirLocks, err error) {
	logged := false
	takingOver := func(err error) bool {
		waits := errors.Is(err, statedir.ErrSuccessorWaiting)
		if waits && !logged {
			log.Info().Msg("another process is about to take over the state directory; waiting for it")
			logged = true
		}
		return waits
	}
	err = transient.Retry(successorLockTimeout, takingOver, func() error {
		locks, err = tryLockStateDir(dir, listen, log)
		return err
	})
	return locks, err
}

// tryLockStateDir is lockStateDir without the wait: it returns statedir.ErrSuccessorWaiting instead. The directory is
// not taken from a process that waits for it, since that one has a journal of its own there.
func tryLockStateDir(dir, listen string, log zerolog.Logger) (*stateDirLocks, error) {
	lock, err := statedir.Lock(dir, 0)
	if err == nil && statedir.SuccessorWaiting(dir) {
		lock.Unlock()
		return nil, statedir.ErrSuccessorWaiting
	}
	if err == nil {
		if err := lock.SetHolder(holderText(listen)); err != nil {
			// Only a later upgrade needs the holder's text.
			log.Warn().Err(err).Msg("state directory: writing the lock's holder failed; an upgrade cannot start beside this process")
		}
		return &stateDirLocks{dir: dir, dirLock: lock}, nil
	}
	if !errors.Is(err, statedir.ErrInUse) || statedir.Holder(dir) != holderText(listen) {
		return nil, err
	}
	successorLock, err := statedir.LockSuccessor(dir)
	if err != nil {
		return nil, err
	}
	return &stateDirLocks{dir: dir, successorLock: successorLock}, nil
}

// holderText returns the text by which the holder of the lock identifies itself in the lock file.
func holderText(listen string) string { return "sender listening on " + listen + "\n" }

// waiting reports whether this process is a successor that has not taken over yet.
func (l *stateDirLocks) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dirLock == nil
}

func (l *stateDirLocks) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dirLock != nil {
		l.dirLock.Unlock()
	}
	if l.successorLock != nil {
		l.successorLock.Unlock()
	}
}

// promote makes the lock on the state directory this process's own, in place of the successor's lock.
func (l *stateDirLocks) promote(lock *statedir.DirLock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dirLock = lock
	l.successorLock.Unlock()
	l.successorLock = nil
}

// knowledgeRef guards the sender's persistent knowledge, which a successor opens only when it takes over.
type knowledgeRef struct {
	mu        sync.Mutex
	knowledge persistentKnowledge
}

func (r *knowledgeRef) get() persistentKnowledge {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knowledge
}

func (r *knowledgeRef) set(knowledge persistentKnowledge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knowledge = knowledge
}

// successor holds what a successor needs to take over.
type successor struct {
	dirLocks       *stateDirLocks
	cfg            *config.Config
	op             *operator.File
	space          *statedir.Space
	journalAccount *statedir.Account
	clock          sender.Clock
	log            zerolog.Logger
	sender         *sender.Sender
	disabledStore  *admin.DisabledStore
	knowledge      *knowledgeRef
	member         *membership
	lastLogged     time.Time // when logFailure last wrote
}

// takeOver waits until the old process has released the state directory, then makes this process the active sender. What
// fails is tried again until ctx ends: the messages of the old process are owed, and nobody else has them.
func (s *successor) takeOver(ctx context.Context) {
	waitedFrom := time.Now()
	var lock *statedir.DirLock
	err := transient.RetryAll(ctx, s.logFailure, func() (err error) {
		lock, err = statedir.Lock(s.cfg.StateDir, takeOverTimeout)
		return err
	})
	if err != nil {
		return
	}
	s.log.Info().Dur("waited_ms", time.Since(waitedFrom)).Msg("the old process has released the state directory: taking over")
	knowledge := openKnowledge(s.cfg, s.op.Knowledge, s.space, s.clock, s.log)
	knowledge.account.YieldTo(s.journalAccount)
	if knowledge.Writer != nil {
		go knowledge.Writer.Run()
	}
	s.knowledge.set(knowledge)
	if err := s.readDisabled(); err != nil {
		s.log.Warn().Err(err).Msg("upgrade: reading the endpoints disabled by operators failed")
	}
	if s.takeOverMessages(ctx, knowledge.Knowledge) != nil {
		return
	}
	if err := lock.SetHolder(holderText(s.cfg.ListenAddr)); err != nil {
		s.log.Warn().Err(err).Msg("state directory: writing the lock's holder failed; an upgrade cannot start beside this process")
	}
	s.dirLocks.promote(lock)
	if err := s.member.join(); err != nil {
		s.log.Error().Err(err).Msg("upgrade: joining the fleet failed; the fleet goes on without this sender")
	}
}

// readDisabled applies what operators changed at the old process since the store last read the file. While the file
// cannot be read it tries again, up to disabledReadTimeout; after that the store's Watch does.
func (s *successor) readDisabled() error {
	return transient.Retry(disabledReadTimeout, transient.IsDiskError, func() error {
		return s.disabledStore.Sync(s.sender.ApplyDisabled)
	})
}

// takeOverMessages makes the sender take over the journal of the old process. It returns an error if the sender or this
// process has stopped first.
func (s *successor) takeOverMessages(ctx context.Context, knowledge sender.Knowledge) error {
	return transient.RetryAll(ctx, s.logFailure, func() error { return s.sender.TakeOver(knowledge) })
}

// logFailure logs an error of the takeover, at most once in failureLogInterval.
func (s *successor) logFailure(err error) {
	if time.Since(s.lastLogged) < failureLogInterval {
		return
	}
	s.lastLogged = time.Now()
	s.log.Error().Err(err).Msg("upgrade: taking over from the old process failed, retrying; this process sends nothing yet")
}

// listen listens for clients with SO_REUSEPORT, since a successor starts while the old process still listens on the
// address.
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

// soReusePort is SO_REUSEPORT on Linux, which package syscall does not define.
const soReusePort = 0xf

// handOver ends a process whose successor waits. The listener closes as soon as no connection waits in its queue, so that
// new connections go to the successor. Existing clients are still answered, and their messages accepted, until their connections are closed, for
// up to handOverClientTimeout. Then no further call begins, and handOver returns when the calls in progress have ended.
// The successor finds the remaining messages in the journal.
func handOver(server *intake.Server, snd *sender.Sender, ln net.Listener, shares *shareKeeper, requestedAt time.Time) {
	shares.beginHandOver(server)
	server.Drain()
	closeListener(ln)
	shares.listenerClosed(server)
	ctx, cancel := context.WithTimeout(context.Background(), handOverClientTimeout)
	defer cancel()
	server.Shutdown(ctx)
	shares.leave()
	snd.HandOver(requestedAt)
	<-snd.Done()
}

// closeListener closes a listener once the connections in its queue have been accepted.
func closeListener(ln net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptQueueTimeout)
	defer cancel()
	intake.AwaitAccepted(ctx, ln)
	ln.Close()
}

// lingerAfterHandOver waits for clients to close their connections, until shutdownTimeout after the stop was requested.
// Closing at once would reset a connection on which bytes arrive at that moment.
func lingerAfterHandOver(server *intake.Server, requestedAt time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), requestedAt.Add(shutdownTimeout))
	defer cancel()
	server.WaitClosed(ctx)
}
