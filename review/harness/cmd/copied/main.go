// Command copied is the case of a partner over TLS that writes an answer twice.
package main

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"sliptide.review/harness/lab"
)

const (
	callTime = 10 * time.Millisecond // of this partner, which is a fast one
	messages = 300
	interval = 25 * time.Millisecond
	limit    = 3  // calls of every four that are taken; the others are above the partner's limit
	copied   = 10 // one of so many answers is written twice
)

// held collects what is written, so that several TLS records leave in one segment.
type held struct {
	net.Conn
	mu     sync.Mutex
	hold   bool
	queued bytes.Buffer
}

func (h *held) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold {
		return h.queued.Write(b)
	}
	return h.Conn.Write(b)
}

func (h *held) setHold(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold = on; !on && h.queued.Len() > 0 {
		h.Conn.Write(h.queued.Bytes())
		h.queued.Reset()
	}
}

// partner is the endpoint: HTTP/1.1 over TLS, one request at a time on a connection.
type partner struct {
	lab   *lab.Lab
	mu    sync.Mutex
	calls int
	ran   map[string]int
	ok    map[string]bool // answered 200 by its own answer
}

func (p *partner) serve(nc net.Conn, config *tls.Config) {
	h := &held{Conn: nc}
	tc := tls.Server(h, config)
	defer tc.Close()
	r := bufio.NewReader(tc)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		trace := req.Header.Get("X-Trace-Id")
		p.mu.Lock()
		p.calls++
		n := p.calls
		full := n%4 >= limit
		if !full {
			p.ran[trace]++
			p.ok[trace] = true
		}
		p.mu.Unlock()
		time.Sleep(callTime)
		if full {
			p.lab.Note("endpoint: %s from %s turned away: 503", trace, nc.RemoteAddr())
			io.WriteString(tc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		twice := p.lab.Trouble && n > 40 && n%copied == 0
		p.lab.Note("endpoint: %s from %s run: 200, written twice %v", trace, nc.RemoteAddr(), twice)
		h.setHold(true)
		io.WriteString(tc, answer)
		if twice {
			io.WriteString(tc, answer)
		}
		h.setHold(false)
	}
}

// certificate writes a CA certificate to path and returns a server certificate of it for host.
func certificate(l *lab.Lab, path string) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		l.Fail("key: %v", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "review"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(60 * 24 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.ParseIP(l.Host)},
	}
	der, err := x509.CreateCertificate(crand.Reader, template, template, key.Public(), key)
	if err != nil {
		l.Fail("certificate: %v", err)
	}
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644); err != nil {
		l.Fail("certificate: %v", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func main() {
	l := lab.New()
	ca := filepath.Join(l.Dir, "ca.pem")
	config := &tls.Config{Certificates: []tls.Certificate{certificate(l, ca)}}
	ln, err := net.Listen("tcp", l.Host+":0")
	if err != nil {
		l.Fail("endpoint: %v", err)
	}
	p := &partner{lab: l, ran: map[string]int{}, ok: map[string]bool{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(nc, config)
		}
	}()
	l.AtEnd(func() { ln.Close() })
	operators := filepath.Join(l.Dir, "sliptide.xml")
	base, err := os.ReadFile(filepath.Join(l.Root, "deploy", "sliptide.xml"))
	if err != nil {
		l.Fail("operators' file: %v", err)
	}
	text := strings.Replace(string(base), "</sliptide>", fmt.Sprintf("  <partners>\n    <partner dest=\"7\" protocol=\"https\" ca=%q/>\n  </partners>\n</sliptide>", ca), 1)
	if err := os.WriteFile(operators, []byte(text), 0o644); err != nil {
		l.Fail("operators' file: %v", err)
	}
	platform := l.NewPlatform(lab.Listed{ID: "s-1", Addr: ln.Addr().String(), Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 100})
	settings := lab.DefaultSettings(lab.Class("booking-msg", "keyed", 4000, 20000))
	settings["weights"] = "rough"
	s := l.Start(lab.Config{Name: "n0", Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, "state"), Platform: platform, Settings: settings},
		strings.Replace(l.RunCommand(), "deploy/sliptide.xml", operators, 1))
	s.Up()
	var taken []string
	for i := range messages {
		trace := fmt.Sprintf("m-%03d", i)
		if l.Submit(s.Config.Listen, &lab.Message{Trace: trace, Class: "booking-msg", Key: "k-" + trace, Body: trace, Dest: 7, Expires: 20 * time.Second}) == 202 {
			taken = append(taken, trace)
		}
		time.Sleep(interval)
	}
	time.Sleep(21 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for _, trace := range taken {
		if !p.ok[trace] && len(platform.Notices(trace)) == 0 {
			l.Note("%s was taken on and has no end", trace)
			lost++
		}
	}
	l.Note("%d messages taken on, %d calls", len(taken), p.calls)
	if lost > 0 {
		l.Break("%d of %d messages that were taken on have neither been run nor ended by a notice, 0.3 s past their time", lost, len(taken))
	}
	l.End()
}
