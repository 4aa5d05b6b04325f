package telemetry

import (
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"sliptide/policy"
)

// A valid traceparent header is parsed and written back unchanged; an invalid one is ignored. Without one, the trace ID
// depends on the message ID alone.
func TestParseTraceParent(t *testing.T) {
	const good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	p := ParseTraceParent([]byte(good))
	if p == nil || !p.Sampled || p.Header() != good || traceID("x", p) != p.TraceID {
		t.Fatalf("%+v", p)
	}
	if q := ParseTraceParent([]byte(strings.Replace(good, "-01", "-00", 1))); q == nil || q.Sampled {
		t.Errorf("%+v", q)
	}
	if ParseTraceParent([]byte("01"+good[2:]+"-more")) == nil {
		t.Error("a later version with more fields is rejected")
	}
	for _, bad := range []string{"", "00", good[:54], good + "0", good + "-x", "ff" + good[2:], strings.ToUpper(good),
		"00-00000000000000000000000000000000-00f067aa0ba902b7-01", "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
		strings.Replace(good, "-", "_", 1), "0g" + good[2:], "01" + good[2:] + "x"} {
		if ParseTraceParent([]byte(bad)) != nil {
			t.Errorf("invalid header %q is accepted", bad)
		}
	}
	first, again := traceID("9b1f03aa5c7e2d41", nil), traceID("9b1f03aa5c7e2d41", nil)
	if first != again || traceID("a", nil) == traceID("b", nil) {
		t.Error("the trace ID is not determined by the message ID")
	}
}

// FuzzSanitize checks that, for any input, sanitize returns bounded, valid UTF-8 without control characters, and
// ParseTraceParent does not panic.
func FuzzSanitize(f *testing.F) {
	f.Add("a\x00b\xff\n" + strings.Repeat("é", 100))
	f.Fuzz(func(t *testing.T, s string) {
		if c := sanitize(s); !utf8.ValidString(c) || len(c) > maxTextBytes || strings.ContainsAny(c, "\x00\n\r\x1b") {
			t.Fatalf("%q", c)
		}
		ParseTraceParent([]byte(s))
	})
}

// assemble passes records to an Assembler that samples a share of the traces, and returns it with the sampled traces.
func assemble(share float64, records ...Record) (*Assembler, []*Trace) {
	var kept []*Trace
	a := NewAssembler(Settings{SampledShare: share, Classes: []policy.Class{{Name: "note", Aim: 1000}}, Export: func(t *Trace) { kept = append(kept, t) }})
	for i := range records {
		a.Process(&records[i])
	}
	return a, kept
}

// A message waits for a breaker, then for a wait that the partner requested, fails once and is delivered. It has one
// trace, in which waits and calls follow each other without gaps.
func TestTraceCoversWaitsAndCalls(t *testing.T) {
	ok, timeout := uint8(policy.OK), uint8(policy.Timeout)
	_, kept := assemble(0,
		Record{Kind: KindWaitCause, Dest: 7, Cause: CauseBreaker, At: 900},
		Record{Kind: KindAccepted, Num: 1, Dest: 7, At: 1000, Until: 20000, Text: "id"},
		Record{Kind: KindWaitCause, Dest: 7, Cause: CauseRequestedWait, At: 1500},
		Record{Kind: KindCallStarted, Num: 1, Dest: 7, Endpoint: 4, At: 2000},
		Record{Kind: KindCallEnded, Num: 1, Dest: 7, Endpoint: 4, Outcome: timeout, MayHaveRun: true, Wait: 500, At: 2600, Until: 2000, Text: "10.0.0.1:80"},
		Record{Kind: KindWaitCause, Dest: 7, Cause: CauseRetry, At: 2600},
		Record{Kind: KindCallStarted, Num: 1, Dest: 7, Endpoint: 5, Attempt: 1, At: 2900},
		Record{Kind: KindCallEnded, Num: 1, Dest: 7, Endpoint: 5, Attempt: 1, Outcome: ok, At: 3000, Until: 2900},
		Record{Kind: KindMessageEnded, Num: 1, Dest: 7, Ending: EndingDelivered, At: 3000},
	)
	if len(kept) != 1 {
		t.Fatalf("%d traces kept, want 1 even at a sampled share of 0, as the first call failed", len(kept))
	}
	var got []string
	for _, s := range kept[0].Spans {
		got = append(got, fmt.Sprintf("%s %v-%v", s.Name, s.Start, s.End))
		if s.ID == [8]byte{} || s.Name != "deliver note" && s.ParentID != kept[0].Spans[0].ID {
			t.Errorf("%s: without an ID, or not a child of the root span", s.Name)
		}
	}
	want := "deliver note 1000-3000|wait breaker 1000-1500|wait told_wait 1500-2000|POST /inbox 2000-2600|wait retry 2600-2900|POST /inbox 2900-3000"
	if s := strings.Join(got, "|"); s != want {
		t.Errorf("%s\nwant %s", s, want)
	}
	call := fmt.Sprint(kept[0].Spans[3].Attrs)
	for _, part := range []string{"timeout", "{sliptide.may_have_run true}", "10.0.0.1:80", "{sliptide.told_wait_ms 500}"} {
		if !strings.Contains(call, part) {
			t.Errorf("the call span has no %s: %s", part, call)
		}
	}
}

