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
	waitCausesIntervalMS = 10.0   // milliseconds between checks why messages wait
	gaugesIntervalMS     = 1000.0 // milliseconds between sets of gauges
)

// observer records the sender's activity in telemetry and, if enabled, in the log. Each record is a push into a bounded
// queue or a log line; with a nil Recorder and without logRecords nothing is recorded.
type observer struct {
	*telemetry.Recorder
	logRecords     bool // log each record of a message
	log            zerolog.Logger
	reportedCauses map[int]policy.WaitCause // as last reported, by destination
	nextCauses     float64                  // when the reasons to wait are checked next, by the sender's clock
	nextGauges     float64                  // when the gauges are recorded next
	causesSkipped  bool                     // a check was skipped; the next is due at nextCauses
}

// Enabled reports whether records are wanted.
func (o *observer) Enabled() bool { return o.logRecords || o.Recorder.Enabled() }

// Push records r.
func (o *observer) Push(r telemetry.Record) {
	if o.logRecords {
		o.logRecord(&r)
	}
	o.Recorder.Push(r)
}

// logRecord logs a record of a message, for "sliptide lab count". Records identify a message by its number; the record
// of its acceptance also has the ID that its client gave it.
func (o *observer) logRecord(r *telemetry.Record) {
	e := o.log.Log().Int32("dest", r.Dest)
	switch r.Kind {
	case telemetry.KindAccepted:
		e = e.Str("trace", r.Text).Bool("again", r.Resubmitted).Bool("restored", r.Restored).Float64("left", r.Until-r.At)
	case telemetry.KindRefused, telemetry.KindWaitCause:
		e = e.Stringer("cause", r.Cause)
	case telemetry.KindCallStarted:
		e = e.Uint32("endpoint", r.Endpoint).Int16("attempt", r.Attempt)
	case telemetry.KindCallEnded:
		e = e.Uint32("endpoint", r.Endpoint).Int16("attempt", r.Attempt).Stringer("outcome", policy.Outcome(r.Outcome)).
			Float64("wait", r.Wait).Float64("took", r.At-r.Until).Float64("left", r.AllowanceLeft).Float64("limit", r.Value)
	case telemetry.KindMessageEnded:
		e = e.Stringer("end", r.Ending)
	default:
		return
	}
	e.Uint64("num", r.Num).Str("record", r.Kind.String()).Send()
}

// logNotice logs, with logRecords, that the notice of a message was posted or acknowledged, and how many milliseconds of
// the message's time were left then.
func (o *observer) logNotice(e *journal.Entry, event string, now float64) {
	if !o.logRecords {
		return
	}
	o.log.Log().Str("trace", e.Trace).Bool("returned", e.Ending == journal.EndingReturned).Float64("left", float64(e.Deadline)-now).
		Uint64("num", e.Num).Str("event", event).Str("record", "notice").Send()
}

// logSkipped logs that an attempt which the module ordered did not begin. m is nil if the message has ended.
func (o *observer) logSkipped(a *policy.Action, m *message, cause skipCause) {
	e := o.log.Warn().Uint64("num", a.ID).Uint32("endpoint", a.Endpoint).Stringer("cause", cause)
	if m != nil {
		e = e.Str("trace", m.Trace).Int("dest", m.Dest)
	}
	e.Msg("an attempt did not begin")
}

// closed logs that a connection to an endpoint was closed. It is called on the connection's goroutine. Unsolicited
// bytes from an endpoint are always logged, other reasons only with logRecords.
func (o *observer) closed(c outbound.CloseEvent) {
	e := o.log.Log()
	switch {
	case c.Reason == outbound.CloseUnsolicited:
		e = o.log.Warn()
	case !o.logRecords:
		return
	}
	e.Uint32("endpoint", c.Endpoint).Str("addr", c.Addr).Stringer("reason", c.Reason).Int("answers", c.Responses).Str("record", "closed").Send()
}

func parseParent(v []byte) *telemetry.TraceParent {
	if len(v) == 0 {
		return nil
	}
	return telemetry.ParseTraceParent(v)
}

// observeAccepted records an accepted or restored message.
func (s *Sender) observeAccepted(e *journal.Entry, class int, restored bool) {
	if !s.observer.Enabled() {
		return
	}
	s.observer.Push(telemetry.Record{Kind: telemetry.KindAccepted, Num: e.Num, Dest: int32(e.Dest), Class: uint8(class), Resubmitted: e.Resubmitted, Restored: restored,
		Attempt: int16(e.Attempts), At: s.now, Until: float64(e.Deadline), Text: e.Trace, TraceParent: parseParent([]byte(e.TraceParent))})
}

func (s *Sender) observeRefused(dest int, why telemetry.Cause) {
	if s.observer.Enabled() {
		s.observer.Push(telemetry.Record{Kind: telemetry.KindRefused, Dest: int32(dest), Cause: why, At: s.now})
	}
}

// observeAttemptStart records the start of an attempt.
func (s *Sender) observeAttemptStart(m *message, c *outbound.Call, attempt int) {
	if s.observer.Enabled() {
		s.observer.Push(telemetry.Record{Kind: telemetry.KindCallStarted, Num: m.Num, Dest: int32(m.Dest), Endpoint: c.Endpoint, Attempt: int16(attempt), At: s.now})
	}
}

// observeAttemptEnd records the outcome of an attempt.
func (s *Sender) observeAttemptEnd(c *outbound.Call, e *policy.Event) {
	if !s.observer.Enabled() || e.Kind != policy.EvOutcome {
		return
	}
	s.observer.Push(telemetry.Record{Kind: telemetry.KindCallEnded, Num: e.ID, Dest: int32(c.Dest), Endpoint: c.Endpoint, Attempt: int16(e.Attempt), Outcome: uint8(e.Outcome),
		MayHaveRun: e.Outcome != policy.OK && !e.Outcome.NeverRan(), Wait: e.RequestedWait, At: s.now, Until: s.now - max(e.Latency, 0), Text: c.Addr, AllowanceLeft: s.reportField(e, s.settings.AllowanceIndex), Value: s.reportField(e, s.settings.LimitIndex)})
}

