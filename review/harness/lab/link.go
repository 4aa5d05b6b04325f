package lab

import (
	"net"
	"sync"
)

// Link is a proxy between two processes that can be cut: connections then stay open and silent, and new ones never
// come up.
type Link struct {
	Addr string

	target string
	mu     sync.Mutex
	cond   *sync.Cond
	cut    bool
	closed bool
	conns  []net.Conn
}

// NewLink starts a Link to target.
func (l *Lab) NewLink(target string) *Link {
	ln, err := net.Listen("tcp", l.Host+":0")
	if err != nil {
		l.Fail("link: %v", err)
	}
	k := &Link{Addr: ln.Addr().String(), target: target}
	k.cond = sync.NewCond(&k.mu)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go k.serve(nc)
		}
	}()
	l.AtEnd(func() {
		ln.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closed = true
		k.cond.Broadcast()
		for _, nc := range k.conns {
			nc.Close()
		}
	})
	return k
}

// SetCut cuts the link or restores it.
func (k *Link) SetCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	k.cond.Broadcast()
}

// pass waits while the link is cut and reports whether it still serves.
func (k *Link) pass() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut && !k.closed {
		k.cond.Wait()
	}
	return !k.closed
}

func (k *Link) keep(nc net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, nc)
}

func (k *Link) serve(nc net.Conn) {
	k.keep(nc)
	defer nc.Close()
	if !k.pass() {
		return
	}
	out, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	k.keep(out)
	defer out.Close()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := from.Read(b)
			if n > 0 {
				if !k.pass() {
					break
				}
				if _, err := to.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if !k.pass() {
					break
				}
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(out, nc)
	go copyBytes(nc, out)
	<-done
}
