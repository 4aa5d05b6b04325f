// Package sender owns the decision module. One goroutine takes what happens on
// the sockets as events, batches them into steps of the module, and carries out
// its actions. The lives and deadlines of all messages are here alone.
package sender

import (
	"cmp"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/operate"
	"sliptide/internal/outbound"
	"sliptide/internal/sharding"
	"sliptide/internal/storm"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

const (
	queued    = 256                     // inputs that wait for the next step
	batchMost = 512                     // inputs of one step
	sendFor   = 2500 * time.Millisecond // after the stop, new calls still begin so long
	stopAfter = 3000 * time.Millisecond // and the sender leaves at the latest then
	pastFor   = 30000.0                 // milliseconds that the id of a message that is over is known
	pastMost  = 8192                    // ids of these, at most
	dialMost  = 500.0                   // milliseconds that a connection may take to come up
	lateLeast = 1000.0                  // retry-after where there is no room, in milliseconds

	journalRetry = 20 * time.Millisecond // between two tries to write the journal
)

// MaxDestinations is how many destinations a sender knows at most; a message for a further one is refused.
const MaxDestinations = 1 << 12

// errStopped is the error of an order that came after the sender left.
var errStopped = errors.New("the sender has stopped")

// Message is one message that a client hands in, whatever protocol it came by.
// Its fields may be slices of the buffer that it was read into: they are copied
// when the sender takes it on.
type Message struct {
	Trace, Key  []byte
	Class       int // position in the settings
	Tenant      int
	Dest        int
	OrderingKey uint64 // what it is about, for classes that keep their order; 0 = none
	Resubmitted bool
	Failover    bool          // again since its sender died or did not answer: an heir may have it
	Remaining   time.Duration // how long it may still be delivered
	Body        []byte
	TraceParent []byte // the trace context that the client sent, as it stands in its header; nil: none
}

// Verdict is the answer to a message that was handed in.
type Verdict struct {
	Accepted  bool
	Num       uint64 // the sender's number, if taken
	Duplicate bool   // not taken: another with this id was
	TakenOver bool   // not taken: an heir has it from the sender that was lost
	NoRoute   bool   // not taken: its destination has never been listed
	// Misdirected: not taken, its destination belongs to others, whose names Belongs tells, the first choice first.
	Misdirected   bool
	ServedBy      []string
	TooFewHolders bool // not taken: too few members can be reached to copy it
	RetryAfter    float64
}

// input is one thing that has happened.
type input struct {
	order   *order
	call    *outbound.Call // ended, with these events
	events  []policy.Event
	list    *discovery.List
	sharded *sharding.Update
	told    []uint64 // messages whose notice was taken
	gone    uint64   // message that its client never heard was taken on
	out     *outOrder
	retune  *policy.Settings
	// takeOver ends the waiting of an heir; handOver stops a sender whose heir waits.
	takeOver    *takeOver
	stop        bool
	handOver    bool
	clientsGone bool // nothing more is handed in or withdrawn
	kick        bool // there is news of the fleet
}

// outOrder takes an endpoint out by hand, or puts it back.
type outOrder struct {
	id    string
	out   bool
	known bool // another process of this sender has taken it: no list need have named it here
	done  chan error
}

type order struct {
	msg      *Message
	received time.Time
	verdict  chan Verdict
}

// message is one message in the sender's hands, until it is over.
type message struct {
	*journal.Entry
	class   int            // position in the settings, of the definition that it was taken on under
	takenAt float64        // 0: in an earlier life
	call    *outbound.Call // that is out with it
	cutAt   float64        // when the attempt's time is up
	claim   *claim         // the fleet is asked whether an heir has it; nil: it need not be
}

// past knows the ids of messages that are over, for a while.
type past struct {
	ids  map[string]bool
	line []pastID // oldest first
}

type pastID struct {
	trace string
	at    float64
}

func (p *past) add(trace string, now float64) {
	for len(p.line) > 0 && (len(p.line) >= pastMost || now-p.line[0].at > pastFor) {
		delete(p.ids, p.line[0].trace)
		p.line = p.line[1:]
	}
	p.ids[trace] = true
	p.line = append(p.line, pastID{trace, now})
}

// Options are the parts that a Sender works with.
type Options struct {
	Settings  policy.Settings
	Seed      uint64
	MaxConns  int // connections to endpoints, at most
	Journal   *journal.Journal
	Restored  []*journal.Entry
	Notify    func(discovery.Notice)
	Knowledge Knowledge
	Clock     Clock
	// Partner says how a destination is reached; nil: all by plain HTTP/1.1. Streams is how many calls the
	// module takes a connection to carry where that is HTTP/2.
	Partner      func(dest int) *outbound.Partner
	HTTP2Streams int
	StormGuard   *storm.Guard        // nil: storms are not damped
	Recorder     *telemetry.Recorder // nil: nobody observes
	LogRecords   bool                // a line in the log for each thing that happens to a message
	Disabled     operate.Out         // endpoints taken out by hand, which count as draining
	// Heir: a new version started beside the present one, which sends nothing until TakeOver.
	Successor bool
	Log       zerolog.Logger
}

// Sender carries out what the decision module decides.
type Sender struct {
	set     policy.Settings
	mod     *policy.Sender
	log     zerolog.Logger
	journal *journal.Journal
	notices func(discovery.Notice)
	pool    *outbound.Pool
	in      chan input
	done    chan struct{}

	clock    Clock
	now      float64
	memory   memory
	guard    *storm.Guard
	fleet    Fleet                  // nil: none
	copies   *copier                // nil: the journal is not copied
	refuses  atomic.Pointer[string] // why nothing is taken on, as Refuses tells; nil: it is
	trials   *trials                // nil: not shared
	shards   *shards                // nil: all destinations are served
	observer observer

	msgs    map[uint64]*message // taken on and not over, and not waiting for a notice
	traces  map[string]uint64
	past    past                          // ids of messages that were taken on and are over
	dests   map[int]bool                  // that have been listed
	full    bool                          // a destination past MaxDestinations has been reported
	owed    map[uint64]*journal.Entry     // whose notice is not taken yet
	addrs   map[uint32]discovery.Endpoint // as listed, without what was said by hand
	names   map[string]uint32             // every endpoint that a list has named
	out     operate.Out
	shut    operate.Shut               // endpoints that a lost sender kept away from, whose messages are this one's
	classes atomic.Pointer[classTable] // shared with intake
	heir    bool
	waiting []discovery.List // lists that an heir holds back
	partner func(dest int) *outbound.Partner
	streams int
	calls   map[*outbound.Call]bool // out
	events  []policy.Event
	actions []policy.Action
	orders  []*taking
	sends   []*outbound.Call // of this step
	again   bool             // events are left for a further step
	halted  bool             // the journal can't be written: nothing is taken on or sent
	timer   *time.Timer
	timerAt float64
	token   uint32
	stopAt  time.Time // zero: not stopping
	handing bool      // stopping for an heir: no further call begins
	gone    bool      // the clients are
}

// taking is a message of this step that waits for its verdict.
type taking struct {
	*order
	entry   *journal.Entry
	refused bool
	after   float64
}

// New returns a Sender; what was restored is given to the module in Run's first step.
func New(o Options) *Sender {
	// However many the settings allow on a connection, HTTP/1.1 carries one call at a time:
	// the module must know which calls need a new one.
	o.Settings.StreamsPerConn = 1
	// A connection comes up in a few round trips or not at all. Waiting longer for one to a machine
	// that is cut off holds a slot, and the module learns of the outage that much later.
	o.Settings.DialTimeout = min(cmp.Or(o.Settings.DialTimeout, dialMost), dialMost)
	s := &Sender{
		set: o.Settings, mod: policy.New(o.Settings, o.Seed), log: o.Log,
		journal: o.Journal, notices: o.Notify,
		in: make(chan input, queued), done: make(chan struct{}),
		clock: o.Clock, guard: o.StormGuard, observer: observer{Recorder: o.Recorder, lines: o.LogRecords, log: o.Log},
		partner: o.Partner, streams: o.HTTP2Streams,
		msgs:   map[uint64]*message{},
		traces: map[string]uint64{},
		past:   past{ids: map[string]bool{}},
		dests:  map[int]bool{},
		owed:   map[uint64]*journal.Entry{},
		addrs:  map[uint32]discovery.Endpoint{},
		names:  map[string]uint32{},
		out:    o.Disabled.Clone(),
		heir:   o.Successor,
		calls:  map[*outbound.Call]bool{},
		timer:  time.NewTimer(time.Hour),
	}
	s.classes.Store(newClassTable(o.Settings.Classes))
	s.set.Classes = s.classes.Load().all
	s.pool = outbound.NewPool(outbound.Options{
		MaxConns:    o.MaxConns,
		KeepAlive:   or(millis(o.Settings.KeepAlive), 30*time.Second),
		DialTimeout: millis(o.Settings.DialTimeout),
		X0:          o.Settings.AllowanceIndex, X1: o.Settings.LimitIndex,
		Partner: o.Partner,
		OnDialError: func(endpoint uint32, addr string, err error) {
			o.Log.Warn().Uint32("endpoint", endpoint).Str("addr", addr).Err(err).Msg("partner: no connection")
		},
		OnConnClosed: s.observer.closed,
		OnDone:       func(c *outbound.Call, events []policy.Event) { s.in <- input{call: c, events: events} },
	})
	s.tick()
	s.remember(o.Knowledge)
	for _, e := range o.Restored {
		s.restore(e)
	}
	s.again = true // the first step is due at once
	return s
}

// or is v, or what stands in where the settings tell none.
func or(v, none time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return none
}

func millis(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func (s *Sender) tick() { s.now = s.clock.Now() }

// restore takes up a message of an earlier life.
func (s *Sender) restore(e *journal.Entry) {
	class, _ := s.ClassOf([]byte(e.Class))
	left := float64(e.Deadline) - s.now
	switch {
	case e.TakeoverDuty != "" && s.copies != nil: // being taken over when the last life ended
		s.copies.pending[e.Num] = e
		return
	case e.Ending != journal.EndingNone: // the module had decided; its notice may not have been taken
		s.owed[e.Num] = e
		s.notify(e)
		return
	case left <= 0:
		s.owe(e, journal.EndingAbandoned, 0)
		return
	case class < 0:
		class = s.unknownClass()
	}
	s.msgs[e.Num] = &message{Entry: e, class: class}
	s.traces[e.Trace] = e.Num
	s.guard.AdjustHeld(s.now, e.Dest, 1)
	s.observeTaken(e, class, true)
	ev := policy.Event{
		Kind: policy.EvMessage, ID: e.Num, Class: class, Key: e.OrderingKey, Remaining: left, Resubmitted: e.Resubmitted,
		Dest: e.Dest, Restored: true, Attempts: e.Attempts, MayHaveRun: e.MayHaveRunAt != 0, MayHaveRunZone: e.MayHaveRunZone,
	}
	if ev.MayHaveRun {
		ev.MayHaveRunAge = s.now - float64(e.MayHaveRunAt)
	}
	s.events = append(s.events, ev)
}

// Told takes the numbers of messages whose notice was taken.
func (s *Sender) AckNotices(nums []uint64) { s.post(input{told: nums}) }

func (s *Sender) post(in input) {
	select {
	case s.in <- in:
	case <-s.done:
	}
}

// Run steps the module until the sender has stopped.
func (s *Sender) Run() {
	defer close(s.done)
	defer s.tell(true)
	defer s.leave()
	round := millis(s.set.MinStepInterval)
	for !s.left() {
		s.gather()
		began := time.Now()
		s.step()
		// A step a round at most, as the module is used to: sends that come close together share a call.
		if rest := round - time.Since(began); rest > 0 {
			time.Sleep(rest)
		}
	}
}

// gather waits for something to happen and takes all that has.
func (s *Sender) gather() {
	if !s.again {
		select {
		case in := <-s.in:
			s.tick()
			s.take(in)
		case <-s.timer.C:
		}
	}
	s.again = false
	s.tick()
	for range batchMost {
		select {
		case in := <-s.in:
			s.take(in)
		default:
			return
		}
	}
}

// take turns an input into events of the next step.
func (s *Sender) take(in input) {
	switch {
	case in.order != nil:
		s.takeOrder(in.order)
	case in.call != nil:
		s.takeOutcome(in.call, in.events)
	case in.list != nil:
		s.takeList(in.list)
	case in.sharded != nil:
		s.takeSharded(in.sharded)
	case in.told != nil:
		s.takeTold(in.told)
	case in.gone != 0:
		if m := s.msgs[in.gone]; m != nil {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.drop(m.call)
			s.observeOver(m.Entry, telemetry.Withdrawn, 0)
			s.journal.End(m.Entry)
			s.forget(m)
		}
	case in.out != nil:
		in.out.done <- s.takeOut(in.out)
	case in.retune != nil:
		s.takeRetune(in.retune)
	case in.takeOver != nil:
		in.takeOver.done <- s.takeTakeOver(in.takeOver)
	case in.clientsGone:
		s.gone = true
	case in.stop:
		s.handing = s.handing || in.handOver
		if s.stopAt.IsZero() {
			s.stopAt = time.Now()
			s.log.Info().Int("held", len(s.msgs)).Int("calls", len(s.calls)).Msg("stopping")
		}
	}
}

// step lets the module decide and carries out its actions: first all is written
// to the journal, then clients are answered, then the calls go out.
func (s *Sender) step() {
	if s.token != 0 && s.now >= s.timerAt {
		s.events = append(s.events, policy.Event{Kind: policy.EvTimer, Token: s.token})
		s.token = 0
	}
	s.copyStep()
	s.leaveShards(false)
	s.cutShort()
	s.weather()
	s.actions = s.mod.Step(s.now, s.events, s.actions[:0])
	s.events = s.events[:0]
	for i := range s.actions {
		s.act(&s.actions[i])
	}
	err := s.journal.Flush()
	s.noteJournal(err)
	if s.copies != nil && err == nil {
		s.copyWait(s.copyOut())
		s.copyTell()
	}
	s.answer(err == nil)
	s.dispatch(err == nil)
	s.observeStep()
	s.tell(false)
	s.arm()
}

// noteJournal takes the result of writing the journal. While it can't be written, the module begins no attempt, which
// would count though it never ran; it goes on with the final answers of messages whose time is up.
func (s *Sender) noteJournal(err error) {
	if s.halted == (err != nil) {
		return
	}
	s.halted = err != nil
	s.mod.SetHalted(s.halted)
	if s.halted {
		s.log.Error().Err(err).Msg("the journal can't be written: nothing is taken on or sent")
		return
	}
	s.log.Info().Msg("the journal is written again")
	s.again = true // what waits may go out
}

func (s *Sender) act(a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		s.send(a)
	case policy.ActRefuse, policy.ActFail:
		s.finish(a)
	case policy.ActTimer:
		s.token, s.timerAt = a.Token, s.now+a.After
	case policy.ActProbe:
		if e, ok := s.addrs[a.Endpoint]; ok {
			s.sends = append(s.sends, &outbound.Call{Endpoint: e.ID, Addr: e.Addr, Dest: e.Dest, SentAt: time.Now(), Timeout: millis(s.set.DialTimeout)})
		}
	case policy.ActCloseIdle:
		s.pool.CloseIdleConns(a.Endpoint)
	case policy.ActLog:
		s.log.Info().Msg(a.Text)
	case policy.ActSubscribe: // the watch of the list always stands
	}
}

// arm sets the one timer to the module's, or to the next look at a stop.
func (s *Sender) arm() {
	wait := time.Hour
	if s.token != 0 {
		wait = millis(s.timerAt - s.clock.Now())
	}
	if s.halted {
		wait = min(wait, journalRetry)
	}
	for c := range s.calls {
		for i := range c.Items {
			if m := s.msgs[c.Items[i].ID]; len(c.Items) > 1 && m != nil && m.call == c {
				wait = min(wait, millis(min(m.cutAt-s.clock.Now(), 1e6)))
			}
		}
	}
	if !s.stopAt.IsZero() {
		wait = min(wait, 50*time.Millisecond)
	}
	wait = min(wait, millis(min(s.guard.NextDue()-s.clock.Now(), 1e6)))
	if s.trials != nil {
		wait = min(wait, millis(min(s.trials.board.Next()-s.clock.Now(), 1e6)))
	}
	if s.shards != nil && len(s.shards.leaving) > 0 {
		wait = min(wait, millis(leaveLook))
	}
	wait = s.observeWait(wait)
	if at, due := s.tellAt(); due {
		wait = min(wait, millis(at-s.clock.Now()))
	}
	wait = s.copyNext(wait)
	s.timer.Reset(max(wait, 0))
}
