package world

import "math"

// habit is what a client does after a refusal.
type habit uint8

const (
	honours habit = iota // comes when it was told
	backsUp              // by its own exponential back-off with jitter, whatever it was told
	deaf                 // at once, near enough
)

// message is one message, over all its tries.
type message struct {
	key     uint64
	partner int
	habit   habit
	tries   int
	born    float64
	until   float64
	runs    int
	done    bool
	// The try that a sender holds, 0 if none does.
	id       uint64
	attempts int
	doubt    bool
	doubtAt  float64
	call     *call
}

// arrive brings up the next new message, and sets the time of the one after it.
func (w *World) arrive(now float64) {
	w.queue.push(event{at: now + w.rng.ExpFloat64()*1000/w.p.Load, kind: evArrive})
	w.born(now, w.rng.IntN(w.p.Partners))
}

// born makes a new message, which goes to a sender at once.
func (w *World) born(now float64, to int) {
	w.keys++
	m := &message{key: w.keys, partner: to, born: now, until: now + w.p.Deadline, habit: deaf}
	switch v := w.rng.Float64(); {
	case v < w.p.HonourShare:
		m.habit = honours
	case v < w.p.HonourShare+w.p.BackoffShare:
		m.habit = backsUp
	}
	w.counts(now, w.partners[to]).Submitted++
	w.run.Submitted++
	w.handIn(now, m)
}

// handIn gives a message to a sender, as the front would: any of those that are up.
func (w *World) handIn(now float64, m *message) {
	if m.done || m.until-now < 50 {
		return
	}
	m.tries++
	if m.tries > 1 {
		w.counts(now, w.partners[m.partner]).Retries++
		w.run.Retries++
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.downUntil > now { // the front deals out another connection
		n = w.nodes[(n.index+1)%len(w.nodes)]
	}
	n.take(now, m)
}

// refused tells the client of a message that it was turned away, and after how long to come again.
func (w *World) refused(now float64, m *message, after float64) {
	w.counts(now, w.partners[m.partner]).Refusals++
	w.run.Refusals++
	if m.tries >= w.p.MaxTries || m.done {
		return
	}
	switch m.habit {
	case backsUp:
		after = w.rng.Float64() * 200 * math.Exp2(float64(m.tries))
	case deaf:
		after = w.p.ImmediateRetryDelay
	}
	w.queue.push(event{at: now + after, kind: evHandIn, msg: m})
}
