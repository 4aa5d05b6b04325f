// Package http1 reads and writes HTTP/1.1 messages over bufio, for clients and servers. The sizes of heads and
// bodies are limited; the limit of bodies is MaxBody unless NewReaderLimit sets another. The slices of a message
// point into the buffer that it was read into and are valid until the next read.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on the messages read.
const (
	MaxHead    = 8 << 10  // bytes of the first line and the headers
	MaxBody    = 64 << 10 // bytes
	maxHeaders = 64
	bufferSize = 8 << 10 // bytes of a Reader's buffer; a head of MaxHead bytes fits
)

// Errors of reading. A server answers each with a status of its own: 400, 413, 411 and 503. A head that exceeds MaxHead or
// maxHeaders gives ErrMalformed.
var (
	ErrMalformed = errors.New("http1: malformed message")
	ErrTooLarge  = errors.New("http1: message body too large")
	ErrNoLength  = errors.New("http1: request body without Content-Length")
	ErrNoMemory  = errors.New("http1: no memory for a large message")
)

type header struct{ name, value []byte }

// Headers holds the header fields of a message.
type Headers struct {
	list [maxHeaders]header
	n    int
}

// Get returns the value of the first header with the given name, regardless of case, or nil if there is none.
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
	Close        bool // the connection ends after this message
	length       int  // Content-Length; -1 if absent
	chunked      bool
}

// Reader reads messages from one connection.
type Reader struct {
	br       *bufio.Reader
	src      io.Reader
	maxBody  int // bytes
	msg      Message
	large    []byte  // holds a message that does not fit into br's buffer; nil: none
	shared   *[]byte // the buffer of large, if it goes back to sharedBuffers
	memory   Memory  // bounds large; nil: it is not bounded
	reserved int     // bytes reserved in memory
	consumed int     // bytes of br's buffer that the last message occupies, discarded before the next read
}

// NewReader returns a Reader on src that reads bodies of up to MaxBody bytes.
func NewReader(src io.Reader) *Reader { return NewReaderLimit(src, MaxBody) }

// NewReaderLimit returns a Reader on src that reads bodies of up to maxBody bytes; a longer one gives ErrTooLarge.
func NewReaderLimit(src io.Reader, maxBody int) *Reader {
	return &Reader{br: bufio.NewReaderSize(src, bufferSize), src: src, maxBody: maxBody}
}

// Buffered reports whether bytes of the next message are in the buffer. Like a read, it invalidates the last message.
func (r *Reader) Buffered() bool { r.release(); return r.br.Buffered() > 0 }

// Wait blocks until the first byte of the next message has arrived. Like a read, it invalidates the last message.
func (r *Reader) Wait() error {
	r.release()
	_, err := r.br.Peek(1)
	return err
}

// ReadRequest reads the next request. A chunked request, or one without Content-Length whose method is neither GET
// nor HEAD, gives ErrNoLength. The error is io.EOF if the connection ends before the first byte.
func (r *Reader) ReadRequest() (*Message, error) {
	if err := r.readMessage(true); err != nil {
		return &r.msg, err
	}
	return &r.msg, nil
}

// ReadResponse reads the next response. Once the status line has been read, Status is set even if reading the rest
// fails: the endpoint regards the message as answered from there on. The error is io.EOF if the connection ends before
// the first byte.
func (r *Reader) ReadResponse() (*Message, error) {
	if err := r.readMessage(false); err != nil {
		return &r.msg, err
	}
	return &r.msg, nil
}

