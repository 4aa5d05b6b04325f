package sender

import (
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/journal"
	"sliptide/internal/outbound"
	"sliptide/internal/storm"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

const (
	holdsInterval  = 10.0   // milliseconds between two looks at why messages wait
	gaugesInterval = 1000.0 // and between two sets of gauges
)

// observer tells telemetry, and the log where that is wanted, what the sender does. All of it is a push into a
// bounded queue or a line; with a nil Recorder and without lines it is nothing.
type observer struct {
	*telemetry.Recorder
	logRecords    bool // a line in the log for each record of a message
	log           zerolog.Logger
	reportedHolds map[int]policy.WaitCause // as told
	nextHolds     float64
	nextGauges    float64
	holdsSkipped  bool // a look was too soon after the last: one is due at holdsAt
}

// On tells whether records are wanted.
func (w *observer) On() bool { return w.logRecords || w.Recorder.On() }

// Push tells of one thing.
func (w *observer) Push(r telemetry.Record) {
	if w.logRecords {
		w.logRecord(&r)
	}
	w.Recorder.Push(r)
}

// line writes a record of a message, for "sliptide lab count". A message is named by its number; the record of its
// taking on has the id that its client gave it, too.
func (w *observer) logRecord(r *telemetry.Record) {
	e := w.log.Log().Int32("dest", r.Dest)
	switch r.Kind {
	case telemetry.Taken:
		e = e.Str("trace", r.Text).Bool("again", r.Again).Bool("restored", r.Restored)
	case telemetry.Refused, telemetry.Holds:
		e = e.Stringer("cause", r.Cause)
	case telemetry.Began:
		e = e.Uint32("endpoint", r.Endpoint).Int16("attempt", r.Attempt)
	case telemetry.Ended:
		e = e.Uint32("endpoint", r.Endpoint).Int16("attempt", r.Attempt).Stringer("outcome", policy.Outcome(r.Outcome)).
			Float64("wait", r.Wait).Float64("took", r.At-r.Until).Float64("left", r.Left).Float64("limit", r.Value)
	case telemetry.Over:
		e = e.Stringer("end", r.End)
	default:
		return
	}
	e.Uint64("num", r.Num).Str("record", r.Kind.String()).Send()
}

// closed tells of a connection to an endpoint that was closed. It is called on the connection's goroutine. What an
// endpoint sent unasked is always worth a line; all else is one of the records.
func (w *observer) closed(c outbound.Closing) {
	e := w.log.Log()
	switch {
	case c.Reason == outbound.CloseUnsolicited:
		e = w.log.Warn()
	case !w.logRecords:
		return
	}
	e.Uint32("endpoint", c.Endpoint).Str("addr", c.Addr).Stringer("reason", c.Reason).Int("answers", c.Answers).Str("record", "closed").Send()
}

func parseParent(v []byte) *telemetry.Parent {
	if len(v) == 0 {
		return nil
	}
	return telemetry.ParseParent(v)
}

// observeTaken tells of a message that is held from here on.
func (s *Sender) observeTaken(e *journal.Entry, class int, restored bool) {
	if !s.observer.On() {
		return
	}
	s.observer.Push(telemetry.Record{Kind: telemetry.Taken, Num: e.Num, Dest: int32(e.Dest), Class: uint8(class), Again: e.Again, Restored: restored,
		Attempt: int16(e.Attempts), At: s.now, Until: float64(e.Deadline), Text: e.Trace, Parent: parseParent([]byte(e.Parent))})
}

func (s *Sender) observeRefused(dest int, why telemetry.Cause) {
	if s.observer.On() {
		s.observer.Push(telemetry.Record{Kind: telemetry.Refused, Dest: int32(dest), Cause: why, At: s.now})
	}
}

// observeBegan tells of an attempt.
func (s *Sender) observeBegan(m *message, c *outbound.Call, attempt int) {
	if s.observer.On() {
		s.observer.Push(telemetry.Record{Kind: telemetry.Began, Num: m.Num, Dest: int32(m.Dest), Endpoint: c.Endpoint, Attempt: int16(attempt), At: s.now})
	}
}

// observeEnded tells how an attempt ended.
func (s *Sender) observeEnded(c *outbound.Call, e *policy.Event) {
	if !s.observer.On() || e.Kind != policy.EvOutcome {
		return
	}
	s.observer.Push(telemetry.Record{Kind: telemetry.Ended, Num: e.ID, Dest: int32(c.Dest), Endpoint: c.Endpoint, Attempt: int16(e.Attempt), Outcome: uint8(e.Outcome),
		MayHaveRun: e.Outcome != policy.OK && !e.Outcome.NeverRan(), Wait: e.RequestedWait, At: s.now, Until: s.now - max(e.Latency, 0), Text: c.Addr, Left: s.reportField(e, s.settings.AllowanceIndex), Value: s.reportField(e, s.settings.LimitIndex)})
}

// told is a value of the report that came with an outcome, 0 if there was none.
func (s *Sender) reportField(e *policy.Event, field int) float64 {
	if field < 0 || field >= len(e.Report) {
		return 0
	}
	return e.Report[field]
}

func (s *Sender) observeOver(e *journal.Entry, end telemetry.End, after float64) {
	if s.observer.On() {
		s.observer.Push(telemetry.Record{Kind: telemetry.Over, Num: e.Num, Dest: int32(e.Dest), End: end, Wait: after, At: s.now})
	}
}

func (s *Sender) observeStorm(o *storm.Order) {
	if s.observer.On() {
		s.observer.Push(telemetry.Record{Kind: telemetry.Phase, Dest: int32(o.Dest), Value: float64(o.Phase), At: s.now})
	}
}

var holdCauses = [...]telemetry.Cause{
	policy.CauseNoEndpoint: telemetry.CauseNone, policy.CauseRequestedWait: telemetry.CauseTold, policy.CauseBreaker: telemetry.CauseBreaker,
	policy.CausePaceCap: telemetry.CauseStorm, policy.CausePace: telemetry.CausePace, policy.CauseSlot: telemetry.CauseSlot, policy.CauseRetry: telemetry.CauseRetry,
}

// observeStep tells, after a step, why messages wait where that has changed, and now and then the gauges.
func (s *Sender) observeStep() {
	w := &s.observer
	if !w.On() {
		return
	}
	if w.holdsSkipped = s.now < w.nextHolds; w.holdsSkipped {
		return
	}
	w.nextHolds = s.now + holdsInterval
	waiting := 0
	current := make(map[int]policy.WaitCause, len(w.reportedHolds))
	s.module.EachWaiting(func(dest int, why policy.WaitCause) {
		waiting++
		current[dest] = why
		if old, told := w.reportedHolds[dest]; !told || old != why {
			w.Push(telemetry.Record{Kind: telemetry.Holds, Dest: int32(dest), Cause: holdCauses[why], At: s.now})
		}
	})
	for dest := range w.reportedHolds {
		if _, still := current[dest]; !still {
			w.Push(telemetry.Record{Kind: telemetry.Holds, Dest: int32(dest), At: s.now})
		}
	}
	w.reportedHolds = current
	if s.now < w.nextGauges {
		return
	}
	w.nextGauges = s.now + gaugesInterval
	gauge := func(name telemetry.Name, v float64) {
		w.Push(telemetry.Record{Kind: telemetry.Gauge, Name: name, Value: v, At: s.now})
	}
	gauge(telemetry.Held, float64(len(s.messages)))
	gauge(telemetry.CallsOut, float64(len(s.calls)))
	gauge(telemetry.Waiting, float64(waiting))
	gauge(telemetry.JournalBytes, float64(s.journal.Size()))
	openBreakers, ramping, advertised := s.module.Overview()
	gauge(telemetry.BreakersOpen, float64(openBreakers))
	gauge(telemetry.Ramping, float64(ramping))
	gauge(telemetry.LimitTold, advertised)
	gauge(telemetry.Connections, float64(s.pool.Open()))
	if s.stormGuard != nil {
		st := s.stormGuard.Stats()
		gauge(telemetry.StormPromised, float64(st.Promised))
		gauge(telemetry.StormOverbooked, float64(st.Overbooked))
	}
	if s.fleet != nil {
		live := 0.0
		if s.fleet.Live() {
			live = 1
		}
		gauge(telemetry.FleetLive, live)
		gauge(telemetry.FleetDuties, float64(s.fleet.HeldDuties()))
	}
	if c := s.copies; c != nil {
		held := 0.0
		if c.leaseHeld {
			held = 1
		}
		gauge(telemetry.CopiesHeld, held)
		gauge(telemetry.CopiesLag, float64(c.owner.Furthest()))
		gauge(telemetry.CopiesWaiting, float64(len(c.waits)))
		gauge(telemetry.CopiesShort, float64(c.shortCount))
	}
}

// observeWait is when observeStep wants to be called again while messages are held: a reason changes with time alone.
func (s *Sender) untilObservation(wait time.Duration) time.Duration {
	switch {
	case !s.observer.On() || len(s.messages) == 0:
		return wait
	case s.observer.holdsSkipped:
		return min(wait, fromMillis(s.observer.nextHolds-s.clock.Now()))
	}
	return min(wait, 100*time.Millisecond)
}

// whyNot is why nothing more is taken on.
func (s *Sender) refusalCause() telemetry.Cause {
	if !s.stopRequestedAt.IsZero() {
		return telemetry.CauseStop
	}
	return telemetry.CauseRoom
}
