// Package model simulates the voters and sessions of a fleet with the code of the real processes: on one goroutine,
// with a drifting clock for each process, links that delay, lose, repeat and reorder frames, processes that are
// stopped, killed and restarted, and disks that lose data that was not synced. After every event it checks that no two
// members hold a duty at once, and at every action on a resource, which refuses old tokens, that no two members acted
// on it with one token.
//
// It is for tests and measurements; the program does not use it. Elections draw their time-outs from the Raft library's
// own generator, which cannot be seeded: a seed reproduces a schedule of faults exactly, but not the times of elections
// in it.
package model

import (
	"container/heap"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"time"

	"sliptide/internal/fleet/disk"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/session"
	"sliptide/internal/fleet/voter"
)

// Options configure a World.
type Options struct {
	Voters, Members   int // Members: those that do not vote
	Duties            int
	Lease             lease.Params
	ElectionTimeout   time.Duration
	Drift             float64 // the greatest fraction by which clocks run fast or slow
	Seed              uint64
	SkipVoterChecks   voter.Skip
	SkipSessionChecks session.Skip
	LoseSyncedData    bool // disables a safety check: a crash also loses the end of a synced log
	AcceptOldTokens   bool // disables a safety check: the resource accepts any token
}

// FaultKind is a kind of fault.
type FaultKind int

// The kinds of faults. Proc, Peer and Duration are fields of Fault.
const (
	Kill        FaultKind = iota // the process is killed and restarted after Duration
	KillAndWipe                  // as Kill, and its disk is lost
	Stop                         // the process is stopped (SIGSTOP) for Duration, its connections stay open
	Cut                          // no frames pass between Proc and Peer
	CutOneWay                    // no frames pass from Proc to Peer
	Isolate                      // no frames pass between Proc and all others
	Loss                         // a third of all frames is lost, a tenth is repeated
	BadDisk                      // the disk of Proc refuses all writes
	KillAll                      // every voter is killed and restarted up to 1 s after Duration
	HandOver                     // Proc requests the hand-over of a duty to Peer, as an operator does
	FaultKinds                   // the number of kinds
)

// String returns the name of the fault.
func (k FaultKind) String() string {
	return [...]string{"kill", "kill with disk", "stop", "cut", "one-way cut", "cut off", "loss", "bad disk", "kill all voters", "hand-over", "?"}[min(k, FaultKinds)]
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Proc     int // index of a process, modulo their number
	Peer     int // the same; of a HandOver also the index of the duty, modulo the number of duties
}

// World is a fleet in the model.
type World struct {
	o             Options
	rng           *rand.Rand
	now           int64
	queue         events
	seq           int
	processes     []*process
	names         map[string]*process
	cuts          map[[2]int]int // number of active cuts, by sender and receiver
	lossFaults    int
	resources     map[string]*resource
	Violation     string // the first violation of an invariant; empty: none
	FramesSent    int    // number of frames sent
	Grants        int    // number of tokens with which a member acted
	LeaderChanges int    // number of times that a voter became leader
	// OnVoterEvent, if set, is called by a voter with each event that it logs.
	OnVoterEvent func(voter int, what string)
	heldBy       map[string]int // index of the holder, by duty; -1: none; not listed: none so far
}

type resource struct {
	token  uint64
	holder string
}

type process struct {
	world        *World
	index        int
	name         string
	clockRate    float64 // of its clock against the simulated time
	clockOffset  int64
	disk         *memDisk
	voter        *voter.Voter
	session      *session.Session
	up           bool
	run          int             // number of the process run: each start begins a new one
	stoppedUntil int64           // stopped until this time
	inbox        []receivedFrame // frames that arrive while it is stopped
}

type receivedFrame struct {
	from  string
	frame *pb.Frame
}

type event struct {
	at  int64
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// New returns a world with all processes started.
func New(o Options) *World {
	w := &World{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), names: map[string]*process{}, cuts: map[[2]int]int{}, resources: map[string]*resource{},
		heldBy: map[string]int{}}
	for i := range o.Voters + o.Members {
		p := &process{world: w, index: i, name: fmt.Sprintf("n%03d", i), clockRate: 1 + o.Drift*(2*w.rng.Float64()-1),
			clockOffset: w.rng.Int64N(1e15), disk: newMemDisk()}
		w.processes = append(w.processes, p)
		w.names[p.name] = p
	}
	for _, p := range w.processes {
		p.start()
	}
	for d := range o.Duties {
		w.resources[dutyName(d)] = &resource{}
	}
	return w
}

