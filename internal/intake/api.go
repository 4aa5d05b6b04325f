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
	maxIDBytes       = 128   // maximum length of a trace id or idempotency key
	maxExpirySeconds = 86400 // one day
	stoppingRetryMS  = 500.0 // Retry-After, in milliseconds, of a sender that is starting or stopping, or answers too late
	statusBusy       = 429   // refused for lack of capacity
)

// route dispatches a request by its path and returns the answer.
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
		if reason := s.sender.RefusalReason(); reason != "" {
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

// submit passes a message to the sender and returns the answer to its client.
func (s *Server) submit(req *http1.Message, received time.Time) response {
	if !s.ready.Load() || s.refusing.Load() {
		return response{status: 503, retryAfterMS: stoppingRetryMS}
	}
	msg, problem := s.parseMessage(req)
	if problem != "" {
		return response{status: 400, text: problem}
	}
	verdict := s.sender.Submit(&msg, received)
	switch {
	case verdict.Accepted:
		return response{status: 202, messageNum: verdict.Num}
	case verdict.Duplicate: // without a number: if this answer is lost, the first message must not be withdrawn
		return response{status: 409, text: "X-Trace-Id was taken on before"}
	case verdict.TakenOver:
		return response{status: 409, text: "another sender has taken this message over from the one that was lost"}
	case verdict.Misdirected:
		return response{status: 421, servedBy: verdict.ServedBy, text: "other senders serve this destination"}
	case verdict.NoRoute: // the endpoint list may be out of date: a retry may succeed
		return response{status: 503, retryAfterMS: verdict.RetryAfterMS, text: "no such destination is listed"}
	}
	if verdict.TooFewHolders {
		return response{status: 503, retryAfterMS: verdict.RetryAfterMS, text: sender.TooFewHoldersReason}
	}
	return response{status: statusBusy, retryAfterMS: verdict.RetryAfterMS}
}

// failoverResubmission is the value of X-Second-Try in a resubmission after a sender died or did not answer.
const failoverResubmission = "again"

// parseMessage reads a message from a request. problem names a header that is missing or invalid; empty: there is none.
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
	msg.Remaining = time.Duration(expiry * float64(time.Second))
	if msg.Dest = parseDestination(h.Get("X-Route-To")); msg.Dest < 0 {
		return msg, "X-Route-To"
	}
	msg.TraceParent = h.Get("traceparent")
	resubmission := h.Get("X-Second-Try")
	msg.Resubmitted, msg.Failover = len(resubmission) > 0, string(resubmission) == failoverResubmission
	return msg, ""
}

// parseSeconds reads seconds in plain decimal notation. ParseFloat alone would also accept hexadecimal numbers,
// exponents and infinity, which no client sends on purpose.
func parseSeconds(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	f, err := strconv.ParseFloat(string(b), 64)
	return f, err == nil
}

// validID reports whether a trace id or idempotency key can be sent to the partner unchanged.
func validID(b []byte) bool { return len(b) <= maxIDBytes && http1.ValidHeaderValue(b) }

// tenantIndex returns the index of the tenant with that name, 0 if the settings have no tenants, -1 for an unknown
// name.
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

// parseDestination reads the destination from a list of name=value pairs. It returns -1 if there is none.
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
