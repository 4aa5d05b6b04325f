// Package model simulates the copies of journals under faults. Its members accept messages, copy their journals, are
// lost and take over from each other, using the program's own Owner, Holder, Takeover, placement and state of duties.
// Only a sender's handling of messages is modelled. The fleet's agreement is a state that every member sees at once.
// Leases are as in internal/fleet/lease: a member considers its lease lost before its session ends. A checker compares
// what clients, the partner and the platform have observed of each message.
//
// It serves tests and measurements with 3 to 300 members; the program itself does not use it.
package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/placement"
)

const (
	tick           = int64(5 * time.Millisecond)
	leaseDuration  = int64(450 * time.Millisecond)
	sessionTimeout = int64(550 * time.Millisecond)
	ackTimeout     = int64(150 * time.Millisecond)
	callDuration   = int64(60 * time.Millisecond)
)

// Operations of the records of the model's journal.
const (
	opAccepted = iota
	opAttempt
	opOutcome   // an attempt that may have run has ended
	opConfirmed // the client is answered 202
	opEnd
	opPending // the entry is being taken over, from the lost owner and with the token in the record
	opAgreed  // the fleet has agreed to that takeover
)

// recordSize is the size of a record: an operation, the entry's number, the message, the lost owner and the token.
const recordSize = 1 + 4 + 4 + 4 + 4

func encodeRecord(op byte, e *entry) []byte {
	b := []byte{op}
	owner := 0
	if e.pendingDuty != "" {
		owner, _ = strconv.Atoi(e.pendingDuty[len(duty.JournalDuty("m")):])
	}
	for _, v := range []int{int(e.num), e.msg, owner, int(e.takeoverToken)} {
		b = binary.BigEndian.AppendUint32(b, uint32(v))
	}
	return b
}

// entry is a message in a member's journal.
type entry struct {
	num           uint64
	msg           int    // index in World.messages
	confirmed     bool   // the client has been answered 202, or will be
	started       bool   // an attempt has begun
	inFlight      bool   // an attempt is in progress
	pendingDuty   string // the lost owner's duty, while the fleet has not agreed to the takeover
	takeoverToken uint64 // of that duty when the takeover began; 0: this member accepted the message itself
}

// replay returns the live entries of a journal's records.
func replay(records []byte) (list []entry) {
	for ; len(records) >= recordSize; records = records[recordSize:] {
		field := func(i int) uint64 { return uint64(binary.BigEndian.Uint32(records[1+4*i:])) }
		num, msg := field(0), int(field(1))
		i := slices.IndexFunc(list, func(e entry) bool { return e.num == num })
		if records[0] == opAccepted && i < 0 {
			list = append(list, entry{num: num, msg: msg})
		}
		if i < 0 {
			continue
		}
		switch records[0] {
		case opConfirmed:
			list[i].confirmed = true
		case opAttempt:
			list[i].started = true
		case opEnd:
			list = slices.Delete(list, i, i+1)
		case opPending:
			list[i].pendingDuty, list[i].takeoverToken = duty.JournalDuty(fmt.Sprint("m", field(2))), field(3)
		case opAgreed:
			list[i].pendingDuty = ""
		}
	}
	return list
}

// encodeEntries returns records of live entries.
func encodeEntries(list []entry) (b []byte) {
	for i := range list {
		e := &list[i]
		b = append(b, encodeRecord(opAccepted, e)...)
		if e.pendingDuty != "" {
			b = append(b, encodeRecord(opPending, e)...)
		}
		if e.confirmed {
			b = append(b, encodeRecord(opConfirmed, e)...)
		}
		if e.started {
			b = append(b, encodeRecord(opAttempt, e)...)
		}
	}
	return b
}

// memStore stores the records of copies in memory, by owner.
type memStore map[string][]byte

func (s memStore) Reset(owner string, _ copies.CopyState, r []byte) error {
	s[owner] = slices.Clone(r)
	return nil
}
func (s memStore) Append(owner string, _ copies.CopyState, r []byte) error {
	s[owner] = append(s[owner], r...)
	return nil
}
func (s memStore) SaveState(string, copies.CopyState) error { return nil }
func (s memStore) LiveRecords(owner string) []byte          { return encodeEntries(replay(s[owner])) }
func (s memStore) Size(owner string) int64                  { return int64(len(s[owner])) }

