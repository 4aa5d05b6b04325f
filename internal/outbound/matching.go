package outbound

import (
	"slices"
	"time"
)

// HTTP/1.1 does not say which request a response belongs to: responses are matched by their order alone. An endpoint,
// or an intermediary, that writes one response twice shifts all later ones on that connection by one. A connection is
// therefore reused only while every response fits the call that it ended.

const (
	// Each connection to an endpoint carries only one call for distrustDuration after the endpoint has sent unsolicited
	// bytes, and for suspectDuration after a response that did not fit its call.
	distrustDuration = time.Minute
	suspectDuration  = 5 * time.Second
	// minDistrustedEndpoints is the number of endpoints distrusted at the same time from which the fault is attributed
	// to the network path to all of them: then each connection to any endpoint carries only one call.
	minDistrustedEndpoints = 2
)

// profileOf returns the profile of an endpoint, which it creates if there is none. The lock must be held.
func (p *Pool) profileOf(endpoint uint32) *responseProfile {
	profile := p.profiles[endpoint]
	if profile == nil {
		profile = &responseProfile{}
		p.profiles[endpoint] = profile
	}
	return profile
}

// learnResponseTime records the response time of a 200 that fits its call. An endpoint that already knows a repeated
// message responds at once, which says nothing about its typical response time: a retry counts only if it took at least
// minTypicalTime. A probe does not count. The lock must be held.
func (p *Pool) learnResponseTime(c *Call, responseTime time.Duration) {
	if c.firstAttempt() || len(c.Items) > 0 && responseTime >= minTypicalTime {
		p.profileOf(c.Endpoint).learn(responseTime)
	}
}

// responseTimeUnknown reports whether the typical response time of an endpoint to messages is not known yet. The lock
// must be held.
func (p *Pool) responseTimeUnknown(endpoint uint32) bool {
	return p.profileOf(endpoint).typicalTime == 0
}

// noteUnsolicited records that an endpoint has sent unsolicited bytes. The lock must be held.
func (p *Pool) noteUnsolicited(endpoint uint32) {
	now := time.Now()
	profile := p.profileOf(endpoint)
	if !now.Before(profile.distrustedUntil) {
		p.distrustedEndpoints = append(p.distrustedEndpoints, endpoint)
	}
	profile.distrustedUntil = now.Add(distrustDuration)
}

// markSuspect records that a response of an endpoint did not fit its call.
func (p *Pool) markSuspect(endpoint uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profileOf(endpoint).suspectUntil = time.Now().Add(suspectDuration)
}

// distrusted reports whether connections to an endpoint carry only one call each. The lock must be held.
func (p *Pool) distrusted(endpoint uint32) bool {
	now := time.Now()
	p.distrustedEndpoints = slices.DeleteFunc(p.distrustedEndpoints, func(e uint32) bool {
		return !now.Before(p.profiles[e].distrustedUntil)
	})
	profile := p.profileOf(endpoint)
	return len(p.distrustedEndpoints) >= minDistrustedEndpoints || now.Before(profile.distrustedUntil) ||
		now.Before(profile.suspectUntil)
}

// firstAttempt reports whether a call has messages and none of them has been sent before.
func (c *Call) firstAttempt() bool {
	for i := range c.Items {
		if c.Items[i].Attempt > 0 {
			return false
		}
	}
	return len(c.Items) > 0
}

// isMismatched reports whether a 200 cannot be the response to a call with one message: it came too early, on a
// connection that has carried another call. The response to a bulk call names its messages, and is checked by their
// names instead.
func (cn *conn) isMismatched(c *Call, responseTime time.Duration) bool {
	if cn.responses == 0 || len(c.Items) != 1 {
		return false
	}
	cn.pool.mu.Lock()
	defer cn.pool.mu.Unlock()
	return cn.pool.profileOf(cn.endpoint).isEarly(responseTime)
}