// Traces of undelivered, late, resubmitted and restored messages and those sampled by the client are always kept. Of
// the others the configured share is kept, chosen by trace ID. A message that was refused at once is never kept.
func TestTailSampling(t *testing.T) {
	sampled := &TraceParent{Present: true, Sampled: true, TraceID: [16]byte{1}, SpanID: [8]byte{1}}
	accepted := Record{Kind: KindAccepted, Num: 1, At: 1000, Until: 20000, Text: "id"}
	acceptedWith := func(f func(*Record)) Record { r := accepted; f(&r); return r }
	delivered := Record{Kind: KindMessageEnded, Num: 1, Ending: EndingDelivered, At: 1100}
	for name, row := range map[string]struct {
		share   float64
		records []Record
		kept    int
	}{
		"ordinary, share 0":     {0, []Record{accepted, delivered}, 0},
		"ordinary, share 1":     {1, []Record{accepted, delivered}, 1},
		"late":                  {0, []Record{accepted, {Kind: KindMessageEnded, Num: 1, Ending: EndingDelivered, At: 2500}}, 1},
		"abandoned message":     {0, []Record{accepted, {Kind: KindMessageEnded, Num: 1, Ending: EndingAbandoned, At: 1100}}, 1},
		"returned message":      {0, []Record{accepted, {Kind: KindMessageEnded, Num: 1, Ending: EndingReturned, At: 1100}}, 1},
		"resubmitted message":   {0, []Record{acceptedWith(func(r *Record) { r.Resubmitted = true }), delivered}, 1},
		"restored":              {0, []Record{acceptedWith(func(r *Record) { r.Restored = true }), delivered}, 1},
		"sampled by its client": {0, []Record{acceptedWith(func(r *Record) { r.TraceParent = sampled }), delivered}, 1},
		"refused at once":       {1, []Record{accepted, {Kind: KindMessageEnded, Num: 1, Ending: EndingNotAccepted, At: 1000}}, 0},
	} {
		a, kept := assemble(row.share, row.records...)
		if len(kept) != row.kept || a.OpenTraces() != 0 {
			t.Errorf("%s: %d kept, want %d; %d left open", name, len(kept), row.kept, a.OpenTraces())
		}
		if name == "sampled by its client" && (kept[0].ID != sampled.TraceID || kept[0].Spans[0].ParentID != sampled.SpanID) {
			t.Errorf("%s: not part of the client's trace", name)
		}
	}
	n := 0
	for i := range 4000 {
		r := accepted
		r.Text = fmt.Sprint("id-", i)
		_, kept := assemble(0.25, r, delivered)
		n += len(kept)
	}
	if n < 900 || n > 1100 {
		t.Errorf("%d of 4,000 traces kept at a share of 0.25, want 900 to 1,100", n)
	}
}

