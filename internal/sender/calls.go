package sender

import (
	"math"
	"time"

	"sliptide/internal/discovery"
	"sliptide/internal/http1"
	"sliptide/internal/outbound"
	"sliptide/policy"
)

// This file sends: it makes calls of what the module decides.

// send enters an attempt. Sends of one step to one endpoint share a call.
func (s *Sender) send(a *policy.Action) {
	m, e := s.msgs[a.ID], s.addrs[a.Endpoint]
	if m == nil || m.call != nil || e.Addr == "" || s.stopping(sendFor) || s.handing {
		return
	}
	item := outbound.Item{ID: m.Num, Attempt: m.Attempts, Trace: m.Trace, Key: m.Key, Body: m.Body}
	s.journal.StartAttempt(m.Entry, int64(s.now), e.Zone)
	c := s.callTo(e, &item)
	m.call, m.cutAt = c, math.Inf(1)
	if a.After >= s.untilDeadline(m) { // else the whole call ends then, and with its connection
		m.cutAt = s.now + a.After
	}
	s.observeBegan(m, c, item.Attempt)
	c.Items = append(c.Items, item)
	c.NewConn = c.NewConn || m.MayHaveRunAt != 0
	c.Timeout = max(c.Timeout, millis(a.After))
	if until, bound := s.repeatUntil(m); bound && (c.WriteBy.IsZero() || until.Before(c.WriteBy)) {
		c.WriteBy = until
	}
}

// repeatShare is the part of an idempotency window within which a repeat has to be written. The module decides on one
// within a smaller part, and a request takes a moment to arrive.
const repeatShare = 0.95

// repeatUntil is the latest moment at which a further attempt of m may be written, if its class binds it: while the
// partner still drops repeats of an attempt that may have run.
func (s *Sender) repeatUntil(m *message) (until time.Time, bound bool) {
	c := s.set.Classes[m.class]
	if m.MayHaveRunAt == 0 || c.Effect != policy.Keyed {
		return time.Time{}, false
	}
	left := float64(m.MayHaveRunAt) + c.DedupWindow*repeatShare - s.now
	return time.Now().Add(millis(left)), true
}

// untilDeadline is how long m may still be delivered, with what its rounding may hide.
func (s *Sender) untilDeadline(m *message) float64 { return float64(m.Deadline) - s.now - 2 }

// callTo is the call of this step to e that has room for item, or a new one.
func (s *Sender) callTo(e discovery.Endpoint, item *outbound.Item) *outbound.Call {
	batch := 1
	if e.Kind < len(s.set.Kinds) {
		batch = s.set.Kinds[e.Kind].Batch
	}
	for _, c := range s.sends {
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
	s.sends = append(s.sends, c)
	return c
}

// dispatch starts the calls of this step.
func (s *Sender) dispatch(kept bool) {
	for _, c := range s.sends {
		s.calls[c] = true
		s.lead(c)
		if !kept { // an attempt that no journal knows must not begin
			s.drop(c)
			s.again = true
			continue
		}
		s.goWithLease(c)
	}
	clear(s.sends)
	s.sends = s.sends[:0]
}

// heardIn is the time, in milliseconds, after which a client that went before its answer has been noticed.
const heardIn = 50.0

// lead puts the message that is likeliest to live until the answer first in a call of several: the one with the
// most time left, of those whose clients have surely had theirs. Guards against a call whose first message ends
// while it is out, because its time is up or its client has gone: a partner that knows a call by its first message
// may then count its whole answer for nothing, for the others too, which this sender takes for delivered.
func (s *Sender) lead(c *outbound.Call) {
	var best *message
	at := 0
	heard := func(m *message) bool { return m.takenAt+heardIn < s.now }
	for i := range c.Items {
		m := s.msgs[c.Items[i].ID]
		switch {
		case m == nil:
		case best == nil, heard(m) && !heard(best), heard(m) == heard(best) && m.Deadline > best.Deadline:
			best, at = m, i
		}
	}
	if at > 0 {
		c.Items[0], c.Items[at] = c.Items[at], c.Items[0]
	}
}
