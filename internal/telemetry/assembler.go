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
	maxOpenTraces   = 8192 // traces assembled at the same time
	maxWaitSpans    = 32   // per trace; waits and calls share the sum of both limits
	maxCallSpans    = 64   // per trace
	endTimeoutMS    = 10e3 // a trace is dropped if no end is recorded until this long after the message's deadline
	sweepIntervalMS = 1000.
)

// Span is a span of a trace, in the form that package otlp encodes.
type Span struct {
	ID, ParentID [8]byte
	Name         string
	Start, End   float64 // Unix milliseconds
	ClientCall   bool    // a call to a partner
	Failed       bool
	Status       string // description of the failure
	Attrs        []metric.Attr
}

// Trace is the trace of one message.
type Trace struct {
	ID    [16]byte
	Spans []Span // the root first
}

// Settings configure an Assembler.
type Settings struct {
	SampledShare float64 // share of the ordinary traces that is sampled, from 0 to 1
	Classes      []policy.Class
	Run          int // a number that differs between process runs of the sender
	// Export receives each sampled trace. It must not block.
	Export func(*Trace)
}

// openTrace is the trace of a message that has not ended.
type openTrace struct {
	accepted  Record
	traceID   [16]byte
	spans     []Span  // spans[0] is the root, which is set when the message ends
	attempts  int     // calls started, in earlier process runs too
	waitStart float64 // Unix milliseconds; 0 while a call is active
	waitCause Cause
	call      Record // start of the active call
}

// Assembler assembles records into traces and metrics. It is not safe for concurrent use.
type Assembler struct {
	settings   Settings
	open       map[uint64]*openTrace
	waiting    map[int32]map[uint64]*openTrace // of the messages without an active call, by destination and message
	waitCauses map[int32]Cause
	Metrics    *metric.Registry
	// Sampled and Unsampled count completed traces. Lost counts traces whose end was not recorded and those that were
	// not started because maxOpenTraces had been reached.
	Sampled, Unsampled, Lost uint64
	nextSweep                float64
}

// NewAssembler returns an Assembler without open traces.
func NewAssembler(settings Settings) *Assembler {
	return &Assembler{settings: settings, open: map[uint64]*openTrace{}, waiting: map[int32]map[uint64]*openTrace{}, waitCauses: map[int32]Cause{}, Metrics: metric.NewRegistry()}
}

// Process updates the traces and metrics with one record.
func (a *Assembler) Process(r *Record) {
	switch r.Kind {
	case KindAccepted:
		a.handleAccepted(r)
	case KindRefused:
		a.Metrics.Add(&messagesRefused, 1, metric.Attr{Key: "cause", Value: r.Cause.String()})
	case KindCallStarted:
		a.handleCallStarted(r)
	case KindCallEnded:
		a.handleCallEnded(r)
	case KindMessageEnded:
		a.handleMessageEnded(r)
	case KindWaitCause:
		a.handleWaitCause(r)
	case KindMeasurement:
		if d := r.Instrument.descriptor(); d != nil {
			a.Metrics.Set(d, r.Value)
		}
	case KindStormPhase:
		a.Metrics.Set(&stormPhase, float64(r.Value), metric.Attr{Key: "sliptide.destination", Value: strconv.Itoa(int(r.Dest))})
	}
	if r.At >= a.nextSweep {
		a.sweep(r.At)
	}
}

// class returns the class with index n, or one that is never late if the settings do not contain it.
func (a *Assembler) class(n uint8) *policy.Class {
	if int(n) < len(a.settings.Classes) {
		return &a.settings.Classes[n]
	}
	return &policy.Class{Name: "unknown", Aim: math.Inf(1)}
}

