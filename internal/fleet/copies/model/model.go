// Package model runs copies of journals in a world of faults: members that take messages on, copy their journals, are
// lost, and inherit, by the very Owner, Holder, Heir, placement and state of duties that the program has; what a sender
// does with messages is modelled. The fleet's agreement is a state that all see at once; leases are as
// internal/fleet/lease makes them: a member gives up before its session ends. A checker holds the ledgers of clients,
// partner and platform side by side.
//
// It is for tests and figures, with 3 to 300 members; nothing of the program uses it.
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
	tick      = int64(5 * time.Millisecond)
	leaseHold = int64(450 * time.Millisecond)
	leaseWait = int64(550 * time.Millisecond)
	patience  = int64(150 * time.Millisecond)
	callTakes = int64(60 * time.Millisecond)
)

// records of the model's journal: an operation and a message
const (
	opTaken = iota
	opStart
	opOutcome // may have run
	opConfirm // its client is told 202
	opEnd
	opPend // it is being taken over: from whom, with which token
	opOwn  // that was agreed on
)

// record is one record of the model's journal, of a fixed size.
const recordSize = 1 + 4 + 4 + 4 + 4

func record(op byte, e *entry) []byte {
	b := []byte{op}
	owner := 0
	if e.pending != "" {
		owner, _ = strconv.Atoi(e.pending[len(duty.JournalDuty("m")):])
	}
	for _, v := range []int{int(e.num), e.msg, owner, int(e.token)} {
		b = binary.BigEndian.AppendUint32(b, uint32(v))
	}
	return b
}

type entry struct {
	num     uint64
	msg     int
	sure    bool   // its client has heard that it was taken on, or will
	started bool   // an attempt was begun
	out     bool   // and is out
	pending string // adopted, and not agreed on yet: the owner's duty
	token   uint64
}

// live is what a journal's records come to.
func live(records []byte) (list []entry) {
	for ; len(records) >= recordSize; records = records[recordSize:] {
		at := func(i int) uint64 { return uint64(binary.BigEndian.Uint32(records[1+4*i:])) }
		num, msg := at(0), int(at(1))
		k := slices.IndexFunc(list, func(e entry) bool { return e.num == num })
		if records[0] == opTaken && k < 0 {
			list = append(list, entry{num: num, msg: msg})
		}
		if k < 0 {
			continue
		}
		switch records[0] {
		case opConfirm:
			list[k].sure = true
		case opStart:
			list[k].started = true
		case opEnd:
			list = slices.Delete(list, k, k+1)
		case opPend:
			list[k].pending, list[k].token = duty.JournalDuty(fmt.Sprint("m", at(2))), at(3)
		case opOwn:
			list[k].pending = ""
		}
	}
	return list
}

func dump(list []entry) (b []byte) {
	for i := range list {
		e := &list[i]
		b = append(b, record(opTaken, e)...)
		if e.pending != "" {
			b = append(b, record(opPend, e)...)
		}
		if e.sure {
			b = append(b, record(opConfirm, e)...)
		}
		if e.started {
			b = append(b, record(opStart, e)...)
		}
	}
	return b
}

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
func (s memStore) LiveRecords(owner string) []byte          { return dump(live(s[owner])) }
func (s memStore) Size(owner string) int64                  { return int64(len(s[owner])) }

// ledger is what befell one message.
type ledger struct {
	unsafe    bool
	same      *ledger // the first try of the same message: effects and attempts are counted there
	number    uint64
	again     bool   // it was handed in again, under another id
	at        string // the member that has its last try
	life      int    // and which life of its disk
	taken     bool   // its client has heard 202
	refused   bool
	effects   int
	out       []string // members whose attempts are out
	ended     int      // final answers
	notices   int      // of these, that it was given up
	deliverAt []string
}

