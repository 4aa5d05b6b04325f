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
	InTime   = 300 * time.Millisecond // after its time a final answer still counts as in time
	Crossing = 100 * time.Millisecond // calls that cross the telling of a wait, and waits that cross a loss
	TakeOver = 5 * time.Second        // a taking over at the most, with a lease of 1 s, link faults and an heir that is killed
)

// message is what befell one.
type message struct {
	origin  int // the sender that it was handed in at
	unsafe  bool
	until   time.Time // its time is up; zero: its client has heard no 202
	refused bool
	out     int // attempts that the partner has before it
	effects int
	ends    []time.Time // deliveries whose answer went out, and notices
	first   time.Time   // the first effect or notice
}

// sender is what is known of one.
type sender struct {
	told, until  time.Time // the last wait that it was told
	lost, killed time.Time
	left         map[string]bool // of what it had when it was lost
	heard        bool            // its heir has called since
}

// blow is what may have kept the ends of some senders' messages back.
type blow struct {
	at time.Time
	of []int
}

// Book is all ledgers of one run.
type Book struct {
	mu      sync.Mutex
	msgs    map[string]*message
	senders map[int]*sender
	blows   []blow
	v       Verdict
}

// Verdict is what a run came to. The first part must be nought.
type Verdict struct {
	Lost, Late, Twice, Sent int // without an end; late; took effect twice where that is forbidden; refused and sent
	Both, InWait            int // calls with another attempt out, and inside a told wait

	Taken     int
	Repeated  int       // took effect more than once, where that is allowed
	EndedMore int       // had a further end: delivered and given up by who could not know, or delivered twice
	ByHeirs   int       // calls by others than the sender that it was handed in at
	Over      []float64 // by how much ends were late that a taking over held back, in milliseconds
	First     []float64 // from a loss to its heir's first call,
	Settled   []float64 // and until all it had is ended
	Faults    []string  // each breach in words
}

// Broken reports whether anything promised was not kept.
func (v *Verdict) Broken() bool {
	return v.Lost+v.Late+v.Twice+v.Sent+v.Both+v.InWait > 0 || v.Taken == 0
}

// New returns an empty Book.
func New() *Book { return &Book{msgs: map[string]*message{}, senders: map[int]*sender{}} }

func (b *Book) sender(k int) *sender {
	s := b.senders[k]
	if s == nil {
		s = &sender{}
		b.senders[k] = s
	}
	return s
}

// Offered tells that a client is about to hand a message in at a sender. unsafe: its class forbids repeats.
func (b *Book) Offered(id string, origin int, unsafe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.msgs[id] = &message{origin: origin, unsafe: unsafe}
}

// Answered tells what its client heard: 202, with when its time is up, or a refusal.
func (b *Book) Answered(id string, taken bool, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; taken {
		m.until = until
	} else {
		m.refused = true
	}
}

// Called tells that a call for a message comes to the partner, by a sender.
func (b *Book) Called(now time.Time, by int, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.msgs[id]
	if m == nil {
		return
	}
	if m.out++; m.out > 1 {
		b.v.Both++
		b.fault("%s: %d attempts are out", id, m.out)
	}
	if me := b.sender(by); now.After(me.told.Add(Crossing)) && now.Before(me.until) && me.told.After(me.lost) && me.told.After(me.killed) {
		b.v.InWait++
		b.fault("%s: called by n%d %v inside its wait", id, by, me.until.Sub(now))
	}
	if m.origin == by {
		return
	}
	b.v.ByHeirs++
	was := b.sender(m.origin)
	if !was.heard && !was.lost.IsZero() {
		was.heard = true
		b.v.First = append(b.v.First, ms(now.Sub(was.lost)))
	}
	// Told long enough before the loss to have been copied, and not just before the process was killed, which ends a wait.
	if now.Before(was.until) && was.lost.Sub(was.told) > Crossing && (was.killed.Before(was.told) || was.killed.Sub(was.told) > Crossing) {
		b.v.InWait++
		b.fault("%s: called by n%d, the heir of n%d, %v inside the wait that was told to that, %v before it was lost", id, by, m.origin, was.until.Sub(now), was.lost.Sub(was.told))
	}
}