// handleAccepted starts the trace of a message, which waits from then on.
func (a *Assembler) handleAccepted(r *Record) {
	if len(a.open) >= maxOpenTraces {
		a.Lost++
		return
	}
	o := &openTrace{accepted: *r, traceID: traceID(r.Text, r.TraceParent), spans: make([]Span, 1, 4), waitStart: r.At, waitCause: a.waitCauses[r.Dest], attempts: int(r.Attempt)}
	a.open[r.Num] = o
	a.setWaiting(o, true)
}

// setWaiting adds a trace to the waiting traces of its destination, or removes it from them.
func (a *Assembler) setWaiting(o *openTrace, waiting bool) {
	traces := a.waiting[o.accepted.Dest]
	if !waiting {
		if delete(traces, o.accepted.Num); len(traces) == 0 {
			delete(a.waiting, o.accepted.Dest)
		}
		return
	}
	if traces == nil {
		traces = map[uint64]*openTrace{}
		a.waiting[o.accepted.Dest] = traces
	}
	traces[o.accepted.Num] = o
}

// handleWaitCause sets the wait cause of a destination. If it changes, the waits under the previous cause end.
func (a *Assembler) handleWaitCause(r *Record) {
	if a.waitCauses[r.Dest] == r.Cause {
		return
	}
	if a.waitCauses[r.Dest] = r.Cause; r.Cause == CauseNone {
		delete(a.waitCauses, r.Dest)
	}
	for _, o := range a.waiting[r.Dest] {
		a.endWait(o, r.At)
		o.waitStart, o.waitCause = r.At, r.Cause
	}
}

// endWait records the duration of a wait that has ended, and adds its span. It ignores waits shorter than 2 ms, which
// one step of the sender may take, and all waits once the trace has its maximum number of spans.
func (a *Assembler) endWait(o *openTrace, now float64) {
	if o.waitStart == 0 || now-o.waitStart < 2 || len(o.spans) > maxWaitSpans+maxCallSpans {
		return
	}
	cause := o.waitCause
	if cause == CauseNone && o.attempts > 0 {
		cause = CauseRetry
	}
	a.Metrics.Add(&waitDuration, (now-o.waitStart)/1000, metric.Attr{Key: "cause", Value: cause.String()})
	a.addSpan(o, Span{Name: "wait " + cause.String(), Start: o.waitStart, End: now, Attrs: []metric.Attr{{Key: "sliptide.wait.cause", Value: cause.String()}}})
}

// addSpan appends a child of the root span to a trace.
func (a *Assembler) addSpan(o *openTrace, s Span) {
	s.ID = spanID(o.traceID, o.accepted.Num, a.settings.Run, len(o.spans))
	s.ParentID = spanID(o.traceID, o.accepted.Num, a.settings.Run, 0)
	o.spans = append(o.spans, s)
}

// handleCallStarted ends the message's wait.
func (a *Assembler) handleCallStarted(r *Record) {
	o := a.open[r.Num]
	if o == nil {
		return
	}
	a.endWait(o, r.At)
	a.setWaiting(o, false)
	o.waitStart, o.call = 0, *r
	o.attempts++
}

// outcomeNames are the attribute values of the outcomes, by policy.Outcome.
var outcomeNames = [...]string{"delivered", "error", "turned_away", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}

func outcomeName(n uint8) string { return outcomeNames[min(int(n), len(outcomeNames)-1)] }

