// Package share divides a partner's limit among the members of a fleet. Without it each member keeps to its even part,
// whichever member has the messages. With it one member holds the duty limit/PARTNER: the others report their demand,
// and the holder lends the parts that some members do not need to those that need more.
//
// It is pure: no clock, no I/O, no goroutine. Times are nanoseconds on each caller's own monotonic clock, which may run
// fast or slow by up to the drift; times of two clocks are never compared. Rates are calls per second.
//
// The invariant, whichever member is cut off, stopped or replaced: at every moment the sum of the rates at which all
// members may send is at most the limit. A member whose share has lapsed falls back to its even part, so a part is lent
// only while its member is bound to less:
//
//   - A share below the even part binds its member for BindDuration from when it receives the answer, prolonged by the
//     drift. The holder relies on it once the member's next report confirms the answer, for BindDuration from when the
//     answer was sent, less the drift.
//   - A share above the even part counts from when the member reported, for RaiseDuration less the drift, which ends
//     before any of the lent parts may be reclaimed. The holder counts it as used until then, received or not.
//   - A holder that takes over sends no answers until all that its predecessor lent has lapsed. Members ignore answers
//     with older tokens.
package share

import (
	"math"
	"time"

	"sliptide/internal/fleet/duty"
)

const kind = "limit"

// Duty returns the name of a partner's duty.
func Duty(dest int) string { return duty.PartnerDuty(kind, dest) }

// Dest returns the partner of a duty, false if the duty is of another kind.
func Dest(name string) (int, bool) { return duty.ParsePartnerDuty(kind, name) }

// Terms are the settings that must be equal at all members of a fleet.
type Terms struct {
	Members       int     // number of members that share the limit; the even part is the limit divided by it
	BindDuration  int64   // ns for which a share below the even part binds
	RaiseDuration int64   // ns for which a higher share is valid; new demand gets its part after about as long
	Drift         float64 // fraction by which clocks may run fast or slow
}

// EvenShare returns a member's even part of a limit.
func (t Terms) EvenShare(limit float64) float64 { return limit / float64(max(t.Members, 1)) }

// Report is a member's report to the holder.
type Report struct {
	At     int64   // on the member's clock
	Demand float64 // the rate at which it could send
	Limit  float64 // the partner's limit as the member knows it; 0: unknown
	Token  uint64  // of the last answer that it applied
	Stamp  int64   // of the same answer; 0: none
}

// Answer is the holder's answer to a report.
type Answer struct {
	Token         uint64
	At            int64 // of the report, on the member's clock
	Stamp         int64 // on the holder's clock
	Rate          float64
	RaiseDuration int64   // ns from At for which a rate above the even part is valid
	Limit         float64 // the limit that was divided
}

// Member is a member's side of sharing one partner's limit. Without Terms, as in the zero value, its even part is the
// whole limit.
type Member struct {
	terms      Terms
	limit      float64 // the partner's limit as known here
	token      uint64
	stamp      int64
	shareRate  float64
	shareLimit float64 // the limit of which shareRate is a part
	belowEven  bool    // shareRate is below the even part
	shareUntil int64   // end of the time for which shareRate binds or is valid
	Skip       Skip

	reportedAt     int64 // time of the last report
	reportedDemand float64
	unanswered     int // reports since the last answer
}

// Skip is a set of disabled safety checks, for tests that must detect their absence.
type Skip uint

// The safety checks, each with what happens without it.
const (
	SkipBindStart  Skip = 1 << iota // a low share binds from the report instead of the receipt of the answer
	SkipRaiseStart                  // a raised share counts from the receipt of the answer instead of the report
	SkipConfirm                     // the holder relies on low shares that their members have not confirmed
	SkipWait                        // a holder that takes over answers at once
	SkipToken                       // answers with older tokens are applied
	SkipDrift                       // members and the holder make no allowance for clock drift
)

// NewMember returns a Member that keeps to its even part until it receives a share.
func NewMember(t Terms) *Member { return &Member{terms: t} }

func (m *Member) drift() float64 {
	if m.Skip&SkipDrift != 0 {
		return 0
	}
	return m.terms.Drift
}

// SetLimit sets the partner's limit as this member knows it.
func (m *Member) SetLimit(limit float64) { m.limit = limit }

// The intervals of reports.
const (
	reportsPerDuration = 4                            // reports within the duration of a share
	demandJump         = 1.5                          // a report is due early if demand rises or falls by this factor
	minReportInterval  = 20 * int64(time.Millisecond) // ns from a report until an early one is due
	maxUnanswered      = 4                            // the number of unanswered reports above it multiplies the interval
	maxBackoffFactor   = 8                            // the highest factor by which the interval is multiplied
)

// ReportDue reports whether a report is due: at intervals that renew a share in time, sooner if demand has changed by
// more than demandJump since the last report, and less often while more than maxUnanswered reports are unanswered.
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

// Report returns the report to send to the holder now.
func (m *Member) Report(now int64, demand float64) Report {
	m.reportedAt, m.reportedDemand = now, demand
	m.unanswered++
	return Report{At: now, Demand: demand, Limit: m.limit, Token: m.token, Stamp: m.stamp}
}

// HandleAnswer applies an answer to one of this member's reports.
func (m *Member) HandleAnswer(now int64, a Answer) {
	switch {
	case a.Token < m.token && m.Skip&SkipToken == 0, a.Token == m.token && a.Stamp <= m.stamp:
		return // from an earlier holder, or late
	case a.Limit <= 0 || a.Rate < 0 || math.IsNaN(a.Rate) || a.At > now:
		return
	}
	even := m.terms.EvenShare(a.Limit)
	m.unanswered = 0
	m.token, m.stamp, m.shareRate, m.shareLimit = a.Token, a.Stamp, a.Rate, a.Limit
	if m.belowEven = a.Rate < even; m.belowEven {
		from := now
		if m.Skip&SkipBindStart != 0 {
			from = a.At
		}
		m.shareUntil = from + int64(float64(m.terms.BindDuration)*(1+m.drift()))
		return
	}
	from := a.At
	if m.Skip&SkipRaiseStart != 0 {
		from = now
	}
	m.shareUntil = from + int64(float64(a.RaiseDuration)*(1-m.drift()))
}

// Rate returns the rate at which this member may send now. shared is true for a share, false for the even part, which
// is 0 if no limit is known.
func (m *Member) Rate(now int64) (rate float64, shared bool) {
	limit := m.limit
	if limit <= 0 {
		limit = m.shareLimit
	}
	if m.shareLimit > 0 && now < m.shareUntil {
		return m.shareRate * min(limit/m.shareLimit, 1), true // a limit that was lowered since then applies at once
	}
	return m.terms.EvenShare(limit), false
}

// ShareEnd returns when the present share ends and the even part applies again; present is false without a share.
func (m *Member) ShareEnd(now int64) (at int64, present bool) {
	return m.shareUntil, m.shareLimit > 0 && now < m.shareUntil
}