// readMessage reads one message into r.msg. The head tells how its body ends: after Content-Length bytes, with the last
// chunk or, in a response only, when the connection is closed.
func (r *Reader) readMessage(request bool) error {
	r.release()
	m := &r.msg
	*m = Message{length: -1}
	head, err := r.readHead(m, request)
	if err != nil {
		return err
	}
	if err := m.parseHead(head, request); err != nil {
		return err
	}
	n := m.length
	switch {
	case !request && m.Status == 101:
		return ErrMalformed // no request asks for a protocol switch
	case !request && m.Status < 200:
		n = 0 // an interim response has no body; reading until the connection closes would swallow the final response
	case n > r.maxBody:
		return ErrTooLarge
	case m.chunked && request:
		return ErrNoLength
	case m.chunked:
		return r.readChunked(bytes.Clone(head)) // reading the chunks overwrites the buffer that head points into
	case n < 0 && request:
		r.consumed = len(head)
		if bytes.Equal(m.Method, []byte("GET")) || bytes.Equal(m.Method, []byte("HEAD")) {
			return nil
		}
		return ErrNoLength
	case n < 0 && (m.Status == 204 || m.Status == 304):
		n = 0
	case n < 0:
		return r.readUntilClose(len(head))
	}
	return r.readBody(len(head), n, request)
}

// readBody reads the n bytes after the head. Peek may move the content of the buffer, so the head is parsed again at
// its new place.
func (r *Reader) readBody(headLen, n int, request bool) error {
	m := &r.msg
	var raw []byte
	if headLen+n <= bufferSize {
		var err error
		if raw, err = r.br.Peek(headLen + n); err != nil {
			return unexpectedEOF(err)
		}
		r.consumed = headLen + n
	} else {
		if err := r.acquireLarge(headLen + n); err != nil {
			return err
		}
		raw = r.large
		if _, err := io.ReadFull(r.br, raw); err != nil {
			return unexpectedEOF(err)
		}
	}
	if err := m.parseHead(raw[:headLen], request); err != nil {
		return err
	}
	m.Body = raw[headLen:]
	return nil
}

// readHead peeks until the blank line that ends the head and returns the head including that line. It sets the status
// of a response as soon as the status line is complete.
func (r *Reader) readHead(m *Message, request bool) ([]byte, error) {
	for peekSize := 1; ; {
		b, err := r.br.Peek(peekSize)
		if err == nil {
			b, err = r.br.Peek(r.br.Buffered())
		}
		if !request && m.Status == 0 {
			if !bytes.HasPrefix(b, statusPrefix[:min(len(b), len(statusPrefix))]) {
				return nil, ErrMalformed // not HTTP: fail now, since the peer may neither send more nor close
			}
			if i := bytes.IndexByte(b, '\n'); i >= 0 && m.parseStatusLine(trimLineEnd(b[:i])) != nil {
				return nil, ErrMalformed
			}
		}
		if n := headEnd(b); n > 0 {
			return b[:n], nil
		}
		if err != nil {
			if len(b) == 0 {
				return nil, err // the connection ended between two messages, which truncates none
			}
			return nil, unexpectedEOF(err)
		}
		if len(b) >= MaxHead {
			return nil, ErrMalformed
		}
		peekSize = len(b) + 1
	}
}

var statusPrefix = []byte("HTTP/1.")

// headEnd returns the offset after the first blank line of b, or 0 if there is none. Lines may end with CRLF or LF.
// Both are searched in one pass: searching for one kind first could pass over an earlier blank line of the other kind,
// so that a head hides another one.
func headEnd(b []byte) int {
	for pos := 0; ; {
		i := bytes.IndexByte(b[pos:], '\n')
		if i < 0 {
			return 0
		}
		if pos += i + 1; pos < len(b) && b[pos] == '\n' {
			return pos + 1
		}
		if pos+1 < len(b) && b[pos] == '\r' && b[pos+1] == '\n' {
			return pos + 2
		}
	}
}