type member struct {
	w           *World
	n           int
	name        string
	zone        string
	up          bool
	stopped     int64
	cutUntil    int64
	boot        uint64
	incarnation uint64
	session     uint64
	last        uint64 // the session that it had last, in this life or before
	contact     int64  // with the fleet
	sent        int64  // the contact that counts for its own lease
	life        int

	// what its disk keeps
	journal []entry
	next    uint64
	store   memStore
	kept    map[string]copies.CopyState

	owner  *copies.Owner
	holder *copies.Holder
	heirs  map[string]*copies.Takeover
	wait   []waiting
	calls  []*attempt
	inbox  []func()
}

type waiting struct {
	seq  uint64
	till int64
	do   func(kept bool)
}

type attempt struct {
	num  uint64
	ends int64
}

type World struct {
	rng     *rand.Rand
	now     int64
	state   *duty.State
	index   uint64
	members []*member
	frames  []frame
	msgs    []*ledger
	breach  string
	count   int
	needed  int
	loss    bool
	guards  Guards
	adopted int
	over    []partnerEnd
	byName  map[string]*member
	list    []*pb.Duty // the duties of that version of the state
	version uint64
	every   int  // steps between two looks of a member at the fleet
	most    int  // messages of a run
	share   int  // one in so many steps brings a message
	down    bool // every call fails
	inOrder bool
	steps   int
	resets  int64          // bytes that were copied anew, and
	copied  int64          // in batches
	heirs   map[string]int // messages taken over, by heir
	twice   int            // machines lost that had been up for moments: each may have given a notice whose record was not copied yet
}

// partnerEnd is the end of an attempt at the partner, whatever becomes of its answer.
type partnerEnd struct {
	at   int64
	l    *ledger
	from string
}

// guards are taken out one by one.
type Guards struct {
	holder      copies.HolderChecks
	answerSoon  bool // 202 before the copies are acknowledged
	startSoon   bool // the first byte before "attempt begun" is acknowledged, for a class that forbids repeats
	noLease     bool // attempts are started whatever the lease says
	keepAll     bool // an owner that is back drops nothing
	noAgain     bool // what was handed in again is not compared with what is taken over
	dropMarked  bool // what an heir had agreed on, and not unmarked yet, is dropped by its own heir
	sendUnknown bool // an heir sends what holders that are away may know attempts of
	noConfirm   bool // an heir sends what its client may have been refused
	sendSoon    bool // an heir sends before the fleet has agreed
}

type frame struct {
	at   int64
	from *member
	to   *member
	f    *pb.Frame
}