func dutyName(d int) string { return fmt.Sprintf("duty/%d", d) }

func (w *World) voters() (names []string) {
	for _, p := range w.processes[:w.o.Voters] {
		names = append(names, p.name)
	}
	return names
}

func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+int64(d), do) }

// Schedule adds faults to the schedule.
func (w *World) Schedule(list []Fault) {
	for _, f := range list {
		w.at(int64(f.At), func() { w.fault(f) })
	}
}

// Run simulates until that time or the first violation.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.Violation == "" && w.queue[0].at <= int64(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.checkHolders()
	}
}

func (p *process) localTime() int64 { return p.clockOffset + int64(float64(p.world.now)*p.clockRate) }

func (p *process) start() {
	p.up, p.run, p.stoppedUntil, p.inbox = true, p.run+1, 0, nil
	id := &pb.Identity{Incarnation: uint64(p.index+1)<<32 | uint64(p.disk.wipes), Boot: uint64(p.run)}
	p.voter = nil
	if p.index < p.world.o.Voters {
		log, err := disk.Open(p.disk, nil, p.name)
		if err != nil {
			p.up = false
			p.world.after(time.Second, p.start)
			return
		}
		id = log.Identity()
		p.voter, err = voter.New(voter.Options{Name: p.name, Voters: p.world.voters(), MinVoters: p.world.o.Voters, Lease: p.world.o.Lease,
			ElectionTimeout: p.world.o.ElectionTimeout, Log: log, Skip: p.world.o.SkipVoterChecks, OnEvent: func(what string, _ error) {
				if what == voter.EventBecameLeader {
					p.world.LeaderChanges++
				}
				if p.world.OnVoterEvent != nil {
					p.world.OnVoterEvent(p.index, what)
				}
			}}, p.localTime())
		if err != nil {
			p.world.Violation = "voter failed to start: " + err.Error()
			return
		}
	}
	p.session = session.New(session.Options{Member: p.name, Incarnation: id.Incarnation, Boot: id.Boot, Voters: p.world.voters(), Lease: p.world.o.Lease,
		Rand: rand.New(rand.NewPCG(p.world.rng.Uint64(), 2)), Skip: p.world.o.SkipSessionChecks})
	for d := range p.world.o.Duties {
		p.session.Request(dutyName(d), "")
	}
	run := p.run
	p.world.after(time.Duration(p.world.rng.Int64N(int64(p.world.o.ElectionTimeout/20))), func() { p.tick(run) })
	p.world.after(time.Duration(p.world.rng.Int64N(int64(100*time.Millisecond))), func() { p.act(run) })
}

func (p *process) tick(run int) {
	if !p.up || p.run != run {
		return
	}
	if p.world.now < p.stoppedUntil {
		p.world.at(p.stoppedUntil, func() { p.tick(run) })
		return
	}
	for _, in := range p.inbox {
		p.receive(in)
	}
	p.inbox = nil
	if p.voter != nil {
		p.voter.Tick(p.localTime())
	}
	p.session.Tick(p.localTime())
	p.flush()
	p.world.after(p.world.o.ElectionTimeout/20, func() { p.tick(run) })
}

// act models a holder's use of a duty: the process checks its lease, and its action reaches the resource a little
// later, or much later if the process is stopped in between.
func (p *process) act(run int) {
	if !p.up || p.run != run {
		return
	}
	p.world.after(time.Duration(p.world.rng.Int64N(int64(80*time.Millisecond))), func() { p.act(run) })
	if p.world.now < p.stoppedUntil {
		return
	}
	for d := range p.world.o.Duties {
		name := dutyName(d)
		if t := p.session.Token(name, p.localTime()); t != 0 {
			p.world.after(time.Duration(p.world.rng.Int64N(int64(5*time.Millisecond))), func() { p.reachResource(run, name, t) })
		}
	}
}

