// Package ledger holds what clients, the partner and the platform of a fleet saw side by side, and judges what the fleet
// promised: each message whose client heard 202 has its final answer, in time; none that was refused is sent; none whose
// class forbids it takes effect twice; no two attempts of one are out at once; nothing is sent within a told wait.
//
// It is pure: whoever plays faults tells it what happened, and when. Senders are numbers. It is safe for concurrent use.
package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Slacks of the judge.
const (
	LateSlack     = 300 * time.Millisecond // after its time a final answer still counts as in time
	CrossingSlack = 100 * time.Millisecond // calls that cross the telling of a wait, and waits that cross a loss
	MaxTakeover   = 5 * time.Second        // a taking over at the most, with a lease of 1 s, link faults and an heir that is killed
)

// message is what befell one.
type message struct {
	origin      int // the sender that it was handed in at
	unsafe      bool
	deadline    time.Time // its time is up; zero: its client has heard no 202
	refused     bool
	outstanding int // attempts that the partner has before it
	effects     int
	endings     []time.Time // deliveries whose answer went out, and notices
	firstEnd    time.Time   // the first effect or notice
}

// sender is what is known of one.
type sender struct {
	waitSetAt, waitUntil time.Time // the last wait that it was told
	lostAt, killedAt     time.Time
	unfinished           map[string]bool // of what it had when it was lost
	successorCalled      bool            // its heir has called since
}

// blow is what may have kept the ends of some senders' messages back.
type disruption struct {
	at      time.Time
	senders []int
}

// Book is all ledgers of one run.
type Ledger struct {
	mu          sync.Mutex
	messages    map[string]*message
	senders     map[int]*sender
	disruptions []disruption
	verdict     Verdict
}

// Verdict is what a run came to. The first part must be nought.
type Verdict struct {
	Lost, Late, ForbiddenRepeats, RefusedSent int // without an end; late; took effect twice where that is forbidden; refused and sent
	Overlapping, SentInWait                   int // calls with another attempt out, and inside a told wait

	Accepted       int
	Repeated       int       // took effect more than once, where that is allowed
	MultipleEnds   int       // had a further end: delivered and given up by who could not know, or delivered twice
	BySuccessors   int       // calls by others than the sender that it was handed in at
	TakeoverDelays []float64 // by how much ends were late that a taking over held back, in milliseconds
	FirstCalls     []float64 // from a loss to its heir's first call,
	Settlements    []float64 // and until all it had is ended
	Violations     []string  // each breach in words
}

// Broken reports whether anything promised was not kept.
func (v *Verdict) Violated() bool {
	return v.Lost+v.Late+v.ForbiddenRepeats+v.RefusedSent+v.Overlapping+v.SentInWait > 0 || v.Accepted == 0
}

// New returns an empty Book.
func New() *Ledger { return &Ledger{messages: map[string]*message{}, senders: map[int]*sender{}} }

func (b *Ledger) sender(num int) *sender {
	s := b.senders[num]
	if s == nil {
		s = &sender{}
		b.senders[num] = s
	}
	return s
}

// Offered tells that a client is about to hand a message in at a sender. unsafe: its class forbids repeats.
func (b *Ledger) Submitted(id string, origin int, unsafe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.messages[id] = &message{origin: origin, unsafe: unsafe}
}

// Answered tells what its client heard: 202, with when its time is up, or a refusal.
func (b *Ledger) Answered(id string, accepted bool, deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; accepted {
		m.deadline = deadline
	} else {
		m.refused = true
	}
}

// Called tells that a call for a message comes to the partner, by a sender.
func (b *Ledger) CallStarted(now time.Time, by int, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.messages[id]
	if m == nil {
		return
	}
	if m.outstanding++; m.outstanding > 1 {
		b.verdict.Overlapping++
		b.addViolation("%s: %d attempts are out", id, m.outstanding)
	}
	if caller := b.sender(by); now.After(caller.waitSetAt.Add(CrossingSlack)) && now.Before(caller.waitUntil) && caller.waitSetAt.After(caller.lostAt) && caller.waitSetAt.After(caller.killedAt) {
		b.verdict.SentInWait++
		b.addViolation("%s: called by n%d %v inside its wait", id, by, caller.waitUntil.Sub(now))
	}
	if m.origin == by {
		return
	}
	b.verdict.BySuccessors++
	was := b.sender(m.origin)
	if !was.successorCalled && !was.lostAt.IsZero() {
		was.successorCalled = true
		b.verdict.FirstCalls = append(b.verdict.FirstCalls, ms(now.Sub(was.lostAt)))
	}
	// Told long enough before the loss to have been copied, and not just before the process was killed, which ends a wait.
	if now.Before(was.waitUntil) && was.lostAt.Sub(was.waitSetAt) > CrossingSlack && (was.killedAt.Before(was.waitSetAt) || was.killedAt.Sub(was.waitSetAt) > CrossingSlack) {
		b.verdict.SentInWait++
		b.addViolation("%s: called by n%d, the heir of n%d, %v inside the wait that was told to that, %v before it was lost", id, by, m.origin, was.waitUntil.Sub(now), was.lostAt.Sub(was.waitSetAt))
	}
}

