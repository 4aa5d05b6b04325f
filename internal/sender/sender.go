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
	inputQueueSize     = 256                     // inputs that wait for the next step
	maxStepInputs      = 512                     // inputs of one step
	stopSendWindow     = 2500 * time.Millisecond // after the stop, new calls still begin so long
	stopTimeout        = 3000 * time.Millisecond // and the sender leaves at the latest then
	endedIDRetentionMS = 30000.0                 // milliseconds that the id of a message that is over is known
	maxEndedIDs        = 8192                    // ids of these, at most
	maxDialTimeoutMS   = 500.0                   // milliseconds that a connection may take to come up
	maxBusyRetryMS     = 1000.0                  // retry-after where there is no room, in milliseconds

	journalRetryInterval = 20 * time.Millisecond // between two tries to write the journal
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
	submission   *submission
	call         *outbound.Call // ended, with these events
	events       []policy.Event
	list         *discovery.List
	shardUpdate  *sharding.Update
	ackedNotices []uint64 // messages whose notice was taken
	withdrawn    uint64   // message that its client never heard was taken on
	disable      *disableRequest
	settings     *policy.Settings
	// takeOver ends the waiting of an heir; handOver stops a sender whose heir waits.
	upgrade     *upgradeTakeover
	stop        bool
	handOver    bool
	clientsGone bool // nothing more is handed in or withdrawn
	wake        bool // there is news of the fleet
}

// outOrder takes an endpoint out by hand, or puts it back.
type disableRequest struct {
	id         string
	disabled   bool
	replicated bool // another process of this sender has taken it: no list need have named it here
	done       chan error
}

type submission struct {
	msg      *Message
	received time.Time
	verdict  chan Verdict
}

// message is one message in the sender's hands, until it is over.
type message struct {
	*journal.Entry
	class           int            // position in the settings, of the definition that it was taken on under
	acceptedAt      float64        // 0: in an earlier life
	call            *outbound.Call // that is out with it
	attemptDeadline float64        // when the attempt's time is up
	claim           *claim         // the fleet is asked whether an heir has it; nil: it need not be
}

// past knows the ids of messages that are over, for a while.
type endedIDs struct {
	ids   map[string]bool
	queue []endedID // oldest first
}

type endedID struct {
	trace   string
	endedAt float64
}

func (p *endedIDs) add(trace string, now float64) {
	for len(p.queue) > 0 && (len(p.queue) >= maxEndedIDs || now-p.queue[0].endedAt > endedIDRetentionMS) {
		delete(p.ids, p.queue[0].trace)
		p.queue = p.queue[1:]
	}
	p.ids[trace] = true
	p.queue = append(p.queue, endedID{trace, now})
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
	settings policy.Settings
	module   *policy.Sender
	log      zerolog.Logger
	journal  *journal.Journal
	notify   func(discovery.Notice)
	pool     *outbound.Pool
	inputs   chan input
	done     chan struct{}

	clock      Clock
	now        float64
	knowledge  knowledgeState
	stormGuard *storm.Guard
	fleet      Fleet                  // nil: none
	copies     *copier                // nil: the journal is not copied
	refusal    atomic.Pointer[string] // why nothing is taken on, as Refuses tells; nil: it is
	trials     *trials                // nil: not shared
	shards     *shards                // nil: all destinations are served
	observer   observer

	messages        map[uint64]*message // taken on and not over, and not waiting for a notice
	numByTrace      map[string]uint64
	ended           endedIDs                      // ids of messages that were taken on and are over
	listedDests     map[int]bool                  // that have been listed
	destLimitLogged bool                          // a destination past MaxDestinations has been reported
	pendingNotices  map[uint64]*journal.Entry     // whose notice is not taken yet
	endpoints       map[uint32]discovery.Endpoint // as listed, without what was said by hand
	endpointIDs     map[string]uint32             // every endpoint that a list has named
	disabled        operate.Out
	avoided         operate.Shut               // endpoints that a lost sender kept away from, whose messages are this one's
	classes         atomic.Pointer[classTable] // shared with intake
	successor       bool
	heldLists       []discovery.List // lists that an heir holds back
	partner         func(dest int) *outbound.Partner
	http2Streams    int
	calls           map[*outbound.Call]bool // out
	events          []policy.Event
	actions         []policy.Action
	submissions     []*pendingSubmission
	newCalls        []*outbound.Call // of this step
	stepDue         bool             // events are left for a further step
	journalFailed   bool             // the journal can't be written: nothing is taken on or sent
	timer           *time.Timer
	timerAt         float64
	timerToken      uint32
	stopRequestedAt time.Time // zero: not stopping
	handingOver     bool      // stopping for an heir: no further call begins
	clientsGone     bool      // the clients are
}

