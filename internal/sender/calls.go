package sender

import (
	"math"
	"time"

	"sliptide/internal/discovery"
	"sliptide/internal/http1"
	"sliptide/internal/outbound"
	"sliptide/policy"
)

// This file groups the attempts of a step into calls and starts them.

// skipCause is why an attempt that the module ordered does not begin.
type skipCause uint8

// The causes.
const (
	skipNone       skipCause = iota // it begins
	skipEnded                       // the message has ended
	skipInProgress                  // an attempt of the message is in progress
	skipNoAddress                   // the endpoint is not listed
)

var skipCauseNames = [...]string{"none", "message ended", "attempt in progress", "endpoint not listed"}

// String returns the cause in words.
func (c skipCause) String() string { return skipCauseNames[min(int(c), len(skipCauseNames)-1)] }

// skipCauseOf returns why an attempt of m at e does not begin.
func (s *Sender) skipCauseOf(m *message, e discovery.Endpoint) skipCause {
	switch {
	case m == nil:
		return skipEnded
	case m.call != nil:
		return skipInProgress
	case e.Addr == "":
		return skipNoAddress
	}
	return skipNone
}

// beginAttempt records an attempt and adds it to a call. Attempts of one step at one endpoint share calls as far as the
// batch size of its kind allows. The module expects an outcome of each attempt that it orders: where none may begin, it
// must be halted instead.
func (s *Sender) beginAttempt(a *policy.Action) {
	m, e := s.messages[a.ID], s.endpoints[a.Endpoint]
	if cause := s.skipCauseOf(m, e); cause != skipNone {
		s.observer.logSkipped(a, m, cause)
		return
	}
	item := outbound.Item{ID: m.Num, Attempt: m.Attempts, Trace: m.Trace, Key: m.Key, Body: m.Body}
	s.journal.StartAttempt(m.Entry, int64(s.now), e.Zone)
	c := s.callFor(e, &item)
	m.call, m.attemptDeadline = c, math.Inf(1)
	if a.After >= s.timeLeftMS(m) { // the message must end by then even if its call continues; others end with the call
		m.attemptDeadline = s.now + a.After
	}
	s.observeAttemptStart(m, c, item.Attempt)
	c.Items = append(c.Items, item)
	c.NewConn = c.NewConn || m.MayHaveRunAt != 0 // see Call.NewConn: the partner may already know the message
	c.Timeout = max(c.Timeout, fromMillis(a.After))
	if until, bound := s.repeatDeadline(m); bound && (c.WriteBy.IsZero() || until.Before(c.WriteBy)) {
		c.WriteBy = until
	}
}

// repeatWindowShare is the part of a dedup window within which a repeat must be written. The rest is left for the
// request to arrive. The module begins a repeat only within a smaller part.
const repeatWindowShare = 0.95

// repeatDeadline returns the latest time at which a further attempt of m may be written: until then the partner drops
// repeats of an attempt that may have run. bound is false if the class of m or its attempts so far set no such limit.
func (s *Sender) repeatDeadline(m *message) (until time.Time, bound bool) {
	c := s.settings.Classes[m.class]
	if m.MayHaveRunAt == 0 || c.Effect != policy.Keyed {
		return time.Time{}, false
	}
	left := float64(m.MayHaveRunAt) + c.DedupWindow*repeatWindowShare - s.now
	return time.Now().Add(fromMillis(left)), true
}

// timeLeftMS returns the time until the deadline of m, less 2 ms for the rounding of stored times.
func (s *Sender) timeLeftMS(m *message) float64 { return float64(m.Deadline) - s.now - 2 }

// callFor returns the call of this step to e that can take item, or a new one.
func (s *Sender) callFor(e discovery.Endpoint, item *outbound.Item) *outbound.Call {
	batch := 1
	if e.Kind < len(s.settings.Kinds) {
		batch = s.settings.Kinds[e.Kind].Batch
	}
	for _, c := range s.newCalls {
		if c.Endpoint != e.ID || len(c.Items) == 0 || len(c.Items) >= batch {
			continue
		}
		size := item.Size()
		for i := range c.Items {
			size += c.Items[i].Size()
		}
		if size <= http1.MaxBody {
			return c
		}
	}
	c := &outbound.Call{Endpoint: e.ID, Addr: e.Addr, Dest: e.Dest, SentAt: time.Now()}
	s.newCalls = append(s.newCalls, c)
	return c
}

// dispatch starts the calls of this step. journalled reports whether the journal was written.
func (s *Sender) dispatch(journalled bool) {
	for _, c := range s.newCalls {
		s.calls[c] = true
		s.chooseFirst(c)
		if !journalled { // an attempt that is not in the journal must not begin
			s.dropUnsent(c)
			s.stepDue = true
			continue
		}
		s.startCall(c)
	}
	clear(s.newCalls)
	s.newCalls = s.newCalls[:0]
}

// disconnectDetectionMS is the time from accepting a message until it is known whether its client disconnected before
// it received the answer.
const disconnectDetectionMS = 50.0

// chooseFirst puts the message that is most likely to outlast a bulk call first in it: the one with the most time left
// among those whose clients have surely received their answer. If the first message ends during the call, because it
// expires or its client is gone, a partner that identifies the call by that message may discard its whole answer, while
// this sender would count the other messages as delivered.
func (s *Sender) chooseFirst(c *outbound.Call) {
	var best *message
	at := 0
	answered := func(m *message) bool { return m.acceptedAt+disconnectDetectionMS < s.now }
	for i := range c.Items {
		m := s.messages[c.Items[i].ID]
		switch {
		case m == nil:
		case best == nil, answered(m) && !answered(best), answered(m) == answered(best) && m.Deadline > best.Deadline:
			best, at = m, i
		}
	}
	if at > 0 {
		c.Items[0], c.Items[at] = c.Items[at], c.Items[0]
	}
}
