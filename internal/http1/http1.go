// Package http1 reads and writes HTTP/1.1 messages over bufio, for both sides of
// a connection. Heads and bodies are bounded, bodies by MaxBody unless a Reader
// is made with a bound of its own. A message read is a set of slices
// of the buffer that it was read into, valid until the next read.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Bounds on what is read.
const (
	MaxHead    = 8 << 10
	MaxBody    = 64 << 10
	maxHeaders = 64
	bufferSize = 8 << 10
)

// What can be wrong with a message. Each stands for one answer.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("body too large")
	ErrNoLength  = errors.New("no content length")
)

type header struct{ name, value []byte }

// Headers are the header lines of a message.
type Headers struct {
	list [maxHeaders]header
	n    int
}

// Get is the value of the first header of that name, nil if there is none.
func (h *Headers) Get(name string) []byte {
	for i := range h.list[:h.n] {
		if f := &h.list[i]; len(f.name) == len(name) && equalFold(f.name, name) {
			return f.value
		}
	}
	return nil
}

func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c | 0x20
	}
	return c
}

// Message is a request or a response.
type Message struct {
	Method, Path []byte // of a request
	Status       int    // of a response
	Headers      Headers
	Body         []byte
	Close        bool // the connection ends after it
	length       int  // of the body; -1 = not told
	chunked      bool
}

// Reader reads messages from one connection.
type Reader struct {
	br  *bufio.Reader
	src io.Reader
	max int // bytes of a body at most
	msg Message
	big []byte // holds a message that does not fit the buffer
	use int    // bytes of the buffer that the last message took
}

// NewReader returns a Reader on src that reads bodies of up to MaxBody bytes.
func NewReader(src io.Reader) *Reader { return NewReaderLimit(src, MaxBody) }

// NewReaderBound returns a Reader on src that reads bodies of up to maxBody bytes; a longer one is ErrTooLarge.
func NewReaderLimit(src io.Reader, maxBody int) *Reader {
	return &Reader{br: bufio.NewReaderSize(src, bufferSize), src: src, max: maxBody}
}

// Buffered reports whether bytes of a further message have arrived.
func (r *Reader) Buffered() bool { r.release(); return r.br.Buffered() > 0 }

// Wait blocks until the first byte of the next message is there.
func (r *Reader) Wait() error {
	r.release()
	_, err := r.br.Peek(1)
	return err
}

func (r *Reader) release() {
	r.br.Discard(r.use)
	r.use = 0
	if cap(r.big) > bufferSize {
		r.big = nil // an idle connection keeps no large buffer
	}
}

// Request reads the next request. A request without a method that has a body
// and without a length is ErrNoLength.
func (r *Reader) ReadRequest() (*Message, error) {
	if err := r.next(true); err != nil {
		return &r.msg, err
	}
	return &r.msg, nil
}

// Response reads the next response. Once its first line is read, Status is set,
// also where the rest fails: to an endpoint the message counts from there.
func (r *Reader) ReadResponse() (*Message, error) {
	if err := r.next(false); err != nil {
		return &r.msg, err
	}
	return &r.msg, nil
}

func (r *Reader) next(request bool) error {
	r.release()
	m := &r.msg
	*m = Message{length: -1}
	head, err := r.head(m, request)
	if err != nil {
		return err
	}
	if err := m.parse(head, request); err != nil {
		return err
	}
	n := m.length
	switch {
	case !request && m.Status == 101:
		return ErrMalformed // nothing was asked to change
	case !request && m.Status < 200:
		n = 0 // never has a body: reading to the end would wait for the real answer, and beyond
	case n > r.max:
		return ErrTooLarge
	case m.chunked && request:
		return ErrNoLength
	case m.chunked:
		return r.chunks(bytes.Clone(head)) // the reads of chunks move the buffer under it
	case n < 0 && request:
		r.use = len(head)
		if bytes.Equal(m.Method, []byte("GET")) || bytes.Equal(m.Method, []byte("HEAD")) {
			return nil
		}
		return ErrNoLength
	case n < 0 && (m.Status == 204 || m.Status == 304):
		n = 0
	case n < 0:
		return r.untilEnd(len(head))
	}
	return r.body(len(head), n, request)
}

// body reads n bytes behind the head. Peek may move the buffer's content, so the
// head is parsed again where it lies then.
func (r *Reader) body(head, n int, request bool) error {
	m := &r.msg
	var raw []byte
	if head+n <= bufferSize {
		var err error
		if raw, err = r.br.Peek(head + n); err != nil {
			return cut(err)
		}
		r.use = head + n
	} else {
		r.big = make([]byte, head+n)
		raw = r.big
		if _, err := io.ReadFull(r.br, raw); err != nil {
			return cut(err)
		}
	}
	if err := m.parse(raw[:head], request); err != nil {
		return err
	}
	m.Body = raw[head:]
	return nil
}

// head peeks until the blank line that ends the head and returns it with the
// line. The status of a response is noted as soon as its first line is there.
func (r *Reader) head(m *Message, request bool) ([]byte, error) {
	for want := 1; ; {
		b, err := r.br.Peek(want)
		if err == nil {
			b, err = r.br.Peek(r.br.Buffered())
		}
		if !request && m.Status == 0 {
			if !bytes.HasPrefix(b, statusStart[:min(len(b), len(statusStart))]) {
				return nil, ErrMalformed // noise: its sender may add nothing more, nor close
			}
			if i := bytes.IndexByte(b, '\n'); i >= 0 && m.statusLine(trimCR(b[:i])) != nil {
				return nil, ErrMalformed
			}
		}
		if n := headEnd(b); n > 0 {
			return b[:n], nil
		}
		if err != nil {
			if len(b) == 0 {
				return nil, err // between two messages: not a cut
			}
			return nil, cut(err)
		}
		if len(b) >= MaxHead {
			return nil, ErrMalformed
		}
		want = len(b) + 1
	}
}

