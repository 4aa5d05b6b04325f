package telemetry

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"time"

	"sliptide/internal/telemetry/metric"
	"sliptide/policy"
)

const (
	openMost    = 8192  // messages whose trace is under way
	waitsMost   = 32    // waits of a trace, at most
	triesMost   = 64    // attempts of a trace
	forgetAfter = 10e3  // milliseconds behind a message's time, after which its end is not awaited any more
	sweepEvery  = 1000. // milliseconds
)

// Span is one part of a trace, as package otlp writes it.
type Span struct {
	ID, Parent [8]byte
	Name       string
	Start, End float64 // Unix milliseconds
	Client     bool    // a call to a partner
	Failed     bool
	Status     string // what went wrong
	Attrs      []metric.Attr
}

// Trace is one message's.
type Trace struct {
	ID    [16]byte
	Spans []Span // the root first
}

// Settings are what an Assembler works by.
type Settings struct {
	Share   float64 // of the ordinary traces that is kept
	Classes []policy.Class
	Life    int // a number that differs between lives of the sender
	// Keep takes a trace that is kept. It must not wait.
	Keep func(*Trace)
}

// open is a message whose trace is under way.
type open struct {
	rec   Record
	trace [16]byte
	spans []Span
	tries int
	wait  float64 // since when it waits; 0: a call is out with it
	cause Cause
	out   Record // the attempt that is out
}

// Assembler makes traces and metrics of records. It is for one goroutine.
type Assembler struct {
	set     Settings
	open    map[uint64]*open
	dests   map[int32]map[uint64]*open // those that wait
	holds   map[int32]Cause
	Metrics *metric.Set
	// Kept and Passed count traces; Lost those whose end never came, or for which there was no room.
	Kept, Passed, Lost uint64
	sweepAt            float64
}

// NewAssembler returns an Assembler.
func NewAssembler(set Settings) *Assembler {
	return &Assembler{set: set, open: map[uint64]*open{}, dests: map[int32]map[uint64]*open{}, holds: map[int32]Cause{}, Metrics: metric.NewSet()}
}

// Take takes one record.
func (a *Assembler) Take(r *Record) {
	switch r.Kind {
	case Taken:
		a.taken(r)
	case Refused:
		a.Metrics.Add(&refusals, 1, metric.Attr{Key: "cause", Value: r.Cause.String()})
	case Began:
		a.began(r)
	case Ended:
		a.ended(r)
	case Over:
		a.over(r)
	case Holds:
		a.held(r)
	case Gauge:
		if d := r.Name.def(); d != nil {
			a.Metrics.Put(d, r.Value)
		}
	case Phase:
		a.Metrics.Put(&stormPhase, float64(r.Value), metric.Attr{Key: "sliptide.destination", Value: strconv.Itoa(int(r.Dest))})
	}
	if r.At >= a.sweepAt {
		a.sweep(r.At)
	}
}

func (a *Assembler) class(n uint8) *policy.Class {
	if int(n) < len(a.set.Classes) {
		return &a.set.Classes[n]
	}
	return &policy.Class{Name: "unknown", Aim: math.Inf(1)}
}

func (a *Assembler) taken(r *Record) {
	if len(a.open) >= openMost {
		a.Lost++
		return
	}
	o := &open{rec: *r, trace: traceOf(r.Text, r.Parent), spans: make([]Span, 1, 4), wait: r.At, cause: a.holds[r.Dest], tries: int(r.Attempt)}
	a.open[r.Num] = o
	a.waits(o, true)
}

// waits enters a message among those that wait for its destination, or takes it out.
func (a *Assembler) waits(o *open, yes bool) {
	m := a.dests[o.rec.Dest]
	if !yes {
		if delete(m, o.rec.Num); len(m) == 0 {
			delete(a.dests, o.rec.Dest)
		}
		return
	}
	if m == nil {
		m = map[uint64]*open{}
		a.dests[o.rec.Dest] = m
	}
	m[o.rec.Num] = o
}