func (p *process) reachResource(run int, name string, token uint64) {
	if p.world.now < p.stoppedUntil { // stopped during the action, which continues when the process is resumed
		p.world.at(p.stoppedUntil, func() { p.reachResource(run, name, token) })
		return
	}
	r := p.world.resources[name]
	switch {
	case token < r.token && p.world.o.AcceptOldTokens:
		p.world.recordViolation("%s acted on %s with token %d after %s had with %d", p.name, name, token, r.holder, r.token)
	case token < r.token: // refused
	case token == r.token && r.holder != p.name:
		p.world.recordViolation("%s and %s acted on %s with one token, %d", p.name, r.holder, name, token)
	default:
		if token > r.token {
			p.world.Grants++
		}
		r.token, r.holder = token, p.name
	}
}

func (w *World) recordViolation(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = time.Duration(w.now).Round(time.Millisecond).String() + ": " + fmt.Sprintf(format, args...)
	}
}

// checkHolders checks that no duty has two holders now. Stopped processes count as holders.
func (w *World) checkHolders() {
	for d := range w.o.Duties {
		name := dutyName(d)
		holder := -1
		for _, p := range w.processes {
			if !p.up || p.session.Token(name, p.localTime()) == 0 {
				continue
			}
			if holder >= 0 {
				w.recordViolation("%s and %s hold %s at once", w.processes[holder].name, p.name, name)
			}
			holder = p.index
		}
		if _, known := w.heldBy[name]; holder >= 0 || known {
			w.heldBy[name] = holder
		}
	}
}

// AllHeld reports whether every duty has a holder.
func (w *World) AllHeld() bool {
	for d := range w.o.Duties {
		if h, known := w.heldBy[dutyName(d)]; !known || h < 0 {
			return false
		}
	}
	return true
}

func (p *process) receive(in receivedFrame) {
	switch f := in.frame; {
	case f.GetNews() != nil, f.GetAnswer() != nil && f.GetAnswer().Id != 0:
		p.session.Receive(in.from, f, p.localTime())
	case p.voter != nil:
		p.voter.Receive(in.from, f, p.localTime())
	}
}

// flush sends the outgoing frames of the process.
func (p *process) flush() {
	for {
		var out []session.Outgoing
		out = append(out, p.session.TakeOutgoing()...)
		if p.voter != nil {
			for _, o := range p.voter.TakeOutgoing() {
				out = append(out, session.Outgoing(o))
			}
		}
		if len(out) == 0 {
			return
		}
		for _, o := range out {
			p.world.send(p, p.world.names[o.To], o.Frame)
		}
	}
}

func (w *World) send(from, to *process, f *pb.Frame) {
	if to == nil {
		return
	}
	w.FramesSent++
	delay := time.Duration(w.rng.Int64N(int64(4 * time.Millisecond)))
	copies := 1
	if from != to {
		if w.cuts[[2]int{from.index, to.index}] > 0 || w.lossFaults > 0 && w.rng.IntN(3) == 0 {
			return
		}
		if w.lossFaults > 0 {
			delay += time.Duration(w.rng.Int64N(int64(300 * time.Millisecond)))
			if w.rng.IntN(10) == 0 {
				copies = 2
			}
		}
	}
	for range copies {
		w.after(delay, func() { w.deliver(from, to, f) })
		delay += time.Duration(w.rng.Int64N(int64(time.Second)))
	}
}

func (w *World) deliver(from, to *process, f *pb.Frame) {
	if !to.up {
		return
	}
	if w.now < to.stoppedUntil { // the kernel buffers the frame
		if len(to.inbox) < 2000 {
			to.inbox = append(to.inbox, receivedFrame{from.name, f})
		}
		return
	}
	to.receive(receivedFrame{from.name, f})
	to.flush()
}