func newWorld(seed uint64, members, count, needed int, g Guards) *World {
	w := &World{rng: rand.New(rand.NewPCG(seed, 9)), state: duty.New(nil), count: count, needed: needed, guards: g, byName: map[string]*member{},
		every: 1, most: 250, share: 8, heirs: map[string]int{}}
	for i := range members {
		m := &member{w: w, n: i, name: fmt.Sprint("m", i), incarnation: uint64(i + 1)}
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

// duties are all duties, by name.
func (w *World) duties() []*pb.Duty {
	if v := w.state.Version(); v != w.version || w.list == nil {
		w.list, w.version = w.state.Duties(), v
	}
	return w.list
}

func (m *member) start() {
	m.up, m.boot, m.life, m.stopped = true, m.boot+1, m.life+1, 0
	if m.store == nil {
		m.store, m.kept = memStore{}, map[string]copies.CopyState{}
	}
	m.owner = copies.NewOwner(m.name, m.incarnation)
	m.holder = copies.NewHolder(m.store, 1<<20, 1, m.kept)
	m.holder.SkipChecks = m.w.guards.holder
	m.heirs, m.wait, m.calls, m.session, m.inbox = map[string]*copies.Takeover{}, nil, nil, 0, nil
	for i := range m.journal {
		m.journal[i].out = false
	}
}

func (m *member) lose() {
	m.journal, m.store, m.kept = nil, memStore{}, map[string]copies.CopyState{}
	m.incarnation += 100
	m.next = 0
}

func (m *member) runs() bool { return m.up && m.w.now >= m.stopped }

func (m *member) reaches() bool { return m.runs() && m.w.now >= m.cutUntil }

// valid reports whether its lease holds by its own count.
func (m *member) valid() bool { return m.session != 0 && m.w.now-m.sent < leaseHold }

func (m *member) mine() *pb.Duty {
	for _, d := range m.w.duties() {
		if d.Name == duty.JournalDuty(m.name) && d.Session == m.session && m.session != 0 {
			return d
		}
	}
	return nil
}

func (w *World) step() {
	w.now += tick
	w.steps++
	for _, m := range w.members {
		if m.reaches() && (w.steps+m.n)%w.every == 0 {
			m.fleet()
		}
	}
	for _, m := range w.members {
		if w.state.Session(m.last) != nil && w.now-m.contact > leaseWait {
			w.apply(&pb.Command{What: &pb.Command_Close{Close: &pb.Close{Session: m.last}}})
		}
	}
	for i := 0; i < len(w.frames); i++ {
		f := w.frames[i]
		if f.at > w.now {
			continue
		}
		w.frames = slices.Delete(w.frames, i, i+1)
		i--
		if !f.to.up || w.now < f.to.cutUntil || w.now < f.from.cutUntil {
			continue
		}
		if w.now < f.to.stopped {
			f.to.inbox = append(f.to.inbox, func() { f.to.receive(f) })
			continue
		}
		f.to.receive(f)
	}
	w.over = slices.DeleteFunc(w.over, func(p partnerEnd) bool {
		if p.at > w.now {
			return false
		}
		if i := slices.Index(p.l.out, p.from); i >= 0 {
			p.l.out = slices.Delete(p.l.out, i, i+1)
		}
		return true
	})
	for _, m := range w.members {
		if m.runs() {
			for _, do := range m.inbox {
				do()
			}
			m.inbox = nil
			m.work()
		}
	}
	if w.steps%w.every == 0 {
		w.judge(false)
	}
}

func (w *World) send(from *member, list []copies.Outgoing) {
	for _, o := range list {
		if w.loss && w.rng.IntN(4) == 0 {
			continue
		}
		if c := o.Frame.GetCopy(); c.GetReset_() {
			w.resets += int64(len(c.Records))
		} else if c != nil {
			w.copied += int64(len(c.Records))
		}
		if to := w.member(o.To); to != nil {
			w.frames = append(w.frames, frame{w.now + w.delay(), from, to, o.Frame})
		}
	}
}

// delay is how long a frame takes. Frames overtake each other, but where links are as the program's are.
func (w *World) delay() int64 {
	if w.inOrder {
		return int64(10 * time.Millisecond)
	}
	return w.rng.Int64N(int64(30 * time.Millisecond))
}

// fleet is a member's part in the agreement: its session, its own duty, and those of the owners that it keeps.
func (m *member) fleet() {
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
		m.session, m.last = r.Session, r.Session
	}
	m.contact, m.sent = w.now, w.now
	w.apply(&pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: m.session, Duty: duty.JournalDuty(m.name)}}})
	for _, d := range w.duties() {
		if d.Name != duty.JournalDuty(m.name) && slices.Contains(d.Holders, m.name) {
			w.apply(&pb.Command{What: &pb.Command_Acquire{Acquire: &pb.Acquire{Session: m.session, Duty: d.Name}}})
		}
	}
	m.own()
	m.inherit()
}