// held ends the waits that had another cause.
func (a *Assembler) held(r *Record) {
	if a.holds[r.Dest] == r.Cause {
		return
	}
	if a.holds[r.Dest] = r.Cause; r.Cause == CauseNone {
		delete(a.holds, r.Dest)
	}
	for _, o := range a.dests[r.Dest] {
		a.waited(o, r.At)
		o.wait, o.cause = r.At, r.Cause
	}
}

// waited closes a wait. What a step takes is none.
func (a *Assembler) waited(o *open, now float64) {
	if o.wait == 0 || now-o.wait < 2 || len(o.spans) > waitsMost+triesMost {
		return
	}
	cause := o.cause
	if cause == CauseNone && o.tries > 0 {
		cause = CauseRetry
	}
	a.Metrics.Add(&waitTime, (now-o.wait)/1000, metric.Attr{Key: "cause", Value: cause.String()})
	a.add(o, Span{Name: "wait " + cause.String(), Start: o.wait, End: now, Attrs: []metric.Attr{{Key: "sliptide.wait.cause", Value: cause.String()}}})
}

// add appends a part of the trace.
func (a *Assembler) add(o *open, s Span) {
	s.ID = spanOf(o.trace, o.rec.Num, a.set.Life, len(o.spans))
	s.Parent = spanOf(o.trace, o.rec.Num, a.set.Life, 0)
	o.spans = append(o.spans, s)
}

func (a *Assembler) began(r *Record) {
	o := a.open[r.Num]
	if o == nil {
		return
	}
	a.waited(o, r.At)
	a.waits(o, false)
	o.wait, o.out = 0, *r
	o.tries++
}

var outcomeNames = [...]string{"delivered", "error", "turned_away", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}

func outcomeName(n uint8) string { return outcomeNames[min(int(n), len(outcomeNames)-1)] }

func (a *Assembler) ended(r *Record) {
	a.Metrics.Add(&calls, (r.At-r.Until)/1000, metric.Attr{Key: "sliptide.outcome", Value: outcomeName(r.Outcome)})
	o := a.open[r.Num]
	if o == nil || o.wait != 0 {
		return
	}
	ok := policy.Outcome(r.Outcome) == policy.OK
	if len(o.spans) <= waitsMost+triesMost {
		s := Span{Name: "POST /inbox", Client: true, Start: o.out.At, End: r.At, Failed: !ok, Attrs: []metric.Attr{
			{Key: "sliptide.endpoint", Value: strconv.FormatUint(uint64(r.Endpoint), 10)},
			{Key: "sliptide.attempt", Value: strconv.Itoa(int(r.Attempt) + 1)},
			{Key: "sliptide.outcome", Value: outcomeName(r.Outcome)},
			{Key: "sliptide.may_have_run", Value: strconv.FormatBool(r.MayHaveRun)},
		}}
		if !ok {
			s.Status = outcomeName(r.Outcome)
		}
		if r.Wait > 0 {
			s.Attrs = append(s.Attrs, metric.Attr{Key: "sliptide.told_wait_ms", Value: strconv.FormatFloat(r.Wait, 'f', 0, 64)})
		}
		if r.Text != "" {
			s.Attrs = append(s.Attrs, metric.Attr{Key: "server.address", Value: clean(r.Text)})
		}
		a.add(o, s)
	}
	o.wait, o.cause = r.At, a.holds[r.Dest]
	a.waits(o, true)
}

