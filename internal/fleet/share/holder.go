package share

import (
	"cmp"
	"maps"
	"slices"
)

const (
	headroom     = 0.15 // a member is given that much more than it asks for, where there is room: demand moves
	idleShare    = 0.05 // and at the least this part of its even part: a first message goes at once
	absentFactor = 3    // times Length without a report: a member is away, and its even part is its own again
)

// Holder is the side of the member that holds a partner's duty. It keeps no more than a line for each member.
type Holder struct {
	terms      Terms
	token      uint64
	limit      float64
	quietUntil int64 // until then it says nothing
	stamp      int64
	members    map[string]*memberState
	Break      Break
}

// line is what the holder knows of one member.
type memberState struct {
	reportedAt int64
	demand     float64
	// The answers that it may go by: the one that it has told, and all since. Without one it may send its even part.
	openAnswers  []sentAnswer
	mayBeAtEven  bool  // it may go by none of them
	expiredStamp int64 // the stamp of the last one whose time was over: it may be taken still, and be over at once
}

// sent is an answer: a rate below the even part binds at least until then, one above it is over by then.
type sentAnswer struct {
	stamp int64
	rate  float64
	until int64
}

// sentMost bounds the answers to one member that it has not spoken of. There is none while so many are open.
const maxOpenAnswers = 32

// NewHolder returns the side of a member that has begun to hold the duty, with that token, at now.
func NewHolder(t Terms, token uint64, now int64) *Holder {
	h := &Holder{terms: t, token: token, members: map[string]*memberState{}}
	h.quietUntil = now + int64(float64(t.RaiseDuration)*(1+2*t.Drift))
	return h
}

func (h *Holder) drift() float64 {
	if h.Break&BreakDrift != 0 {
		return 0
	}
	return h.terms.Drift
}

// Report takes a member's report, and returns the answer; false: there is none. The duty's lease must hold when the
// answer goes out.
func (h *Holder) HandleReport(now int64, name string, r Report) (Answer, bool) {
	m := h.members[name]
	if m == nil {
		if len(h.members) >= h.terms.Members {
			return Answer{}, false // more than the limit is shared by: it keeps to its even part
		}
		m = &memberState{}
		h.members[name] = m
	}
	m.reportedAt, m.demand = now, max(r.Demand, 0)
	if r.Limit > 0 {
		h.limit = r.Limit
	}
	h.confirm(m, r)
	if h.limit <= 0 || now < h.quietUntil && h.Break&BreakWait == 0 {
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
	if h.Break&BreakConfirm != 0 {
		m.openAnswers, m.mayBeAtEven = m.openAnswers[len(m.openAnswers)-1:], false
	}
	return Answer{Token: h.token, At: r.At, Stamp: h.stamp, Rate: rate, RaiseDuration: h.terms.RaiseDuration, Limit: h.limit}, true
}

// confirm takes what a report says of the answer that its member goes by.
func (h *Holder) confirm(m *memberState, r Report) {
	if r.Token != h.token {
		m.mayBeAtEven = true // it goes by another holder's, or by none
		return
	}
	if i := slices.IndexFunc(m.openAnswers, func(s sentAnswer) bool { return s.stamp == r.Stamp }); i >= 0 {
		m.openAnswers, m.mayBeAtEven = m.openAnswers[i:], r.Stamp < m.expiredStamp // what was sent before is late, and is not taken any more
	}
}

// settle forgets answers whose time is over: a member that goes by one is back at its even part.
func (m *memberState) expireAnswers(now int64) {
	m.openAnswers = slices.DeleteFunc(m.openAnswers, func(s sentAnswer) bool {
		over := s.until <= now
		if over {
			m.mayBeAtEven, m.expiredStamp = true, max(m.expiredStamp, s.stamp)
		}
		return over
	})
}

// most is the most that a member may send at any moment until end, whatever befalls it.
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

// others is the most that all but one may send at any moment until end. Members that were never heard of count.
func (h *Holder) maxOtherRates(now, end int64, except string) (sum float64) {
	unheard := h.terms.Members
	for name, m := range h.members {
		unheard--
		if name != except {
			sum += h.maxRate(m, now, end)
		}
	}
	return sum + float64(unheard)*h.terms.EvenShare(h.limit)
}

// due is a member's due part of the limit: as much as it wants where there is enough for all; else what is left is
// divided evenly over those that want more.
func (h *Holder) fairShare(now int64, name string) float64 {
	even := h.terms.EvenShare(h.limit)
	need := func(m *memberState) float64 { return max(m.demand*(1+headroom), idleShare*even) }
	remaining, n := h.limit, 0
	var needs []float64
	for _, other := range slices.Sorted(maps.Keys(h.members)) {
		m := h.members[other]
		if now-m.reportedAt > absentFactor*h.terms.BindDuration {
			remaining -= even // it is away
			continue
		}
		needs = append(needs, need(m))
		n++
	}
	remaining -= float64(h.terms.Members-len(h.members)) * even
	slices.SortFunc(needs, cmp.Compare[float64])
	level := remaining // the water level
	for i, w := range needs {
		if part := remaining / float64(n-i); w > part {
			level = part
			break
		}
		remaining -= w
		level = remaining + w // all have what they want
	}
	return min(need(h.members[name]), max(level, 0))
}

// Limit is the limit that is divided, as last told; 0: none is known.
func (h *Holder) Limit() float64 { return h.limit }