// own begins the epoch of its own journal, drops what was handed on, and sees to its holders.
func (m *member) own() {
	w, d := m.w, m.mine()
	if d == nil {
		m.owner.BeginEpoch(0)
		return
	}
	if m.owner.Epoch() != d.Token {
		if a := w.state.LastAdoption(m.name); a != nil && a.Incarnation == m.incarnation && !w.guards.keepAll {
			m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return e.num <= a.Upto })
			m.calls = slices.DeleteFunc(m.calls, func(c *attempt) bool { return c.num <= a.Upto })
			for i := range m.wait {
				m.wait[i].till = 0
			}
			m.next = max(m.next, a.Upto)
		}
		m.owner.BeginEpoch(d.Token)
	}
	m.owner.SetHolders(d.Holders)
	var there []placement.Member
	present := map[string]bool{}
	for _, p := range w.state.PresentMembers() {
		there = append(there, placement.Member{Name: p.Name, Zone: p.Zone})
		present[p.Name] = true
	}
	wanted := placement.Choose(m.name, m.zone, w.count, there)
	next := placement.NextStep(d.Holders, wanted, m.owner.Synced, func(n string) bool { return present[n] })
	if !slices.Equal(next, d.Holders) {
		w.apply(&pb.Command{What: &pb.Command_Keep{Keep: &pb.Keep{Session: m.session, Duty: d.Name, Token: d.Token, Holders: next}}})
		m.owner.SetHolders(next)
	}
}

// inherit takes over what lost owners had.
func (m *member) inherit() {
	w := m.w
	for _, d := range w.duties() {
		owner := d.Name[len(duty.JournalDuty("")):]
		if owner == m.name || d.Session != m.session {
			continue
		}
		h := m.heirs[owner]
		if h == nil || h.Epoch != d.Token {
			h = copies.NewTakeover(owner, d.Token, d.Holders, w.state.LastAdoption(owner))
			m.heirs[owner] = h
		}
		w.send(m, h.TakeOutgoing(w.now))
		stage := h.Advance(func(name string) bool {
			return slices.ContainsFunc(w.state.PresentMembers(), func(p *pb.Present) bool { return p.Name == name })
		})
		switch stage {
		case copies.Ready:
			m.bring(h, d)
		case copies.Done:
			w.apply(&pb.Command{What: &pb.Command_Release{Release: &pb.Release{Session: m.session, Duty: d.Name, Token: d.Token}}})
		}
	}
}

// bring puts what was found into the heir's own journal, copies it, and has the fleet agree.
func (m *member) bring(h *copies.Takeover, d *pb.Duty) {
	h.Stage = copies.Copying
	var records []byte
	var nums []uint64
	var keys []uint64
	for _, e := range live(h.LongestCopy.Records) {
		if e.pending != "" && (m.w.guards.dropMarked || duty.TakeoverByToken(m.w.state.LastAdoption(e.pending[len(duty.JournalDuty("")):]), e.token).GetBy() != h.Owner) {
			continue
		}
		if e.sure && !m.w.guards.noAgain {
			keys = append(keys, m.w.msgs[e.msg].key())
		}
		if m.w.msgs[e.msg].unsafe && !h.Complete(m.w.needed) && !m.w.guards.sendUnknown {
			e.started = true // it may have run: who knows of it is away
		}
		m.next++
		e.num, e.pending, e.token = m.next, d.Name, d.Token
		if m.w.guards.sendSoon {
			e.pending = ""
		}
		m.journal = append(m.journal, e)
		nums = append(nums, e.num)
		records = append(records, dump([]entry{e})...)
	}
	life := m.life
	m.await(m.append(records), func(kept bool) {
		if m.life != life {
			return
		}
		if !kept || m.session != d.Session { // it begins again
			m.discard(nums)
			delete(m.heirs, h.Owner)
			return
		}
		r := m.w.apply(&pb.Command{What: &pb.Command_Adopt{Adopt: &pb.Adopt{Session: m.session, Duty: d.Name, Token: d.Token, Incarnation: h.LongestCopy.Incarnation, Upto: h.LongestCopy.Upto, Keys: keys}}})
		if r.Err != nil {
			m.discard(nums)
			delete(m.heirs, h.Owner)
			return
		}
		m.w.adopted++
		m.activate(nums, r.Keys)
		h.Stage = copies.Done
	})
}

