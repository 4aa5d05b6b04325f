// Package telemetry turns the activity of a sender into traces and metrics. The sender's goroutine pushes small records
// into a bounded queue without blocking. Another goroutine assembles traces from them, samples the traces, updates the
// metrics and passes both to an exporter (package otlp). Records and traces that do not fit are dropped and counted.
//
// The package uses neither sockets nor files and takes no decision about messages. It never receives message bodies or
// idempotency keys.
package telemetry

import (
	"sync"
	"sync/atomic"
	"unsafe"
)

// Kind is the kind of a Record. The comment of each kind lists the fields that it sets, besides At.
type Kind uint8

// The kinds of records.
const (
	// Num, Dest, Class, Resubmitted, Restored, Attempt (calls made so far), Until (deadline), TraceParent, Text
	// (message ID)
	KindAccepted Kind = iota
	// Dest, Cause: a submission was refused
	KindRefused
	// Num, Dest, Endpoint, Attempt (from 0)
	KindCallStarted
	// Num, Dest, Endpoint, Attempt (from 0), Outcome, MayHaveRun, Wait (requested wait), Until (start of the call),
	// Text (address of the endpoint); AllowanceLeft and Value (limit), as reported by the partner
	KindCallEnded
	// Num, Dest, Ending, Wait (time after which the client may resubmit the message)
	KindMessageEnded
	// Dest, Cause: why the messages of the destination wait, from At on
	KindWaitCause
	// Instrument, Value
	KindMeasurement
	// Dest, Value: the phase of a storm
	KindStormPhase
)

var kindNames = [...]string{KindAccepted: "taken", KindRefused: "refused", KindCallStarted: "began", KindCallEnded: "ended",
	KindMessageEnded: "over", KindWaitCause: "holds", KindStormPhase: "phase", KindMeasurement: "gauge"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Cause is the reason why a message waits or was refused.
type Cause uint8

// The causes.
const (
	CauseNone          Cause = iota
	CauseSlot                // all call slots are taken
	CausePace                // the sender's own pace
	CauseRequestedWait       // a wait requested by the partner
	CauseBreaker             // the destination's endpoints are in an outage or recovering from one
	CauseStorm               // the pace cap set during a storm
	CauseRetry               // the pause after a failed attempt, or the order of messages with the same key
	CauseLoad                // refused by the admission controller
	CauseCapacity            // no capacity to hold it
	CauseStopping            // the sender is stopping
	CauseNoRoute             // the destination is not listed
	causeCount
)

var causeNames = [causeCount]string{"none", "slot", "pace", "told_wait", "breaker", "storm", "retry", "load", "room", "stopping", "no_route"}

// String returns the attribute value of the cause.
func (c Cause) String() string { return causeNames[min(c, causeCount-1)] }

// Ending is how a message ended.
type Ending uint8

// The endings.
const (
	EndingDelivered Ending = iota
	EndingClosed           // the partner reported that the message is closed
	EndingReturned
	EndingAbandoned
	EndingWithdrawn
	EndingNotAccepted // refused in the step in which it arrived; it gets no trace
	endingCount
)

var endingNames = [endingCount]string{"delivered", "closed", "handed_back", "given_up", "withdrawn", "not_taken"}

// String returns the attribute value of the ending.
func (e Ending) String() string { return endingNames[min(e, endingCount-1)] }

// TraceParent is the W3C trace context sent by a client. The zero TraceParent means that there is none.
type TraceParent struct {
	TraceID [16]byte
	SpanID  [8]byte
	Sampled bool
	Present bool
}

// Record is one event in the sender. At and Until are Unix times in milliseconds, Wait is a duration in milliseconds.
type Record struct {
	Kind          Kind
	Cause         Cause
	Ending        Ending
	Outcome       uint8 // policy.Outcome
	Class         uint8
	Resubmitted   bool
	Restored      bool
	MayHaveRun    bool
	Attempt       int16
	Endpoint      uint32
	Dest          int32
	Num           uint64
	At            float64
	Until         float64
	Wait          float64
	Value         float64
	AllowanceLeft float64
	Instrument    Instrument
	Text          string
	TraceParent   *TraceParent
}

// size returns the number of bytes that r occupies in the queue.
func (r *Record) size() int64 {
	n := int64(unsafe.Sizeof(*r)) + int64(len(r.Text))
	if r.TraceParent != nil {
		n += int64(unsafe.Sizeof(*r.TraceParent))
	}
	return n
}

// Recorder is a bounded queue of records. A nil Recorder discards all records. Any goroutine may call Push; only one
// may call Drain.
type Recorder struct {
	mu          sync.Mutex
	records     []Record
	queuedBytes int64
	maxBytes    int64
	wake        chan struct{}
	dropped     atomic.Uint64
	spare       []Record // reused by Drain
}

// NewRecorder returns a Recorder whose records occupy at most maxBytes bytes.
func NewRecorder(maxBytes int64) *Recorder {
	return &Recorder{maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// Enabled reports whether records are wanted.
func (q *Recorder) Enabled() bool { return q != nil }

// Push appends r to the queue, or drops it if the queue is full. It waits for nothing but the queue's mutex.
func (q *Recorder) Push(r Record) {
	if q == nil {
		return
	}
	size := r.size()
	q.mu.Lock()
	fits := q.queuedBytes+size <= q.maxBytes
	if fits {
		q.records = append(q.records, r)
		q.queuedBytes += size
	}
	q.mu.Unlock()
	if !fits {
		q.dropped.Add(1)
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// swap returns the queued records and replaces them by an empty list that reuses the memory of empty.
func (q *Recorder) swap(empty []Record) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	records := q.records
	q.records, q.queuedBytes = empty[:0], 0
	return records
}

// Dropped returns the number of records that were dropped because the queue was full.
func (q *Recorder) Dropped() uint64 { return q.dropped.Load() }

// Wake returns a channel that receives a value when records have been pushed.
func (q *Recorder) Wake() <-chan struct{} { return q.wake }

// Drain passes all queued records to process, in order. Only one goroutine may call it.
func (q *Recorder) Drain(process func(*Record)) {
	records := q.swap(q.spare)
	for i := range records {
		process(&records[i])
	}
	clear(records)
	if q.spare = records; cap(records) > maxSpareRecords {
		q.spare = nil // release the memory after a burst
	}
}

// maxSpareRecords is the largest capacity, in records, that is kept from one Drain to the next.
const maxSpareRecords = 1024