// handleCallEnded records the call's duration and adds its span, if its start was recorded. The message waits from then
// on.
func (a *Assembler) handleCallEnded(r *Record) {
	a.Metrics.Add(&callDuration, (r.At-r.Until)/1000, metric.Attr{Key: "sliptide.outcome", Value: outcomeName(r.Outcome)})
	o := a.open[r.Num]
	if o == nil || o.waitStart != 0 {
		return
	}
	ok := policy.Outcome(r.Outcome) == policy.OK
	if len(o.spans) <= maxWaitSpans+maxCallSpans {
		s := Span{Name: "POST /inbox", ClientCall: true, Start: o.call.At, End: r.At, Failed: !ok, Attrs: []metric.Attr{
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
			s.Attrs = append(s.Attrs, metric.Attr{Key: "server.address", Value: sanitize(r.Text)})
		}
		a.addSpan(o, s)
	}
	o.waitStart, o.waitCause = r.At, a.waitCauses[r.Dest]
	a.setWaiting(o, true)
}

// handleMessageEnded counts the message, completes its trace and exports the trace if it is sampled. A message that was
// not accepted is not counted, and its trace is discarded.
func (a *Assembler) handleMessageEnded(r *Record) {
	if o := a.open[r.Num]; r.Ending == EndingNotAccepted {
		if o != nil {
			delete(a.open, r.Num)
			a.setWaiting(o, false)
		}
		return
	}
	a.Metrics.Add(&messagesEnded, 1, metric.Attr{Key: "sliptide.end", Value: r.Ending.String()})
	o := a.open[r.Num]
	if o == nil {
		return
	}
	if r.Ending != EndingDelivered && r.Ending != EndingClosed {
		a.endWait(o, r.At)
	}
	delete(a.open, r.Num)
	a.setWaiting(o, false)
	class := a.class(o.accepted.Class)
	a.Metrics.Add(&messagesAccepted, 1, metric.Attr{Key: "sliptide.class", Value: class.Name})
	elapsed := r.At - o.accepted.At
	if r.Ending == EndingDelivered {
		a.Metrics.Add(&deliveryDuration, elapsed/1000, metric.Attr{Key: "sliptide.class", Value: class.Name})
	}
	late := elapsed > class.Aim
	if !a.shouldSample(o, r.Ending, late) {
		a.Unsampled++
		return
	}
	a.Sampled++
	root := &o.spans[0]
	*root = Span{ID: spanID(o.traceID, o.accepted.Num, a.settings.Run, 0), Name: "deliver " + sanitize(class.Name), Start: o.accepted.At, End: r.At,
		Failed: r.Ending != EndingDelivered && r.Ending != EndingClosed, Attrs: []metric.Attr{
			{Key: "messaging.message.id", Value: sanitize(o.accepted.Text)},
			{Key: "messaging.destination.name", Value: strconv.Itoa(int(o.accepted.Dest))},
			{Key: "sliptide.class", Value: sanitize(class.Name)},
			{Key: "sliptide.end", Value: r.Ending.String()},
			{Key: "sliptide.attempts", Value: strconv.Itoa(o.attempts)},
			{Key: "sliptide.late", Value: strconv.FormatBool(late)},
		}}
	if root.Failed {
		root.Status = r.Ending.String()
	}
	if p := o.accepted.TraceParent; p != nil && p.Present {
		root.ParentID = p.SpanID
	}
	if o.accepted.Resubmitted {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.second_try", Value: "true"})
	}
	if o.accepted.Restored {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.restored_with_attempts", Value: strconv.Itoa(int(o.accepted.Attempt))})
	}
	if r.Wait > 0 {
		root.Attrs = append(root.Attrs, metric.Attr{Key: "sliptide.retry_in_ms", Value: strconv.FormatFloat(r.Wait, 'f', 0, 64)})
	}
	a.settings.Export(&Trace{ID: o.traceID, Spans: o.spans})
}

// shouldSample makes the tail-sampling decision once the message has ended. Traces of undelivered, late, retried,
// resubmitted and restored messages, and those sampled by the client, are always kept. Of the rest SampledShare is
// kept; this depends on the trace ID alone, so that all senders decide alike.
func (a *Assembler) shouldSample(o *openTrace, ending Ending, late bool) bool {
	if ending != EndingDelivered || late || o.attempts > 1 || o.accepted.Resubmitted || o.accepted.Restored || o.accepted.TraceParent != nil && o.accepted.TraceParent.Sampled {
		return true
	}
	return float64(binary.BigEndian.Uint64(o.traceID[8:])>>11)/(1<<53) < a.settings.SampledShare
}

// sweep drops the traces of messages whose end was not recorded, for example because the record was dropped.
func (a *Assembler) sweep(now float64) {
	a.nextSweep = now + sweepIntervalMS
	for num, o := range a.open {
		if now > o.accepted.Until+endTimeoutMS {
			delete(a.open, num)
			a.setWaiting(o, false)
			a.Lost++
		}
	}
}

// OpenTraces returns the number of traces that have not ended.
func (a *Assembler) OpenTraces() int { return len(a.open) }

// Metrics derived from records. Names and units follow the OpenTelemetry semantic conventions where these define one.
var (
	messagesAccepted = metric.Descriptor{Name: "sliptide.messages.taken", Unit: "{message}", Description: "messages taken on, counted when they end"}
	messagesRefused  = metric.Descriptor{Name: "sliptide.messages.refused", Unit: "{message}", Description: "messages turned away by the answer to their hand-in"}
	messagesEnded    = metric.Descriptor{Name: "sliptide.messages.over", Unit: "{message}", Description: "messages that ended"}
	callDuration     = metric.Descriptor{Name: "http.client.request.duration", Unit: "s", Description: "calls to partners, by message", Kind: metric.Distribution}
	deliveryDuration = metric.Descriptor{Name: "sliptide.delivery.duration", Unit: "s", Description: "from taking on to delivery", Kind: metric.Distribution}
	waitDuration     = metric.Descriptor{Name: "sliptide.wait.duration", Unit: "s", Description: "waits of messages, by cause", Kind: metric.Distribution}
	stormPhase       = metric.Descriptor{Name: "sliptide.storm.phase", Unit: "1", Description: "0 calm, 1 outage, 2 returning, 3 surge", Kind: metric.Gauge}
)

// Instrument is a gauge, or a counter that is maintained by the sender.
type Instrument uint8

// The instruments.
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
	MessagesEndedLate
	BreakersOpened
	RampsBegun
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
	MessagesEndedLate:    {Name: "sliptide.messages.ended_late", Unit: "{message}", Description: "messages that ended by a notice past their deadline"},
	BreakersOpened:       {Name: "sliptide.breakers.opened", Unit: "{endpoint}", Description: "endpoints that were found to be in an outage"},
	RampsBegun:           {Name: "sliptide.breakers.ramps", Unit: "{endpoint}", Description: "slow starts after an outage"},
	CopiesMessagesShort:  {Name: "sliptide.copies.short", Unit: "{message}", Description: "messages that too few holders had in time"},
}

