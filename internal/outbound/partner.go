package outbound

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"
)

// Partner is how one partner is reached where it is not by plain HTTP/1.1.
type Partner struct {
	HTTP2       bool // by prior knowledge, or as ALPN says with TLS
	TLS         func() *tls.Config
	ServerName  string
	MaxConns    int           // HTTP/2 connections to one endpoint
	PingAfter   time.Duration // of silence with streams open
	PingTimeout time.Duration
}

// Dial connects, with the handshake of TLS where that is set; proto is what was agreed on, "h2" or "http/1.1".
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
		return nil, "", fmt.Errorf("TLS: %w", err)
	}
	if proto = t.ConnectionState().NegotiatedProtocol; proto == "" {
		proto = "http/1.1"
	}
	return t, proto, nil
}