// Effect tells that a message takes effect.
func (b *Ledger) TookEffect(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; m != nil {
		m.effects++
		b.recordEnd(now, id, m)
	}
}

// Over tells that a call is over; delivered: it was answered as taken on.
func (b *Ledger) CallEnded(now time.Time, id string, delivered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; m != nil {
		m.outstanding--
		if delivered {
			m.endings = append(m.endings, now)
		}
	}
}

// Told tells that a sender was told a wait, in answer to a call that began then. One that was lost or killed since has
// not heard it.
func (b *Ledger) WaitRequested(now time.Time, by int, began, waitUntil time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.sender(by); !s.lostAt.After(began) && !s.killedAt.After(began) {
		s.waitSetAt, s.waitUntil = now, waitUntil
	}
}

// Notice tells that the platform was told of the end of a message.
func (b *Ledger) NoticeReceived(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; m != nil {
		m.endings = append(m.endings, now)
		b.recordEnd(now, id, m)
	}
}

// settle notes the first effect or notice of a message, and whether that was the last of a lost sender's.
func (b *Ledger) recordEnd(now time.Time, id string, m *message) {
	if m.firstEnd.IsZero() {
		m.firstEnd = now
	}
	was := b.sender(m.origin)
	if !was.unfinished[id] {
		return
	}
	if delete(was.unfinished, id); len(was.unfinished) == 0 {
		b.verdict.Settlements = append(b.verdict.Settlements, ms(now.Sub(was.lostAt)))
	}
}

// Lost tells that a sender's machine is lost with its disk; has are the senders whose messages it had taken over.
func (b *Ledger) SenderLost(now time.Time, num int, takenOver []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := b.sender(num)
	lost.lostAt, lost.unfinished = now, map[string]bool{}
	for id, m := range b.messages {
		if m.origin == num && !m.deadline.IsZero() && m.firstEnd.IsZero() {
			lost.unfinished[id] = true
		}
	}
	lost.successorCalled = len(lost.unfinished) == 0 // no call is waited for
	b.recordDisruption(now, num, takenOver)
}

// Killed tells that a sender's process was killed, which ends its waits; has as of Lost.
func (b *Ledger) SenderKilled(now time.Time, num int, takenOver []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sender(num).killedAt = now
	b.recordDisruption(now, num, takenOver)
}

// Away tells that a sender is stopped or cut off; has as of Lost.
func (b *Ledger) SenderUnreachable(now time.Time, num int, takenOver []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordDisruption(now, num, takenOver)
}

func (b *Ledger) recordDisruption(now time.Time, num int, takenOver []int) {
	b.disruptions = append(b.disruptions, disruption{now, append([]int{num}, takenOver...)})
}

// Open is how many messages that were taken on have no end yet.
func (b *Ledger) Unfinished() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.messages {
		if !m.deadline.IsZero() && m.firstEnd.IsZero() {
			n++
		}
	}
	return n
}

// held reports whether a message's time was up while whoever had it was lost, killed, stopped or cut off and its heir not
// there yet: nobody can end it then, and it ends as soon as it is taken over. Another sender's loss excuses nothing.
func (b *Ledger) delayedByTakeover(m *message) bool {
	return slices.ContainsFunc(b.disruptions, func(x disruption) bool {
		return slices.Contains(x.senders, m.origin) && x.at.Before(m.deadline.Add(LateSlack)) && m.firstEnd.Sub(x.at) < MaxTakeover
	})
}

// Judge holds the ledgers side by side, when all that was taken on should be over.
func (b *Ledger) Judge() Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, m := range b.messages {
		if m.refused && m.effects > 0 {
			b.verdict.RefusedSent++
			b.addViolation("%s: refused and sent", id)
		}
		if m.deadline.IsZero() {
			continue
		}
		b.verdict.Accepted++
		switch late := m.firstEnd.Sub(m.deadline); {
		case m.firstEnd.IsZero():
			b.verdict.Lost++
			b.addViolation("%s: lost", id)
		case late > LateSlack && b.delayedByTakeover(m):
			b.verdict.TakeoverDelays = append(b.verdict.TakeoverDelays, ms(late))
		case late > LateSlack:
			b.verdict.Late++
			b.addViolation("%s: %v late", id, late)
		}
		switch {
		case m.effects > 1 && m.unsafe:
			b.verdict.ForbiddenRepeats++
			b.addViolation("%s: took effect %d times", id, m.effects)
		case m.effects > 1:
			b.verdict.Repeated++
		}
		if len(m.endings) > 1 {
			b.verdict.MultipleEnds++
		}
	}
	return b.verdict
}

func (b *Ledger) addViolation(format string, args ...any) {
	b.verdict.Violations = append(b.verdict.Violations, fmt.Sprintf(format, args...))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
