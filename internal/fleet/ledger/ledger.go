// Package ledger records what the clients, the partner and the platform of a fleet observe, and checks the guarantees
// of the fleet against it: each message that a client got a 202 for reaches its final outcome in time; no refused
// message is sent; no message takes effect twice if its class forbids it; no two attempts of a message overlap;
// nothing is sent during a requested wait.
//
// It is pure: the test that injects the faults reports what happened, and when. Senders are identified by numbers. A
// Ledger is safe for concurrent use.
package ledger

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Tolerances of the checks.
const (
	LateSlack     = 300 * time.Millisecond // a final outcome this long after the deadline still counts as in time
	CrossingSlack = 100 * time.Millisecond // for calls just after a wait's request, and waits just before a loss or kill
	MaxTakeover   = 5 * time.Second        // longest takeover, with a lease of 1 s, link faults and a killed successor
)

// message is the history of one message.
type message struct {
	origin      int // the sender that it was submitted to
	originRun   int // that sender's losses before
	unsafe      bool
	deadline    time.Time // zero: its client did not get a 202
	refused     bool
	outstanding int // attempts that have reached the partner and are not answered
	effects     int
	endings     []time.Time // of calls that delivered it, and notices
	firstEnd    time.Time   // the first effect or notice
}

// sender is the state of one sender.
type sender struct {
	waitSetAt, waitUntil time.Time       // start and end of the last requested wait
	waitRun              int             // losses before that wait
	losses               int             // of its machine
	lostAt, killedAt     time.Time       // when its machine was lost, and when its process was killed
	unfinished           map[string]bool // accepted messages without an end at its loss, less those ended since
	successorCalled      bool            // its successor has made a call since the loss, or none is expected
}

// disruption is a fault that may have delayed the ends of the messages of some senders.
type disruption struct {
	at      time.Time
	senders []int
}

// Ledger records the observations of one run.
type Ledger struct {
	mu          sync.Mutex
	messages    map[string]*message
	senders     map[int]*sender
	disruptions []disruption
	verdict     Verdict
}

// Verdict is the result of a run. The counts of the first group must be zero.
type Verdict struct {
	Lost, Late, ForbiddenRepeats, RefusedSent int // no end; late end; two effects though forbidden; effect though refused
	Overlapping, SentInWait                   int // calls that overlap another attempt, and calls during a requested wait

	Accepted int
	Repeated int // took effect more than once, where that is allowed
	// MultipleEnds counts messages that were delivered twice, delivered and also reported as abandoned, or reported
	// twice, by a sender that could not know of the earlier end.
	MultipleEnds   int
	BySuccessors   int       // calls by senders other than the one that accepted the message
	TakeoverDelays []float64 // lateness in ms of the ends that a takeover delayed
	FirstCalls     []float64 // from a loss to the first call of the successor, in ms
	Settlements    []float64 // from a loss to the end of the last message of the lost sender, in ms
	Violations     []string  // description of each violation
}

// Violated reports whether a guarantee was violated, or no message was accepted at all.
func (v *Verdict) Violated() bool {
	return v.Lost+v.Late+v.ForbiddenRepeats+v.RefusedSent+v.Overlapping+v.SentInWait > 0 || v.Accepted == 0
}

func New() *Ledger { return &Ledger{messages: map[string]*message{}, senders: map[int]*sender{}} }

func (l *Ledger) sender(num int) *sender {
	s := l.senders[num]
	if s == nil {
		s = &sender{}
		l.senders[num] = s
	}
	return s
}

// Submitted records that a client is about to submit a message to a sender. unsafe means that its class forbids
// repeats.
func (l *Ledger) Submitted(id string, origin int, unsafe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages[id] = &message{origin: origin, originRun: l.sender(origin).losses, unsafe: unsafe}
}

// Answered records the answer to the client: a 202 with the deadline of the message, or a refusal. The message must
// have been Submitted.
func (l *Ledger) Answered(id string, accepted bool, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; accepted {
		m.deadline = deadline
	} else {
		m.refused = true
	}
}

// CallStarted records that a call for a message, made by a sender, reaches the partner. Here and below, messages that
// were not Submitted are ignored.
func (l *Ledger) CallStarted(now time.Time, by int, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[id]
	if m == nil {
		return
	}
	if m.outstanding++; m.outstanding > 1 {
		l.verdict.Overlapping++
		l.addViolation("%s: %d overlapping attempts", id, m.outstanding)
	}
	if caller := l.sender(by); now.After(caller.waitSetAt.Add(CrossingSlack)) && now.Before(caller.waitUntil) &&
		caller.waitSetAt.After(caller.lostAt) && caller.waitSetAt.After(caller.killedAt) {
		l.verdict.SentInWait++
		l.addViolation("%s: called by n%d, %v before the end of its requested wait", id, by, caller.waitUntil.Sub(now))
	}
	if m.origin == by {
		return
	}
	l.verdict.BySuccessors++
	origin := l.sender(m.origin)
	if !origin.successorCalled && !origin.lostAt.IsZero() {
		origin.successorCalled = true
		l.verdict.FirstCalls = append(l.verdict.FirstCalls, ms(now.Sub(origin.lostAt)))
	}
	// Counts only a wait that was requested long enough before the loss to have been copied. A kill of the process
	// within CrossingSlack after the request may have ended the wait. One who has a message since an earlier loss of its
	// sender does not know what that sender was asked after its return.
	if now.Before(origin.waitUntil) && m.originRun == origin.waitRun && origin.lostAt.Sub(origin.waitSetAt) > CrossingSlack &&
		(origin.killedAt.Before(origin.waitSetAt) || origin.killedAt.Sub(origin.waitSetAt) > CrossingSlack) {
		l.verdict.SentInWait++
		l.addViolation("%s: called by n%d, the successor of n%d, %v before the end of the latter's wait, requested %v before its loss",
			id, by, m.origin, origin.waitUntil.Sub(now), origin.lostAt.Sub(origin.waitSetAt))
	}
}