// Effect tells that a message takes effect.
func (b *Book) Effect(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; m != nil {
		m.effects++
		b.settle(now, id, m)
	}
}

// Over tells that a call is over; delivered: it was answered as taken on.
func (b *Book) Over(now time.Time, id string, delivered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; m != nil {
		m.out--
		if delivered {
			m.ends = append(m.ends, now)
		}
	}
}

// Told tells that a sender was told a wait, in answer to a call that began then. One that was lost or killed since has
// not heard it.
func (b *Book) Told(now time.Time, by int, began, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.sender(by); !s.lost.After(began) && !s.killed.After(began) {
		s.told, s.until = now, until
	}
}

// Notice tells that the platform was told of the end of a message.
func (b *Book) Notice(now time.Time, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; m != nil {
		m.ends = append(m.ends, now)
		b.settle(now, id, m)
	}
}

// settle notes the first effect or notice of a message, and whether that was the last of a lost sender's.
func (b *Book) settle(now time.Time, id string, m *message) {
	if m.first.IsZero() {
		m.first = now
	}
	was := b.sender(m.origin)
	if !was.left[id] {
		return
	}
	if delete(was.left, id); len(was.left) == 0 {
		b.v.Settled = append(b.v.Settled, ms(now.Sub(was.lost)))
	}
}

// Lost tells that a sender's machine is lost with its disk; has are the senders whose messages it had taken over.
func (b *Book) Lost(now time.Time, k int, has []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := b.sender(k)
	was.lost, was.left = now, map[string]bool{}
	for id, m := range b.msgs {
		if m.origin == k && !m.until.IsZero() && m.first.IsZero() {
			was.left[id] = true
		}
	}
	was.heard = len(was.left) == 0 // no call is waited for
	b.hit(now, k, has)
}

// Killed tells that a sender's process was killed, which ends its waits; has as of Lost.
func (b *Book) Killed(now time.Time, k int, has []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sender(k).killed = now
	b.hit(now, k, has)
}

// Away tells that a sender is stopped or cut off; has as of Lost.
func (b *Book) Away(now time.Time, k int, has []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hit(now, k, has)
}

func (b *Book) hit(now time.Time, k int, has []int) {
	b.blows = append(b.blows, blow{now, append([]int{k}, has...)})
}

// Open is how many messages that were taken on have no end yet.
func (b *Book) Open() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.msgs {
		if !m.until.IsZero() && m.first.IsZero() {
			n++
		}
	}
	return n
}

// held reports whether a message's time was up while whoever had it was lost, killed, stopped or cut off and its heir not
// there yet: nobody can end it then, and it ends as soon as it is taken over. Another sender's loss excuses nothing.
func (b *Book) held(m *message) bool {
	return slices.ContainsFunc(b.blows, func(x blow) bool {
		return slices.Contains(x.of, m.origin) && x.at.Before(m.until.Add(InTime)) && m.first.Sub(x.at) < TakeOver
	})
}

// Judge holds the ledgers side by side, when all that was taken on should be over.
func (b *Book) Judge() Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, m := range b.msgs {
		if m.refused && m.effects > 0 {
			b.v.Sent++
			b.fault("%s: refused and sent", id)
		}
		if m.until.IsZero() {
			continue
		}
		b.v.Taken++
		switch late := m.first.Sub(m.until); {
		case m.first.IsZero():
			b.v.Lost++
			b.fault("%s: lost", id)
		case late > InTime && b.held(m):
			b.v.Over = append(b.v.Over, ms(late))
		case late > InTime:
			b.v.Late++
			b.fault("%s: %v late", id, late)
		}
		switch {
		case m.effects > 1 && m.unsafe:
			b.v.Twice++
			b.fault("%s: took effect %d times", id, m.effects)
		case m.effects > 1:
			b.v.Repeated++
		}
		if len(m.ends) > 1 {
			b.v.EndedMore++
		}
	}
	return b.v
}

func (b *Book) fault(format string, args ...any) {
	b.v.Faults = append(b.v.Faults, fmt.Sprintf(format, args...))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
