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

// startTLSServer starts a partner over TLS. It reports the HTTP version of a request as x0 of the load report, and
// answers with Retry-After if it has seen a client certificate.
func startTLSServer(t *testing.T, cert tls.Certificate, configure func(*httptest.Server)) *httptest.Server {
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
	if configure != nil {
		configure(s)
	}
	s.StartTLS()
	t.Cleanup(s.Close)
	return s
}

// makeCall makes one call and returns its event and the reported dial error, if any.
func makeCall(t *testing.T, p *Partner, addr string) (policy.Event, string) {
	t.Helper()
	ended, dialErrors := make(chan policy.Event, 1), make(chan string, 10)
	pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 5 * time.Second, X0: 0, X1: 1,
		Partner:     func(int) *Partner { return p },
		OnDialError: func(_ uint32, _ string, err error) { dialErrors <- err.Error() },
		OnDone:      func(_ *Call, events []policy.Event) { ended <- events[0] }})
	pool.Go(&Call{
		Endpoint: 1, Addr: addr, Items: []Item{{ID: 1, Trace: "t", Body: []byte("b")}}, SentAt: time.Now(), Timeout: 10 * time.Second,
	})
	select {
	case e := <-ended:
		pool.CloseIdleConns(1)
		dialError := ""
		if len(dialErrors) > 0 {
			dialError = <-dialErrors
		}
		return e, dialError
	case <-time.After(15 * time.Second):
		t.Fatal("the call has not ended within 15 s")
		return policy.Event{}, ""
	}
}

// Guards against a partner that is called with the wrong protocol version, without the client certificate that it
// requires, or although its certificate is not valid; the error that is reported must name the cause.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	testCA, otherCA := standin.NewAuthority("test CA"), standin.NewAuthority("other CA")
	testCA.WriteCA(path("ca.pem"))
	notAfter := time.Now().Add(90 * 24 * time.Hour)
	valid := testCA.IssueCertificate("partner.example.org", notAfter)
	standin.WriteKeyPair(testCA.IssueCertificate("sender.example.org", notAfter), path("own.pem"), path("own.key"), 0o600)
	caOnly := keys.Files{CA: path("ca.pem")}
	clientCert := keys.Files{CA: path("ca.pem"), Cert: path("own.pem"), Key: path("own.key")}
	requireClientCert := func(s *httptest.Server) {
		s.TLS.ClientAuth, s.TLS.ClientCAs = tls.RequireAndVerifyClientCert, testCA.Pool()
	}
	var selfSigned *standin.Authority // nil: issues self-signed certificates
	for name, row := range map[string]struct {
		cert      tls.Certificate
		server    func(*httptest.Server)
		files     keys.Files
		h2        bool
		want      policy.Outcome
		wantMajor float64 // HTTP version that the partner saw
		wantError string
	}{
		"HTTP/2":              {valid, nil, caOnly, true, policy.OK, 2, ""},
		"HTTP/1.1 by setting": {valid, nil, caOnly, false, policy.OK, 1, ""},
		"HTTP/1.1 by ALPN":    {valid, func(s *httptest.Server) { s.EnableHTTP2 = false }, caOnly, true, policy.OK, 1, ""},
		"mutual":              {valid, requireClientCert, clientCert, true, policy.OK, 2, ""},
		"unknown CA":          {otherCA.IssueCertificate("partner.example.org", notAfter), nil, caOnly, true, policy.ConnectFailed, 0, "unknown authority"},
		"self-signed":         {selfSigned.IssueCertificate("partner.example.org", notAfter), nil, caOnly, true, policy.ConnectFailed, 0, "unknown authority"},
		"wrong name":          {testCA.IssueCertificate("else.example.org", notAfter), nil, caOnly, true, policy.ConnectFailed, 0, "else.example.org"},
		"expired":             {testCA.IssueCertificate("partner.example.org", time.Now().Add(-time.Hour)), nil, caOnly, true, policy.ConnectFailed, 0, "expired"},
		"expired, HTTP/1.1":   {testCA.IssueCertificate("partner.example.org", time.Now().Add(-time.Hour)), nil, caOnly, false, policy.ConnectFailed, 0, "expired"},
		"TLS 1.1 only":        {valid, func(s *httptest.Server) { s.TLS.MaxVersion = tls.VersionTLS11 }, caOnly, true, policy.ConnectFailed, 0, "protocol version"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, _, err := keys.Load(row.files, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			s := startTLSServer(t, row.cert, row.server)
			p := &Partner{HTTP2: row.h2, TLS: func() *tls.Config { return cfg }, ServerName: "partner.example.org", MaxConns: 2}
			e, dialError := makeCall(t, p, s.Listener.Addr().String())
			if e.Outcome != row.want || row.wantMajor > 0 && (len(e.Report) == 0 || e.Report[0] != row.wantMajor) ||
				!strings.Contains(dialError, row.wantError) || row.wantError != "" && dialError == "" {
				t.Errorf("event %+v, dial error %q; want the outcome, HTTP version and error of the row", e, dialError)
			}
			if name == "mutual" && e.RequestedWait == 0 {
				t.Error("the partner has seen no client certificate")
			}
		})
	}
}