// readChunked reads the chunked body of a response. The headers are kept: a chunked response, as sent by a server that
// flushes before it has finished, can also carry Retry-After or a load report.
func (r *Reader) readChunked(head []byte) error {
	r.br.Discard(len(head))
	m := &r.msg
	var body []byte
	for {
		line, err := r.br.ReadSlice('\n')
		if err != nil {
			return unexpectedEOF(err)
		}
		size, _, _ := bytes.Cut(trimLineEnd(line), []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return ErrMalformed
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > r.maxBody {
			return ErrTooLarge
		}
		start := len(body)
		body = append(body, make([]byte, n+2)...)
		if _, err := io.ReadFull(r.br, body[start:]); err != nil {
			return unexpectedEOF(err)
		}
		body = body[:start+int(n)]
	}
	for { // trailers
		line, err := r.br.ReadSlice('\n')
		if err != nil {
			return unexpectedEOF(err)
		}
		if len(trimLineEnd(line)) == 0 {
			break
		}
	}
	if err := m.parseHead(head, false); err != nil {
		return err
	}
	m.Body = body
	return nil
}

// readUntilClose reads a body that ends when the connection is closed.
func (r *Reader) readUntilClose(headLen int) error {
	m := &r.msg
	raw, err := io.ReadAll(io.LimitReader(r.br, int64(headLen+r.maxBody+1)))
	if err != nil {
		return unexpectedEOF(err)
	}
	if len(raw) > headLen+r.maxBody {
		return ErrTooLarge
	}
	if err := m.parseHead(raw[:headLen], false); err != nil {
		return err
	}
	m.Body, m.Close = raw[headLen:], true
	return nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimLineEnd(b []byte) []byte {
	b = bytes.TrimSuffix(b, []byte("\n"))
	return bytes.TrimSuffix(b, []byte("\r"))
}

// parseStatusLine sets Status, and Close for HTTP/1.0.
func (m *Message) parseStatusLine(line []byte) error {
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

// parseRequestLine sets Method, Path, and Close for HTTP/1.0.
func (m *Message) parseRequestLine(line []byte) error {
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

// parseHead parses a head that includes its final blank line.
func (m *Message) parseHead(head []byte, request bool) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	var err error
	if request {
		err = m.parseRequestLine(trimLineEnd(line))
	} else {
		err = m.parseStatusLine(trimLineEnd(line))
	}
	if err != nil {
		return err
	}
	m.Headers.n, m.length, m.chunked = 0, -1, false
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimLineEnd(line); len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || m.Headers.n == maxHeaders {
			return ErrMalformed
		}
		value = bytes.Trim(value, " \t")
		if bytes.IndexByte(value, 0) >= 0 || bytes.IndexByte(value, '\r') >= 0 {
			return ErrMalformed
		}
		m.Headers.list[m.Headers.n] = header{name, value}
		m.Headers.n++
		if err := m.parseFraming(name, value); err != nil {
			return err
		}
	}
}

// parseFraming evaluates the headers that determine where the message and the connection end.
func (m *Message) parseFraming(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		n, ok := parseDigits(value)
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
		return ErrMalformed // two lengths allow request smuggling
	}
	return nil
}

// parseDigits parses a decimal number without a sign. More than 18 digits, which may overflow, are invalid.
func parseDigits(b []byte) (int, bool) {
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

// isToken reports whether b is valid as a header name.
func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// ValidHeaderValue reports whether b can be written as a header value unchanged: printable ASCII and spaces only.
func ValidHeaderValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// AppendRequest appends a request line and the Host header.
func AppendRequest(b []byte, method, path, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendHeader(b, "Host", host)
}

// AppendStatusLine appends a status line.
func AppendStatusLine(b []byte, status int) []byte {
	return fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, reasonPhrases[status])
}

// AppendHeader appends one header.
func AppendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendSeconds appends a header whose value is ms milliseconds, written as decimal seconds.
func AppendSeconds(b []byte, name string, ms float64) []byte {
	return AppendHeader(b, name, strconv.FormatFloat(ms/1000, 'f', 3, 64))
}

// AppendBody appends the Content-Length header, the blank line that ends the head, and the body.
func AppendBody(b, body []byte) []byte {
	b = AppendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

var reasonPhrases = map[int]string{
	200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 411: "Length Required",
	413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
	503: "Service Unavailable",
}
