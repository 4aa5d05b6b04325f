package sender

import (
	"cmp"
	"math"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/operate"
	"sliptide/internal/outbound"
	"sliptide/internal/storm"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// This file configures and makes a Sender.

// Options holds the configuration and the collaborators of a Sender.
type Options struct {
	Settings  policy.Settings
	Seed      uint64
	MaxConns  int // limit on connections to endpoints
	Journal   *journal.Journal
	Restored  []*journal.Entry
	Notify    func(discovery.Notice) // called by New and on the sender's goroutine
	Knowledge Knowledge
	Clock     Clock
	// Partner returns how a destination is reached; nil: all by plain HTTP/1.1. HTTP2Streams is the number of concurrent
	// calls that the module assumes on an HTTP/2 connection.
	Partner      func(dest int) *outbound.Partner
	HTTP2Streams int
	StormGuard   *storm.Guard        // nil: no storm control
	Recorder     *telemetry.Recorder // nil: no telemetry
	LogRecords   bool                // log each record of a message
	Disabled     operate.DisabledSet // endpoints disabled by an operator, which count as draining
	// Successor: this is a new version, started beside the running one. It sends nothing until TakeOver.
	Successor bool
	Log       zerolog.Logger
}

// New returns a Sender. Restored messages reach the module in Run's first step.
func New(o Options) *Sender {
	// HTTP/1.1 carries one call at a time on a connection, whatever the settings allow: the module must know which
	// calls need a new connection.
	o.Settings.StreamsPerConn = 1
	// A connection is established within a few round trips or not at all. A longer timeout would hold a slot while a
	// machine is unreachable, and the module would learn of the outage later.
	o.Settings.DialTimeout = min(cmp.Or(o.Settings.DialTimeout, maxDialTimeoutMS), maxDialTimeoutMS)
	s := &Sender{
		settings: o.Settings, module: policy.New(o.Settings, o.Seed), log: o.Log,
		journal: o.Journal, notify: o.Notify,
		inputs: make(chan input, inputQueueSize), done: make(chan struct{}),
		clock: o.Clock, stormGuard: o.StormGuard, observer: observer{Recorder: o.Recorder, logRecords: o.LogRecords, log: o.Log},
		partner: o.Partner, http2Streams: o.HTTP2Streams,
		messages:       map[uint64]*message{},
		listedDests:    map[int]bool{},
		pendingNotices: map[uint64]*journal.Entry{},
		endpoints:      map[uint32]discovery.Endpoint{},
		endpointIDs:    map[string]uint32{},
		disabled:       o.Disabled.Clone(),
		successor:      o.Successor,
		calls:          map[*outbound.Call]bool{},
		timer:          time.NewTimer(time.Hour),
		overdueCheckAt: math.Inf(1),
	}
	s.classes.Store(newClassTable(o.Settings.Classes))
	s.settings.Classes = s.classes.Load().all
	s.pool = outbound.NewPool(outbound.Options{
		MaxConns:    o.MaxConns,
		KeepAlive:   durationOr(fromMillis(o.Settings.KeepAlive), 30*time.Second),
		DialTimeout: fromMillis(o.Settings.DialTimeout),
		X0:          o.Settings.AllowanceIndex, X1: o.Settings.LimitIndex,
		Partner: o.Partner,
		OnDialError: func(endpoint uint32, addr string, err error) {
			o.Log.Warn().Uint32("endpoint", endpoint).Str("addr", addr).Err(err).Msg("partner: connection to endpoint failed")
		},
		OnConnClosed: s.observer.closed,
		OnDone:       func(c *outbound.Call, events []policy.Event) { s.inputs <- input{call: c, events: events} },
	})
	s.updateNow()
	s.setKnowledge(o.Knowledge)
	for _, e := range o.Restored {
		s.restore(e)
	}
	s.stepDue = true // restored messages are handled without waiting for input
	return s
}