// history is what clients, the partner and the platform have observed of one submission of a message.
type history struct {
	unsafe       bool     // its class forbids repeats
	original     *history // the first submission of the same message, which counts effects and attempts of all
	id           uint64
	resubmitted  bool // under another id
	submittedTo  string
	incarnation  int  // of that member's disk
	accepted     bool // the client has been answered 202
	refused      bool
	effects      int      // calls that took effect at the partner
	inFlightAt   []string // members with an attempt in progress
	finalAnswers int
	notices      int // final answers that report the message as abandoned
	endedBy      []string
}

type member struct {
	w                *World
	index            int
	name             string
	zone             string
	up               bool
	stoppedUntil     int64
	partitionedUntil int64
	boot             uint64
	incarnation      uint64
	session          uint64
	lastSession      uint64 // the most recent session, in this process run or an earlier one
	contactAt        int64  // last contact with the fleet
	leaseStart       int64  // the contact from which the member counts its lease
	run              int    // number of the process run

	// State on disk.
	journal    []entry
	lastNumber uint64
	store      memStore
	copyStates map[string]copies.CopyState

	owner     *copies.Owner
	holder    *copies.Holder
	takeovers map[string]*copies.Takeover
	waits     []ackWait
	calls     []*attempt
	inbox     []func()
}

// ackWait is a wait for the acknowledgement of a batch.
type ackWait struct {
	seq      uint64
	deadline int64
	done     func(acknowledged bool)
}

// attempt is a call to the partner.
type attempt struct {
	num    uint64
	endsAt int64
}

// World is a simulated fleet with its clients and partner.
type World struct {
	rng             *rand.Rand
	now             int64
	state           *duty.State
	index           uint64
	members         []*member
	frames          []frame
	messages        []*history
	violation       string // the first violation of a guarantee
	copyCount       int    // copies of each journal
	required        int    // holders that must acknowledge a record
	dropFrames      bool   // a quarter of all frames is lost
	disabled        DisabledGuards
	adoptions       int
	partnerEnds     []partnerEnd
	byName          map[string]*member
	dutyList        []*pb.Duty // the duties at dutyListVersion of the state
	dutyListVersion uint64
	fleetInterval   int  // steps between contacts of a member with the fleet
	maxMessages     int  // messages of a run
	messageInterval int  // mean number of steps between messages
	partnerDown     bool // every call fails
	orderedFrames   bool // frames do not overtake each other
	steps           int
	resetBytes      int64          // bytes of records copied in resets
	batchBytes      int64          // bytes of records copied in batches
	takenOverBy     map[string]int // messages taken over, by successor
	extraNotices    int            // lost machines whose last notice may not have been copied, so that it is repeated
}

// partnerEnd is the end of an attempt at the partner, whether or not its answer arrives.
type partnerEnd struct {
	at      int64
	message *history
	from    string
}

// DisabledGuards says which guards are disabled, so that tests can show that the checker detects their absence.
type DisabledGuards struct {
	holderChecks        copies.HolderChecks
	answerBeforeAck     bool // answer 202 before holders have acknowledged the message
	startBeforeAck      bool // send before holders have acknowledged the attempt, in a class that forbids repeats
	ignoreLease         bool // start attempts without a valid lease
	keepTransferred     bool // a returning owner keeps messages that a successor has taken over
	ignoreResubmitted   bool // do not compare resubmitted messages with those taken over
	dropPending         bool // drop entries that the lost owner had taken over itself and copies still show as pending
	sendUnknown         bool // a successor sends messages of whose attempts only unreachable holders may know
	sendUnconfirmed     bool // a successor sends messages whose clients may have been refused
	sendBeforeAgreement bool // a successor sends before the fleet has agreed to the takeover
}

