// Package copies keeps what a sender has taken on at further members, so that a machine that is lost with its disk
// loses nothing that was promised: Owner is the side whose journal is copied, Holder the side that keeps copies of
// others' journals, Heir the side that takes over what a lost owner had.
//
// All three are pure: no clock, no I/O, no goroutine. They take frames and say what is to be sent; what a Holder
// keeps goes through a Store. Times are nanoseconds on the caller's monotonic clock.
//
// An owner's records go in batches, numbered without holes within an epoch, which is the fencing token of the duty
// own/NAME. A holder takes them in order and refuses older epochs. What is missing is made up for by a reset: all
// that is live in the owner's journal. The heir holds the same duty with a higher token: it seals the owner's epochs
// at every holder that the fleet has agreed on, takes the longest copy, puts it into its own journal, which is copied
// in turn, and has the fleet agree on the adoption. Only then are the messages its own.
package copies

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/fleet/pb"
)

const (
	resendAfter = int64(120 * time.Millisecond) // without an answer for so long, all is sent again
	scrubEvery  = int64(10 * time.Second)       // between two sums of all that is live
	fullFor     = int64(2 * time.Second)        // a holder that had no room is asked again after so long
)

// Out is a frame for a member.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

func copyFrame(c *pb.Copy) *pb.Frame { return &pb.Frame{What: &pb.Frame_Copy{Copy: c}} }

// Owner copies one journal to its holders.
type Owner struct {
	name        string
	incarnation uint64
	epoch       uint64 // 0: the duty is not held, nothing is copied
	seq         uint64
	upto        uint64
	peers       map[string]*peer
	full        map[string]int64 // members that had no room, and when they said so
	out         []Outgoing
	scrubAt     int64
	ahead       int64 // the owner's clock in Unix milliseconds, less the caller's monotonic one
}

type peer struct {
	reset  uint64 // the batch that brought it everything, 0: it is to be sent
	acked  uint64
	waits  uint64 // the last batch that it was sent
	sentAt int64  // of the oldest that is not answered
	full   bool
	ask    bool // whether what it has of the epoch before is all of it, ahead of bringing it that
}

// NewOwner returns the owner of a member's journal, which copies nothing until Begin.
func NewOwner(name string, incarnation uint64) *Owner {
	return &Owner{name: name, incarnation: incarnation, peers: map[string]*peer{}, full: map[string]int64{}}
}

// Begin starts an epoch: the duty is held with that token. A holder whose copy is what the journal has, as after a restart
// in calm, goes on with it; any other is brought everything anew. 0 ends it.
func (o *Owner) BeginEpoch(epoch uint64) {
	if epoch == o.epoch {
		return
	}
	o.epoch = epoch
	o.out = nil
	for _, p := range o.peers {
		*p = peer{ask: true}
	}
}

// Of sets the folder whose journal it is.
func (o *Owner) SetIncarnation(incarnation uint64) { o.incarnation = incarnation }

// Clock tells by how much the clock that deadlines go by, in Unix milliseconds, is ahead of the caller's monotonic one.
func (o *Owner) SetClockOffset(ahead int64) { o.ahead = ahead }

// Epoch is the token that is copied under, 0 if there is none.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Holders sets who keeps copies, as the fleet has agreed on.
func (o *Owner) SetHolders(names []string) {
	for name := range o.peers {
		if !slices.Contains(names, name) {
			delete(o.peers, name)
		}
	}
	for _, name := range names {
		if o.peers[name] == nil {
			o.peers[name] = &peer{ask: true}
		}
	}
}

// names are the holders, in an order that does not change from run to run.
func (o *Owner) names() []string { return slices.Sorted(maps.Keys(o.peers)) }

// Sum is a checksum of what is live, as records, by which a holder's copy is compared with the owner's journal.
func Checksum(live []byte) uint64 { return xxhash.Sum64(live) | 1 }

// Scrub tells the sum with the next batch, where it is time: live is all that is live after it.
func (o *Owner) scrub(now int64, live func() []byte) uint64 {
	if live == nil || now < o.scrubAt {
		return 0
	}
	o.scrubAt = now + scrubEvery
	return Checksum(live())
}

// Append takes the records of one step of the journal and returns the number of their batch. upto is the highest
// number of a message that was taken so far. live is all that is live after it; it is asked for now and then, for a
// sum that holders compare their copies by. nil: they do not.
func (o *Owner) Append(now int64, records []byte, upto uint64, live func() []byte) uint64 {
	o.seq++
	o.upto = max(o.upto, upto)
	if o.epoch == 0 {
		return o.seq
	}
	var c *pb.Copy
	for _, name := range o.names() {
		p := o.peers[name]
		if p.reset == 0 || p.full {
			continue // it gets all of it, soon
		}
		if c == nil {
			c = &pb.Copy{Owner: o.name, Incarnation: o.incarnation, Epoch: o.epoch, Seq: o.seq, Upto: o.upto, Records: slices.Clone(records), Sum: o.scrub(now, live), Clock: now/1e6 + o.ahead}
		}
		o.send(now, name, p, c)
	}
	return o.seq
}

func (o *Owner) send(now int64, name string, p *peer, c *pb.Copy) {
	if p.acked >= p.waits {
		p.sentAt = now
	}
	p.waits = c.Seq
	o.out = append(o.out, Outgoing{name, copyFrame(c)})
}