func (w *World) fault(f Fault) {
	p, q := w.processes[f.Proc%len(w.processes)], w.processes[f.Peer%len(w.processes)]
	switch f.Kind {
	case Kill:
		p.kill(f.Duration, false)
	case KillAndWipe:
		p.kill(f.Duration, true)
	case KillAll:
		for _, v := range w.processes[:w.o.Voters] {
			v.kill(f.Duration+time.Duration(w.rng.Int64N(int64(time.Second))), false)
		}
	case Stop:
		p.stoppedUntil = max(p.stoppedUntil, w.now+int64(f.Duration))
	case Cut:
		w.cut(p, q, f.Duration)
		w.cut(q, p, f.Duration)
	case CutOneWay:
		w.cut(p, q, f.Duration)
	case Isolate:
		for _, o := range w.processes {
			w.cut(p, o, f.Duration)
			w.cut(o, p, f.Duration)
		}
	case Loss:
		w.lossFaults++
		w.after(f.Duration, func() { w.lossFaults-- })
	case BadDisk:
		p.disk.writeFaults++
		w.after(f.Duration, func() { p.disk.writeFaults-- })
	case HandOver:
		if w.o.Duties > 0 && p.up {
			c := &pb.Command{What: &pb.Command_HandOver{HandOver: &pb.HandOver{Duty: dutyName(f.Peer % w.o.Duties), To: q.name}}}
			p.session.Do(&pb.Ask{Command: c}, 2*time.Second, func(*pb.Answer, error) {})
		}
	}
}

func (w *World) cut(p, q *process, d time.Duration) {
	if p == q {
		return
	}
	k := [2]int{p.index, q.index}
	w.cuts[k]++
	w.after(d, func() { w.cuts[k]-- })
}

// kill kills a process. It does not wipe the disk while another voter is down or without a vote, since the fleet does
// not tolerate the loss of a majority's disks.
func (p *process) kill(d time.Duration, wipe bool) {
	if !p.up {
		return
	}
	p.up = false
	if wipe && !p.world.otherVoterAway(p) {
		p.disk.wipe()
	}
	p.disk.crash(p.world.o.LoseSyncedData, p.world.rng)
	run := p.run
	p.world.after(d, func() {
		if !p.up && p.run == run {
			p.start()
		}
	})
}

// otherVoterAway reports whether another voter is down or has no vote, as after the loss of its disk.
func (w *World) otherVoterAway(p *process) bool {
	if p.index >= w.o.Voters {
		return false
	}
	for _, v := range w.processes[:w.o.Voters] {
		if v == p {
			continue
		}
		if !v.up || v.voter == nil || !v.voter.HasVote() {
			return true
		}
	}
	return false
}

// memDisk is a disk in memory that loses unsynced data in a crash and can refuse writes. Renaming a file also syncs it.
type memDisk struct {
	files       map[string][]byte
	synced      map[string][]byte // the files after a crash
	writeFaults int
	wipes       int
}

func newMemDisk() *memDisk { return &memDisk{files: map[string][]byte{}, synced: map[string][]byte{}} }

func (d *memDisk) wipe() {
	d.files, d.synced = map[string][]byte{}, map[string][]byte{}
	d.wipes++
}

func (d *memDisk) crash(loseSynced bool, rng *rand.Rand) {
	d.files = map[string][]byte{}
	for name, b := range d.synced {
		if files := d.files; loseSynced && name == "fleet.log" && len(b) > 400 {
			files[name] = append([]byte(nil), b[:len(b)-rng.IntN(len(b)-400)]...)
			continue
		}
		d.files[name] = append([]byte(nil), b...)
	}
}

func (d *memDisk) Read(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return append([]byte(nil), b...), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memDisk) Write(name string, data []byte, sync bool) error {
	if d.writeFaults > 0 {
		return fs.ErrPermission
	}
	d.files[name] = append([]byte(nil), data...)
	if sync {
		d.synced[name] = append([]byte(nil), data...)
	}
	return nil
}

func (d *memDisk) Append(name string, data []byte, sync bool) error {
	if d.writeFaults > 0 {
		return fs.ErrPermission
	}
	d.files[name] = append(d.files[name], data...)
	if sync {
		d.synced[name] = append([]byte(nil), d.files[name]...)
	}
	return nil
}

func (d *memDisk) Rename(from, to string) error {
	if d.writeFaults > 0 {
		return fs.ErrPermission
	}
	d.files[to], d.synced[to] = d.files[from], d.synced[from]
	delete(d.files, from)
	delete(d.synced, from)
	return nil
}

func (d *memDisk) Link(from, to string) error { return fs.ErrInvalid }

func (d *memDisk) Remove(name string) error {
	delete(d.files, name)
	delete(d.synced, name)
	return nil
}

func (d *memDisk) Size(name string) int64 { return int64(len(d.files[name])) }

func (d *memDisk) SyncDir() error { return nil }