// frame is a frame in transit.
type frame struct {
	at    int64 // time of arrival
	from  *member
	to    *member
	frame *pb.Frame
}

func newWorld(seed uint64, members, copyCount, required int, disabled DisabledGuards) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 9)), state: duty.New(nil), copyCount: copyCount, required: required, disabled: disabled, byName: map[string]*member{},
		fleetInterval: 1, maxMessages: 250, messageInterval: 8, takenOverBy: map[string]int{}}
	for i := range members {
		m := &member{w: w, index: i, name: fmt.Sprint("m", i), incarnation: uint64(i + 1)}
		w.members, w.byName[m.name] = append(w.members, m), m
		m.start()
	}
	return w
}

func (w *World) apply(c *pb.Command) duty.Result {
	w.index++
	return w.state.Apply(w.index, 1, c)
}

func (w *World) member(name string) *member { return w.byName[name] }

// duties returns all duties, sorted by name.
func (w *World) duties() []*pb.Duty {
	if v := w.state.Version(); v != w.dutyListVersion || w.dutyList == nil {
		w.dutyList, w.dutyListVersion = w.state.Duties(), v
	}
	return w.dutyList
}

func (m *member) start() {
	m.up, m.boot, m.run, m.stoppedUntil = true, m.boot+1, m.run+1, 0
	if m.store == nil {
		m.store, m.copyStates = memStore{}, map[string]copies.CopyState{}
	}
	m.owner = copies.NewOwner(m.name, m.incarnation)
	m.holder = copies.NewHolder(m.store, 1<<20, 1, m.copyStates)
	m.holder.SkipChecks = m.w.disabled.holderChecks
	m.takeovers, m.waits, m.calls, m.session, m.inbox = map[string]*copies.Takeover{}, nil, nil, 0, nil
	for i := range m.journal {
		m.journal[i].inFlight = false
	}
}

func (m *member) loseDisk() {
	m.journal, m.store, m.copyStates = nil, memStore{}, map[string]copies.CopyState{}
	m.incarnation += 100
	m.lastNumber = 0
}

func (m *member) running() bool { return m.up && m.w.now >= m.stoppedUntil }

func (m *member) reachable() bool { return m.running() && m.w.now >= m.partitionedUntil }

// leaseValid reports whether the member itself considers its lease valid.
func (m *member) leaseValid() bool { return m.session != 0 && m.w.now-m.leaseStart < leaseDuration }

func (m *member) ownDuty() *pb.Duty {
	for _, d := range m.w.duties() {
		if d.Name == duty.JournalDuty(m.name) && d.Session == m.session && m.session != 0 {
			return d
		}
	}
	return nil
}

// step simulates one tick: contacts with the fleet, ends of sessions, arrivals of frames and the members' senders.
func (w *World) step() {
	w.now += tick
	w.steps++
	for _, m := range w.members {
		if m.reachable() && (w.steps+m.index)%w.fleetInterval == 0 {
			m.contactFleet()
		}
	}
	for _, m := range w.members {
		if w.state.Session(m.lastSession) != nil && w.now-m.contactAt > sessionTimeout {
			w.apply(&pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: m.lastSession}}})
		}
	}
	for i := 0; i < len(w.frames); i++ {
		f := w.frames[i]
		if f.at > w.now {
			continue
		}
		w.frames = slices.Delete(w.frames, i, i+1)
		i--
		if !f.to.up || w.now < f.to.partitionedUntil || w.now < f.from.partitionedUntil {
			continue
		}
		if w.now < f.to.stoppedUntil {
			f.to.inbox = append(f.to.inbox, func() { f.to.receive(f) })
			continue
		}
		f.to.receive(f)
	}
	w.partnerEnds = slices.DeleteFunc(w.partnerEnds, func(p partnerEnd) bool {
		if p.at > w.now {
			return false
		}
		if i := slices.Index(p.message.inFlightAt, p.from); i >= 0 {
			p.message.inFlightAt = slices.Delete(p.message.inFlightAt, i, i+1)
		}
		return true
	})
	for _, m := range w.members {
		if m.running() {
			for _, do := range m.inbox {
				do()
			}
			m.inbox = nil
			m.stepSender()
		}
	}
	if w.steps%w.fleetInterval == 0 {
		w.check(false)
	}
}