// Copied takes a holder's answer.
func (o *Owner) HandleCopied(now int64, from string, a *pb.Copied) {
	p := o.peers[from]
	if p == nil || a.Epoch != o.epoch || a.Owner != o.name {
		return
	}
	switch {
	case a.Sealed:
		p.reset, p.acked = 0, 0 // the epoch is over: the duty is another's, or soon will be known to be
		p.sentAt = now
	case a.Full:
		p.full, o.full[from] = true, now
	case a.Again:
		p.reset = 0
	default:
		if p.reset != 0 && a.Seq >= p.reset && a.Seq > p.acked {
			p.acked, p.sentAt = a.Seq, now
		}
	}
}

// Committed is the last batch that so many holders have, 0 if there is none in this epoch.
func (o *Owner) Committed(needed int) uint64 {
	if needed == 0 {
		return o.seq
	}
	var acked []uint64
	for _, p := range o.peers {
		if p.reset != 0 && !p.full {
			acked = append(acked, p.acked)
		}
	}
	if len(acked) < needed || o.epoch == 0 {
		return 0
	}
	slices.Sort(acked)
	return acked[len(acked)-needed]
}

// Synced reports whether a holder has everything but what is under way.
func (o *Owner) Synced(name string) bool {
	p := o.peers[name]
	return p != nil && p.reset != 0 && p.acked >= p.reset && !p.full
}

// Full are the members that had no room of late, holders or not any more.
func (o *Owner) FullMembers(now int64) (names []string) {
	for name, at := range o.full {
		if now-at > fullFor {
			delete(o.full, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Lag is how far a holder is behind.
type Lag struct {
	Holder  string  `json:"holder"`
	Batches uint64  `json:"batches"` // that it has not answered for
	MS      float64 `json:"ms"`      // since the oldest of them was sent
	Synced  bool    `json:"whole"`   // it has been brought everything once in this epoch
	Full    bool    `json:"full"`    // it has no room
}

// Status is how the copies of a sender's journal are, for operators.
type Status struct {
	LeaseHeld       bool   `json:"held"`    // the lease on its own journal
	Holders         []Lag  `json:"holders"` // how far each is behind
	Waiting         int    `json:"waiting"` // answers and calls that wait for holders
	UnderReplicated uint64 `json:"short"`   // messages that too few had in time, since the start
	RemainingBytes  int64  `json:"left"`    // bytes that are still to be copied to holders that were not brought everything
}

// Lags are how far the holders are behind, by name.
func (o *Owner) Lags(now int64) (list []Lag) {
	for _, name := range o.names() {
		p := o.peers[name]
		l := Lag{Holder: name, Batches: o.behind(p), Synced: o.Synced(name), Full: p.full}
		if p.acked < p.waits {
			l.MS = float64(now-p.sentAt) / 1e6
		}
		list = append(list, l)
	}
	return list
}

// behind is how many batches a holder has not answered for.
func (o *Owner) behind(p *peer) uint64 { return o.seq - min(p.acked, o.seq) }

// Furthest is how many batches the holder is behind that is furthest behind.
func (o *Owner) MaxLag() (batches uint64) {
	for _, p := range o.peers {
		batches = max(batches, o.behind(p))
	}
	return batches
}

// Take returns what is to be sent. snapshot is all that is live in the journal, as records; it is asked for where a
// holder is to be brought everything.
func (o *Owner) TakeOutgoing(now int64, snapshot func() []byte) []Outgoing {
	if o.epoch != 0 {
		var all []byte
		for _, name := range o.names() {
			p := o.peers[name]
			if p.full && now-o.full[name] > fullFor { // it may have room by now: all of it is sent
				*p = peer{}
			}
			late := p.acked < p.waits && now-p.sentAt > resendAfter
			if p.full || p.reset != 0 && !late || p.reset == 0 && p.sentAt != 0 && now-p.sentAt <= resendAfter {
				continue
			}
			if all == nil {
				all = snapshot()
			}
			o.bring(now, name, p, all)
		}
	}
	out := o.out
	o.out = nil
	return out
}

// bring asks a holder whether it has all that is live already, or brings it that.
func (o *Owner) bring(now int64, name string, p *peer, all []byte) {
	o.seq = max(o.seq, 1)
	c := &pb.Copy{Owner: o.name, Incarnation: o.incarnation, Epoch: o.epoch, Seq: o.seq, Upto: o.upto, Clock: now/1e6 + o.ahead}
	if p.ask {
		c.Resume, c.Sum = true, Checksum(all)
	} else {
		c.Reset_, c.Records = true, all
	}
	p.ask = false
	p.reset, p.acked, p.waits, p.sentAt = o.seq, 0, o.seq, now
	o.out = append(o.out, Outgoing{name, copyFrame(c)})
}

// Next is when Take may have something by time alone; false: never.
func (o *Owner) NextWakeup() (at int64, due bool) {
	for name, p := range o.peers {
		t := p.sentAt + resendAfter + 1
		switch {
		case o.epoch == 0 || !p.full && p.acked >= p.waits && p.reset != 0:
			continue
		case p.full:
			t = o.full[name] + fullFor + 1
		}
		if !due || t < at {
			at, due = t, true
		}
	}
	return at, due
}
