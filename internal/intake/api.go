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
	maxID      = 128   // bytes of an id or key
	maxLeft    = 86400 // seconds that a message may live
	stopRetry  = 500.0 // milliseconds after which a client of a stopping sender should come again
	refuseBusy = 429
)

// route answers one request.
func (s *Server) route(m *http1.Message, received time.Time) response {
	path, _, _ := bytes.Cut(m.Path, []byte("?"))
	switch string(path) {
	case "/up":
		if string(m.Method) != "GET" {
			return response{status: 405, allow: "GET"}
		}
		if !s.Available() {
			return response{status: 503}
		}
		if why := s.snd.RefusalReason(); why != "" {
			return response{status: 503, text: why}
		}
		return response{status: 200}
	case "/api":
		if string(m.Method) != "POST" {
			return response{status: 405, allow: "POST"}
		}
		return s.handIn(m, received)
	}
	return response{status: 404}
}

// handIn passes a message to the sender.
func (s *Server) handIn(m *http1.Message, received time.Time) response {
	if !s.ready.Load() || s.stop.Load() {
		return response{status: 503, retry: stopRetry}
	}
	msg, wrong := s.message(m)
	if wrong != "" {
		return response{status: 400, text: wrong}
	}
	v := s.snd.Submit(&msg, received)
	switch {
	case v.Accepted:
		return response{status: 202, num: v.Num}
	case v.Duplicate: // no number: what becomes of this answer says nothing of who handed it in first
		return response{status: 409, text: "X-Trace-Id was taken on before"}
	case v.TakenOver:
		return response{status: 409, text: "another sender has taken this message over from the one that was lost"}
	case v.Misdirected:
		return response{status: 421, belongs: v.ServedBy, text: "other senders serve this destination"}
	case v.NoRoute: // the list may be late: to come again does no harm
		return response{status: 503, retry: v.RetryAfter, text: "no such destination is listed"}
	}
	if v.TooFewHolders {
		return response{status: 503, retry: v.RetryAfter, text: sender.TooFewHoldersReason}
	}
	return response{status: refuseBusy, retry: v.RetryAfter}
}

// orphan is the X-Second-Try of a message whose sender died or did not answer.
const orphan = "again"

// message reads a message from a request; wrong says what is missing or makes no sense.
func (s *Server) message(m *http1.Message) (msg sender.Message, wrong string) {
	h := &m.Headers
	msg.Trace, msg.Key, msg.Body = h.Get("X-Trace-Id"), h.Get("Idempotency-Key"), m.Body
	if !fits(msg.Trace) || len(msg.Trace) == 0 {
		return msg, "X-Trace-Id"
	}
	class := policy.Class{}
	if msg.Class, class = s.snd.ClassOf(h.Get("X-Qos")); msg.Class < 0 {
		return msg, "X-Qos: no class of the settings has that name"
	}
	if msg.Tenant = s.tenant(h.Get("X-Customer")); msg.Tenant < 0 {
		return msg, "X-Customer"
	}
	keyed := class.Effect == policy.Keyed
	if !fits(msg.Key) || keyed && len(msg.Key) == 0 {
		return msg, "Idempotency-Key"
	}
	left, ok := seconds(h.Get("X-Expires-In"))
	if !ok || left <= 0 || left > maxLeft {
		return msg, "X-Expires-In"
	}
	msg.Remaining = time.Duration(left * float64(time.Second))
	if msg.Dest = dest(h.Get("X-Route-To")); msg.Dest < 0 {
		return msg, "X-Route-To"
	}
	msg.TraceParent = h.Get("traceparent")
	second := h.Get("X-Second-Try")
	msg.Resubmitted, msg.Failover = len(second) > 0, string(second) == orphan
	return msg, ""
}

// seconds reads plain decimal seconds. ParseFloat alone would also take hexadecimal,
// exponents and infinity, which no client means.
func seconds(b []byte) (float64, bool) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, false
		}
	}
	f, err := strconv.ParseFloat(string(b), 64)
	return f, err == nil
}

// fits reports whether an id or key can be passed on as it is.
func fits(b []byte) bool { return len(b) <= maxID && http1.Clean(b) }

// tenant is the position of a tenant, 0 where the settings have none.
func (s *Server) tenant(name []byte) int {
	for i := range s.set.Tenants {
		if s.set.Tenants[i].Name == string(name) {
			return i
		}
	}
	if len(s.set.Tenants) == 0 {
		return 0
	}
	return -1
}

// dest reads the destination from a list of name=value, -1 if there is none.
func dest(v []byte) int {
	for _, pair := range bytes.FieldsFunc(v, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if name, value, _ := bytes.Cut(pair, []byte("=")); string(name) == "dest" {
			if n, err := strconv.ParseUint(string(value), 10, 31); err == nil {
				return int(n)
			}
		}
	}
	return -1
}
