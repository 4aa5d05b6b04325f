// Package copies replicates a sender's journal to other members, so that the loss of a machine and its disk loses no
// accepted message. Owner is the side whose journal is copied, Holder the side that holds copies of other members'
// journals, and Takeover the side that takes over the messages of a lost owner.
//
// All three are state machines without a clock or goroutines; none is safe for concurrent use. They handle incoming
// frames and return the frames to send. Only a Holder does I/O: it stores copies through a Store. Times are nanoseconds
// on the caller's monotonic clock.
//
// An owner sends its records in batches, numbered without gaps within an epoch, which is the fencing token of the duty
// own/NAME. A holder accepts them in order and refuses older epochs. If it lacks batches, the owner sends a reset: all
// live records of its journal. The successor holds the same duty with a higher token. It seals the owner's epochs at
// every holder that the fleet has agreed on, writes the longest copy to its own journal, which is copied in turn, and
// asks the fleet to agree to the adoption. Only after that agreement do the messages belong to the successor.
package copies

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/fleet/pb"
)

const (
	resendTimeout    = int64(120 * time.Millisecond) // wait for an answer before all live records are sent again
	checksumInterval = int64(10 * time.Second)       // between two checksums of all live records
	fullRetryDelay   = int64(2 * time.Second)        // before a holder without space is tried again
)

// Outgoing is a frame to send to a member.
type Outgoing struct {
	To    string
	Frame *pb.Frame
}

func copyFrame(c *pb.Copy) *pb.Frame { return &pb.Frame{What: &pb.Frame_Copy{Copy: c}} }

// Owner copies one journal to its holders.
type Owner struct {
	name          string
	incarnation   uint64
	epoch         uint64 // 0: the duty is not held, nothing is copied
	seq           uint64 // of the last batch
	lastNumber    uint64 // the highest message number assigned
	holders       map[string]*holderProgress
	fullAt        map[string]int64 // when members last reported a lack of space
	outgoing      []Outgoing
	nextChecksum  int64
	clockOffsetMS int64 // from the caller's monotonic clock to the owner's clock, which is in Unix milliseconds
}

// holderProgress is the progress of copying to one holder in this epoch.
type holderProgress struct {
	resetSeq     uint64 // the batch of the reset or the resumption; 0: it is still to be sent
	ackedSeq     uint64
	sentSeq      uint64 // the last batch sent
	waitingSince int64  // start of the wait for the next answer
	full         bool
	tryResume    bool // ask first whether the holder's copy from an earlier epoch is complete, before a reset
}

// NewOwner returns the owner of a member's journal. It copies nothing before BeginEpoch.
func NewOwner(name string, incarnation uint64) *Owner {
	return &Owner{name: name, incarnation: incarnation, holders: map[string]*holderProgress{}, fullAt: map[string]int64{}}
}

// BeginEpoch starts the epoch of the token with which the duty is held; 0 means that it is not held any more. A holder
// whose copy equals the journal, as is usual after a restart without failures, resumes it. Any other gets a reset.
func (o *Owner) BeginEpoch(epoch uint64) {
	if epoch == o.epoch {
		return
	}
	o.epoch = epoch
	o.outgoing = nil
	for _, p := range o.holders {
		*p = holderProgress{tryResume: true}
	}
}

// SetIncarnation sets the incarnation of the state directory that contains the journal.
func (o *Owner) SetIncarnation(incarnation uint64) { o.incarnation = incarnation }

// SetLastNumber sets the highest message number assigned so far, also by earlier processes.
func (o *Owner) SetLastNumber(lastNumber uint64) { o.lastNumber = max(o.lastNumber, lastNumber) }

// SetClockOffset sets the offset, in milliseconds, from the caller's monotonic clock to the clock of deadlines, which
// is in Unix milliseconds.
func (o *Owner) SetClockOffset(offsetMS int64) { o.clockOffsetMS = offsetMS }

// Epoch returns the current epoch, 0 if there is none.
func (o *Owner) Epoch() uint64 { return o.epoch }

// SetHolders sets the holders that the fleet has agreed on.
func (o *Owner) SetHolders(names []string) {
	for name := range o.holders {
		if !slices.Contains(names, name) {
			delete(o.holders, name)
		}
	}
	for _, name := range names {
		if o.holders[name] == nil {
			o.holders[name] = &holderProgress{tryResume: true}
		}
	}
}