func (w *World) send(from *member, outgoing []copies.Outgoing) {
	for _, o := range outgoing {
		if w.dropFrames && w.rng.IntN(4) == 0 {
			continue
		}
		if c := o.Frame.GetCopy(); c.GetReset_() {
			w.resetBytes += int64(len(c.Records))
		} else if c != nil {
			w.batchBytes += int64(len(c.Records))
		}
		if to := w.member(o.To); to != nil {
			w.frames = append(w.frames, frame{w.now + w.delay(), from, to, o.Frame})
		}
	}
}

// delay returns the transfer time of a frame. With random times, frames overtake each other, which the program's links
// do not allow; orderedFrames prevents it.
func (w *World) delay() int64 {
	if w.orderedFrames {
		return int64(10 * time.Millisecond)
	}
	return w.rng.Int64N(int64(30 * time.Millisecond))
}

// contactFleet renews the member's session and acquires its own duty and the free duties of owners whose copies it
// holds.
func (m *member) contactFleet() {
	w := m.w
	if s := w.state.Session(m.session); s == nil {
		if m.session != 0 {
			m.session = 0
			m.owner.BeginEpoch(0)
		}
		r := w.apply(&pb.Command{What: &pb.Command_Open{Open: &pb.Open{Member: m.name, Incarnation: m.incarnation, Boot: m.boot, Seq: w.index, Zone: m.zone}}})
		if r.Err != nil {
			return
		}
		m.session, m.lastSession = r.Session, r.Session
	}
	m.contactAt, m.leaseStart = w.now, w.now
	w.apply(&pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: m.session, Duty: duty.JournalDuty(m.name)}}})
	for _, d := range w.duties() {
		if d.Name != duty.JournalDuty(m.name) && slices.Contains(d.Holders, m.name) {
			w.apply(&pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: m.session, Duty: d.Name}}})
		}
	}
	m.stepOwnJournal()
	m.stepTakeovers()
}

// stepOwnJournal begins a new epoch of the member's own journal if its token has changed, drops messages that a
// successor has taken over, and adjusts the holders.
func (m *member) stepOwnJournal() {
	w, d := m.w, m.ownDuty()
	if d == nil {
		m.owner.BeginEpoch(0)
		return
	}
	if m.owner.Epoch() != d.Token {
		if a := w.state.LastAdoption(m.name); a != nil && a.Incarnation == m.incarnation && !w.disabled.keepTransferred {
			m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return e.num <= a.Upto })
			m.calls = slices.DeleteFunc(m.calls, func(c *attempt) bool { return c.num <= a.Upto })
			for i := range m.waits {
				m.waits[i].deadline = 0
			}
			m.lastNumber = max(m.lastNumber, a.Upto)
		}
		m.owner.BeginEpoch(d.Token)
	}
	m.owner.SetHolders(d.Holders)
	var present []placement.Member
	isPresent := map[string]bool{}
	for _, p := range w.state.PresentMembers() {
		present = append(present, placement.Member{Name: p.Name, Zone: p.Zone})
		isPresent[p.Name] = true
	}
	wanted := placement.Choose(m.name, m.zone, w.copyCount, present)
	next := placement.NextStep(d.Holders, wanted, m.owner.Synced, func(n string) bool { return isPresent[n] })
	if !slices.Equal(next, d.Holders) {
		w.apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: m.session, Duty: d.Name, Token: d.Token, Holders: next}}})
		m.owner.SetHolders(next)
	}
}

