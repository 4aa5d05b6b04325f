package outbound

import (
	"slices"
	"time"
)

// HTTP/1.1 does not say which request an answer belongs to: answers count by their order alone. An endpoint, or
// something on the way to it, that writes one answer twice shifts all later ones on that connection by one. A
// connection is therefore kept only while every answer fits the call that it ended.

const (
	// distrustFor is how long each connection to an endpoint carries one call only after it has sent what nobody
	// asked for; suspectFor, after an answer that came too early.
	distrustFor = time.Minute
	suspectFor  = 5 * time.Second
	// spreadFrom is how many endpoints have to be distrusted at once for the fault to be taken for one of the way to all
	// of them: then each connection to any endpoint carries one call only.
	spreadFrom = 2
)

// profileOf is what is known of an endpoint. The lock is held.
func (p *Pool) profileOf(endpoint uint32) *answerProfile {
	known := p.profiles[endpoint]
	if known == nil {
		known = &answerProfile{}
		p.profiles[endpoint] = known
	}
	return known
}

// learn takes the time of a 200 that fits its call. An endpoint that knows a repeated message answers it at once, which
// says nothing of its pace. The lock is held.
func (p *Pool) learn(c *Call, took time.Duration) {
	if c.firstAttempt() || len(c.Items) > 0 && took >= usualLeast {
		p.profileOf(c.Endpoint).learn(took)
	}
}

// paceUnknown reports whether nothing is known of how long an endpoint takes for messages. The lock is held.
func (p *Pool) paceUnknown(endpoint uint32) bool { return p.profileOf(endpoint).usual == 0 }

// noteUnsolicited notes that an endpoint has sent what nobody asked for. The lock is held.
func (p *Pool) noteUnsolicited(endpoint uint32) {
	now := time.Now()
	profile := p.profileOf(endpoint)
	if !now.Before(profile.distrustedUntil) {
		p.offenders = append(p.offenders, endpoint)
	}
	profile.distrustedUntil = now.Add(distrustFor)
}

// suspect notes that an answer of an endpoint did not fit its call.
func (p *Pool) suspect(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profileOf(endpoint).suspectUntil = time.Now().Add(suspectFor)
}

// distrusted reports whether connections to an endpoint carry one call only. The lock is held.
func (p *Pool) distrusted(endpoint uint32) bool {
	now := time.Now()
	p.offenders = slices.DeleteFunc(p.offenders, func(e uint32) bool { return !now.Before(p.profiles[e].distrustedUntil) })
	profile := p.profileOf(endpoint)
	return len(p.offenders) >= spreadFrom || now.Before(profile.distrustedUntil) || now.Before(profile.suspectUntil)
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
	return k.pool.profileOf(k.endpoint).early(took)
}