// activate makes messages that were taken over this member's own. Those that were handed in again elsewhere end.
func (m *member) activate(nums, elsewhere []uint64) {
	for _, num := range nums {
		e := m.find(num)
		if e == nil || e.pending == "" && !m.w.guards.sendSoon {
			continue
		}
		e.pending = ""
		m.w.heirs[m.name]++
		m.append(record(opOwn, e))
		if l := m.w.msgs[e.msg]; slices.Contains(elsewhere, l.key()) {
			m.w.notice(l, m.name+" leaves it to another")
			m.end(num)
		}
	}
}

// notice ends a message at the platform.
func (w *World) notice(l *ledger, why string) {
	l.ended++
	l.notices++
	l.deliverAt = append(l.deliverAt, why)
}

func (m *member) discard(nums []uint64) {
	var records []byte
	for _, e := range m.journal {
		if slices.Contains(nums, e.num) {
			records = append(records, record(opEnd, &e)...)
		}
	}
	m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return slices.Contains(nums, e.num) })
	m.append(records)
}

// append writes records to the journal's copies.
func (m *member) append(records []byte) uint64 { return m.owner.Append(m.w.now, records, m.next, nil) }

func (m *member) await(seq uint64, do func(kept bool)) {
	m.wait = append(m.wait, waiting{seq, m.w.now + patience, do})
}

// settled takes out the pending adoptions that an earlier life of this member left: the fleet knows what came of them.
func (m *member) settled() {
	for i := 0; i < len(m.journal); i++ {
		e := &m.journal[i]
		if e.pending == "" {
			continue
		}
		owner := e.pending[len(duty.JournalDuty("")):]
		if a := duty.TakeoverByToken(m.w.state.LastAdoption(owner), e.token); a.GetBy() == m.name {
			m.activate([]uint64{e.num}, a.Elsewhere)
			i = -1 // it may have ended: from the start
		} else if h := m.heirs[owner]; h == nil || h.Epoch != e.token {
			m.append(record(opEnd, e))
			m.journal = slices.Delete(m.journal, i, i+1)
			i--
		}
	}
}

func (m *member) receive(f frame) {
	w := m.w
	switch x := f.f.What.(type) {
	case *pb.Frame_Copy:
		if a := m.holder.HandleCopy(w.now, x.Copy); a != nil {
			k, _ := m.holder.State(x.Copy.Owner)
			m.kept[x.Copy.Owner] = k
			w.send(m, []copies.Outgoing{{To: f.from.name, Frame: &pb.Frame{What: &pb.Frame_Copied{Copied: a}}}})
		}
	case *pb.Frame_Copied:
		m.owner.HandleCopied(w.now, f.from.name, x.Copied)
	case *pb.Frame_Seal:
		if a := m.holder.HandleSeal(w.now, x.Seal); a != nil {
			k, _ := m.holder.State(x.Seal.Owner)
			m.kept[x.Seal.Owner] = k
			w.send(m, []copies.Outgoing{{To: f.from.name, Frame: &pb.Frame{What: &pb.Frame_Sealed{Sealed: a}}}})
		}
	case *pb.Frame_Sealed:
		if h := m.heirs[x.Sealed.Owner]; h != nil {
			h.HandleSealed(w.now, f.from.name, x.Sealed)
		}
	}
}

// work is a sender's step: what waits for copies goes on or is given up, calls end, and calls begin.
func (m *member) work() {
	w := m.w
	if m.reaches() && m.session != 0 {
		m.settled()
	}
	committed := m.owner.Committed(w.needed)
	waits := m.wait
	m.wait = nil
	for _, x := range waits {
		switch {
		case committed >= x.seq && m.valid():
			x.do(true)
		case w.now > x.till:
			x.do(false)
		default:
			m.wait = append(m.wait, x)
		}
	}
	for i := 0; i < len(m.calls); i++ {
		if c := m.calls[i]; w.now >= c.ends {
			m.calls = slices.Delete(m.calls, i, i+1)
			i--
			m.ended(c)
		}
	}
	if m.valid() && m.owner.Epoch() != 0 || w.guards.noLease {
		var nums []uint64
		for _, e := range m.journal {
			nums = append(nums, e.num)
		}
		for _, num := range nums {
			if e := m.find(num); e != nil {
				m.try(e)
			}
		}
	}
	w.send(m, m.owner.TakeOutgoing(w.now, func() []byte { return dump(m.journal) }))
}

