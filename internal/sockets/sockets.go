// Package sockets checks the condition of a kept-alive connection before it is reused.
package sockets

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// Condition is the observable condition of a connection without an outstanding request.
type Condition uint8

// The conditions of a connection.
const (
	Idle        Condition = iota // open, and nothing has been received
	Closed                       // closed by the peer, or broken
	Unsolicited                  // the peer has sent bytes that answer no request
)

// Check returns the condition of a TCP connection, or of a TLS connection over TCP, without an outstanding request. It
// consumes no bytes and does not block. The connection's read deadline must not have passed. A connection of another
// type is reported as Closed.
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
	condition := Closed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			condition = Idle
		case err == nil && n > 0:
			condition = Unsolicited
		}
		return true
	})
	if err != nil {
		return Closed
	}
	return condition
}
