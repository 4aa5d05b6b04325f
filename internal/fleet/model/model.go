// Package model runs the voters and sessions of a fleet, the very code of the processes, in a world of its own: one
// goroutine, a clock for each process that drifts, links that delay, lose, repeat and reorder, processes that are
// stopped, killed and started again, disks that lose what was not synced. It judges after every event whether two
// members hold a duty at once, and whether a resource that refuses old tokens was ever acted on by two with one.
//
// It is for tests and figures; nothing of the program uses it. Elections draw their time-outs from the Raft
// library's own generator, which no seed reaches: a schedule of faults is repeated to the letter by its seed, the
// moment of an election within it is not.
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

// Options are a world.
type Options struct {
	Voters, Members int // members beside the voters
	Duties          int
	Terms           lease.Params
	ElectionTimeout time.Duration
	Drift           float64 // by which clocks run fast or slow at most
	Seed            uint64
	BreakVoter      voter.Skip
	BreakSession    session.Break
	LoseSyncedData  bool // a guard taken out: what was synced is lost in a crash, too
	AcceptOldTokens bool // a guard taken out: the resource takes any token
}

// FaultKind is what goes wrong.
type FaultKind int

// The faults.
const (
	Kill        FaultKind = iota // the process ends and starts again after For
	KillAndWipe                  // with its disk
	Stop                         // it is stopped for For (SIGSTOP), its connections stay
	Cut                          // it and With do not hear each other
	CutOneWay                    // it hears With, which does not hear it
	Isolate                      // it is cut off from everybody
	Loss                         // a third of all frames is lost, a tenth repeated
	BadDisk                      // its disk refuses all writes
	KillAll                      // every voter ends and starts again
	HandOver                     // an operator asks for a hand-over
	FaultKinds
)

// String is the fault in a word.
func (k FaultKind) String() string {
	return [...]string{"kill", "kill with disk", "stop", "cut", "one-way cut", "cut off", "loss", "bad disk", "kill all voters", "hand-over", "?"}[min(k, FaultKinds)]
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Proc     int
	Peer     int
}

// World is a fleet in the model.
type World struct {
	o             Options
	rng           *rand.Rand
	now           int64
	queue         events
	seq           int
	procs         []*proc
	names         map[string]*proc
	cuts          map[[2]int]int // from, to: cuts that hold
	loss          int
	res           map[string]*resource
	Violation     string // the first rule that was broken; empty: none
	FramesSent    int    // sent
	Grants        int    // tokens that were acted with
	LeaderChanges int    // times that a voter began to lead
	// Noted, if set, is told what a voter notes, while it notes it.
	OnNote func(voter int, what string)
	heldBy map[string]int
}

type resource struct {
	token  uint64
	holder string
}

type proc struct {
	w       *World
	n       int
	name    string
	rate    float64
	offset  int64
	disk    *memDisk
	voter   *voter.Voter
	session *session.Session
	up      bool
	epoch   int       // of the process: a start is a new one
	stopped int64     // until
	inbox   []inFrame // while it is stopped
}

type inFrame struct {
	from string
	f    *pb.Frame
}

type event struct {
	at  int64
	seq int
	do  func()
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
	w := &World{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), names: map[string]*proc{}, cuts: map[[2]int]int{}, res: map[string]*resource{},
		heldBy: map[string]int{}}
	for i := range o.Voters + o.Members {
		p := &proc{w: w, n: i, name: fmt.Sprintf("n%03d", i), rate: 1 + o.Drift*(2*w.rng.Float64()-1), offset: w.rng.Int64N(1e15), disk: newMemDisk()}
		w.procs = append(w.procs, p)
		w.names[p.name] = p
	}
	for _, p := range w.procs {
		p.start()
	}
	for d := range o.Duties {
		w.res[dutyName(d)] = &resource{}
	}
	return w
}

func dutyName(d int) string { return fmt.Sprintf("duty/%d", d) }

func (w *World) voters() (names []string) {
	for _, p := range w.procs[:w.o.Voters] {
		names = append(names, p.name)
	}
	return names
}

func (w *World) at(t int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+int64(d), do) }

// Schedule adds the faults.
func (w *World) Schedule(list []Fault) {
	for _, f := range list {
		w.at(int64(f.At), func() { w.fault(f) })
	}
}

// Run plays until that time or the first breach.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.Violation == "" && w.queue[0].at <= int64(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.judge()
	}
}

func (p *proc) local() int64 { return p.offset + int64(float64(p.w.now)*p.rate) }