// stepTakeovers starts and advances takeovers of lost owners.
func (m *member) stepTakeovers() {
	w := m.w
	for _, d := range w.duties() {
		owner := d.Name[len(duty.JournalDuty("")):]
		if owner == m.name || d.Session != m.session {
			continue
		}
		t := m.takeovers[owner]
		if t == nil || t.Epoch != d.Token {
			t = copies.NewTakeover(owner, d.Token, d.Holders, w.state.LastAdoption(owner))
			m.takeovers[owner] = t
		}
		w.send(m, t.TakeOutgoing(w.now))
		stage := t.Advance(func(name string) bool {
			return slices.ContainsFunc(w.state.PresentMembers(), func(p *pb.Present) bool { return p.Name == name })
		})
		switch stage {
		case copies.Ready:
			m.importEntries(t, d)
		case copies.Done:
			w.apply(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: m.session, Duty: d.Name, Token: d.Token}}})
		}
	}
}

// importEntries writes the entries of the longest copy to the successor's journal, waits until they are copied, and
// asks the fleet to agree.
func (m *member) importEntries(t *copies.Takeover, d *pb.Duty) {
	t.Stage = copies.Copying
	var records []byte
	var nums []uint64
	var keys []uint64
	for _, e := range replay(t.LongestCopy.Records) {
		if e.pendingDuty != "" && (m.w.disabled.dropPending || duty.TakeoverByToken(m.w.state.LastAdoption(e.pendingDuty[len(duty.JournalDuty("")):]), e.takeoverToken).GetBy() != t.Owner) {
			continue
		}
		if e.confirmed && !m.w.disabled.ignoreResubmitted {
			keys = append(keys, m.w.messages[e.msg].key())
		}
		if m.w.messages[e.msg].unsafe && !t.Complete(m.w.required) && !m.w.disabled.sendUnknown {
			e.started = true // it may have run: a holder that would know is unreachable
		}
		m.lastNumber++
		e.num, e.pendingDuty, e.takeoverToken = m.lastNumber, d.Name, d.Token
		if m.w.disabled.sendBeforeAgreement {
			e.pendingDuty = ""
		}
		m.journal = append(m.journal, e)
		nums = append(nums, e.num)
		records = append(records, encodeEntries([]entry{e})...)
	}
	run := m.run
	m.awaitAcks(m.appendRecords(records), func(acknowledged bool) {
		if m.run != run {
			return
		}
		if !acknowledged || m.session != d.Session { // the takeover starts again
			m.discard(nums)
			delete(m.takeovers, t.Owner)
			return
		}
		r := m.w.apply(&pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: m.session, Duty: d.Name, Token: d.Token, Incarnation: t.LongestCopy.Incarnation, Upto: t.LongestCopy.Upto, Keys: keys}}})
		if r.Err != nil {
			m.discard(nums)
			delete(m.takeovers, t.Owner)
			return
		}
		m.w.adoptions++
		m.activate(nums, r.Keys)
		t.Stage = copies.Done
	})
}

// activate makes messages of an agreed takeover this member's own. Messages that were resubmitted elsewhere end.
func (m *member) activate(nums, keysElsewhere []uint64) {
	for _, num := range nums {
		e := m.find(num)
		if e == nil || e.pendingDuty == "" && !m.w.disabled.sendBeforeAgreement {
			continue
		}
		e.pendingDuty = ""
		m.w.takenOverBy[m.name]++
		m.appendRecords(encodeRecord(opAgreed, e))
		if hist := m.w.messages[e.msg]; slices.Contains(keysElsewhere, hist.key()) {
			m.w.endWithNotice(hist, m.name+" left it to another member")
			m.endMessage(num)
		}
	}
}

// endWithNotice records that the platform has been notified of the end of a message.
func (w *World) endWithNotice(hist *history, reason string) {
	hist.finalAnswers++
	hist.notices++
	hist.endedBy = append(hist.endedBy, reason)
}

func (m *member) discard(nums []uint64) {
	var records []byte
	for _, e := range m.journal {
		if slices.Contains(nums, e.num) {
			records = append(records, encodeRecord(opEnd, &e)...)
		}
	}
	m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return slices.Contains(nums, e.num) })
	m.appendRecords(records)
}

// appendRecords sends records to the holders and returns the number of their batch.
func (m *member) appendRecords(records []byte) uint64 {
	return m.owner.Append(m.w.now, records, m.lastNumber, nil)
}

