package telemetry

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// traceID returns the trace ID of a message: the one of the client's trace context or, without one, an ID derived from
// the message ID, which is the same in each process run of the sender. A message ID of 32 hexadecimal digits is the
// trace ID itself.
func traceID(id string, p *TraceParent) (t [16]byte) {
	if p != nil && p.Present {
		return p.TraceID
	}
	if raw, err := hex.DecodeString(id); err == nil && len(raw) == 16 && t != [16]byte(raw) {
		return [16]byte(raw)
	}
	binary.BigEndian.PutUint64(t[:], xxhash.Sum64String("trace\x00"+id))
	binary.BigEndian.PutUint64(t[8:], xxhash.Sum64String("sliptide\x00"+id)|1) // an all-zero ID is invalid
	return t
}

// spanID returns the ID of the span with this index in the trace of message num; the root has index 0. The process run
// is part of the hash: when a message is restored after a restart, its new spans join the same trace under IDs of their
// own.
func spanID(trace [16]byte, num uint64, run, index int) (s [8]byte) {
	var b [40]byte
	copy(b[:], trace[:])
	binary.BigEndian.PutUint64(b[16:], num)
	binary.BigEndian.PutUint64(b[24:], uint64(run))
	binary.BigEndian.PutUint64(b[32:], uint64(index))
	binary.BigEndian.PutUint64(s[:], xxhash.Sum64(b[:])|1)
	return s
}

// ParseTraceParent parses a traceparent header (W3C Trace Context, 3.2): version, trace ID, parent ID and flags. It
// returns nil for an invalid header, which the recommendation requires to be ignored (3.2.2.3 and 4.3).
func ParseTraceParent(v []byte) *TraceParent {
	if len(v) < 55 || v[2] != '-' || v[35] != '-' || v[52] != '-' || string(v[:2]) == "ff" || string(v[:2]) == "00" && len(v) != 55 || len(v) > 55 && v[55] != '-' {
		return nil
	}
	p := &TraceParent{Present: true}
	var version, flags [1]byte
	for _, f := range []struct{ to, from []byte }{{version[:], v[:2]}, {p.TraceID[:], v[3:35]}, {p.SpanID[:], v[36:52]}, {flags[:], v[53:55]}} {
		for _, c := range f.from {
			if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
				return nil
			}
		}
		hex.Decode(f.to, f.from)
	}
	if p.TraceID == [16]byte{} || p.SpanID == [8]byte{} {
		return nil
	}
	p.Sampled = flags[0]&1 != 0
	return p
}

// Header returns p as a traceparent header, which is also its form in the journal, or "" if there is none.
func (p *TraceParent) Header() string {
	if p == nil || !p.Present {
		return ""
	}
	flags := "00"
	if p.Sampled {
		flags = "01"
	}
	return "00-" + hex.EncodeToString(p.TraceID[:]) + "-" + hex.EncodeToString(p.SpanID[:]) + "-" + flags
}

const maxTextBytes = 128 // of an attribute value

// sanitize returns a text received from outside as an attribute value: bounded, valid UTF-8, without ASCII control
// characters.
func sanitize(s string) string {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, strings.ToValidUTF8(s, ""))
}
