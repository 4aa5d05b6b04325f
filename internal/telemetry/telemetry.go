// Package telemetry turns what a sender does into traces and metrics. The sender's goroutine pushes small records
// into a bounded queue and goes on; one goroutine of the package's own makes traces of them, chooses which are
// kept, counts, and hands over to an exporter (package otlp). Nothing here is ever waited for: what does not fit
// is dropped and counted.
//
// It knows neither sockets nor files, and takes no decision about messages. Message bodies and idempotency keys
// never reach it.
package telemetry

import (
	"sync"
	"sync/atomic"
	"unsafe"
)

// Kind tells the records apart. The fields that each sets are named beside it.
type Kind uint8

// The records.
const (
	KindAccepted     Kind = iota // Num, Dest, Class, Again, Restored, Attempt (made so far), Until, Parent, Text = its id
	KindRefused                  // Dest, Cause: turned away by the answer to its hand-in
	KindCallStarted              // Num, Dest, Endpoint, Attempt
	KindCallEnded                // Num, Dest, Endpoint, Attempt, Outcome, MayHaveRun, Wait; Left, Value: allowance left and limit, as told
	KindMessageEnded             // Num, End, Wait = when its client may come again
	KindWaitCause                // Dest, Cause: why what it holds has been waiting since At
	KindMeasurement              // Name, Value
	KindStormPhase               // Dest, Cause: a storm's phase
)

var kindNames = [...]string{KindAccepted: "taken", KindRefused: "refused", KindCallStarted: "began", KindCallEnded: "ended", KindMessageEnded: "over", KindWaitCause: "holds", KindStormPhase: "phase", KindMeasurement: "gauge"}

// String is the kind in a word.
func (k Kind) String() string { return kindNames[min(int(k), len(kindNames)-1)] }

// Cause is why a message waits or was refused.
type Cause uint8

// The causes.
const (
	CauseNone          Cause = iota
	CauseSlot                // all call slots are taken
	CausePace                // the sender's own pace
	CauseRequestedWait       // a wait that the partner told
	CauseBreaker             // its endpoints are in an outage, or come back from one
	CauseStorm               // the pace of a storm
	CauseRetry               // the pause after a failed attempt, or its key's order
	CauseLoad                // refused by the admission controller
	CauseCapacity            // no room to hold it
	CauseStopping            // the sender stops
	CauseNoRoute             // no such destination is listed
	causeCount
)

var causeNames = [causeCount]string{"none", "slot", "pace", "told_wait", "breaker", "storm", "retry", "load", "room", "stopping", "no_route"}

// String is the cause as an attribute's value.
func (c Cause) String() string { return causeNames[min(c, causeCount-1)] }

// End is how a message ended.
type Ending uint8

// The ends.
const (
	EndingDelivered Ending = iota
	EndingClosed           // over at the partner, by its word
	EndingReturned
	EndingAbandoned
	EndingWithdrawn
	EndingNotAccepted // refused in the step that it came in: it has no trace
	endingCount
)

var endingNames = [endingCount]string{"delivered", "closed", "handed_back", "given_up", "withdrawn", "not_taken"}

// String is the end as an attribute's value.
func (e Ending) String() string { return endingNames[min(e, endingCount-1)] }

// Parent is a W3C trace context that a client sent; the zero Parent is none.
type TraceParent struct {
	TraceID [16]byte
	SpanID  [8]byte
	Sampled bool
	Present bool
}

// Record is one thing that the sender has done. At is Unix time in milliseconds, Wait a length of them.
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

// size is what a record takes in the queue.
func (r *Record) size() int64 {
	n := int64(unsafe.Sizeof(*r)) + int64(len(r.Text))
	if r.TraceParent != nil {
		n += int64(unsafe.Sizeof(*r.TraceParent))
	}
	return n
}

// Recorder is the queue. A nil Recorder takes nothing. Push is for any goroutine, Take for one.
type Recorder struct {
	mu      sync.Mutex
	list    []Record
	bytes   int64
	max     int64
	wake    chan struct{}
	dropped atomic.Uint64
	spare   []Record // of the goroutine that drains
}

// NewRecorder returns a Recorder whose records take max bytes at most.
func NewRecorder(max int64) *Recorder {
	return &Recorder{max: max, wake: make(chan struct{}, 1)}
}

// On tells whether records are wanted.
func (q *Recorder) On() bool { return q != nil }

// Push takes a record, or drops it where there is no room. It never waits but for another's push.
func (q *Recorder) Push(r Record) {
	if q == nil {
		return
	}
	size := r.size()
	q.mu.Lock()
	fits := q.bytes+size <= q.max
	if fits {
		q.list = append(q.list, r)
		q.bytes += size
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

// take swaps the records out for an empty list.
func (q *Recorder) take(empty []Record) []Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list, q.bytes = empty[:0], 0
	return list
}

// Dropped counts the records for which there was no room.
func (q *Recorder) Dropped() uint64 { return q.dropped.Load() }

// Wake tells that there are records.
func (q *Recorder) Wake() <-chan struct{} { return q.wake }

// Drain gives all records to take, in their order. It is for one goroutine.
func (q *Recorder) Drain(take func(*Record)) {
	list := q.take(q.spare)
	for i := range list {
		take(&list[i])
	}
	clear(list)
	if q.spare = list; cap(list) > spareMost {
		q.spare = nil // after a burst
	}
}

// spareMost is how many records' room is kept between two drains.
const spareMost = 1024