// taking is a message of this step that waits for its verdict.
type pendingSubmission struct {
	*submission
	entry        *journal.Entry
	refused      bool
	retryAfterMS float64
}

// New returns a Sender; what was restored is given to the module in Run's first step.
func New(o Options) *Sender {
	// However many the settings allow on a connection, HTTP/1.1 carries one call at a time:
	// the module must know which calls need a new one.
	o.Settings.StreamsPerConn = 1
	// A connection comes up in a few round trips or not at all. Waiting longer for one to a machine
	// that is cut off holds a slot, and the module learns of the outage that much later.
	o.Settings.DialTimeout = min(cmp.Or(o.Settings.DialTimeout, maxDialTimeoutMS), maxDialTimeoutMS)
	s := &Sender{
		settings: o.Settings, module: policy.New(o.Settings, o.Seed), log: o.Log,
		journal: o.Journal, notify: o.Notify,
		inputs: make(chan input, inputQueueSize), done: make(chan struct{}),
		clock: o.Clock, stormGuard: o.StormGuard, observer: observer{Recorder: o.Recorder, logRecords: o.LogRecords, log: o.Log},
		partner: o.Partner, http2Streams: o.HTTP2Streams,
		messages:       map[uint64]*message{},
		numByTrace:     map[string]uint64{},
		ended:          endedIDs{ids: map[string]bool{}},
		listedDests:    map[int]bool{},
		pendingNotices: map[uint64]*journal.Entry{},
		endpoints:      map[uint32]discovery.Endpoint{},
		endpointIDs:    map[string]uint32{},
		disabled:       o.Disabled.Clone(),
		successor:      o.Successor,
		calls:          map[*outbound.Call]bool{},
		timer:          time.NewTimer(time.Hour),
	}
	s.classes.Store(newClassTable(o.Settings.Classes))
	s.settings.Classes = s.classes.Load().all
	s.pool = outbound.NewPool(outbound.Options{
		MaxConns:    o.MaxConns,
		KeepAlive:   durationOr(fromMillis(o.Settings.KeepAlive), 30*time.Second),
		DialTimeout: fromMillis(o.Settings.DialTimeout),
		X0:          o.Settings.AllowanceIndex, X1: o.Settings.LimitIndex,
		Partner: o.Partner,
		Trouble: func(endpoint uint32, addr string, err error) {
			o.Log.Warn().Uint32("endpoint", endpoint).Str("addr", addr).Err(err).Msg("partner: no connection")
		},
		Closed: s.observer.closed,
		Done:   func(c *outbound.Call, events []policy.Event) { s.inputs <- input{call: c, events: events} },
	})
	s.updateNow()
	s.setKnowledge(o.Knowledge)
	for _, e := range o.Restored {
		s.restore(e)
	}
	s.stepDue = true // the first step is due at once
	return s
}

