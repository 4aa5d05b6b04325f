package share

import (
	"cmp"
	"maps"
	"slices"
)

const (
	headroom     = 0.15 // a member gets this fraction more than its demand if the limit allows, since demand changes
	idleShare    = 0.05 // a member needs at least this fraction of its even part, so that a first message is sent at once
	absentFactor = 3    // a member without a report for this many BindDurations is absent and has its even part back
)

// Holder is the side of the member that holds a partner's duty. It keeps one memberState for each member that has
// reported.
type Holder struct {
	terms      Terms
	token      uint64
	limit      float64
	quietUntil int64 // no answers are sent before this time
	stamp      int64
	members    map[string]*memberState
	Skip       Skip
}

// memberState holds what the holder knows of one member.
type memberState struct {
	reportedAt int64
	demand     float64
	// openAnswers holds the answers that the member may be following: the one that it confirmed and all later ones. If it
	// is empty, the member may send its even part.
	openAnswers  []sentAnswer
	mayBeAtEven  bool  // it may be following none of them and send its even part
	expiredStamp int64 // stamp of the latest expired answer, which may still arrive and then lapses at once
}

// sentAnswer is an answer that was sent. A rate below the even part binds at least until the time until; a rate above
// it has lapsed by then.
type sentAnswer struct {
	stamp int64
	rate  float64
	until int64
}

// maxOpenAnswers bounds the unconfirmed answers to one member. While so many are open, its reports are not answered.
const maxOpenAnswers = 32

// NewHolder returns the Holder of a member that began to hold the duty, with that token, at now.
func NewHolder(t Terms, token uint64, now int64) *Holder {
	h := &Holder{terms: t, token: token, members: map[string]*memberState{}}
	h.quietUntil = now + int64(float64(t.RaiseDuration)*(1+2*t.Drift))
	return h
}

func (h *Holder) drift() float64 {
	if h.Skip&SkipDrift != 0 {
		return 0
	}
	return h.terms.Drift
}

// HandleReport handles a member's report and returns the answer, false if there is none. The duty's lease must be valid
// when the answer is sent.
func (h *Holder) HandleReport(now int64, name string, r Report) (Answer, bool) {
	m := h.members[name]
	if m == nil {
		if len(h.members) >= h.terms.Members {
			return Answer{}, false // more members than share the limit: this one keeps to its even part
		}
		m = &memberState{}
		h.members[name] = m
	}
	m.reportedAt, m.demand = now, max(r.Demand, 0)
	if r.Limit > 0 {
		h.limit = r.Limit
	}
	h.confirm(m, r)
	if h.limit <= 0 || now < h.quietUntil && h.Skip&SkipWait == 0 {
		return Answer{}, false
	}
	if m.expireAnswers(now); len(m.openAnswers) >= maxOpenAnswers {
		return Answer{}, false
	}
	end := now + int64(float64(h.terms.RaiseDuration)*(1+h.drift()))
	rate := max(min(h.fairShare(now, name), h.limit-h.maxOtherRates(now, end, name)), 0)
	h.stamp = max(h.stamp+1, now)
	until := end
	if rate < h.terms.EvenShare(h.limit) {
		until = now + int64(float64(h.terms.BindDuration)*(1-h.drift()))
	}
	m.openAnswers = append(m.openAnswers, sentAnswer{h.stamp, rate, until})
	if h.Skip&SkipConfirm != 0 {
		m.openAnswers, m.mayBeAtEven = m.openAnswers[len(m.openAnswers)-1:], false
	}
	return Answer{Token: h.token, At: r.At, Stamp: h.stamp, Rate: rate, RaiseDuration: h.terms.RaiseDuration, Limit: h.limit}, true
}

// confirm applies what a report says about the answer that its member follows.
func (h *Holder) confirm(m *memberState, r Report) {
	if r.Token != h.token {
		m.mayBeAtEven = true // it follows another holder's answer, or none
		return
	}
	if i := slices.IndexFunc(m.openAnswers, func(s sentAnswer) bool { return s.stamp == r.Stamp }); i >= 0 {
		m.openAnswers, m.mayBeAtEven = m.openAnswers[i:], r.Stamp < m.expiredStamp // it ignores answers sent before that one
	}
}

// expireAnswers removes answers that have lapsed. A member that followed one is back at its even part.
func (m *memberState) expireAnswers(now int64) {
	m.openAnswers = slices.DeleteFunc(m.openAnswers, func(s sentAnswer) bool {
		over := s.until <= now
		if over {
			m.mayBeAtEven, m.expiredStamp = true, max(m.expiredStamp, s.stamp)
		}
		return over
	})
}

// maxRate returns the highest rate at which a member may send at any moment until end, whatever happens to it.
func (h *Holder) maxRate(m *memberState, now, end int64) (highest float64) {
	even := h.terms.EvenShare(h.limit)
	m.expireAnswers(now)
	if m.mayBeAtEven || len(m.openAnswers) == 0 {
		highest = even
	}
	for _, s := range m.openAnswers {
		switch {
		case s.rate < even && s.until >= end:
			highest = max(highest, s.rate)
		case s.rate < even:
			highest = max(highest, even)
		default:
			highest = max(highest, s.rate)
		}
	}
	return highest
}

// maxOtherRates returns the highest sum of the rates of all members but one at any moment until end. Members that have
// never reported count with their even parts.
func (h *Holder) maxOtherRates(now, end int64, except string) (sum float64) {
	unreported := h.terms.Members
	for name, m := range h.members {
		unreported--
		if name != except {
			sum += h.maxRate(m, now, end)
		}
	}
	return sum + float64(unreported)*h.terms.EvenShare(h.limit)
}

// fairShare returns a member's max-min fair part of the limit: as much as it needs if there is enough for all;
// otherwise the members that need more divide the rest evenly.
func (h *Holder) fairShare(now int64, name string) float64 {
	even := h.terms.EvenShare(h.limit)
	need := func(m *memberState) float64 { return max(m.demand*(1+headroom), idleShare*even) }
	remaining, n := h.limit, 0
	var needs []float64
	for _, other := range slices.Sorted(maps.Keys(h.members)) {
		m := h.members[other]
		if now-m.reportedAt > absentFactor*h.terms.BindDuration {
			remaining -= even // absent
			continue
		}
		needs = append(needs, need(m))
		n++
	}
	remaining -= float64(h.terms.Members-len(h.members)) * even
	slices.SortFunc(needs, cmp.Compare[float64])
	level := remaining // the highest part that any member gets
	for i, w := range needs {
		if part := remaining / float64(n-i); w > part {
			level = part
			break
		}
		remaining -= w
		level = remaining + w // all members so far get what they need
	}
	return min(need(h.members[name]), max(level, 0))
}

// Limit returns the limit that is divided, as last reported; 0: unknown.
func (h *Holder) Limit() float64 { return h.limit }