func (a *Assembler) over(r *Record) {
	if o := a.open[r.Num]; r.End == NotTaken {
		if o != nil {
			delete(a.open, r.Num)
			a.waits(o, false)
		}
		return
	}
	a.Metrics.Add(&over, 1, metric.Attr{Key: "sliptide.end", Value: r.End.String()})
	o := a.open[r.Num]
	if o == nil {
		return
	}
	if r.End != Delivered && r.End != Closed {
		a.waited(o, r.At)
	}
	delete(a.open, r.Num)
	a.waits(o, false)
	class := a.class(o.rec.Class)
	a.Metrics.Add(&takenOn, 1, metric.Attr{Key: "sliptide.class", Value: class.Name})
	took := r.At - o.rec.At
	if r.End == Delivered {
		a.Metrics.Add(&delivery, took/1000, metric.Attr{Key: "sliptide.class", Value: class.Name})
	}
	late := took > class.Aim
	if !a.keeps(o, r.End, late) {
		a.Passed++
		return
	}
	a.Kept++
	root := &o.spans[0]
	*root = Span{ID: spanOf(o.trace, o.rec.Num, a.set.Life, 0), Name: "deliver " + clean(class.Name), Start: o.rec.At, End: r.At,
		Failed: r.End != Delivered && r.End != Closed, Attrs: []metric.Attr{
			{Key: "messaging.message.id", Value: clean(o.rec.Text)},
			{Key: "messaging.destination.name", Value: strconv.Itoa(int(o.rec.Dest))},
			{Key: "sliptide.class", Value: clean(class.Name)},
			{Key: "sliptide.end", Value: r.End.String()},
			{Key: "sliptide.attempts", Value: strconv.Itoa(o.tries)},
			{Key: "sliptide.late", Value: strconv.FormatBool(late)},
		}}
	if root.Failed {
		root.Status = r.End.String()
	}
	if p := o.rec.Parent; p != nil && p.Set {
		root.Parent = p.Span
	}
	if o.rec.Again {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.second_try", Value: "true"})
	}
	if o.rec.Restored {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.restored_with_attempts", Value: strconv.Itoa(int(o.rec.Attempt))})
	}
	if r.Wait > 0 {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.retry_in_ms", Value: strconv.FormatFloat(r.Wait, 'f', 0, 64)})
	}
	a.set.Keep(&Trace{ID: o.trace, Spans: o.spans})
}

// keeps chooses at the end, when it is known what became of a message: failures, late ones, resends and what its
// client samples always, the rest by the share, by its trace id alone, so that all senders choose alike.
func (a *Assembler) keeps(o *open, end End, late bool) bool {
	if end != Delivered || late || o.tries > 1 || o.rec.Again || o.rec.Restored || o.rec.Parent != nil && o.rec.Parent.Sampled {
		return true
	}
	return float64(binary.BigEndian.Uint64(o.trace[8:])>>11)/(1<<53) < a.set.Share
}

// sweep gives up messages whose end was dropped or never came.
func (a *Assembler) sweep(now float64) {
	a.sweepAt = now + sweepEvery
	for num, o := range a.open {
		if now > o.rec.Until+forgetAfter {
			delete(a.open, num)
			a.waits(o, false)
			a.Lost++
		}
	}
}

// Open is how many traces are under way.
func (a *Assembler) Open() int { return len(a.open) }

// The metrics. Names and units follow the semantic conventions where they have one.
var (
	takenOn    = metric.Def{Name: "sliptide.messages.taken", Unit: "{message}", Doc: "messages taken on, counted when they end"}
	refusals   = metric.Def{Name: "sliptide.messages.refused", Unit: "{message}", Doc: "messages turned away by the answer to their hand-in"}
	over       = metric.Def{Name: "sliptide.messages.over", Unit: "{message}", Doc: "messages that ended"}
	calls      = metric.Def{Name: "http.client.request.duration", Unit: "s", Doc: "calls to partners, by message", Kind: metric.Distribution}
	delivery   = metric.Def{Name: "sliptide.delivery.duration", Unit: "s", Doc: "from taking on to delivery", Kind: metric.Distribution}
	waitTime   = metric.Def{Name: "sliptide.wait.duration", Unit: "s", Doc: "waits of messages, by cause", Kind: metric.Distribution}
	stormPhase = metric.Def{Name: "sliptide.storm.phase", Unit: "1", Doc: "0 calm, 1 outage, 2 returning, 3 surge", Kind: metric.Gauge}
)

// Name is a gauge, or a counter that the sender keeps.
type Name uint8