func (p *proc) start() {
	p.up, p.epoch, p.stopped, p.inbox = true, p.epoch+1, 0, nil
	id := &pb.Identity{Incarnation: uint64(p.n+1)<<32 | uint64(p.disk.lost), Boot: uint64(p.epoch)}
	p.voter = nil
	if p.n < p.w.o.Voters {
		log, err := disk.Open(p.disk, nil, p.name)
		if err != nil {
			p.up = false
			p.w.after(time.Second, p.start)
			return
		}
		id = log.Identity()
		p.voter, err = voter.New(voter.Options{Name: p.name, Voters: p.w.voters(), MinVoters: p.w.o.Voters, Lease: p.w.o.Terms, ElectionTimeout: p.w.o.ElectionTimeout,
			Log: log, Skip: p.w.o.BreakVoter, OnEvent: func(what string, _ error) {
				if what == voter.EventLeading {
					p.w.LeaderChanges++
				}
				if p.w.OnNote != nil {
					p.w.OnNote(p.n, what)
				}
			}}, p.local())
		if err != nil {
			p.w.Violation = "a voter does not start: " + err.Error()
			return
		}
	}
	p.session = session.New(session.Options{Member: p.name, Incarnation: id.Incarnation, Boot: id.Boot, Voters: p.w.voters(), Terms: p.w.o.Terms,
		Rand: rand.New(rand.NewPCG(p.w.rng.Uint64(), 2)), Break: p.w.o.BreakSession})
	for d := range p.w.o.Duties {
		p.session.Request(dutyName(d), "")
	}
	epoch := p.epoch
	p.w.after(time.Duration(p.w.rng.Int64N(int64(p.w.o.ElectionTimeout/20))), func() { p.tick(epoch) })
	p.w.after(time.Duration(p.w.rng.Int64N(int64(100*time.Millisecond))), func() { p.act(epoch) })
}

func (p *proc) tick(epoch int) {
	if !p.up || p.epoch != epoch {
		return
	}
	if p.w.now < p.stopped {
		p.w.at(p.stopped, func() { p.tick(epoch) })
		return
	}
	for _, in := range p.inbox {
		p.receive(in)
	}
	p.inbox = nil
	if p.voter != nil {
		p.voter.Tick(p.local())
	}
	p.session.Tick(p.local())
	p.flush()
	p.w.after(p.w.o.ElectionTimeout/20, func() { p.tick(epoch) })
}

// act does what a holder of a duty does: it looks at its lease, and what it then does arrives somewhat later, or
// much later if it is stopped in between.
func (p *proc) act(epoch int) {
	if !p.up || p.epoch != epoch {
		return
	}
	p.w.after(time.Duration(p.w.rng.Int64N(int64(80*time.Millisecond))), func() { p.act(epoch) })
	if p.w.now < p.stopped {
		return
	}
	for d := range p.w.o.Duties {
		name := dutyName(d)
		if t := p.session.Token(name, p.local()); t != 0 {
			p.w.after(time.Duration(p.w.rng.Int64N(int64(5*time.Millisecond))), func() { p.arrive(epoch, name, t) })
		}
	}
}

func (p *proc) arrive(epoch int, name string, token uint64) {
	if p.w.now < p.stopped { // stopped in the middle of the act: it goes on when it is resumed
		p.w.at(p.stopped, func() { p.arrive(epoch, name, token) })
		return
	}
	r := p.w.res[name]
	switch {
	case token < r.token && p.w.o.AcceptOldTokens:
		p.w.breach("%s acted on %s with token %d after %s had with %d", p.name, name, token, r.holder, r.token)
	case token < r.token: // refused
	case token == r.token && r.holder != p.name:
		p.w.breach("%s and %s acted on %s with one token, %d", p.name, r.holder, name, token)
	default:
		if token > r.token {
			p.w.Grants++
		}
		r.token, r.holder = token, p.name
	}
}

func (w *World) breach(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = time.Duration(w.now).Round(time.Millisecond).String() + ": " + fmt.Sprintf(format, args...)
	}
}

// judge looks for two holders of a duty at this moment, of which a stopped one counts, too.
func (w *World) judge() {
	for d := range w.o.Duties {
		name := dutyName(d)
		holder := -1
		for _, p := range w.procs {
			if !p.up || p.session.Token(name, p.local()) == 0 {
				continue
			}
			if holder >= 0 {
				w.breach("%s and %s hold %s at once", w.procs[holder].name, p.name, name)
			}
			holder = p.n
		}
		if _, known := w.heldBy[name]; holder >= 0 || known {
			w.heldBy[name] = holder
		}
	}
}

// Held reports whether every duty has a holder.
func (w *World) AllHeld() bool {
	for d := range w.o.Duties {
		if h, known := w.heldBy[dutyName(d)]; !known || h < 0 {
			return false
		}
	}
	return true
}

func (p *proc) receive(in inFrame) {
	switch f := in.f; {
	case f.GetNews() != nil, f.GetAnswer() != nil && f.GetAnswer().Id != 0:
		p.session.Receive(in.from, f, p.local())
	case p.voter != nil:
		p.voter.Receive(in.from, f, p.local())
	}
}

// flush sends what the process has to say.
func (p *proc) flush() {
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
			p.w.send(p, p.w.names[o.To], o.Frame)
		}
	}
}