var statusStart = []byte("HTTP/1.")

// headEnd is where the first blank line of b ends, however lines end; 0: there is none.
// Whoever looks for one kind of line end first lets a head hide another.
func headEnd(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		if at += i + 1; at < len(b) && b[at] == '\n' {
			return at + 1
		}
		if at+1 < len(b) && b[at] == '\r' && b[at+1] == '\n' {
			return at + 2
		}
	}
}

// chunks reads a chunked body behind the head of a response. The headers stay: a wait or a report may be
// told in a chunked answer too (a server that flushes before its end sends one).
func (r *Reader) chunks(head []byte) error {
	r.br.Discard(len(head))
	m := &r.msg
	var body []byte
	for {
		line, err := r.br.ReadSlice('\n')
		if err != nil {
			return cut(err)
		}
		size, _, _ := bytes.Cut(trimCR(line), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return ErrMalformed
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > r.max {
			return ErrTooLarge
		}
		at := len(body)
		body = append(body, make([]byte, n+2)...)
		if _, err := io.ReadFull(r.br, body[at:]); err != nil {
			return cut(err)
		}
		body = body[:at+int(n)]
	}
	for { // trailers
		line, err := r.br.ReadSlice('\n')
		if err != nil {
			return cut(err)
		}
		if len(trimCR(line)) == 0 {
			break
		}
	}
	if err := m.parse(head, false); err != nil {
		return err
	}
	m.Body = body
	return nil
}

// untilEnd reads a body that ends with the connection.
func (r *Reader) untilEnd(head int) error {
	m := &r.msg
	raw, err := io.ReadAll(io.LimitReader(r.br, int64(head+r.max+1)))
	if err != nil {
		return cut(err)
	}
	if len(raw) > head+r.max {
		return ErrTooLarge
	}
	if err := m.parse(raw[:head], false); err != nil {
		return err
	}
	m.Body, m.Close = raw[head:], true
	return nil
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimCR(b []byte) []byte {
	b = bytes.TrimSuffix(b, []byte("\n"))
	return bytes.TrimSuffix(b, []byte("\r"))
}

func (m *Message) statusLine(line []byte) error {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return ErrMalformed
	}
	n, err := strconv.Atoi(string(line[9:12]))
	if err != nil || n < 100 || len(line) > 12 && line[12] != ' ' {
		return ErrMalformed
	}
	m.Status = n
	m.Close = line[7] == '0'
	return nil
}

func (m *Message) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	path, proto, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || len(method) == 0 || len(path) == 0 || path[0] != '/' ||
		len(proto) != 8 || !bytes.HasPrefix(proto, []byte("HTTP/1.")) {
		return ErrMalformed
	}
	for _, c := range method {
		if c < 'A' || c > 'Z' {
			return ErrMalformed
		}
	}
	m.Method, m.Path, m.Close = method, path, proto[7] == '0'
	return nil
}

// parse reads a head, with the blank line behind it.
func (m *Message) parse(head []byte, request bool) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	var err error
	if request {
		err = m.requestLine(trimCR(line))
	} else {
		err = m.statusLine(trimCR(line))
	}
	if err != nil {
		return err
	}
	m.Headers.n, m.length, m.chunked = 0, -1, false
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimCR(line); len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !token(name) || m.Headers.n == maxHeaders {
			return ErrMalformed
		}
		value = bytes.Trim(value, " \t")
		if bytes.IndexByte(value, 0) >= 0 || bytes.IndexByte(value, '\r') >= 0 {
			return ErrMalformed
		}
		m.Headers.list[m.Headers.n] = header{name, value}
		m.Headers.n++
		if err := m.framing(name, value); err != nil {
			return err
		}
	}
}

// framing takes the headers that say where the message ends.
func (m *Message) framing(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		n, ok := digits(value)
		if !ok || m.length >= 0 && m.length != n {
			return ErrMalformed
		}
		m.length = n
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return ErrMalformed
		}
		m.chunked = true
	case equalFold(name, "connection"):
		for _, v := range bytes.Split(value, []byte(",")) {
			v = bytes.TrimSpace(v)
			m.Close = (m.Close || equalFold(v, "close")) && !equalFold(v, "keep-alive")
		}
	}
	if m.chunked && m.length >= 0 {
		return ErrMalformed // two lengths: a smuggled request
	}
	return nil
}

func digits(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 18 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// token reports whether b may be a header's name.
func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// Clean reports whether b may stand in a header's value as it is.
func ValidHeaderValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// AppendRequest appends the first line of a request and its host.
func AppendRequest(b []byte, method, path, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendHeader(b, "Host", host)
}

// AppendStatus appends the first line of a response.
func AppendStatusLine(b []byte, status int) []byte {
	return fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, reasons[status])
}

// AppendHeader appends one header.
func AppendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendSeconds appends a header with a time in milliseconds as decimal seconds.
func AppendSeconds(b []byte, name string, ms float64) []byte {
	return AppendHeader(b, name, strconv.FormatFloat(ms/1000, 'f', 3, 64))
}

// AppendBody ends the head with the body's length and appends the body.
func AppendBody(b, body []byte) []byte {
	b = AppendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

var reasons = map[int]string{
	200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 411: "Length Required",
	413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable",
}