// try begins an attempt of a message that is held, or ends one that may not be repeated.
func (m *member) try(e *entry) {
	w := m.w
	l := w.msgs[e.msg]
	if e.out || e.pending != "" || slices.ContainsFunc(m.wait, func(x waiting) bool { return x.seq == 0 }) || e.token == 0 && !e.sure && m.unheard(e) {
		return
	}
	if e.started && l.unsafe || !e.sure && e.token != 0 && !w.guards.noConfirm { // it may have run, or was refused: it ends at once
		w.notice(l, m.name+" gave it up")
		m.end(e.num)
		return
	}
	e.started, e.out = true, true
	seq := m.append(record(opStart, e))
	num, life := e.num, m.life
	begin := func(kept bool) {
		k := m.find(num)
		if m.life != life || k == nil {
			return
		}
		if !kept {
			k.out, k.started = false, false
			m.append(record(opTaken, k))
			return
		}
		l.same.out = append(l.same.out, m.name)
		l.effects++
		if l.same != l {
			l.same.effects++
		}
		if len(l.same.out) > 1 {
			w.bad("message %d: attempts of %v out at once", k.msg, l.same.out)
		}
		m.calls = append(m.calls, &attempt{num, w.now + callTakes})
		w.over = append(w.over, partnerEnd{w.now + callTakes, l.same, m.name})
	}
	if l.unsafe && !w.guards.startSoon {
		m.await(seq, begin)
	} else {
		begin(true)
	}
}

// unheard reports whether the client of a message has not heard yet that it was taken on here.
func (m *member) unheard(e *entry) bool { return !m.w.guards.answerSoon }

func (m *member) find(num uint64) *entry {
	for i := range m.journal {
		if m.journal[i].num == num {
			return &m.journal[i]
		}
	}
	return nil
}

func (m *member) end(num uint64) {
	if e := m.find(num); e != nil {
		m.append(record(opEnd, e))
		m.journal = slices.DeleteFunc(m.journal, func(e entry) bool { return e.num == num })
	}
}

// ended is the end of a call: many fail, so that something is always held.
func (m *member) ended(c *attempt) {
	e := m.find(c.num)
	if e == nil {
		return
	}
	l := m.w.msgs[e.msg]
	e.out = false
	if (m.w.rng.IntN(4) < 3 || m.w.down) && !l.unsafe { // it failed, and may have run
		return
	}
	l.ended++
	l.deliverAt = append(l.deliverAt, m.name)
	m.end(e.num)
}

// hand hands a message in at a member.
func (w *World) hand(m *member, unsafe bool) {
	if !m.runs() || !m.valid() || m.owner.Epoch() == 0 || len(w.msgs) > w.most {
		return
	}
	l := &ledger{unsafe: unsafe}
	l.same = l
	w.take(m, l)
}

// again hands a message in again whose sender is lost with its disk, as its client may: not one that may have run
// where its class forbids repeats.
func (w *World) again(m *member) {
	if !m.reaches() || !m.valid() || m.owner.Epoch() == 0 || len(w.msgs) > w.most {
		return
	}
	for _, l := range w.msgs {
		was := w.member(l.at)
		if was.incarnation == uint64(l.life) { // its disk is there: nobody hands it in again
			continue
		}
		if !l.taken || l.again || l.ended > 0 || was == m || l.unsafe && l.same.effects > 0 || w.rng.IntN(3) > 0 {
			continue
		}
		next := &ledger{unsafe: l.unsafe, same: l.same}
		if !w.guards.noAgain {
			r := w.apply(&pb.Command{What: &pb.Command_Again{Again: &pb.Again{Session: m.session, Keys: []uint64{l.key()}}}})
			if r.Err != nil {
				return
			}
			if len(r.Keys) > 0 { // an heir has it: the client hears that
				l.again = true
				return
			}
		}
		l.again = true
		w.take(m, next)
		return
	}
}

