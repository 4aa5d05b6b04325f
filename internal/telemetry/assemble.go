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
	ID, ParentID [8]byte
	Name         string
	Start, End   float64 // Unix milliseconds
	ClientCall   bool    // a call to a partner
	Failed       bool
	Status       string // what went wrong
	Attrs        []metric.Attr
}

// Trace is one message's.
type Trace struct {
	ID    [16]byte
	Spans []Span // the root first
}

// Settings are what an Assembler works by.
type Settings struct {
	SampledShare float64 // of the ordinary traces that is kept
	Classes      []policy.Class
	Run          int // a number that differs between lives of the sender
	// Keep takes a trace that is kept. It must not wait.
	Export func(*Trace)
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
	Metrics *metric.Registry
	// Kept and Passed count traces; Lost those whose end never came, or for which there was no room.
	Sampled, Unsampled, Lost uint64
	sweepAt                  float64
}

// NewAssembler returns an Assembler.
func NewAssembler(set Settings) *Assembler {
	return &Assembler{set: set, open: map[uint64]*open{}, dests: map[int32]map[uint64]*open{}, holds: map[int32]Cause{}, Metrics: metric.NewRegistry()}
}

// Take takes one record.
func (a *Assembler) Process(r *Record) {
	switch r.Kind {
	case KindAccepted:
		a.taken(r)
	case KindRefused:
		a.Metrics.Add(&refusals, 1, metric.Attr{Key: "cause", Value: r.Cause.String()})
	case KindCallStarted:
		a.began(r)
	case KindCallEnded:
		a.ended(r)
	case KindMessageEnded:
		a.over(r)
	case KindWaitCause:
		a.held(r)
	case KindMeasurement:
		if d := r.Instrument.descriptor(); d != nil {
			a.Metrics.Set(d, r.Value)
		}
	case KindStormPhase:
		a.Metrics.Set(&stormPhase, float64(r.Value), metric.Attr{Key: "sliptide.destination", Value: strconv.Itoa(int(r.Dest))})
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
	o := &open{rec: *r, trace: traceOf(r.Text, r.TraceParent), spans: make([]Span, 1, 4), wait: r.At, cause: a.holds[r.Dest], tries: int(r.Attempt)}
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
	s.ID = spanOf(o.trace, o.rec.Num, a.set.Run, len(o.spans))
	s.ParentID = spanOf(o.trace, o.rec.Num, a.set.Run, 0)
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
		s := Span{Name: "POST /inbox", ClientCall: true, Start: o.out.At, End: r.At, Failed: !ok, Attrs: []metric.Attr{
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
	if o := a.open[r.Num]; r.Ending == EndingNotAccepted {
		if o != nil {
			delete(a.open, r.Num)
			a.waits(o, false)
		}
		return
	}
	a.Metrics.Add(&over, 1, metric.Attr{Key: "sliptide.end", Value: r.Ending.String()})
	o := a.open[r.Num]
	if o == nil {
		return
	}
	if r.Ending != EndingDelivered && r.Ending != EndingClosed {
		a.waited(o, r.At)
	}
	delete(a.open, r.Num)
	a.waits(o, false)
	class := a.class(o.rec.Class)
	a.Metrics.Add(&takenOn, 1, metric.Attr{Key: "sliptide.class", Value: class.Name})
	took := r.At - o.rec.At
	if r.Ending == EndingDelivered {
		a.Metrics.Add(&delivery, took/1000, metric.Attr{Key: "sliptide.class", Value: class.Name})
	}
	late := took > class.Aim
	if !a.keeps(o, r.Ending, late) {
		a.Unsampled++
		return
	}
	a.Sampled++
	root := &o.spans[0]
	*root = Span{ID: spanOf(o.trace, o.rec.Num, a.set.Run, 0), Name: "deliver " + clean(class.Name), Start: o.rec.At, End: r.At,
		Failed: r.Ending != EndingDelivered && r.Ending != EndingClosed, Attrs: []metric.Attr{
			{Key: "messaging.message.id", Value: clean(o.rec.Text)},
			{Key: "messaging.destination.name", Value: strconv.Itoa(int(o.rec.Dest))},
			{Key: "sliptide.class", Value: clean(class.Name)},
			{Key: "sliptide.end", Value: r.Ending.String()},
			{Key: "sliptide.attempts", Value: strconv.Itoa(o.tries)},
			{Key: "sliptide.late", Value: strconv.FormatBool(late)},
		}}
	if root.Failed {
		root.Status = r.Ending.String()
	}
	if p := o.rec.TraceParent; p != nil && p.Present {
		root.ParentID = p.SpanID
	}
	if o.rec.Resubmitted {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.second_try", Value: "true"})
	}
	if o.rec.Restored {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.restored_with_attempts", Value: strconv.Itoa(int(o.rec.Attempt))})
	}
	if r.Wait > 0 {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.retry_in_ms", Value: strconv.FormatFloat(r.Wait, 'f', 0, 64)})
	}
	a.set.Export(&Trace{ID: o.trace, Spans: o.spans})
}

// keeps chooses at the end, when it is known what became of a message: failures, late ones, resends and what its
// client samples always, the rest by the share, by its trace id alone, so that all senders choose alike.
func (a *Assembler) keeps(o *open, end Ending, late bool) bool {
	if end != EndingDelivered || late || o.tries > 1 || o.rec.Resubmitted || o.rec.Restored || o.rec.TraceParent != nil && o.rec.TraceParent.Sampled {
		return true
	}
	return float64(binary.BigEndian.Uint64(o.trace[8:])>>11)/(1<<53) < a.set.SampledShare
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
func (a *Assembler) OpenTraces() int { return len(a.open) }

// The metrics. Names and units follow the semantic conventions where they have one.
var (
	takenOn    = metric.Descriptor{Name: "sliptide.messages.taken", Unit: "{message}", Description: "messages taken on, counted when they end"}
	refusals   = metric.Descriptor{Name: "sliptide.messages.refused", Unit: "{message}", Description: "messages turned away by the answer to their hand-in"}
	over       = metric.Descriptor{Name: "sliptide.messages.over", Unit: "{message}", Description: "messages that ended"}
	calls      = metric.Descriptor{Name: "http.client.request.duration", Unit: "s", Description: "calls to partners, by message", Kind: metric.Distribution}
	delivery   = metric.Descriptor{Name: "sliptide.delivery.duration", Unit: "s", Description: "from taking on to delivery", Kind: metric.Distribution}
	waitTime   = metric.Descriptor{Name: "sliptide.wait.duration", Unit: "s", Description: "waits of messages, by cause", Kind: metric.Distribution}
	stormPhase = metric.Descriptor{Name: "sliptide.storm.phase", Unit: "1", Description: "0 calm, 1 outage, 2 returning, 3 surge", Kind: metric.Gauge}
)

// Name is a gauge, or a counter that the sender keeps.
type Instrument uint8

// The names.
const (
	MessagesHeld Instrument = iota + 1
	ActiveCalls
	DestinationsWaiting
	JournalSize
	BreakersOpen
	BreakersRamping
	AdvertisedLimits
	OpenConnections
	StormReservations
	StormOverbooked
	FleetSessionLive
	FleetDutiesHeld
	CopiesLeaseHeld
	CopiesLag
	CopiesBatchesWaiting
	CopiesMessagesShort
	instrumentCount
)

var instrumentDescriptors = [instrumentCount]metric.Descriptor{
	MessagesHeld:         {Name: "sliptide.messages.held", Unit: "{message}", Description: "messages held", Kind: metric.Gauge},
	ActiveCalls:          {Name: "http.client.active_requests", Unit: "{request}", Description: "calls out", Kind: metric.Gauge},
	DestinationsWaiting:  {Name: "sliptide.destinations.waiting", Unit: "{destination}", Description: "destinations that hold messages", Kind: metric.Gauge},
	JournalSize:          {Name: "sliptide.journal.size", Unit: "By", Description: "size of the journal", Kind: metric.Gauge},
	BreakersOpen:         {Name: "sliptide.breakers.open", Unit: "{endpoint}", Description: "endpoints whose breaker is open", Kind: metric.Gauge},
	BreakersRamping:      {Name: "sliptide.breakers.ramping", Unit: "{endpoint}", Description: "endpoints that come back from an outage", Kind: metric.Gauge},
	OpenConnections:      {Name: "http.client.open_connections", Unit: "{connection}", Description: "connections to endpoints, over HTTP/1.1 and HTTP/2", Kind: metric.Gauge},
	AdvertisedLimits:     {Name: "sliptide.limits.told", Unit: "{call}/s", Description: "limits that partners and the list tell, together", Kind: metric.Gauge},
	StormReservations:    {Name: "sliptide.storm.promised", Unit: "{message}", Description: "come-back times that are reservations"},
	StormOverbooked:      {Name: "sliptide.storm.overbooked", Unit: "{message}", Description: "refusals for which no second was free"},
	FleetSessionLive:     {Name: "sliptide.fleet.live", Unit: "1", Description: "1 while this member's session in the fleet holds", Kind: metric.Gauge},
	FleetDutiesHeld:      {Name: "sliptide.fleet.duties", Unit: "{duty}", Description: "duties that this member holds", Kind: metric.Gauge},
	CopiesLeaseHeld:      {Name: "sliptide.copies.lease", Unit: "1", Description: "1 while the lease on this sender's journal holds", Kind: metric.Gauge},
	CopiesLag:            {Name: "sliptide.copies.lag", Unit: "{batch}", Description: "how far the holder of copies that is furthest behind is", Kind: metric.Gauge},
	CopiesBatchesWaiting: {Name: "sliptide.copies.waiting", Unit: "{batch}", Description: "batches that answers or calls wait for", Kind: metric.Gauge},
	CopiesMessagesShort:  {Name: "sliptide.copies.short", Unit: "{message}", Description: "messages that too few holders had in time"},
}

func (n Instrument) descriptor() *metric.Descriptor {
	if n == 0 || n >= instrumentCount {
		return nil
	}
	return &instrumentDescriptors[n]
}

// Exporter's own drops, put by the Pipe.
var (
	selfRecords = metric.Descriptor{Name: "sliptide.telemetry.records.dropped", Unit: "{record}", Description: "records for which the queue had no room"}
	selfTraces  = metric.Descriptor{Name: "sliptide.telemetry.traces", Unit: "{trace}", Description: "traces, by what became of them"}
)

// String shows a trace as a tree, for tests and the collector.
func (t *Trace) String() string {
	return fmt.Sprintf("%x: %d spans, %v", t.ID, len(t.Spans), time.Duration((t.Spans[0].End-t.Spans[0].Start)*1e6))
}

// CountSelf puts the exporter's own counts among the metrics.
func (a *Assembler) RecordOwnMetrics(records, sent, dropped, lost, rejected uint64) {
	a.Metrics.Set(&selfRecords, float64(records))
	for state, n := range map[string]uint64{"sent": sent, "dropped": dropped, "lost": lost, "passed": a.Unsampled, "rejected_items": rejected} {
		a.Metrics.Set(&selfTraces, float64(n), metric.Attr{Key: "state", Value: state})
	}
}
