package intake

import (
	"bytes"
	"strconv"
	"time"

	"sliptide/internal/http1"
	"sliptide/internal/sender"
	"sliptide/policy"
)

const (
	maxIDBytes       = 128   // bytes of an id or key
	maxExpirySeconds = 86400 // seconds that a message may live
	stoppingRetryMS  = 500.0 // milliseconds after which a client of a stopping sender should come again
	statusBusy       = 429
)

// route answers one request.
func (s *Server) route(req *http1.Message, received time.Time) response {
	path, _, _ := bytes.Cut(req.Path, []byte("?"))
	switch string(path) {
	case "/up":
		if string(req.Method) != "GET" {
			return response{status: 405, allow: "GET"}
		}
		if !s.Available() {
			return response{status: 503}
		}
		if reason := s.sender.Refuses(); reason != "" {
			return response{status: 503, text: reason}
		}
		return response{status: 200}
	case "/api":
		if string(req.Method) != "POST" {
			return response{status: 405, allow: "POST"}
		}
		return s.submit(req, received)
	}
	return response{status: 404}
}

// handIn passes a message to the sender.
func (s *Server) submit(req *http1.Message, received time.Time) response {
	if !s.ready.Load() || s.refusing.Load() {
		return response{status: 503, retryAfterMS: stoppingRetryMS}
	}
	msg, problem := s.parseMessage(req)
	if problem != "" {
		return response{status: 400, text: problem}
	}
	verdict := s.sender.Take(&msg, received)
	switch {
	case verdict.Taken:
		return response{status: 202, messageNum: verdict.Num}
	case verdict.Known: // no number: what becomes of this answer says nothing of who handed it in first
		return response{status: 409, text: "X-Trace-Id was taken on before"}
	case verdict.Elsewhere:
		return response{status: 409, text: "another sender has taken this message over from the one that was lost"}
	case verdict.Misdirected:
		return response{status: 421, servedBy: verdict.Belongs, text: "other senders serve this destination"}
	case verdict.NoRoute: // the list may be late: to come again does no harm
		return response{status: 503, retryAfterMS: verdict.RetryAfter, text: "no such destination is listed"}
	}
	if verdict.Short {
		return response{status: 503, retryAfterMS: verdict.RetryAfter, text: sender.Short}
	}
	return response{status: statusBusy, retryAfterMS: verdict.RetryAfter}
}

// orphan is the X-Second-Try of a message whose sender died or did not answer.
const orphanResubmission = "again"

// message reads a message from a request; wrong says what is missing or makes no sense.
func (s *Server) parseMessage(req *http1.Message) (msg sender.Message, problem string) {
	h := &req.Headers
	msg.Trace, msg.Key, msg.Body = h.Get("X-Trace-Id"), h.Get("Idempotency-Key"), req.Body
	if !validID(msg.Trace) || len(msg.Trace) == 0 {
		return msg, "X-Trace-Id"
	}
	class := policy.Class{}
	if msg.Class, class = s.sender.ClassOf(h.Get("X-Qos")); msg.Class < 0 {
		return msg, "X-Qos: no class of the settings has that name"
	}
	if msg.Tenant = s.tenantIndex(h.Get("X-Customer")); msg.Tenant < 0 {
		return msg, "X-Customer"
	}
	keyed := class.Effect == policy.Keyed
	if !validID(msg.Key) || keyed && len(msg.Key) == 0 {
		return msg, "Idempotency-Key"
	}
	expiry, ok := parseSeconds(h.Get("X-Expires-In"))
	if !ok || expiry <= 0 || expiry > maxExpirySeconds {
		return msg, "X-Expires-In"
	}
	msg.Left = time.Duration(expiry * float64(time.Second))
	if msg.Dest = parseDestination(h.Get("X-Route-To")); msg.Dest < 0 {
		return msg, "X-Route-To"
	}
	msg.Parent = h.Get("traceparent")
	resubmission := h.Get("X-Second-Try")
	msg.Again, msg.Orphan = len(resubmission) > 0, string(resubmission) == orphanResubmission
	return msg, ""
}

// seconds reads plain decimal seconds. ParseFloat alone would also take hexadecimal,
// exponents and infinity, which no client means.
func parseSeconds(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	f, err := strconv.ParseFloat(string(b), 64)
	return f, err == nil
}

// fits reports whether an id or key can be passed on as it is.
func validID(b []byte) bool { return len(b) <= maxIDBytes && http1.Clean(b) }

// tenant is the position of a tenant, 0 where the settings have none.
func (s *Server) tenantIndex(name []byte) int {
	for i := range s.settings.Tenants {
		if s.settings.Tenants[i].Name == string(name) {
			return i
		}
	}
	if len(s.settings.Tenants) == 0 {
		return 0
	}
	return -1
}

// dest reads the destination from a list of name=value, -1 if there is none.
func parseDestination(v []byte) int {
	for _, pair := range bytes.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if name, value, _ := bytes.Cut(pair, []byte("=")); string(name) == "dest" {
			if n, err := strconv.ParseUint(string(value), 10, 31); err == nil {
				return int(n)
			}
		}
	}
	return -1
}
