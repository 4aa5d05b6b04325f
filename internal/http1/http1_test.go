package http1

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a response whose status, body or error depends on how its bytes arrive, and against a truncated or
// oversized response that loses its status.
func TestResponses(t *testing.T) {
	for text, want := range map[string]struct {
		status int
		body   string
		err    error
	}{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                                  {200, "ok", nil},
		"HTTP/1.1 200\nContent-Length: 0\n\n":                                                             {200, "", nil},
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                 {204, "", nil},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n": {200, "abc", nil},
		"HTTP/1.0 500 No\r\n\r\nto the end":                                                               {500, "to the end", nil},
		"HTTP/1.1 200 OK\r\nContent-Le":                                                                   {200, "", io.ErrUnexpectedEOF},
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf":                                                {200, "", io.ErrUnexpectedEOF},
		"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n":                                                {200, "", ErrTooLarge},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n":                               {200, "", ErrTooLarge},
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                                         {0, "", ErrMalformed},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n":                                                {100, "", nil},
		"noise": {0, "", ErrMalformed},
		"":      {0, "", io.EOF},
	} {
		for name, src := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
			m, err := NewReader(src).ReadResponse()
			if err != want.err || m.Status != want.status || string(m.Body) != want.body {
				t.Errorf("%q, %s: status %d, body %q, error %v; want those of the row", text, name, m.Status, m.Body, err)
			}
		}
	}
}

// The headers of a chunked response survive the reading of its body, however it arrives. A lost Retry-After would not
// be honoured.
func TestChunkedKeepsHeaders(t *testing.T) {
	text := "HTTP/1.1 429 Too Many\r\nRetry-After: 1.5\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
		"2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n0\r\n\r\n"
	for name, src := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
		m, err := NewReader(src).ReadResponse()
		if err != nil || string(m.Headers.Get("Retry-After")) != "1.5" || !m.Close || m.Status != 429 || len(m.Body) != 0x2000 {
			t.Errorf("%s: status %d, Retry-After %q, close %t, %d bytes, error %v; want 429, 1.5, true, 8192 bytes and none", name, m.Status, m.Headers.Get("Retry-After"), m.Close, len(m.Body), err)
		}
	}
}

// A body larger than the buffer moves the head: the slices of the message must still be right, and the next message
// must begin where this one ends.
func TestPipelined(t *testing.T) {
	var b []byte
	sizes := []int{0, 100, 7000, 9000, MaxBody, 3}
	for i, n := range sizes {
		b = AppendRequest(b, "POST", "/api", "h")
		b = AppendHeader(b, "X-Number", string(rune('a'+i)))
		b = AppendBody(b, bytes.Repeat([]byte{byte(i)}, n))
	}
	r := NewReader(iotest.HalfReader(bytes.NewReader(b)))
	for i, n := range sizes {
		m, err := r.ReadRequest()
		if err != nil || len(m.Body) != n || string(m.Headers.Get("x-number")) != string(rune('a'+i)) || string(m.Path) != "/api" {
			t.Fatalf("message %d: error %v, body of %d bytes; want no error, and the length, header and path that were written", i, err, len(m.Body))
		}
		if n > 0 && (m.Body[0] != byte(i) || m.Body[n-1] != byte(i)) {
			t.Errorf("message %d: body of another message", i)
		}
	}
}

// FuzzMessages checks that for any input reading ends, that the body of a request stays within MaxBody, and that a
// request that was read and written again is read with the same path and body.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("POST /api HTTP/1.1\r\nContent-Length: 3\r\nX: y\r\n\r\nabcGET /up HTTP/1.1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		for r := NewReader(bytes.NewReader(text)); ; {
			if _, err := r.ReadResponse(); err != nil {
				break
			}
		}
		for r := NewReader(bytes.NewReader(text)); ; {
			m, err := r.ReadRequest()
			if err != nil {
				return
			}
			if len(m.Body) > MaxBody {
				t.Fatalf("body of %d bytes, more than MaxBody", len(m.Body))
			}
			rewritten := AppendBody(AppendRequest(nil, string(m.Method), string(m.Path), "h"), m.Body)
			n, err := NewReader(bytes.NewReader(rewritten)).ReadRequest()
			if err != nil || !bytes.Equal(n.Body, m.Body) || !bytes.Equal(n.Path, m.Path) {
				t.Fatalf("request written again as %q: error %v, or another path or body", rewritten, err)
			}
		}
	})
}
