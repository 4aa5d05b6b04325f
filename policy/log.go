package policy

import "fmt"

// This file reports changes of state, as log lines and counters. It decides nothing.

// Counters counts what a Sender has done since it was created.
type Counters struct {
	BreakersOpened uint64 // endpoints that were found to be in an outage
	RampsBegun     uint64 // slow starts after an outage
}

// Counters returns the counters.
func (s *Sender) Counters() Counters { return s.counters }

// logKey identifies what a log line is about.
type logKey struct {
	event    string
	dest     int
	endpoint uint32 // 0: the whole destination
}

// breakerEvents are the events that logBreaker is called with.
var breakerEvents = [...]string{"breaker open", "shares outage", "ramp", "warm"}

// logRefusing logs that the admission control of d begins to refuse messages.
func (s *Sender) logRefusing(d *destination) {
	s.log(logKey{"refusing", d.id, 0}, fmt.Sprintf("admitted=%.2f queue=%d calls=%d", d.admission.pa, len(d.queue), d.callsInFlight))
}

// logBreaker logs a change of the breaker of ep, with what led to it.
func (s *Sender) logBreaker(ep *endpoint, event string) {
	s.log(logKey{event, ep.dest.id, ep.id}, fmt.Sprintf("failures=%d refusals=%d unanswered=%t calls=%d queue=%d wait_ms=%.0f",
		ep.failures, ep.route.refusals, ep.unanswered, len(ep.calls), len(ep.dest.queue), max(ep.route.waitUntil-s.now, 0)))
}

// log writes a log line, at most one per minLogInterval for the same key.
func (s *Sender) log(key logKey, detail string) {
	if at, logged := s.loggedAt[key]; logged && s.now-at < minLogInterval {
		return
	}
	s.loggedAt[key] = s.now
	text := fmt.Sprintf("%s dest=%d endpoint=%d %s", key.event, key.dest, key.endpoint, detail)
	s.actions = append(s.actions, Action{Kind: ActLog, Text: text})
}

// forgetLogged forgets when the events of an endpoint or a destination, given by a key without an event, were logged.
func (s *Sender) forgetLogged(key logKey) {
	for _, event := range breakerEvents {
		key.event = event
		delete(s.loggedAt, key)
	}
	key.event = "refusing"
	delete(s.loggedAt, key)
}
