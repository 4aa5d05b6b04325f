package outbound

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"
)

// Partner describes how a partner is reached other than by plain HTTP/1.1.
type Partner struct {
	HTTP2       bool               // by prior knowledge; with TLS, if ALPN selects it
	TLS         func() *tls.Config // called for each dial; nil: no TLS
	ServerName  string             // expected in the certificate; empty: the host of the address
	MaxConns    int                // maximum number of HTTP/2 connections to one endpoint; 0 means 1
	PingAfter   time.Duration      // time without a frame from the peer, with streams open, before a PING; 0: no PINGs
	PingTimeout time.Duration      // maximum time until the answer to a PING
}

// Dial connects to addr, with a TLS handshake if TLS is set. proto is the negotiated protocol, "h2" or "http/1.1".
func (p *Partner) Dial(ctx context.Context, addr string) (nc net.Conn, proto string, err error) {
	nc, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil || p.TLS == nil {
		if p.HTTP2 {
			return nc, "h2", err
		}
		return nc, "http/1.1", err
	}
	cfg := p.TLS().Clone()
	if cfg.ServerName = p.ServerName; cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	cfg.NextProtos = []string{"http/1.1"}
	if p.HTTP2 {
		cfg.NextProtos = []string{"h2", "http/1.1"}
	}
	t := tls.Client(nc, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, "", fmt.Errorf("TLS handshake: %w", err)
	}
	if proto = t.ConnectionState().NegotiatedProtocol; proto == "" {
		proto = "http/1.1"
	}
	return t, proto, nil
}
