// Package sender connects the decision module (package policy) to the sockets, the journal and the clock. One goroutine
// collects inputs, passes them to the module as events in batched steps, and executes the actions that it returns.
// That goroutine alone holds the state and the deadline of every message.
package sender

import (
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
	"sliptide/policy"
)

const (
	inputQueueSize   = 256                     // inputs buffered for the next step
	maxStepInputs    = 512                     // queued inputs handled in one step
	stopSendWindow   = 2500 * time.Millisecond // how long after a stop request new calls may begin
	stopTimeout      = 3000 * time.Millisecond // the longest time from a stop request to the exit
	maxDialTimeoutMS = 500.0                   // limit and default of the settings' dial timeout, see New
	maxBusyRetryMS   = 1000.0                  // largest Retry-After of a refusal for lack of capacity

	journalRetryInterval = 20 * time.Millisecond // between steps while the journal can't be written
)

// MaxDestinations limits the destinations that a sender serves; messages for further ones are refused.
const MaxDestinations = 1 << 12

// ErrStopped is returned by requests that arrive after the sender has exited.
var ErrStopped = errors.New("the sender has stopped")

// Message is a message submitted by a client, independent of the client's protocol. Its fields may be slices of the
// read buffer: the sender copies them when it accepts the message.
type Message struct {
	Trace, Key  []byte
	Class       int // index into the classes, as ClassOf returns it
	Tenant      int // index into the settings' tenants
	Dest        int
	OrderingKey uint64 // messages of a class that keeps order are ordered within a key; 0 = none
	Resubmitted bool
	Failover    bool          // resubmitted because its previous sender failed or did not answer: a successor may hold it
	Remaining   time.Duration // time left until its deadline when it was received
	Body        []byte
	TraceParent []byte // the client's traceparent header; nil = none
}

// Verdict is the result of a submission.
type Verdict struct {
	Accepted  bool
	Num       uint64 // the sender's number for the message, if accepted
	Duplicate bool   // refused: this sender holds a message with this ID or has ended one recently
	TakenOver bool   // refused: another sender has taken it over from a lost sender
	NoRoute   bool   // refused: its destination is not served here, and no other sender is known to serve it
	// Misdirected: refused, since other members serve its destination. ServedBy names them in order of preference.
	Misdirected   bool
	ServedBy      []string
	TooFewHolders bool    // refused: too few members are reachable to hold its copies
	RetryAfterMS  float64 // refused: the Retry-After for the client, in milliseconds; 0 = none
}

// input is an item of work for the sender's goroutine. Exactly one field is set, or one group of fields.
type input struct {
	submission   *submission
	call         *outbound.Call // an ended call, with its events
	events       []policy.Event
	list         *discovery.List
	shardUpdate  *sharding.Update
	ackedNotices []uint64 // numbers of messages whose notice was accepted
	withdrawn    uint64   // number of a message whose client did not receive the 202
	disable      *disableRequest
	settings     *policy.Settings
	upgrade      *upgradeTakeover // makes a waiting successor the active sender
	stop         *stopRequest
	clientsGone  bool // no further submissions or withdrawals follow
	wake         bool // fleet updates are queued
}

// disableRequest is an operator's request to disable or enable an endpoint.
type disableRequest struct {
	id         string
	disabled   bool
	replicated bool // already applied by another process of this sender: the endpoint need not have been listed here
	done       chan error
}

type submission struct {
	msg      *Message
	received time.Time
	verdict  chan Verdict
}

// message is an accepted message that has not ended.
type message struct {
	*journal.Entry
	class           int            // index of the class definition under which it was accepted
	acceptedAt      float64        // in milliseconds of the sender's clock; 0: by an earlier process or another sender
	call            *outbound.Call // the call in progress with it
	attemptDeadline float64        // when its attempt ends even if its call continues; +Inf: it ends with the call
	claim           *claim         // asks the fleet whether a successor holds it; nil: there is no need to ask
}

