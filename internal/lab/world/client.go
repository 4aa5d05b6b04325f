package world

import "math"

// retryBehaviour is how a client chooses the time of a retry after a refusal.
type retryBehaviour uint8

const (
	honoursRetryAfter retryBehaviour = iota // retries after the time given by Retry-After
	backsOff                                // ignores Retry-After and uses its own exponential back-off with jitter
	retriesAtOnce                           // ignores Retry-After and retries after ImmediateRetryDelay
)

// message is one message over all of its submissions.
type message struct {
	key         uint64
	partner     int
	behaviour   retryBehaviour
	submissions int
	createdAt   float64
	deadline    float64
	runs        int // how often the partner has processed it
	delivered   bool
	// State of the last submission that a sender accepted; id is 0 if there was none.
	id           uint64
	attempts     int
	mayHaveRun   bool
	mayHaveRunAt float64
	call         *call
}

// createNext creates a message for a random partner and schedules the next one.
func (w *World) createNext(now float64) {
	w.queue.push(event{at: now + w.rng.ExpFloat64()*1000/w.params.Load, kind: evNewMessage})
	w.createMessage(now, w.rng.IntN(w.params.Partners))
}

// createMessage creates a message and submits it.
func (w *World) createMessage(now float64, partner int) {
	w.lastKey++
	m := &message{key: w.lastKey, partner: partner, createdAt: now, deadline: now + w.params.Deadline,
		behaviour: retriesAtOnce}
	switch v := w.rng.Float64(); {
	case v < w.params.HonourShare:
		m.behaviour = honoursRetryAfter
	case v < w.params.HonourShare+w.params.BackoffShare:
		m.behaviour = backsOff
	}
	w.countersFor(now, w.partners[partner]).Submitted++
	w.result.Submitted++
	w.submit(now, m)
}

// submit gives a message to a random sender, or to the next one if that is down, as a load balancer does. It drops
// messages that are delivered or have less than 50 ms to their deadline.
func (w *World) submit(now float64, m *message) {
	if m.delivered || m.deadline-now < 50 {
		return
	}
	m.submissions++
	if m.submissions > 1 {
		w.countersFor(now, w.partners[m.partner]).Retries++
		w.result.Retries++
	}
	s := w.senders[w.rng.IntN(len(w.senders))]
	if s.downUntil > now { // the load balancer picks another sender
		s = w.senders[(s.index+1)%len(w.senders)]
	}
	s.accept(now, m)
}

// recordRefusal counts a refusal and schedules the client's retry, if it has submissions left. after is the Retry-After
// of the refusal.
func (w *World) recordRefusal(now float64, m *message, after float64) {
	w.countersFor(now, w.partners[m.partner]).Refusals++
	w.result.Refusals++
	if m.submissions >= w.params.MaxSubmissions || m.delivered {
		return
	}
	switch m.behaviour {
	case backsOff:
		after = w.rng.Float64() * 200 * math.Exp2(float64(m.submissions))
	case retriesAtOnce:
		after = w.params.ImmediateRetryDelay
	}
	w.queue.push(event{at: now + after, kind: evSubmit, msg: m})
}