func (w *World) send(from, to *proc, f *pb.Frame) {
	if to == nil {
		return
	}
	w.FramesSent++
	delay := time.Duration(w.rng.Int64N(int64(4 * time.Millisecond)))
	copies := 1
	if from != to {
		if w.cuts[[2]int{from.n, to.n}] > 0 || w.loss > 0 && w.rng.IntN(3) == 0 {
			return
		}
		if w.loss > 0 {
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

func (w *World) deliver(from, to *proc, f *pb.Frame) {
	if !to.up {
		return
	}
	if w.now < to.stopped { // the kernel keeps it
		if len(to.inbox) < 2000 {
			to.inbox = append(to.inbox, inFrame{from.name, f})
		}
		return
	}
	to.receive(inFrame{from.name, f})
	to.flush()
}

func (w *World) fault(f Fault) {
	p, q := w.procs[f.Proc%len(w.procs)], w.procs[f.Peer%len(w.procs)]
	switch f.Kind {
	case Kill:
		p.kill(f.Duration, false)
	case KillAndWipe:
		p.kill(f.Duration, true)
	case KillAll:
		for _, v := range w.procs[:w.o.Voters] {
			v.kill(f.Duration+time.Duration(w.rng.Int64N(int64(time.Second))), false)
		}
	case Stop:
		p.stopped = max(p.stopped, w.now+int64(f.Duration))
	case Cut:
		w.cut(p, q, f.Duration)
		w.cut(q, p, f.Duration)
	case CutOneWay:
		w.cut(p, q, f.Duration)
	case Isolate:
		for _, o := range w.procs {
			w.cut(p, o, f.Duration)
			w.cut(o, p, f.Duration)
		}
	case Loss:
		w.loss++
		w.after(f.Duration, func() { w.loss-- })
	case BadDisk:
		p.disk.bad++
		w.after(f.Duration, func() { p.disk.bad-- })
	case HandOver:
		if w.o.Duties > 0 && p.up {
			c := &pb.Command{What: &pb.Command_HandOver{HandOver: &pb.HandOver{Duty: dutyName(f.Peer % w.o.Duties), To: q.name}}}
			p.session.Do(&pb.Ask{Command: c}, 2*time.Second, func(*pb.Answer, error) {})
		}
	}
}

func (w *World) cut(p, q *proc, d time.Duration) {
	if p == q {
		return
	}
	k := [2]int{p.n, q.n}
	w.cuts[k]++
	w.after(d, func() { w.cuts[k]-- })
}

// kill ends a process. One whose disk goes with it is not killed while another voter is without its disk: losing
// the disks of a majority is beyond what is promised.
func (p *proc) kill(d time.Duration, withDisk bool) {
	if !p.up {
		return
	}
	p.up = false
	if withDisk && !p.w.diskAway(p) {
		p.disk.lose()
	}
	p.disk.crash(p.w.o.LoseSyncedData, p.w.rng)
	epoch := p.epoch
	p.w.after(d, func() {
		if !p.up && p.epoch == epoch {
			p.start()
		}
	})
}

// diskAway reports whether another voter has no vote now, having lost its disk.
func (w *World) diskAway(p *proc) bool {
	if p.n >= w.o.Voters {
		return false
	}
	for _, v := range w.procs[:w.o.Voters] {
		if v == p {
			continue
		}
		if !v.up || v.voter == nil || !v.voter.HasVote() {
			return true
		}
	}
	return false
}

// memDisk is a disk that loses in a crash what was not synced, and can refuse writes.
type memDisk struct {
	files  map[string][]byte
	synced map[string][]byte // as they are after a crash
	bad    int
	lost   int
}

func newMemDisk() *memDisk { return &memDisk{files: map[string][]byte{}, synced: map[string][]byte{}} }

func (d *memDisk) lose() {
	d.files, d.synced = map[string][]byte{}, map[string][]byte{}
	d.lost++
}

func (d *memDisk) crash(forget bool, rng *rand.Rand) {
	d.files = map[string][]byte{}
	for name, b := range d.synced {
		if keep := d.files; forget && name == "fleet.log" && len(b) > 400 {
			keep[name] = append([]byte(nil), b[:len(b)-rng.IntN(len(b)-400)]...)
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
	if d.bad > 0 {
		return fs.ErrPermission
	}
	d.files[name] = append([]byte(nil), data...)
	if sync {
		d.synced[name] = append([]byte(nil), data...)
	}
	return nil
}

func (d *memDisk) Append(name string, data []byte, sync bool) error {
	if d.bad > 0 {
		return fs.ErrPermission
	}
	d.files[name] = append(d.files[name], data...)
	if sync {
		d.synced[name] = append([]byte(nil), d.files[name]...)
	}
	return nil
}

func (d *memDisk) Rename(from, to string) error {
	if d.bad > 0 {
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
