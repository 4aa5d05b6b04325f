package outbound

import (
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sliptide/internal/keys"
	"sliptide/internal/standin"
	"sliptide/policy"
)

// secure is a partner over TLS; protocols as ALPN offers them.
func secure(t *testing.T, cert tls.Certificate, change func(*httptest.Server)) *httptest.Server {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT x0=%d, x1=25", q.ProtoMajor))
		if len(q.TLS.PeerCertificates) > 0 {
			w.Header().Set("Retry-After", "0.001")
		}
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.EnableHTTP2 = true
	s.TLS = &tls.Config{Certificates: []tls.Certificate{cert}}
	if change != nil {
		change(s)
	}
	s.StartTLS()
	t.Cleanup(s.Close)
	return s
}

// try makes one call and returns its event and what was told of trouble.
func try(t *testing.T, p *Partner, addr string) (policy.Event, string) {
	t.Helper()
	ended, trouble := make(chan policy.Event, 1), make(chan string, 10)
	pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: 0, X1: 1,
		Partner:     func(int) *Partner { return p },
		OnDialError: func(_ uint32, _ string, err error) { trouble <- err.Error() },
		OnDone:      func(_ *Call, events []policy.Event) { ended <- events[0] }})
	pool.Go(&Call{Endpoint: 1, Addr: addr, Items: []Item{{ID: 1, Trace: "t", Body: []byte("b")}}, SentAt: time.Now(), Timeout: 10 * time.Second})
	select {
	case e := <-ended:
		pool.CloseIdleConns(1)
		told := ""
		if len(trouble) > 0 {
			told = <-trouble
		}
		return e, told
	case <-time.After(15 * time.Second):
		t.Fatal("no end")
		return policy.Event{}, ""
	}
}

func TestTLS(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	a, other := standin.NewAuthority("test CA"), standin.NewAuthority("other CA")
	a.WriteCA(at("ca.pem"))
	later := time.Now().Add(90 * 24 * time.Hour)
	good := a.Pair("partner.example.org", later)
	standin.WritePair(a.Pair("sender.example.org", later), at("own.pem"), at("own.key"), 0o600)
	ca := keys.Files{CA: at("ca.pem")}
	ownFiles := keys.Files{CA: at("ca.pem"), Cert: at("own.pem"), Key: at("own.key")}
	asksForOne := func(s *httptest.Server) {
		s.TLS.ClientAuth, s.TLS.ClientCAs = tls.RequireAndVerifyClientCert, a.Pool()
	}
	var selfSigned *standin.Authority
	for name, row := range map[string]struct {
		cert   tls.Certificate
		server func(*httptest.Server)
		files  keys.Files
		h2     bool
		want   policy.Outcome
		major  float64 // HTTP version that the partner saw
		says   string
	}{
		"HTTP/2":             {good, nil, ca, true, policy.OK, 2, ""},
		"HTTP/1.1 by choice": {good, nil, ca, false, policy.OK, 1, ""},
		"HTTP/1.1 by ALPN":   {good, func(s *httptest.Server) { s.EnableHTTP2 = false }, ca, true, policy.OK, 1, ""},
		"mutual":             {good, asksForOne, ownFiles, true, policy.OK, 2, ""},
		"unknown CA":         {other.Pair("partner.example.org", later), nil, ca, true, policy.ConnectFailed, 0, "unknown authority"},
		"self-signed":        {selfSigned.Pair("partner.example.org", later), nil, ca, true, policy.ConnectFailed, 0, "unknown authority"},
		"wrong name":         {a.Pair("else.example.org", later), nil, ca, true, policy.ConnectFailed, 0, "else.example.org"},
		"expired":            {a.Pair("partner.example.org", time.Now().Add(-time.Hour)), nil, ca, true, policy.ConnectFailed, 0, "expired"},
		"expired, HTTP/1.1":  {a.Pair("partner.example.org", time.Now().Add(-time.Hour)), nil, ca, false, policy.ConnectFailed, 0, "expired"},
		"too old a TLS":      {good, func(s *httptest.Server) { s.TLS.MaxVersion = tls.VersionTLS11 }, ca, true, policy.ConnectFailed, 0, "protocol version"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, _, err := keys.Load(row.files, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			s := secure(t, row.cert, row.server)
			p := &Partner{HTTP2: row.h2, TLS: func() *tls.Config { return cfg }, ServerName: "partner.example.org", MaxConns: 2}
			e, told := try(t, p, s.Listener.Addr().String())
			if e.Outcome != row.want || row.major > 0 && (len(e.Report) == 0 || e.Report[0] != row.major) || !strings.Contains(told, row.says) || row.says != "" && told == "" {
				t.Errorf("%+v, %q", e, told)
			}
			if name == "mutual" && e.RequestedWait == 0 {
				t.Error("no certificate of ours was seen")
			}
		})
	}
}

// Keys that are no good are refused with the file and what is allowed.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	now := time.Now()
	a := standin.NewAuthority("test CA")
	a.WriteCA(at("ca.pem"))
	soon := a.Pair("sender.example.org", now.Add(13*24*time.Hour))
	standin.WritePair(soon, at("own.pem"), at("own.key"), 0o600)
	standin.WritePair(soon, at("own.pem"), at("open.key"), 0o640)
	os.WriteFile(at("empty.pem"), nil, 0o600)
	for name, row := range map[string]struct {
		files keys.Files
		says  string
	}{
		"readable by others": {keys.Files{Cert: at("own.pem"), Key: at("open.key")}, "others may read"},
		"no such file":       {keys.Files{CA: "/nowhere.pem"}, "/nowhere.pem"},
		"an empty bundle":    {keys.Files{CA: at("empty.pem")}, "no certificate in PEM"},
		"a key as bundle":    {keys.Files{CA: at("own.key")}, "allowed: CERTIFICATE"},
		"not a pair":         {keys.Files{Cert: at("ca.pem"), Key: at("own.key")}, "private key"},
	} {
		if _, _, err := keys.Load(row.files, now); err == nil || !strings.Contains(err.Error(), row.says) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, warnings, err := keys.Load(keys.Files{Cert: at("own.pem"), Key: at("own.key")}, now)
	if err != nil || len(warnings) != 1 || !strings.Contains(warnings[0].String(), "sender.example.org") {
		t.Errorf("%v %v", warnings, err)
	}
}

// A partner that accepts and closes, or says nothing, is no connection: calls end as never run, soon.
func TestUselessConnections(t *testing.T) {
	for name, act := range map[string]func(net.Conn){"closes": func(nc net.Conn) { nc.Close() }, "silent": func(net.Conn) {}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				act(nc)
			}
		}()
		ended := make(chan policy.Event, 1)
		pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 200 * time.Millisecond, X0: -1, X1: -1,
			Partner: func(int) *Partner { return &Partner{HTTP2: true, MaxConns: 2} },
			OnDone:  func(_ *Call, events []policy.Event) { ended <- events[0] }})
		begin := time.Now()
		pool.Go(&Call{Endpoint: 1, Addr: ln.Addr().String(), Items: []Item{{ID: 1, Trace: "t"}}, SentAt: begin, Timeout: 10 * time.Second})
		if e := <-ended; e.Outcome != policy.ConnectFailed || time.Since(begin) > 5*time.Second {
			t.Errorf("%s: %+v after %v", name, e, time.Since(begin))
		}
	}
}
