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
	holdsEvery  = 10.0   // milliseconds between two looks at why messages wait
	gaugesEvery = 1000.0 // and between two sets of gauges
)

// observer tells telemetry, and the log where that is wanted, what the sender does. All of it is a push into a
// bounded queue or a line; with a nil Recorder and without lines it is nothing.
type observer struct {
	*telemetry.Recorder
	lines    bool // a line in the log for each record of a message
	log      zerolog.Logger
	holds    map[int]policy.WaitCause // as told
	holdsAt  float64
	gaugesAt float64
	skipped  bool // a look was too soon after the last: one is due at holdsAt
}

// On tells whether records are wanted.
func (w *observer) On() bool { return w.lines || w.Recorder.On() }

// Push tells of one thing.
func (w *observer) Push(r telemetry.Record) {
	if w.lines {
		w.line(&r)
	}
	w.Recorder.Push(r)
}

// line writes a record of a message, for "sliptide lab count". A message is named by its number; the record of its
// taking on has the id that its client gave it, too.
func (w *observer) line(r *telemetry.Record) {
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
func (w *observer) closed(c outbound.CloseEvent) {
	e := w.log.Log()
	switch {
	case c.Reason == outbound.CloseUnsolicited:
		e = w.log.Warn()
	case !w.lines:
		return
	}
	e.Uint32("endpoint", c.Endpoint).Str("addr", c.Addr).Stringer("reason", c.Reason).Int("answers", c.Answers).Str("record", "closed").Send()
}

func parent(v []byte) *telemetry.Parent {
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
	s.observer.Push(telemetry.Record{Kind: telemetry.Taken, Num: e.Num, Dest: int32(e.Dest), Class: uint8(class), Again: e.Resubmitted, Restored: restored,
		Attempt: int16(e.Attempts), At: s.now, Until: float64(e.Deadline), Text: e.Trace, Parent: parent([]byte(e.TraceParent))})
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
		MayHaveRun: e.Outcome != policy.OK && !e.Outcome.NeverRan(), Wait: e.RequestedWait, At: s.now, Until: s.now - max(e.Latency, 0), Text: c.Addr, Left: s.told(e, s.set.AllowanceIndex), Value: s.told(e, s.set.LimitIndex)})
}

// told is a value of the report that came with an outcome, 0 if there was none.
func (s *Sender) told(e *policy.Event, field int) float64 {
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

var causes = [...]telemetry.Cause{
	policy.CauseNoEndpoint: telemetry.CauseNone, policy.CauseRequestedWait: telemetry.CauseTold, policy.CauseBreaker: telemetry.CauseBreaker,
	policy.CausePaceCap: telemetry.CauseStorm, policy.CausePace: telemetry.CausePace, policy.CauseSlot: telemetry.CauseSlot, policy.CauseRetry: telemetry.CauseRetry,
}

// observeStep tells, after a step, why messages wait where that has changed, and now and then the gauges.
func (s *Sender) observeStep() {
	w := &s.observer
	if !w.On() {
		return
	}
	if w.skipped = s.now < w.holdsAt; w.skipped {
		return
	}
	w.holdsAt = s.now + holdsEvery
	waiting := 0
	fresh := make(map[int]policy.WaitCause, len(w.holds))
	s.mod.EachWaiting(func(dest int, why policy.WaitCause) {
		waiting++
		fresh[dest] = why
		if old, told := w.holds[dest]; !told || old != why {
			w.Push(telemetry.Record{Kind: telemetry.Holds, Dest: int32(dest), Cause: causes[why], At: s.now})
		}
	})
	for dest := range w.holds {
		if _, still := fresh[dest]; !still {
			w.Push(telemetry.Record{Kind: telemetry.Holds, Dest: int32(dest), At: s.now})
		}
	}
	w.holds = fresh
	if s.now < w.gaugesAt {
		return
	}
	w.gaugesAt = s.now + gaugesEvery
	gauge := func(name telemetry.Name, v float64) {
		w.Push(telemetry.Record{Kind: telemetry.Gauge, Name: name, Value: v, At: s.now})
	}
	gauge(telemetry.Held, float64(len(s.msgs)))
	gauge(telemetry.CallsOut, float64(len(s.calls)))
	gauge(telemetry.Waiting, float64(waiting))
	gauge(telemetry.JournalBytes, float64(s.journal.Size()))
	broken, warming, told := s.mod.Overview()
	gauge(telemetry.BreakersOpen, float64(broken))
	gauge(telemetry.Ramping, float64(warming))
	gauge(telemetry.LimitTold, told)
	gauge(telemetry.Connections, float64(s.pool.OpenConns()))
	if s.guard != nil {
		st := s.guard.Stats()
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
		if c.live {
			held = 1
		}
		gauge(telemetry.CopiesHeld, held)
		gauge(telemetry.CopiesLag, float64(c.owner.MaxLag()))
		gauge(telemetry.CopiesWaiting, float64(len(c.lines)))
		gauge(telemetry.CopiesShort, float64(c.short))
	}
}

// observeWait is when observeStep wants to be called again while messages are held: a reason changes with time alone.
func (s *Sender) observeWait(wait time.Duration) time.Duration {
	switch {
	case !s.observer.On() || len(s.msgs) == 0:
		return wait
	case s.observer.skipped:
		return min(wait, millis(s.observer.holdsAt-s.clock.Now()))
	}
	return min(wait, 100*time.Millisecond)
}

// whyNot is why nothing more is taken on.
func (s *Sender) whyNot() telemetry.Cause {
	if !s.stopAt.IsZero() {
		return telemetry.CauseStop
	}
	return telemetry.CauseRoom
}