// TestInvalidKeyFiles checks that the error for an invalid key file says what is wrong or allowed, and that a
// certificate that expires within two weeks yields a warning with its name.
func TestInvalidKeyFiles(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	now := time.Now()
	testCA := standin.NewAuthority("test CA")
	testCA.WriteCA(path("ca.pem"))
	expiring := testCA.IssueCertificate("sender.example.org", now.Add(13*24*time.Hour))
	standin.WriteKeyPair(expiring, path("own.pem"), path("own.key"), 0o600)
	standin.WriteKeyPair(expiring, path("own.pem"), path("open.key"), 0o640)
	os.WriteFile(path("empty.pem"), nil, 0o600)
	for name, row := range map[string]struct {
		files     keys.Files
		wantError string
	}{
		"readable by others": {keys.Files{Cert: path("own.pem"), Key: path("open.key")}, "others may read"},
		"no such file":       {keys.Files{CA: "/nowhere.pem"}, "/nowhere.pem"},
		"an empty bundle":    {keys.Files{CA: path("empty.pem")}, "no certificate in PEM"},
		"a key as bundle":    {keys.Files{CA: path("own.key")}, "allowed: CERTIFICATE"},
		"not a pair":         {keys.Files{Cert: path("ca.pem"), Key: path("own.key")}, "private key"},
	} {
		if _, _, err := keys.Load(row.files, now); err == nil || !strings.Contains(err.Error(), row.wantError) {
			t.Errorf("%s: error %v, want one with the text of the row", name, err)
		}
	}
	_, warnings, err := keys.Load(keys.Files{Cert: path("own.pem"), Key: path("own.key")}, now)
	if err != nil || len(warnings) != 1 || !strings.Contains(warnings[0].String(), "sender.example.org") {
		t.Errorf("warnings %v, error %v, want one warning on sender.example.org", warnings, err)
	}
}

// Guards against calls that wait for a partner that accepts connections and closes them, or sends no SETTINGS: they end
// soon, as ConnectFailed.
func TestConnectionsWithoutSettingsFail(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){"closes": func(nc net.Conn) { nc.Close() }, "silent": func(net.Conn) {}} {
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
				serve(nc)
			}
		}()
		ended := make(chan policy.Event, 1)
		pool := NewPool(Options{MaxConns: 4, KeepAlive: time.Second, DialTimeout: 200 * time.Millisecond, X0: -1, X1: -1,
			Partner: func(int) *Partner { return &Partner{HTTP2: true, MaxConns: 2} },
			OnDone:  func(_ *Call, events []policy.Event) { ended <- events[0] }})
		start := time.Now()
		pool.Go(&Call{
			Endpoint: 1, Addr: ln.Addr().String(), Items: []Item{{ID: 1, Trace: "t"}}, SentAt: start, Timeout: 10 * time.Second,
		})
		if e := <-ended; e.Outcome != policy.ConnectFailed || time.Since(start) > 5*time.Second {
			t.Errorf("%s: %+v after %v, want ConnectFailed within 5 s", name, e, time.Since(start))
		}
	}
}