func (m *member) awaitAcks(seq uint64, done func(acknowledged bool)) {
	m.waits = append(m.waits, ackWait{seq, m.w.now + ackTimeout, done})
}

// settlePending settles the pending takeovers of an earlier process run of this member, by the fleet's record of their
// result.
func (m *member) settlePending() {
	for i := 0; i < len(m.journal); i++ {
		e := &m.journal[i]
		if e.pendingDuty == "" {
			continue
		}
		owner := e.pendingDuty[len(duty.JournalDuty("")):]
		if a := duty.TakeoverByToken(m.w.state.LastAdoption(owner), e.takeoverToken); a.GetBy() == m.name {
			m.activate([]uint64{e.num}, a.Elsewhere)
			i = -1 // activate may have removed entries: scan again
		} else if t := m.takeovers[owner]; t == nil || t.Epoch != e.takeoverToken {
			m.appendRecords(encodeRecord(opEnd, e))
			m.journal = slices.Delete(m.journal, i, i+1)
			i--
		}
	}
}

func (m *member) receive(f frame) {
	w := m.w
	switch x := f.frame.What.(type) {
	case *pb.Frame_Copy:
		if a := m.holder.HandleCopy(w.now, x.Copy); a != nil {
			state, _ := m.holder.State(x.Copy.Owner)
			m.copyStates[x.Copy.Owner] = state
			w.send(m, []copies.Outgoing{{To: f.from.name, Frame: &pb.Frame{What: &pb.Frame_Copied{Copied: a}}}})
		}
	case *pb.Frame_Copied:
		m.owner.HandleCopied(w.now, f.from.name, x.Copied)
	case *pb.Frame_Seal:
		if a := m.holder.HandleSeal(w.now, x.Seal); a != nil {
			state, _ := m.holder.State(x.Seal.Owner)
			m.copyStates[x.Seal.Owner] = state
			w.send(m, []copies.Outgoing{{To: f.from.name, Frame: &pb.Frame{What: &pb.Frame_Sealed{Sealed: a}}}})
		}
	case *pb.Frame_Sealed:
		if t := m.takeovers[x.Sealed.Owner]; t != nil {
			t.HandleSealed(w.now, f.from.name, x.Sealed)
		}
	}
}

// stepSender performs a step of the member's sender: it completes or abandons waits for acknowledgements, ends calls
// and begins calls.
func (m *member) stepSender() {
	w := m.w
	if m.reachable() && m.session != 0 {
		m.settlePending()
	}
	committed := m.owner.Committed(w.required)
	waits := m.waits
	m.waits = nil
	for _, wait := range waits {
		switch {
		case committed >= wait.seq && m.leaseValid():
			wait.done(true)
		case w.now > wait.deadline:
			wait.done(false)
		default:
			m.waits = append(m.waits, wait)
		}
	}
	for i := 0; i < len(m.calls); i++ {
		if call := m.calls[i]; w.now >= call.endsAt {
			m.calls = slices.Delete(m.calls, i, i+1)
			i--
			m.endCall(call)
		}
	}
	if m.leaseValid() && m.owner.Epoch() != 0 || w.disabled.ignoreLease {
		var nums []uint64
		for _, e := range m.journal {
			nums = append(nums, e.num)
		}
		for _, num := range nums {
			if e := m.find(num); e != nil {
				m.tryAttempt(e)
			}
		}
	}
	w.send(m, m.owner.TakeOutgoing(w.now, func() []byte { return encodeEntries(m.journal) }))
}

