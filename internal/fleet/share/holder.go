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
	l := h.members[name]
	if l == nil {
		if len(h.members) >= h.terms.Members {
			return Answer{}, false // more than the limit is shared by: it keeps to its even part
		}
		l = &memberState{}
		h.members[name] = l
	}
	l.reportedAt, l.demand = now, max(r.Demand, 0)
	if r.Limit > 0 {
		h.limit = r.Limit
	}
	h.confirm(l, r)
	if h.limit <= 0 || now < h.quietUntil && h.Break&BreakWait == 0 {
		return Answer{}, false
	}
	if l.expireAnswers(now); len(l.openAnswers) >= maxOpenAnswers {
		return Answer{}, false
	}
	end := now + int64(float64(h.terms.RaiseDuration)*(1+h.drift()))
	rate := max(min(h.fairShare(now, name), h.limit-h.maxOtherRates(now, end, name)), 0)
	h.stamp = max(h.stamp+1, now)
	till := end
	if rate < h.terms.EvenShare(h.limit) {
		till = now + int64(float64(h.terms.BindDuration)*(1-h.drift()))
	}
	l.openAnswers = append(l.openAnswers, sentAnswer{h.stamp, rate, till})
	if h.Break&BreakConfirm != 0 {
		l.openAnswers, l.mayBeAtEven = l.openAnswers[len(l.openAnswers)-1:], false
	}
	return Answer{Token: h.token, At: r.At, Stamp: h.stamp, Rate: rate, RaiseDuration: h.terms.RaiseDuration, Limit: h.limit}, true
}

// confirm takes what a report says of the answer that its member goes by.
func (h *Holder) confirm(l *memberState, r Report) {
	if r.Token != h.token {
		l.mayBeAtEven = true // it goes by another holder's, or by none
		return
	}
	if i := slices.IndexFunc(l.openAnswers, func(s sentAnswer) bool { return s.stamp == r.Stamp }); i >= 0 {
		l.openAnswers, l.mayBeAtEven = l.openAnswers[i:], r.Stamp < l.expiredStamp // what was sent before is late, and is not taken any more
	}
}

// settle forgets answers whose time is over: a member that goes by one is back at its even part.
func (l *memberState) expireAnswers(now int64) {
	l.openAnswers = slices.DeleteFunc(l.openAnswers, func(s sentAnswer) bool {
		over := s.until <= now
		if over {
			l.mayBeAtEven, l.expiredStamp = true, max(l.expiredStamp, s.stamp)
		}
		return over
	})
}

// most is the most that a member may send at any moment until end, whatever befalls it.
func (h *Holder) maxRate(l *memberState, now, end int64) (most float64) {
	even := h.terms.EvenShare(h.limit)
	l.expireAnswers(now)
	if l.mayBeAtEven || len(l.openAnswers) == 0 {
		most = even
	}
	for _, s := range l.openAnswers {
		switch {
		case s.rate < even && s.until >= end:
			most = max(most, s.rate)
		case s.rate < even:
			most = max(most, even)
		default:
			most = max(most, s.rate)
		}
	}
	return most
}

// others is the most that all but one may send at any moment until end. Members that were never heard of count.
func (h *Holder) maxOtherRates(now, end int64, but string) (sum float64) {
	unheard := h.terms.Members
	for name, l := range h.members {
		unheard--
		if name != but {
			sum += h.maxRate(l, now, end)
		}
	}
	return sum + float64(unheard)*h.terms.EvenShare(h.limit)
}

// due is a member's due part of the limit: as much as it wants where there is enough for all; else what is left is
// divided evenly over those that want more.
func (h *Holder) fairShare(now int64, name string) float64 {
	even := h.terms.EvenShare(h.limit)
	want := func(l *memberState) float64 { return max(l.demand*(1+headroom), idleShare*even) }
	left, n := h.limit, 0
	var wants []float64
	for _, other := range slices.Sorted(maps.Keys(h.members)) {
		l := h.members[other]
		if now-l.reportedAt > absentFactor*h.terms.BindDuration {
			left -= even // it is away
			continue
		}
		wants = append(wants, want(l))
		n++
	}
	left -= float64(h.terms.Members-len(h.members)) * even
	slices.SortFunc(wants, cmp.Compare[float64])
	level := left // the water level
	for i, w := range wants {
		if part := left / float64(n-i); w > part {
			level = part
			break
		}
		left -= w
		level = left + w // all have what they want
	}
	return min(want(h.members[name]), max(level, 0))
}

// Limit is the limit that is divided, as last told; 0: none is known.
func (h *Holder) Limit() float64 { return h.limit }