// TookEffect records that a message takes effect at the partner.
func (l *Ledger) TookEffect(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		m.effects++
		l.recordEnd(now, id, m)
	}
}

// CallEnded records the end of a call. delivered means that the partner accepted the message.
func (l *Ledger) CallEnded(now time.Time, id string, delivered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		m.outstanding--
		if delivered {
			m.endings = append(m.endings, now)
		}
	}
}

// WaitRequested records that the partner requested a wait from a sender, in answer to a call that began at callStart. A
// sender that was lost or killed since then has not received it.
func (l *Ledger) WaitRequested(now time.Time, by int, callStart, waitUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sender(by); !s.lostAt.After(callStart) && !s.killedAt.After(callStart) {
		s.waitSetAt, s.waitUntil, s.waitRun = now, waitUntil, s.losses
	}
}

// NoticeReceived records that the platform was notified of the end of a message.
func (l *Ledger) NoticeReceived(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.messages[id]; m != nil {
		m.endings = append(m.endings, now)
		l.recordEnd(now, id, m)
	}
}

// recordEnd records the first effect or notice of a message, and whether that was the last message of a lost sender.
func (l *Ledger) recordEnd(now time.Time, id string, m *message) {
	if m.firstEnd.IsZero() {
		m.firstEnd = now
	}
	origin := l.sender(m.origin)
	if !origin.unfinished[id] {
		return
	}
	if delete(origin.unfinished, id); len(origin.unfinished) == 0 {
		l.verdict.Settlements = append(l.verdict.Settlements, ms(now.Sub(origin.lostAt)))
	}
}

// SenderLost records that a sender's machine is lost with its disk. takenOver are the senders whose messages it had
// taken over.
func (l *Ledger) SenderLost(now time.Time, num int, takenOver []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := l.sender(num)
	lost.lostAt, lost.unfinished = now, map[string]bool{}
	lost.losses++
	for id, m := range l.messages {
		if m.origin == num && !m.deadline.IsZero() && m.firstEnd.IsZero() {
			lost.unfinished[id] = true
		}
	}
	lost.successorCalled = len(lost.unfinished) == 0 // no call is expected
	l.recordDisruption(now, num, takenOver)
}

// SenderKilled records that a sender's process was killed. Waits requested before do not bind the calls of its next
// process. takenOver is as in SenderLost.
func (l *Ledger) SenderKilled(now time.Time, num int, takenOver []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sender(num).killedAt = now
	l.recordDisruption(now, num, takenOver)
}

// SenderUnreachable records that a sender is suspended or disconnected. takenOver is as in SenderLost.
func (l *Ledger) SenderUnreachable(now time.Time, num int, takenOver []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordDisruption(now, num, takenOver)
}

func (l *Ledger) recordDisruption(now time.Time, num int, takenOver []int) {
	l.disruptions = append(l.disruptions, disruption{now, append([]int{num}, takenOver...)})
}

// Unfinished returns the number of accepted messages that have no end yet.
func (l *Ledger) Unfinished() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.messages {
		if !m.deadline.IsZero() && m.firstEnd.IsZero() {
			n++
		}
	}
	return n
}

// delayedByTakeover reports whether a takeover may have delayed the late end of a message: the sender responsible for
// it was lost, killed, suspended or disconnected before the deadline plus LateSlack, and the message ended less than
// MaxTakeover after that. No sender can end it until it is taken over. The loss of another sender excuses nothing.
func (l *Ledger) delayedByTakeover(m *message) bool {
	return slices.ContainsFunc(l.disruptions, func(d disruption) bool {
		return slices.Contains(d.senders, m.origin) && d.at.Before(m.deadline.Add(LateSlack)) &&
			m.firstEnd.Sub(d.at) < MaxTakeover
	})
}

// Judge checks all guarantees. It is called once, when all accepted messages should have ended.
func (l *Ledger) Judge() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, m := range l.messages {
		if m.refused && m.effects > 0 {
			l.verdict.RefusedSent++
			l.addViolation("%s: refused but sent", id)
		}
		if m.deadline.IsZero() {
			continue
		}
		l.verdict.Accepted++
		switch late := m.firstEnd.Sub(m.deadline); {
		case m.firstEnd.IsZero():
			l.verdict.Lost++
			l.addViolation("%s: lost: no effect and no notice", id)
		case late > LateSlack && l.delayedByTakeover(m):
			l.verdict.TakeoverDelays = append(l.verdict.TakeoverDelays, ms(late))
		case late > LateSlack:
			l.verdict.Late++
			l.addViolation("%s: ended %v late", id, late)
		}
		switch {
		case m.effects > 1 && m.unsafe:
			l.verdict.ForbiddenRepeats++
			l.addViolation("%s: took effect %d times", id, m.effects)
		case m.effects > 1:
			l.verdict.Repeated++
		}
		if len(m.endings) > 1 {
			l.verdict.MultipleEnds++
		}
	}
	return l.verdict
}

func (l *Ledger) addViolation(format string, args ...any) {
	l.verdict.Violations = append(l.verdict.Violations, fmt.Sprintf(format, args...))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