// tryAttempt begins an attempt of a message, or ends a message that may not be repeated.
func (m *member) tryAttempt(e *entry) {
	w := m.w
	hist := w.messages[e.msg]
	if e.inFlight || e.pendingDuty != "" || slices.ContainsFunc(m.waits, func(x ackWait) bool { return x.seq == 0 }) || e.takeoverToken == 0 && !e.confirmed && m.awaitingAnswer(e) {
		return
	}
	// It ends at once if it may have run, or if its client may have been refused.
	if e.started && hist.unsafe || !e.confirmed && e.takeoverToken != 0 && !w.disabled.sendUnconfirmed {
		w.endWithNotice(hist, m.name+" abandoned it")
		m.endMessage(e.num)
		return
	}
	e.started, e.inFlight = true, true
	seq := m.appendRecords(encodeRecord(opAttempt, e))
	num, run := e.num, m.run
	begin := func(acknowledged bool) {
		current := m.find(num)
		if m.run != run || current == nil {
			return
		}
		if !acknowledged {
			current.inFlight, current.started = false, false
			m.appendRecords(encodeRecord(opAccepted, current))
			return
		}
		hist.original.inFlightAt = append(hist.original.inFlightAt, m.name)
		hist.effects++
		if hist.original != hist {
			hist.original.effects++
		}
		if len(hist.original.inFlightAt) > 1 {
			w.reportViolation("message %d: simultaneous attempts by %v", current.msg, hist.original.inFlightAt)
		}
		m.calls = append(m.calls, &attempt{num, w.now + callDuration})
		w.partnerEnds = append(w.partnerEnds, partnerEnd{w.now + callDuration, hist.original, m.name})
	}
	if hist.unsafe && !w.disabled.startBeforeAck {
		m.awaitAcks(seq, begin)
	} else {
		begin(true)
	}
}

// awaitingAnswer reports whether the client of an unconfirmed message has yet to be answered: it always has, unless 202
// is answered before holders have acknowledged the message.
func (m *member) awaitingAnswer(e *entry) bool { return !m.w.disabled.answerBeforeAck }

func (m *member) find(num uint64) *entry {
	for i := range m.journal {
		if m.journal[i].num == num {
			return &m.journal[i]
		}
	}
	return nil
}

func (m *member) endMessage(num uint64) {
	if e := m.find(num); e != nil {
		m.appendRecords(encodeRecord(opEnd, e))
		m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return e.num == num })
	}
}

// endCall ends a call. Most calls fail, so that there are always messages in the journals.
func (m *member) endCall(call *attempt) {
	e := m.find(call.num)
	if e == nil {
		return
	}
	hist := m.w.messages[e.msg]
	e.inFlight = false
	if (m.w.rng.IntN(4) < 3 || m.w.partnerDown) && !hist.unsafe { // the call failed, and may have run
		return
	}
	hist.finalAnswers++
	hist.endedBy = append(hist.endedBy, m.name)
	m.endMessage(e.num)
}

// submit submits a message to a member.
func (w *World) submit(m *member, unsafe bool) {
	if !m.running() || !m.leaseValid() || m.owner.Epoch() == 0 || len(w.messages) > w.maxMessages {
		return
	}
	hist := &history{unsafe: unsafe}
	hist.original = hist
	w.accept(m, hist)
}

// resubmit submits again, to another member, a message whose sender has lost its disk, as its client may do. Messages
// that may have run are left out if their class forbids repeats.
func (w *World) resubmit(m *member) {
	if !m.reachable() || !m.leaseValid() || m.owner.Epoch() == 0 || len(w.messages) > w.maxMessages {
		return
	}
	for _, hist := range w.messages {
		previous := w.member(hist.submittedTo)
		if previous.incarnation == uint64(hist.incarnation) { // the disk still exists: no client resubmits it
			continue
		}
		if !hist.accepted || hist.resubmitted || hist.finalAnswers > 0 || previous == m || hist.unsafe && hist.original.effects > 0 || w.rng.IntN(3) > 0 {
			continue
		}
		next := &history{unsafe: hist.unsafe, original: hist.original}
		if !w.disabled.ignoreResubmitted {
			r := w.apply(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: m.session, Keys: []uint64{hist.key()}}}})
			if r.Err != nil {
				return
			}
			if len(r.Keys) > 0 { // a successor has it, which the client is told
				hist.resubmitted = true
				return
			}
		}
		hist.resubmitted = true
		w.accept(m, next)
		return
	}
}

// key identifies a message across its submissions.
func (hist *history) key() uint64 { return hist.original.id }

