package world

import "math"

// habit is what a client does after a refusal.
type retryBehaviour uint8

const (
	honoursRetryAfter retryBehaviour = iota // comes when it was told
	backsOff                                // by its own exponential back-off with jitter, whatever it was told
	retriesAtOnce                           // at once, near enough
)

// message is one message, over all its tries.
type message struct {
	key       uint64
	partner   int
	behaviour retryBehaviour
	tries     int
	createdAt float64
	deadline  float64
	runs      int
	delivered bool
	// The try that a sender holds, 0 if none does.
	id           uint64
	attempts     int
	mayHaveRun   bool
	mayHaveRunAt float64
	call         *call
}

// arrive brings up the next new message, and sets the time of the one after it.
func (w *World) createNext(now float64) {
	w.queue.push(event{at: now + w.rng.ExpFloat64()*1000/w.params.Load, kind: evNewMessage})
	w.createMessage(now, w.rng.IntN(w.params.Partners))
}

// born makes a new message, which goes to a sender at once.
func (w *World) createMessage(now float64, partner int) {
	w.lastKey++
	m := &message{key: w.lastKey, partner: partner, createdAt: now, deadline: now + w.params.Deadline, behaviour: retriesAtOnce}
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

// handIn gives a message to a sender, as the front would: any of those that are up.
func (w *World) submit(now float64, m *message) {
	if m.delivered || m.deadline-now < 50 {
		return
	}
	m.tries++
	if m.tries > 1 {
		w.countersFor(now, w.partners[m.partner]).Retries++
		w.result.Retries++
	}
	s := w.senders[w.rng.IntN(len(w.senders))]
	if s.downUntil > now { // the front deals out another connection
		s = w.senders[(s.index+1)%len(w.senders)]
	}
	s.accept(now, m)
}

// refused tells the client of a message that it was turned away, and after how long to come again.
func (w *World) recordRefusal(now float64, m *message, after float64) {
	w.countersFor(now, w.partners[m.partner]).Refusals++
	w.result.Refusals++
	if m.tries >= w.params.MaxTries || m.delivered {
		return
	}
	switch m.behaviour {
	case backsOff:
		after = w.rng.Float64() * 200 * math.Exp2(float64(m.tries))
	case retriesAtOnce:
		after = w.params.ImmediateRetryDelay
	}
	w.queue.push(event{at: now + after, kind: evSubmit, msg: m})
}