// holderNames returns the holders in sorted order, so that runs are reproducible.
func (o *Owner) holderNames() []string { return slices.Sorted(maps.Keys(o.holders)) }

// Checksum returns a checksum of live records, by which a holder's copy is compared with the owner's journal. It is
// never 0, which stands for no checksum.
func Checksum(liveRecords []byte) uint64 { return xxhash.Sum64(liveRecords) | 1 }

// dueChecksum returns the checksum to send with the next batch, 0 if none is due. liveRecords returns the records that
// are live after that batch.
func (o *Owner) dueChecksum(now int64, liveRecords func() []byte) uint64 {
	if liveRecords == nil || now < o.nextChecksum {
		return 0
	}
	o.nextChecksum = now + checksumInterval
	return Checksum(liveRecords())
}

// Append queues the records of one step of the journal for the holders and returns the number of their batch. A holder
// that is to get a reset gets them with it. lastNumber is the highest message number assigned so far. liveRecords
// returns the records that are live after the batch; Append calls it from time to time, for a checksum with which
// holders verify their copies. If it is nil, no checksum is sent.
func (o *Owner) Append(now int64, records []byte, lastNumber uint64, liveRecords func() []byte) uint64 {
	o.seq++
	o.lastNumber = max(o.lastNumber, lastNumber)
	if o.epoch == 0 {
		return o.seq
	}
	var c *pb.Copy
	for _, name := range o.holderNames() {
		p := o.holders[name]
		if p.resetSeq == 0 || p.full {
			continue // a reset will include these records
		}
		if c == nil {
			c = &pb.Copy{Owner: o.name, Incarnation: o.incarnation, Epoch: o.epoch, Seq: o.seq, Upto: o.lastNumber, Records: slices.Clone(records), Sum: o.dueChecksum(now, liveRecords), Clock: now/1e6 + o.clockOffsetMS}
		}
		o.send(now, name, p, c)
	}
	return o.seq
}

// send queues a batch for a holder. The wait for an answer starts now, unless the holder already owes one.
func (o *Owner) send(now int64, name string, p *holderProgress, c *pb.Copy) {
	if p.ackedSeq >= p.sentSeq {
		p.waitingSince = now
	}
	p.sentSeq = c.Seq
	o.outgoing = append(o.outgoing, Outgoing{name, copyFrame(c)})
}

// HandleCopied handles a holder's answer.
func (o *Owner) HandleCopied(now int64, from string, a *pb.Copied) {
	p := o.holders[from]
	if p == nil || a.Epoch != o.epoch || a.Owner != o.name {
		return
	}
	switch {
	case a.Sealed:
		p.resetSeq, p.ackedSeq = 0, 0 // the epoch has ended: another member holds the duty, which this one may not know yet
		p.waitingSince = now
	case a.Full:
		p.full, o.fullAt[from] = true, now
	case a.Again:
		p.resetSeq = 0
	default:
		if p.resetSeq != 0 && a.Seq >= p.resetSeq && a.Seq > p.ackedSeq {
			p.ackedSeq, p.waitingSince = a.Seq, now
		}
	}
}

// Committed returns the last batch that the required number of holders has acknowledged, 0 if there is none in this
// epoch. If no acknowledgements are required, it is the last batch.
func (o *Owner) Committed(required int) uint64 {
	if required == 0 {
		return o.seq
	}
	var acked []uint64
	for _, p := range o.holders {
		if p.resetSeq != 0 && !p.full {
			acked = append(acked, p.ackedSeq)
		}
	}
	if len(acked) < required || o.epoch == 0 {
		return 0
	}
	slices.Sort(acked)
	return acked[len(acked)-required]
}

// Synced reports whether a holder has acknowledged all live records, apart from batches in flight.
func (o *Owner) Synced(name string) bool {
	p := o.holders[name]
	return p != nil && p.resetSeq != 0 && p.ackedSeq >= p.resetSeq && !p.full
}