// accept accepts a message at a member and answers its client once holders have acknowledged it.
func (w *World) accept(m *member, hist *history) {
	hist.submittedTo, hist.incarnation, hist.id = m.name, int(m.incarnation), uint64(len(w.messages)+1)
	w.messages = append(w.messages, hist)
	m.lastNumber++
	e := entry{num: m.lastNumber, msg: len(w.messages) - 1}
	m.journal = append(m.journal, e)
	seq := m.appendRecords(encodeRecord(opAccepted, &e))
	run := m.run
	answer := func(acknowledged bool) {
		if m.run != run || m.find(e.num) == nil {
			return
		}
		if acknowledged {
			hist.accepted = true
			m.find(e.num).confirmed = true
			m.appendRecords(encodeRecord(opConfirmed, &e))
		} else {
			hist.refused = true
			m.endMessage(e.num)
		}
	}
	if w.disabled.answerBeforeAck {
		answer(true)
	} else {
		m.awaitAcks(seq, answer)
	}
}

func (w *World) reportViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", time.Duration(w.now)) + fmt.Sprintf(format, args...)
	}
}

// check reports violations of the guarantees. At the end of a run, every accepted message must have a final answer.
func (w *World) check(end bool) {
	for i, hist := range w.messages {
		switch {
		case hist.unsafe && hist.original == hist && hist.effects > 1:
			w.reportViolation("message %d forbids repeats but took effect %d times (%v)", i, hist.effects, hist.endedBy)
		case hist.refused && hist.effects > 0:
			w.reportViolation("message %d was refused but sent", i)
		case hist.notices > 1+w.extraNotices || hist.unsafe && hist.finalAnswers > 1+hist.notices:
			// A delivered message may also be abandoned once, by a successor that cannot know of the delivery. The
			// platform ignores a notice about a message that has ended, as it does after a crash between an answer
			// and its record.
			w.reportViolation("message %d has %d final answers (%v)", i, hist.finalAnswers, hist.endedBy)
		case end && hist.accepted && hist.finalAnswers == 0:
			w.reportViolation("message %d was accepted and lost", i)
		}
	}
}

// playFaults simulates a run with one fault at a time, each of which ends before the next begins, and checks it.
func (w *World) playFaults(faults []Fault) {
	at := int64(time.Second)
	for _, f := range faults {
		for w.now < at {
			w.traffic()
			w.step()
		}
		m := w.members[f.member%len(w.members)]
		duration := int64(f.duration)
		switch f.kind {
		case 0, 1: // the machine is lost with its disk and replaced
			if m.up {
				m.up = false
				m.endAttempts()
				m.loseDisk()
			}
		case 2: // the process is killed
			m.up = false
			m.endAttempts()
		case 3: // the process is stopped for some time
			m.stoppedUntil = w.now + duration
		case 4: // the member is partitioned from the others
			m.partitionedUntil = w.now + duration
		case 5: // frames are lost
			w.dropFrames = true
		}
		end := w.now + duration
		for w.now < end {
			w.traffic()
			w.step()
		}
		w.dropFrames = false
		if !m.up {
			m.start()
		}
		at = w.now + int64(2500*time.Millisecond)
		if w.violation != "" {
			return
		}
	}
	for end := w.now + int64(6*time.Second); w.now < end && w.violation == ""; {
		w.step()
	}
	w.check(true)
}

// endAttempts ends the attempts of a process that has ended, as its connections are closed.
func (m *member) endAttempts() {
	for _, hist := range m.w.messages {
		hist.inFlightAt = slices.DeleteFunc(hist.inFlightAt, func(n string) bool { return n == m.name })
	}
}

// traffic submits and resubmits messages at random.
func (w *World) traffic() {
	if w.rng.IntN(w.messageInterval) == 0 {
		w.submit(w.members[w.rng.IntN(len(w.members))], w.rng.IntN(2) == 0)
	}
	if w.rng.IntN(4) == 0 {
		w.resubmit(w.members[w.rng.IntN(len(w.members))])
	}
}

// Fault is a fault of a member; playFaults lists the kinds.
type Fault struct {
	kind, member int
	duration     time.Duration
}