// descriptor returns the instrument's descriptor, nil for an unknown instrument.
func (n Instrument) descriptor() *metric.Descriptor {
	if n == 0 || n >= instrumentCount {
		return nil
	}
	return &instrumentDescriptors[n]
}

// Metrics of the telemetry itself, set by RecordOwnMetrics.
var (
	droppedRecords = metric.Descriptor{Name: "sliptide.telemetry.records.dropped", Unit: "{record}", Description: "records for which the queue had no room"}
	tracesByState  = metric.Descriptor{Name: "sliptide.telemetry.traces", Unit: "{trace}", Description: "traces, by what became of them"}
)

// String returns the ID, the number of spans and the duration of the trace.
func (t *Trace) String() string {
	return fmt.Sprintf("%x: %d spans, %v", t.ID, len(t.Spans), time.Duration((t.Spans[0].End-t.Spans[0].Start)*1e6))
}

// RecordOwnMetrics sets the metrics of the telemetry itself: dropped records, and traces by state.
func (a *Assembler) RecordOwnMetrics(recordsDropped, sent, dropped, lost, rejected uint64) {
	a.Metrics.Set(&droppedRecords, float64(recordsDropped))
	for state, n := range map[string]uint64{"sent": sent, "dropped": dropped, "lost": lost, "passed": a.Unsampled, "rejected_items": rejected} {
		a.Metrics.Set(&tracesByState, float64(n), metric.Attr{Key: "state", Value: state})
	}
}
