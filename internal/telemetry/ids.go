package telemetry

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// traceOf is the trace id of a message: that of its client's context, or one that its id gives, the same in each
// life of the sender.
func traceOf(id string, p *TraceParent) (t [16]byte) {
	if p != nil && p.Present {
		return p.TraceID
	}
	if raw, err := hex.DecodeString(id); err == nil && len(raw) == 16 && t != [16]byte(raw) {
		return [16]byte(raw)
	}
	binary.BigEndian.PutUint64(t[:], xxhash.Sum64String("trace\x00"+id))
	binary.BigEndian.PutUint64(t[8:], xxhash.Sum64String("sliptide\x00"+id)|1) // never all zero
	return t
}

// spanOf is the id of a span of a trace: root 0, then its parts. It is the same in each life, so that a message
// that was taken up again continues its trace.
func spanOf(trace [16]byte, num uint64, life, part int) (s [8]byte) {
	var b [40]byte
	copy(b[:], trace[:])
	binary.BigEndian.PutUint64(b[16:], num)
	binary.BigEndian.PutUint64(b[24:], uint64(life))
	binary.BigEndian.PutUint64(b[32:], uint64(part))
	binary.BigEndian.PutUint64(s[:], xxhash.Sum64(b[:])|1)
	return s
}

// ParseParent reads a traceparent header (W3C Trace Context, 3.2): version, trace id, parent id, flags. One that
// makes no sense is none, as the recommendation asks (3.2.2.3 and 4.3).
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

// Text is p as a journal keeps it, empty if there is none.
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

const textMost = 128 // bytes of an attribute

// clean makes a text that a client sent fit for an attribute: bounded, valid UTF-8, nothing that is not printed.
func clean(s string) string {
	if len(s) > textMost {
		s = s[:textMost]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, strings.ToValidUTF8(s, ""))
}
