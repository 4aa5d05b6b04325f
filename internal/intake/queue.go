package intake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AwaitAccepted returns when no connection waits in the listener's queue, or when the context ends. Closing the listener
// would reset those that wait, although their clients may have written a request. Serve must be running.
func AwaitAccepted(ctx context.Context, ln net.Listener) {
	source, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return
	}
	poll(ctx, func() bool { return !connectionWaits(raw) })
}

// connectionWaits reports whether a connection waits to be accepted. It does not block.
func connectionWaits(listener syscall.RawConn) bool {
	waits := false
	listener.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waits = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return waits
}