// The names.
const (
	Held Name = iota + 1
	CallsOut
	Waiting
	JournalBytes
	BreakersOpen
	Ramping
	LimitTold
	Connections
	StormPromised
	StormOverbooked
	FleetLive
	FleetDuties
	CopiesHeld
	CopiesLag
	CopiesWaiting
	CopiesShort
	names
)

var nameDefs = [names]metric.Def{
	Held:            {Name: "sliptide.messages.held", Unit: "{message}", Doc: "messages held", Kind: metric.Gauge},
	CallsOut:        {Name: "http.client.active_requests", Unit: "{request}", Doc: "calls out", Kind: metric.Gauge},
	Waiting:         {Name: "sliptide.destinations.waiting", Unit: "{destination}", Doc: "destinations that hold messages", Kind: metric.Gauge},
	JournalBytes:    {Name: "sliptide.journal.size", Unit: "By", Doc: "size of the journal", Kind: metric.Gauge},
	BreakersOpen:    {Name: "sliptide.breakers.open", Unit: "{endpoint}", Doc: "endpoints whose breaker is open", Kind: metric.Gauge},
	Ramping:         {Name: "sliptide.breakers.ramping", Unit: "{endpoint}", Doc: "endpoints that come back from an outage", Kind: metric.Gauge},
	Connections:     {Name: "http.client.open_connections", Unit: "{connection}", Doc: "connections to endpoints, over HTTP/1.1 and HTTP/2", Kind: metric.Gauge},
	LimitTold:       {Name: "sliptide.limits.told", Unit: "{call}/s", Doc: "limits that partners and the list tell, together", Kind: metric.Gauge},
	StormPromised:   {Name: "sliptide.storm.promised", Unit: "{message}", Doc: "come-back times that are reservations"},
	StormOverbooked: {Name: "sliptide.storm.overbooked", Unit: "{message}", Doc: "refusals for which no second was free"},
	FleetLive:       {Name: "sliptide.fleet.live", Unit: "1", Doc: "1 while this member's session in the fleet holds", Kind: metric.Gauge},
	FleetDuties:     {Name: "sliptide.fleet.duties", Unit: "{duty}", Doc: "duties that this member holds", Kind: metric.Gauge},
	CopiesHeld:      {Name: "sliptide.copies.lease", Unit: "1", Doc: "1 while the lease on this sender's journal holds", Kind: metric.Gauge},
	CopiesLag:       {Name: "sliptide.copies.lag", Unit: "{batch}", Doc: "how far the holder of copies that is furthest behind is", Kind: metric.Gauge},
	CopiesWaiting:   {Name: "sliptide.copies.waiting", Unit: "{batch}", Doc: "batches that answers or calls wait for", Kind: metric.Gauge},
	CopiesShort:     {Name: "sliptide.copies.short", Unit: "{message}", Doc: "messages that too few holders had in time"},
}

func (n Name) def() *metric.Def {
	if n == 0 || n >= names {
		return nil
	}
	return &nameDefs[n]
}

// Exporter's own drops, put by the Pipe.
var (
	selfRecords = metric.Def{Name: "sliptide.telemetry.records.dropped", Unit: "{record}", Doc: "records for which the queue had no room"}
	selfTraces  = metric.Def{Name: "sliptide.telemetry.traces", Unit: "{trace}", Doc: "traces, by what became of them"}
)

// String shows a trace as a tree, for tests and the collector.
func (t *Trace) String() string {
	return fmt.Sprintf("%x: %d spans, %v", t.ID, len(t.Spans), time.Duration((t.Spans[0].End-t.Spans[0].Start)*1e6))
}

// CountSelf puts the exporter's own counts among the metrics.
func (a *Assembler) CountSelf(records, sent, dropped, lost, rejected uint64) {
	a.Metrics.Put(&selfRecords, float64(records))
	for state, n := range map[string]uint64{"sent": sent, "dropped": dropped, "lost": lost, "passed": a.Passed, "rejected_items": rejected} {
		a.Metrics.Put(&selfTraces, float64(n), metric.Attr{Key: "state", Value: state})
	}
}