// or is v, or what stands in where the settings tell none.
func durationOr(v, none time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return none
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func (s *Sender) updateNow() { s.now = s.clock.Now() }

// restore takes up a message of an earlier life.
func (s *Sender) restore(e *journal.Entry) {
	class, _ := s.ClassOf([]byte(e.Class))
	left := float64(e.Deadline) - s.now
	switch {
	case e.Origin != "" && s.copies != nil: // being taken over when the last life ended
		s.copies.pendingEntries[e.Num] = e
		return
	case e.Ending != journal.NotEnding: // the module had decided; its notice may not have been taken
		s.pendingNotices[e.Num] = e
		s.sendNotice(e)
		return
	case left <= 0:
		s.endWithNotice(e, journal.GivenUp, 0)
		return
	case class < 0:
		class = s.unknownClass()
	}
	s.messages[e.Num] = &message{Entry: e, class: class}
	s.numByTrace[e.Trace] = e.Num
	s.stormGuard.Held(s.now, e.Dest, 1)
	s.observeTaken(e, class, true)
	ev := policy.Event{
		Kind: policy.EvMessage, ID: e.Num, Class: class, Key: e.Item, Remaining: left, Resubmitted: e.Again,
		Dest: e.Dest, Restored: true, Attempts: e.Attempts, MayHaveRun: e.DoubtAt != 0, MayHaveRunZone: e.DoubtZone,
	}
	if ev.MayHaveRun {
		ev.MayHaveRunAge = s.now - float64(e.DoubtAt)
	}
	s.events = append(s.events, ev)
}

// Told takes the numbers of messages whose notice was taken.
func (s *Sender) AckNotices(nums []uint64) { s.post(input{ackedNotices: nums}) }

func (s *Sender) post(in input) {
	select {
	case s.inputs <- in:
	case <-s.done:
	}
}

// Run steps the module until the sender has stopped.
func (s *Sender) Run() {
	defer close(s.done)
	defer s.writeKnowledge(true)
	defer s.shutDown()
	round := fromMillis(s.settings.MinStepInterval)
	for !s.exitDue() {
		s.collectInputs()
		startedAt := time.Now()
		s.step()
		// A step a round at most, as the module is used to: sends that come close together share a call.
		if rest := round - time.Since(startedAt); rest > 0 {
			time.Sleep(rest)
		}
	}
}

// gather waits for something to happen and takes all that has.
func (s *Sender) collectInputs() {
	if !s.stepDue {
		select {
		case in := <-s.inputs:
			s.updateNow()
			s.handleInput(in)
		case <-s.timer.C:
		}
	}
	s.stepDue = false
	s.updateNow()
	for range maxStepInputs {
		select {
		case in := <-s.inputs:
			s.handleInput(in)
		default:
			return
		}
	}
}

// take turns an input into events of the next step.
func (s *Sender) handleInput(in input) {
	switch {
	case in.submission != nil:
		s.handleSubmission(in.submission)
	case in.call != nil:
		s.handleOutcome(in.call, in.events)
	case in.list != nil:
		s.handleList(in.list)
	case in.shardUpdate != nil:
		s.handleShardUpdate(in.shardUpdate)
	case in.ackedNotices != nil:
		s.handleAckedNotices(in.ackedNotices)
	case in.withdrawn != 0:
		if m := s.messages[in.withdrawn]; m != nil {
			s.events = append(s.events, policy.Event{Kind: policy.EvWithdrawn, ID: m.Num})
			s.dropUnsent(m.call)
			s.observeOver(m.Entry, telemetry.Withdrawn, 0)
			s.journal.End(m.Entry)
			s.forget(m)
		}
	case in.disable != nil:
		in.disable.done <- s.handleDisable(in.disable)
	case in.settings != nil:
		s.handleSettings(in.settings)
	case in.upgrade != nil:
		in.upgrade.done <- s.handleTakeOver(in.upgrade)
	case in.clientsGone:
		s.clientsGone = true
	case in.stop:
		s.handingOver = s.handingOver || in.handOver
		if s.stopRequestedAt.IsZero() {
			s.stopRequestedAt = time.Now()
			s.log.Info().Int("held", len(s.messages)).Int("calls", len(s.calls)).Msg("stopping")
		}
	}
}

// step lets the module decide and carries out its actions: first all is written
// to the journal, then clients are answered, then the calls go out.
func (s *Sender) step() {
	if s.timerToken != 0 && s.now >= s.timerAt {
		s.events = append(s.events, policy.Event{Kind: policy.EvTimer, Token: s.timerToken})
		s.timerToken = 0
	}
	s.stepCopies()
	s.releaseLeavingShards(false)
	s.endExpiredAttempts()
	s.applyStormOrders()
	s.actions = s.module.Step(s.now, s.events, s.actions[:0])
	s.events = s.events[:0]
	for i := range s.actions {
		s.execute(&s.actions[i])
	}
	err := s.journal.Flush()
	s.handleFlushResult(err)
	if s.copies != nil && err == nil {
		s.awaitHolders(s.sendCopies())
		s.answerConfirmed()
	}
	s.answerSubmissions(err == nil)
	s.dispatch(err == nil)
	s.observeStep()
	s.writeKnowledge(false)
	s.armTimer()
}

// noteJournal takes the result of writing the journal. While it can't be written, the module begins no attempt, which
// would count though it never ran; it goes on with the final answers of messages whose time is up.
func (s *Sender) handleFlushResult(err error) {
	if s.journalFailed == (err != nil) {
		return
	}
	s.journalFailed = err != nil
	s.module.SetHalted(s.journalFailed)
	if s.journalFailed {
		s.log.Error().Err(err).Msg("the journal can't be written: nothing is taken on or sent")
		return
	}
	s.log.Info().Msg("the journal is written again")
	s.stepDue = true // what waits may go out
}

func (s *Sender) execute(a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		s.beginAttempt(a)
	case policy.ActRefuse, policy.ActFail:
		s.endUndelivered(a)
	case policy.ActTimer:
		s.timerToken, s.timerAt = a.Token, s.now+a.After
	case policy.ActProbe:
		if e, ok := s.endpoints[a.Endpoint]; ok {
			s.newCalls = append(s.newCalls, &outbound.Call{Endpoint: e.ID, Addr: e.Addr, Dest: e.Dest, SentAt: time.Now(), Timeout: fromMillis(s.settings.DialTimeout)})
		}
	case policy.ActCloseIdle:
		s.pool.HangUp(a.Endpoint)
	case policy.ActLog:
		s.log.Info().Msg(a.Text)
	case policy.ActSubscribe: // the watch of the list always stands
	}
}