// key names a message over all its tries.
func (l *ledger) key() uint64 { return l.same.number }

// take takes a message on at a member.
func (w *World) take(m *member, l *ledger) {
	l.at, l.life, l.number = m.name, int(m.incarnation), uint64(len(w.msgs)+1)
	w.msgs = append(w.msgs, l)
	m.next++
	e := entry{num: m.next, msg: len(w.msgs) - 1}
	m.journal = append(m.journal, e)
	seq := m.append(record(opTaken, &e))
	life := m.life
	answer := func(kept bool) {
		if m.life != life || m.find(e.num) == nil {
			return
		}
		if kept {
			l.taken = true
			m.find(e.num).sure = true
			m.append(record(opConfirm, &e))
		} else {
			l.refused = true
			m.end(e.num)
		}
	}
	if w.guards.answerSoon {
		answer(true)
	} else {
		m.await(seq, answer)
	}
}

func (w *World) bad(format string, args ...any) {
	if w.breach == "" {
		w.breach = fmt.Sprintf("%v: ", time.Duration(w.now)) + fmt.Sprintf(format, args...)
	}
}

// judge holds the ledgers side by side. At the end, every message that was taken on has had its final answer.
func (w *World) judge(end bool) {
	for i, l := range w.msgs {
		switch {
		case l.unsafe && l.same == l && l.effects > 1:
			w.bad("message %d may not be repeated and took effect %d times (%v)", i, l.effects, l.deliverAt)
		case l.refused && l.effects > 0:
			w.bad("message %d was refused and sent", i)
		case l.notices > 1+w.twice || l.unsafe && l.ended > 1+l.notices:
			// One that was delivered may be given up once as well, by an heir that can't know: the platform takes
			// a notice about what is over as harmless, as it does after a crash between an answer and its record.
			w.bad("message %d has %d final answers (%v)", i, l.ended, l.deliverAt)
		case end && l.taken && l.ended == 0:
			w.bad("message %d was taken on and lost", i)
		}
	}
}

// faulty plays a run with one fault at a time, each of which is over before the next, and judges it.
func (w *World) play(faults []Fault) {
	at := int64(time.Second)
	for _, f := range faults {
		for w.now < at {
			w.traffic()
			w.step()
		}
		m := w.members[f.who%len(w.members)]
		d := int64(f.length)
		switch f.kind {
		case 0, 1: // the machine is lost with its disk, and a new one comes
			if m.up {
				m.up = false
				m.gone()
				m.lose()
			}
		case 2:
			m.up = false
			m.gone()
		case 3:
			m.stopped = w.now + d
		case 4:
			m.cutUntil = w.now + d
		case 5:
			w.loss = true
		}
		end := w.now + d
		for w.now < end {
			w.traffic()
			w.step()
		}
		w.loss = false
		if !m.up {
			m.start()
		}
		at = w.now + int64(2500*time.Millisecond)
		if w.breach != "" {
			return
		}
	}
	for end := w.now + int64(6*time.Second); w.now < end && w.breach == ""; {
		w.step()
	}
	w.judge(true)
}

// gone ends the attempts of a process that is no more: its connections are closed.
func (m *member) gone() {
	for _, l := range m.w.msgs {
		l.out = slices.DeleteFunc(l.out, func(n string) bool { return n == m.name })
	}
}

func (w *World) traffic() {
	if w.rng.IntN(w.share) == 0 {
		w.hand(w.members[w.rng.IntN(len(w.members))], w.rng.IntN(2) == 0)
	}
	if w.rng.IntN(4) == 0 {
		w.again(w.members[w.rng.IntN(len(w.members))])
	}
}

type Fault struct {
	kind, who int
	length    time.Duration
}