// Sender executes the decisions of the module.
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
	now        float64 // the time of the current step by clock, in milliseconds
	knowledge  knowledgeState
	stormGuard *storm.Guard
	fleet      Fleet                  // nil: not a member of a fleet
	copies     *copier                // nil: the journal has no copies
	refusal    atomic.Pointer[string] // why no message is accepted without the lease, see RefusalReason; nil: none such
	trials     *trials                // nil: trials are not shared
	shards     *shards                // nil: all destinations are served
	observer   observer

	messages        map[uint64]*message // accepted and not ended, without those in pendingNotices
	listedDests     map[int]bool
	destLimitLogged bool                          // the error about MaxDestinations has been logged
	pendingNotices  map[uint64]*journal.Entry     // ended messages whose notice has not been accepted yet
	queuedNotices   []queuedNotice                // of pendingNotices, those not sent yet
	endpoints       map[uint32]discovery.Endpoint // in the state last listed, also as gone; regardless of disabled and avoided
	endpointIDs     map[string]uint32             // of every endpoint that has been listed, by name
	disabled        operate.DisabledSet
	avoided         operate.TakeoverDrains     // endpoints that the lost sender of adopted messages avoided
	classes         atomic.Pointer[classTable] // also read by ClassOf on other goroutines
	successor       bool
	heldLists       []discovery.List // endpoint lists that a successor holds until TakeOver
	partner         func(dest int) *outbound.Partner
	http2Streams    int
	calls           map[*outbound.Call]bool // begun or waiting to begin
	events          []policy.Event          // for the next step
	actions         []policy.Action
	submissions     []*pendingSubmission
	deferred        []*submission    // arrived while the other process of an upgrade accepted messages
	idLockFailed    bool             // the last attempt to lock the IDs failed, other than for the other process
	newCalls        []*outbound.Call // of the current step
	stepDue         bool             // a step is due without further input
	journalFailed   bool             // the last journal write failed: no message is accepted or sent
	timer           *time.Timer
	timerAt         float64   // by clock
	timerToken      uint32    // 0: the module has no timer set
	stopRequestedAt time.Time // zero: no stop requested
	handingOver     bool      // stopping for a waiting successor: no further call begins
	clientsGone     bool      // no further submissions or withdrawals follow

	overdueCheckAt  float64     // when endOverdue looks next, by clock; +Inf: no message is held
	lateEndings     lateEndings // since the last report
	lateEndingCount uint64      // messages of this process that ended past their deadline
}

// pendingSubmission is a submission of the current step that awaits its verdict.
type pendingSubmission struct {
	*submission
	entry        *journal.Entry
	refused      bool
	retryAfterMS float64
}

// durationOr returns v, or fallback if v is not set.
func durationOr(v, fallback time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return fallback
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func (s *Sender) updateNow() { s.now = s.clock.Now() }

// restore adds a message from the journal of an earlier process, or from that of a lost sender once its takeover is
// agreed.
func (s *Sender) restore(e *journal.Entry) {
	class, _ := s.ClassOf([]byte(e.Class))
	left := float64(e.Deadline) - s.now
	switch {
	case e.TakeoverDuty != "" && s.copies != nil: // its takeover was in progress when the earlier process ended
		s.copies.pendingEntries[e.Num] = e
		return
	case e.Ending != journal.EndingNone: // ended; its notice may not have been accepted
		s.resumeNotice(e)
		return
	case left <= 0:
		s.endWithNotice(e, journal.EndingAbandoned, 0)
		return
	case class < 0:
		class = s.unknownClass()
	}
	s.messages[e.Num] = &message{Entry: e, class: class}
	s.watchDeadline(s.messages[e.Num])
	s.stormGuard.AdjustHeld(s.now, e.Dest, 1)
	s.observeAccepted(e, class, true)
	ev := policy.Event{
		Kind: policy.EvMessage, ID: e.Num, Class: class, Key: e.OrderingKey, Remaining: left, Resubmitted: e.Resubmitted,
		Dest: e.Dest, Restored: true, Attempts: e.Attempts, MayHaveRun: e.MayHaveRunAt != 0, MayHaveRunZone: e.MayHaveRunZone,
	}
	if ev.MayHaveRun {
		ev.MayHaveRunAge = s.now - float64(e.MayHaveRunAt)
	}
	s.events = append(s.events, ev)
}

// AckNotices reports the messages, by number, whose notices were accepted.
func (s *Sender) AckNotices(nums []uint64) { s.post(input{ackedNotices: nums}) }

func (s *Sender) post(in input) {
	select {
	case s.inputs <- in:
	case <-s.done:
	}
}

// Run steps the module until the sender exits.
func (s *Sender) Run() {
	defer close(s.done)
	defer s.writeKnowledge(true)
	defer s.shutDown()
	interval := fromMillis(s.settings.MinStepInterval)
	for !s.exitDue() {
		s.collectInputs()
		startedAt := time.Now()
		s.step()
		// At most one step per MinStepInterval, as the module expects, so that sends close in time share a call.
		if rest := interval - time.Since(startedAt); rest > 0 {
			time.Sleep(rest)
		}
	}
}

// collectInputs waits for an input or the timer, then handles the queued inputs.
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

// handleInput turns an input into events of the next step.
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
			s.withdraw(m)
		}
	case in.disable != nil:
		in.disable.done <- s.handleDisable(in.disable)
	case in.settings != nil:
		s.handleSettings(in.settings)
	case in.upgrade != nil:
		in.upgrade.done <- s.handleUpgradeTakeover(in.upgrade)
	case in.clientsGone:
		s.clientsGone = true
	case in.stop != nil:
		s.handingOver = s.handingOver || in.stop.handOver
		if s.stopRequestedAt.IsZero() {
			s.stopRequestedAt = in.stop.at
			s.log.Info().Int("held", len(s.messages)).Int("calls", len(s.calls)).Bool("handing_over", s.handingOver).Msg("stopping")
		}
	}
}

