// Package sockets tells the condition of a kept connection before it is used again.
package sockets

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// Condition is what can be seen of a connection that carries no request.
type Condition uint8

// The conditions.
const (
	Idle        Condition = iota // open, and nothing has come
	Closed                       // the other side has closed it, or it is broken
	Unsolicited                  // the other side has sent what nobody asked for
)

// Check tells the condition of a TCP connection, or of one with TLS over it, that carries no request. It reads nothing
// and does not wait. The connection's read deadline must not have passed.
func Check(nc net.Conn) Condition {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return Closed
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	seen := Closed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			seen = Idle
		case err == nil && n > 0:
			seen = Unsolicited
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return seen
}
