package outbound

import (
	"slices"
	"time"
)

// HTTP/1.1 does not say which request an answer belongs to: answers count by their order alone. An endpoint, or
// something on the way to it, that writes one answer twice shifts all later ones on that connection by one. A
// connection is therefore kept only while every answer fits the call that it ended.

const (
	// earlyShare is the part of an endpoint's usual answer time before which a 200 on a kept connection is taken for
	// a copy of an earlier one.
	earlyShare = 0.25
	// settleShare is the part of the usual answer time, between settleMin and settleMax, that a connection rests after an
	// answer: a copy that follows the answer arrives while no request is out.
	settleShare = 0.5
	settleMin   = 150 * time.Millisecond
	settleMax   = 250 * time.Millisecond
	// The usual answer time follows faster answers sooner than slower ones: it stands for the fast ones.
	usualGainDown = 0.3
	usualGainUp   = 0.05
	// usualLeast is the usual answer time under which nothing can be told by time: a busy machine's noise is as long.
	usualLeast = 20 * time.Millisecond
	// distrustFor is how long each connection to an endpoint carries one call only after it has sent what nobody
	// asked for; suspectFor, after an answer that came too early.
	distrustFor = time.Minute
	suspectFor  = 5 * time.Second
	// spreadFrom is how many endpoints have to be distrusted at once for the fault to be taken for one of the way to all
	// of them: then each connection to any endpoint carries one call only.
	spreadFrom = 2
)

// manners is what is known of how an endpoint answers. The zero value is that of one of which nothing is known.
type manners struct {
	usual        time.Duration // from the last byte of a request to the first of its 200
	repeatsUntil time.Time     // it has sent what nobody asked for, and is not trusted
	suspectUntil time.Time     // it has sent an answer that did not fit its call
}

// learn takes the time that a 200 took.
func (m *manners) learn(took time.Duration) {
	gain := usualGainUp
	switch {
	case m.usual == 0:
		gain = 1
	case took < m.usual:
		gain = usualGainDown
	}
	m.usual += time.Duration(gain * float64(took-m.usual))
}

// early reports whether a 200 that took so long on a kept connection must be taken for a copy of an earlier one.
func (m *manners) early(took time.Duration) bool {
	return m.usual >= usualLeast && float64(took) < earlyShare*float64(m.usual)
}

// settle is how long a connection rests after an answer.
func (m *manners) settle() time.Duration {
	if m.usual < usualLeast {
		return 0
	}
	return min(max(time.Duration(settleShare*float64(m.usual)), settleMin), settleMax)
}

// mannersOf is what is known of an endpoint. The lock is held.
func (p *Pool) mannersOf(endpoint uint32) *manners {
	known := p.manners[endpoint]
	if known == nil {
		known = &manners{}
		p.manners[endpoint] = known
	}
	return known
}

// learn takes the time of a 200 that fits its call. An endpoint that knows a repeated message answers it at once, which
// says nothing of its pace. The lock is held.
func (p *Pool) learn(c *Call, took time.Duration) {
	if c.firstAttempt() || len(c.Items) > 0 && took >= usualLeast {
		p.mannersOf(c.Endpoint).learn(took)
	}
}

// untimed reports whether nothing is known of how long an endpoint takes for messages. The lock is held.
func (p *Pool) untimed(endpoint uint32) bool { return p.mannersOf(endpoint).usual == 0 }

// repeats notes that an endpoint has sent what nobody asked for. The lock is held.
func (p *Pool) repeats(endpoint uint32) {
	now := time.Now()
	m := p.mannersOf(endpoint)
	if !now.Before(m.repeatsUntil) {
		p.repeating = append(p.repeating, endpoint)
	}
	m.repeatsUntil = now.Add(distrustFor)
}

// suspect notes that an answer of an endpoint did not fit its call.
func (p *Pool) suspect(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mannersOf(endpoint).suspectUntil = time.Now().Add(suspectFor)
}

// distrusted reports whether connections to an endpoint carry one call only. The lock is held.
func (p *Pool) distrusted(endpoint uint32) bool {
	now := time.Now()
	p.repeating = slices.DeleteFunc(p.repeating, func(e uint32) bool { return !now.Before(p.manners[e].repeatsUntil) })
	m := p.mannersOf(endpoint)
	return len(p.repeating) >= spreadFrom || now.Before(m.repeatsUntil) || now.Before(m.suspectUntil)
}

// firstAttempt reports whether no message of a call has been sent before.
func (c *Call) firstAttempt() bool {
	for i := range c.Items {
		if c.Items[i].Attempt > 0 {
			return false
		}
	}
	return len(c.Items) > 0
}

// mismatched reports whether a 200 can't be the answer to a call: it came too early, on a connection that has carried
// another. An answer to several messages names them, and is judged by that.
func (k *conn) mismatched(c *Call, took time.Duration) bool {
	if k.answers == 0 || len(c.Items) != 1 {
		return false
	}
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	return k.pool.mannersOf(k.endpoint).early(took)
}