// reportField returns a value of the endpoint's report that came with an outcome; 0 if there is none.
func (s *Sender) reportField(e *policy.Event, field int) float64 {
	if field < 0 || field >= len(e.Report) {
		return 0
	}
	return e.Report[field]
}

func (s *Sender) observeMessageEnd(e *journal.Entry, end telemetry.Ending, wait float64) {
	if s.observer.Enabled() {
		s.observer.Push(telemetry.Record{Kind: telemetry.KindMessageEnded, Num: e.Num, Dest: int32(e.Dest), Ending: end, Wait: wait, At: s.now})
	}
}

func (s *Sender) observeStorm(t *storm.Throttle) {
	if s.observer.Enabled() {
		s.observer.Push(telemetry.Record{Kind: telemetry.KindStormPhase, Dest: int32(t.Dest), Value: float64(t.Phase), At: s.now})
	}
}

// telemetryCauses holds the telemetry's causes by the module's.
var telemetryCauses = [...]telemetry.Cause{
	policy.CauseNoEndpoint: telemetry.CauseNone, policy.CauseRequestedWait: telemetry.CauseRequestedWait, policy.CauseBreaker: telemetry.CauseBreaker,
	policy.CausePaceCap: telemetry.CauseStorm, policy.CausePace: telemetry.CausePace, policy.CauseSlot: telemetry.CauseSlot, policy.CauseRetry: telemetry.CauseRetry,
}

// observeStep records, after a step, the destinations whose reason to wait has changed, and periodically the gauges.
func (s *Sender) observeStep() {
	o := &s.observer
	if !o.Enabled() {
		return
	}
	if o.causesSkipped = s.now < o.nextCauses; o.causesSkipped {
		return
	}
	o.nextCauses = s.now + waitCausesIntervalMS
	waiting := 0
	current := make(map[int]policy.WaitCause, len(o.reportedCauses))
	s.module.EachWaiting(func(dest int, why policy.WaitCause) {
		waiting++
		current[dest] = why
		if old, reported := o.reportedCauses[dest]; !reported || old != why {
			o.Push(telemetry.Record{Kind: telemetry.KindWaitCause, Dest: int32(dest), Cause: telemetryCauses[why], At: s.now})
		}
	})
	for dest := range o.reportedCauses {
		if _, still := current[dest]; !still {
			o.Push(telemetry.Record{Kind: telemetry.KindWaitCause, Dest: int32(dest), At: s.now})
		}
	}
	o.reportedCauses = current
	if s.now < o.nextGauges {
		return
	}
	o.nextGauges = s.now + gaugesIntervalMS
	gauge := func(name telemetry.Instrument, v float64) {
		o.Push(telemetry.Record{Kind: telemetry.KindMeasurement, Instrument: name, Value: v, At: s.now})
	}
	gauge(telemetry.MessagesHeld, float64(len(s.messages)))
	gauge(telemetry.ActiveCalls, float64(len(s.calls)))
	gauge(telemetry.DestinationsWaiting, float64(waiting))
	gauge(telemetry.MessagesEndedLate, float64(s.lateEndingCount))
	gauge(telemetry.JournalSize, float64(s.journal.Size()))
	openBreakers, ramping, advertised := s.module.Overview()
	gauge(telemetry.BreakersOpen, float64(openBreakers))
	gauge(telemetry.BreakersRamping, float64(ramping))
	gauge(telemetry.AdvertisedLimits, advertised)
	counters := s.module.Counters()
	gauge(telemetry.BreakersOpened, float64(counters.BreakersOpened))
	gauge(telemetry.RampsBegun, float64(counters.RampsBegun))
	gauge(telemetry.OpenConnections, float64(s.pool.OpenConns()))
	if s.stormGuard != nil {
		st := s.stormGuard.Stats()
		gauge(telemetry.StormReservations, float64(st.Reserved))
		gauge(telemetry.StormOverbooked, float64(st.Unreserved))
	}
	if s.fleet != nil {
		live := 0.0
		if s.fleet.Live() {
			live = 1
		}
		gauge(telemetry.FleetSessionLive, live)
		gauge(telemetry.FleetDutiesHeld, float64(s.fleet.HeldDuties()))
	}
	if c := s.copies; c != nil {
		held := 0.0
		if c.leaseHeld {
			held = 1
		}
		gauge(telemetry.CopiesLeaseHeld, held)
		gauge(telemetry.CopiesLag, float64(c.owner.MaxLag()))
		gauge(telemetry.CopiesBatchesWaiting, float64(len(c.waits)+len(s.queuedNotices)))
		gauge(telemetry.CopiesMessagesShort, float64(c.shortCount))
	}
}

// untilObservation limits the wait for the next step while messages are held: reasons to wait change with time alone.
func (s *Sender) untilObservation(wait time.Duration) time.Duration {
	switch {
	case !s.observer.Enabled() || len(s.messages) == 0:
		return wait
	case s.observer.causesSkipped:
		return min(wait, fromMillis(s.observer.nextCauses-s.clock.Now()))
	}
	return min(wait, 100*time.Millisecond)
}

// refusalCause returns the cause to record for a message that is refused before the module has decided on it, although
// its destination is served.
func (s *Sender) refusalCause() telemetry.Cause {
	if !s.stopRequestedAt.IsZero() {
		return telemetry.CauseStopping
	}
	return telemetry.CauseCapacity
}