// The trace of a message whose end is never recorded is dropped and counted once its deadline has long passed; it does
// not stay in memory. Records of a message whose acceptance was not recorded are ignored.
func TestTracesWithoutEndAreDropped(t *testing.T) {
	a, kept := assemble(1,
		Record{Kind: KindAccepted, Num: 1, At: 1000, Until: 2000, Text: "id"},
		Record{Kind: KindCallEnded, Num: 9, At: 1000, Until: 900},
		Record{Kind: KindMessageEnded, Num: 9, At: 1000},
		Record{Kind: KindMeasurement, Instrument: MessagesHeld, Value: 3, At: 20000})
	if a.OpenTraces() != 0 || a.Lost != 1 || len(kept) != 0 {
		t.Errorf("%d open, %d lost, %d kept; want only one lost", a.OpenTraces(), a.Lost, len(kept))
	}
}

// The queue stays within its bound in bytes; dropped records are counted and the others come in order. Once drained, it
// accepts records again.
func TestRecorderIsBounded(t *testing.T) {
	q := NewRecorder(10 << 10)
	for i := range 1000 {
		q.Push(Record{Num: uint64(i), Text: strings.Repeat("x", 100)})
	}
	n, last := 0, -1
	q.Drain(func(r *Record) {
		if int(r.Num) <= last {
			t.Error("records are out of order")
		}
		last = int(r.Num)
		n++
	})
	if n == 0 || n > 80 || uint64(n)+q.Dropped() != 1000 {
		t.Errorf("%d held, %d dropped; want 1 to 80 held, and 1,000 together", n, q.Dropped())
	}
	q.Push(Record{})
	n = 0
	if q.Drain(func(*Record) { n++ }); n != 1 {
		t.Error("Push drops a record although the queue has been drained")
	}
	var none *Recorder
	none.Push(Record{}) // a nil Recorder discards records
}

// BenchmarkPush measures the cost per message, with four records, in the sender's goroutine; draining is included.
func BenchmarkPush(b *testing.B) {
	q := NewRecorder(1 << 30)
	b.ReportAllocs()
	for i := range b.N {
		q.Push(Record{Kind: KindAccepted, Num: uint64(i), Text: "9b1f03aa5c7e2d41"})
		q.Push(Record{Kind: KindCallStarted, Num: uint64(i)})
		q.Push(Record{Kind: KindCallEnded, Num: uint64(i), Text: "127.0.0.1:9000"})
		q.Push(Record{Kind: KindMessageEnded, Num: uint64(i)})
		if i%64 == 63 {
			q.Drain(func(*Record) {})
		}
	}
}

// BenchmarkMessage measures the total cost per message, pushing and assembling, without telemetry and with all or one
// percent of the traces sampled.
func BenchmarkMessage(b *testing.B) {
	for _, row := range []struct {
		name  string
		share float64
		on    bool
	}{{"off", 0, false}, {"on", 1, true}, {"one-percent", 0.01, true}} {
		b.Run(row.name, func(b *testing.B) {
			var q *Recorder
			a := NewAssembler(Settings{SampledShare: row.share, Classes: []policy.Class{{Name: "note", Aim: 1000}}, Export: func(*Trace) {}})
			if row.on {
				q = NewRecorder(1 << 30)
			}
			b.ReportAllocs()
			for i := range b.N {
				at := float64(i)
				if q.Enabled() {
					q.Push(Record{Kind: KindAccepted, Num: uint64(i), At: at, Until: at + 1e4, Text: "9b1f03aa5c7e2d41"})
					q.Push(Record{Kind: KindCallStarted, Num: uint64(i), At: at})
					q.Push(Record{Kind: KindCallEnded, Num: uint64(i), At: at + 20, Until: at, Text: "127.0.0.1:9000"})
					q.Push(Record{Kind: KindMessageEnded, Num: uint64(i), At: at + 20})
				}
				if q.Enabled() && i%64 == 63 {
					q.Drain(a.Process)
				}
			}
		})
	}
}