// arm sets the one timer to the module's, or to the next look at a stop.
func (s *Sender) armTimer() {
	wait := time.Hour
	if s.timerToken != 0 {
		wait = fromMillis(s.timerAt - s.clock.Now())
	}
	if s.journalFailed {
		wait = min(wait, journalRetryInterval)
	}
	for c := range s.calls {
		for i := range c.Items {
			if m := s.messages[c.Items[i].ID]; len(c.Items) > 1 && m != nil && m.call == c {
				wait = min(wait, fromMillis(min(m.attemptDeadline-s.clock.Now(), 1e6)))
			}
		}
	}
	if !s.stopRequestedAt.IsZero() {
		wait = min(wait, 50*time.Millisecond)
	}
	wait = min(wait, fromMillis(min(s.stormGuard.Next()-s.clock.Now(), 1e6)))
	if s.trials != nil {
		wait = min(wait, fromMillis(min(s.trials.state.Next()-s.clock.Now(), 1e6)))
	}
	if s.shards != nil && len(s.shards.leaving) > 0 {
		wait = min(wait, fromMillis(leaveCheckIntervalMS))
	}
	wait = s.untilObservation(wait)
	if at, due := s.nextKnowledgeWrite(); due {
		wait = min(wait, fromMillis(at-s.clock.Now()))
	}
	wait = s.untilCopyStep(wait)
	s.timer.Reset(max(wait, 0))
}
