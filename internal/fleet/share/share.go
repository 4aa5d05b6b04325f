// Package share divides a partner's limit over the members of a fleet. Without it each member keeps to its even part,
// whoever has the messages. With it one member holds the duty limit/PARTNER: the others report what they want, and it
// lends what some do not need to those that want more.
//
// It is pure: no clock, no I/O, no goroutine. Times are nanoseconds on each caller's own monotonic clock, which may run
// fast or slow by the drift; no two clocks are compared. Rates are calls a second.
//
// What holds at every moment, whoever is cut off, stopped or replaced: the sum of what all members may send is at most
// the limit. A member whose share has lapsed falls back to its even part, so a part is lent only while its member is
// bound to less:
//
//   - A share below the even part binds its member for Length from when it takes the answer, and longer by the drift. The
//     holder relies on it once the member's next report says so, for Length from when the answer went out, less the drift.
//   - A share above it counts from when the member asked, for a time that ends before any of the parts that it is made of
//     may be taken back, less the drift; and the holder counts it as used until then, taken or not.
//   - A holder that takes over says nothing until all that its predecessor lent is over. Answers of older tokens are not
//     taken.
package share

import (
	"math"
	"time"

	"sliptide/internal/fleet/duty"
)

const kind = "limit"

// Duty is the name of a partner's duty.
func Duty(dest int) string { return duty.Partner(kind, dest) }

// Dest is the partner of a duty, false if the duty is of another kind.
func Dest(name string) (int, bool) { return duty.PartnerOf(kind, name) }

// Terms are what all members of a fleet must agree on.
type Terms struct {
	Members       int     // that share the limit: each one's even part is the limit over them
	BindDuration  int64   // for which a share below the even part binds
	RaiseDuration int64   // for which one above it holds: the time in which a member that wakes gets its due, about
	Drift         float64 // by which clocks may run fast or slow
}

// Even is a member's even part of a limit.
func (t Terms) EvenShare(limit float64) float64 { return limit / float64(max(t.Members, 1)) }

// Report is what a member tells the holder.
type Report struct {
	At     int64   // the member's clock
	Demand float64 // what it could send
	Limit  float64 // the partner's limit as the member knows it; 0: not known
	Token  uint64  // of the last answer that it took,
	Stamp  int64   // and its stamp; 0: none
}

// Answer is the holder's.
type Answer struct {
	Token         uint64
	At            int64 // of the report
	Stamp         int64 // the holder's clock
	Rate          float64
	RaiseDuration int64   // how long a rate above the even part holds, from At
	Limit         float64 // that was divided
}

// Member is one member's side, for one partner. The zero value keeps to the even part.
type Member struct {
	terms      Terms
	limit      float64 // as known here
	token      uint64
	stamp      int64
	shareRate  float64
	shareLimit float64 // the limit that the rate is a part of
	belowEven  bool    // the rate is below the even part,
	shareUntil int64   // and binds until then, or holds until then
	Break      Break

	reportedAt     int64 // when it last reported,
	reportedDemand float64
	unanswered     int // and how often since it had an answer
}

// Break is a guard that is taken out, for tests that show what finds that.
type Break uint

// The guards.
const (
	BreakBindStart  Break = 1 << iota // a member counts what binds it from the report, not from the answer
	BreakRaiseStart                   // and what it was lent from the answer, not from its report
	BreakConfirm                      // the holder relies on a member that has not said that it is bound
	BreakWait                         // a holder that takes over divides at once
	BreakToken                        // answers of older tokens are taken
	BreakDrift                        // nobody allows for clocks that run fast or slow
)

// NewMember returns a member that keeps to its even part.
func NewMember(t Terms) *Member { return &Member{terms: t} }

func (m *Member) drift() float64 {
	if m.Break&BreakDrift != 0 {
		return 0
	}
	return m.terms.Drift
}

// Limit tells what the partner's limit is, as this member knows it.
func (m *Member) SetLimit(limit float64) { m.limit = limit }

// The times of reports, as parts of the terms, and what demand must do for one at once.
const (
	reportsPerDuration = 4 // reports in the time that a share holds or binds
	demandJump         = 1.5
	minReportInterval  = 20 * int64(time.Millisecond)
	maxUnanswered      = 4 // reports without an answer, from which on a member reports half as often each time, up to
	maxBackoffFactor   = 8 // so many times less
)

// Due reports whether a report is due: where a share is to be renewed, at once where demand is far from what was told.
func (m *Member) ReportDue(now int64, demand float64) bool {
	since := now - m.reportedAt
	interval := m.terms.BindDuration
	if even := m.terms.EvenShare(m.limit); now < m.shareUntil && !m.belowEven && m.shareRate > even {
		interval = m.terms.RaiseDuration
	}
	interval /= reportsPerDuration
	if m.unanswered > maxUnanswered {
		interval *= int64(min(m.unanswered-maxUnanswered, maxBackoffFactor))
	} else if demand > demandJump*m.reportedDemand || demand < m.reportedDemand/demandJump {
		interval = minReportInterval
	}
	return m.reportedAt == 0 || since >= interval
}

// Report is what the member tells the holder now.
func (m *Member) Report(now int64, demand float64) Report {
	m.reportedAt, m.reportedDemand = now, demand
	m.unanswered++
	return Report{At: now, Demand: demand, Limit: m.limit, Token: m.token, Stamp: m.stamp}
}

// Take takes an answer to one of this member's reports.
func (m *Member) HandleAnswer(now int64, a Answer) {
	switch {
	case a.Token < m.token && m.Break&BreakToken == 0, a.Token == m.token && a.Stamp <= m.stamp:
		return // of a holder that is none any more, or late
	case a.Limit <= 0 || a.Rate < 0 || math.IsNaN(a.Rate) || a.At > now:
		return
	}
	even := m.terms.EvenShare(a.Limit)
	m.unanswered = 0
	m.token, m.stamp, m.shareRate, m.shareLimit = a.Token, a.Stamp, a.Rate, a.Limit
	if m.belowEven = a.Rate < even; m.belowEven {
		from := now
		if m.Break&BreakBindStart != 0 {
			from = a.At
		}
		m.shareUntil = from + int64(float64(m.terms.BindDuration)*(1+m.drift()))
		return
	}
	from := a.At
	if m.Break&BreakRaiseStart != 0 {
		from = now
	}
	m.shareUntil = from + int64(float64(a.RaiseDuration)*(1-m.drift()))
}

// Rate is what this member may send at this moment; 0: no limit is known. fresh: it is a share, not the even part.
func (m *Member) Rate(now int64) (rate float64, shared bool) {
	limit := m.limit
	if limit <= 0 {
		limit = m.shareLimit
	}
	if m.shareLimit > 0 && now < m.shareUntil {
		return m.shareRate * min(limit/m.shareLimit, 1), true // a limit that was lowered since binds at once
	}
	return m.terms.EvenShare(limit), false
}

// Until is when the present share ends, and the even part is back; false: there is none.
func (m *Member) ShareEnd(now int64) (at int64, present bool) {
	return m.shareUntil, m.shareLimit > 0 && now < m.shareUntil
}