// step runs the module and executes its actions. The journal is written first, then clients are answered, then calls
// start. With copies, answers and calls may wait for later steps, see awaitHolders.
func (s *Sender) step() {
	s.handleDeferred()
	if s.timerToken != 0 && s.now >= s.timerAt {
		s.events = append(s.events, policy.Event{Kind: policy.EvTimer, Token: s.timerToken})
		s.timerToken = 0
	}
	s.stepCopies()
	s.releaseLeavingShards(false)
	s.endExpiredAttempts()
	s.applyStormThrottles()
	s.module.SetHalted(s.journalFailed || s.sendingEnded() || !s.mayAttempt())
	s.actions = s.module.Step(s.now, s.events, s.actions[:0])
	s.events = s.events[:0]
	for i := range s.actions {
		s.execute(&s.actions[i])
	}
	s.endOverdue()
	s.releaseNotices()
	err := s.journal.Flush()
	s.handleFlushResult(err)
	s.unlockIDs()
	if s.copies != nil && err == nil {
		s.awaitHolders(s.sendCopies())
		s.answerConfirmed()
	}
	s.answerSubmissions(err == nil)
	s.dispatch(err == nil)
	s.reportLateEndings()
	s.observeStep()
	s.writeKnowledge(false)
	s.armTimer()
}

// handleFlushResult handles the result of a journal write. While writes fail, the module is halted: it orders no
// attempts, which would count although they never ran, and ends the messages that reach their deadline.
func (s *Sender) handleFlushResult(err error) {
	if s.journalFailed == (err != nil) {
		return
	}
	s.journalFailed = err != nil
	if s.journalFailed {
		s.log.Error().Err(err).Msg("the journal can't be written: no message is accepted or sent")
		return
	}
	s.log.Info().Msg("the journal can be written again: accepting and sending messages")
	s.stepDue = true // waiting messages may be sent
}

// execute executes an action of the module. The calls that it prepares start at the end of the step.
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
		s.pool.CloseIdleConns(a.Endpoint)
	case policy.ActLog:
		s.log.Info().Msg(a.Text)
	case policy.ActSubscribe: // the list subscription is permanent
	}
}

// armTimer sets the timer to the earliest time at which a step is due without input. Times that may be infinite are
// capped at 1e6 ms, since they would overflow a time.Duration.
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
	if len(s.deferred) > 0 {
		wait = min(wait, idLockRetryInterval)
	}
	if !s.stopRequestedAt.IsZero() {
		wait = min(wait, 50*time.Millisecond) // the conditions of the exit are polled
	}
	wait = min(wait, fromMillis(min(s.overdueCheckAt-s.clock.Now(), 1e6)))
	wait = min(wait, fromMillis(min(s.stormGuard.NextDue()-s.clock.Now(), 1e6)))
	if s.trials != nil {
		wait = min(wait, fromMillis(min(s.trials.state.NextChange()-s.clock.Now(), 1e6)))
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