// FullMembers returns the members that recently reported a lack of space, including former holders.
func (o *Owner) FullMembers(now int64) (names []string) {
	for name, at := range o.fullAt {
		if now-at > fullRetryDelay {
			delete(o.fullAt, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Lag is the replication lag of a holder.
type Lag struct {
	Holder  string  `json:"holder"`
	Batches uint64  `json:"batches"` // not acknowledged
	MS      float64 `json:"ms"`      // how long the next acknowledgement has been outstanding
	Synced  bool    `json:"whole"`   // it has had all live records once in this epoch
	Full    bool    `json:"full"`    // it lacks space
}

// Status is the status of the copies of a sender's journal, for operators.
type Status struct {
	LeaseHeld       bool   `json:"held"`    // the sender holds the lease on its own journal
	Holders         []Lag  `json:"holders"` // the lag of each
	Waiting         int    `json:"waiting"` // answers, calls and notices that wait for acknowledgements
	UnderReplicated uint64 `json:"short"`   // messages that too few holders acknowledged in time, since the start
	RemainingBytes  int64  `json:"left"`    // still to be copied to holders that are not synced
}

// Lags returns the lags of the holders, sorted by name.
func (o *Owner) Lags(now int64) (list []Lag) {
	for _, name := range o.holderNames() {
		p := o.holders[name]
		l := Lag{Holder: name, Batches: o.unackedBatches(p), Synced: o.Synced(name), Full: p.full}
		if p.ackedSeq < p.sentSeq {
			l.MS = float64(now-p.waitingSince) / 1e6
		}
		list = append(list, l)
	}
	return list
}

// unackedBatches returns how many batches a holder has not acknowledged.
func (o *Owner) unackedBatches(p *holderProgress) uint64 { return o.seq - min(p.ackedSeq, o.seq) }

// MaxLag returns the highest number of batches that a holder has not acknowledged.
func (o *Owner) MaxLag() (batches uint64) {
	for _, p := range o.holders {
		batches = max(batches, o.unackedBatches(p))
	}
	return batches
}

// TakeOutgoing returns the frames to send and empties the queue. liveRecords returns all live records of the journal;
// it is called if a holder is to be resynchronized.
func (o *Owner) TakeOutgoing(now int64, liveRecords func() []byte) []Outgoing {
	if o.epoch != 0 {
		var records []byte
		for _, name := range o.holderNames() {
			p := o.holders[name]
			if p.full && now-o.fullAt[name] > fullRetryDelay { // it may have space by now: try a reset
				*p = holderProgress{}
			}
			overdue := p.ackedSeq < p.sentSeq && now-p.waitingSince > resendTimeout
			if p.full || p.resetSeq != 0 && !overdue || p.resetSeq == 0 && p.waitingSince != 0 && now-p.waitingSince <= resendTimeout {
				continue
			}
			if records == nil {
				records = liveRecords()
			}
			o.resync(now, name, p, records)
		}
	}
	out := o.outgoing
	o.outgoing = nil
	return out
}

// resync asks a holder whether its copy already equals the live records, or sends a reset with them.
func (o *Owner) resync(now int64, name string, p *holderProgress, liveRecords []byte) {
	o.seq = max(o.seq, 1) // a resetSeq of 0 means that the reset is still to be sent
	c := &pb.Copy{Owner: o.name, Incarnation: o.incarnation, Epoch: o.epoch, Seq: o.seq, Upto: o.lastNumber, Clock: now/1e6 + o.clockOffsetMS}
	if p.tryResume {
		c.Resume, c.Sum = true, Checksum(liveRecords)
	} else {
		c.Reset_, c.Records = true, liveRecords
	}
	p.tryResume = false
	p.resetSeq, p.ackedSeq, p.sentSeq, p.waitingSince = o.seq, 0, o.seq, now
	o.outgoing = append(o.outgoing, Outgoing{name, copyFrame(c)})
}

// NextWakeup returns when TakeOutgoing has to be called even without further input, since an answer is overdue, a
// holder is to be resynchronized or a full one to be tried again, and whether there is such a time.
func (o *Owner) NextWakeup() (at int64, due bool) {
	for name, p := range o.holders {
		t := p.waitingSince + resendTimeout + 1
		switch {
		case o.epoch == 0 || !p.full && p.ackedSeq >= p.sentSeq && p.resetSeq != 0:
			continue
		case p.full:
			t = o.fullAt[name] + fullRetryDelay + 1
		}
		if !due || t < at {
			at, due = t, true
		}
	}
	return at, due
}
