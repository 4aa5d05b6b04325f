// Package policy decides when and where a sender delivers outbound messages.
//
// This file is the interface of the module: the settings that it starts with, the
// events that it receives and the actions that it returns. The decisions and their
// parameters are in policy.go and breaker.go.
//
// Times are in milliseconds and come from the caller's clock.
package policy

// Effect says whether a message that may already have run may be sent again.
type Effect uint8

// The effects of a class of message.
const (
	Safe   Effect = iota // may be repeated without restriction
	Keyed                // the destination drops repeats within the class's dedup window
	Unsafe               // must never run twice
)

// Class describes one class of message.
type Class struct {
	Name        string
	Aim         float64 // target latency: a message delivered within it earns its full worth
	Deadline    float64 // time within which it may be delivered
	Worth       float64 // earned by a delivery within the aim
	LateWorth   float64 // least share of the worth of a late delivery; a linear fall reaches it at the deadline
	Effect      Effect
	ZoneScope   bool    // keyed: a repeat is dropped only in the zone of the earlier attempt
	DedupWindow float64 // keyed: how long repeats are dropped
	Ordered     bool    // messages of one key are sent one at a time, in order
}

// Tenant describes one tenant of the service.
type Tenant struct {
	Name  string
	Quota float64 // messages per second within its share, over all senders; not used at present
}

// DestKind describes one kind of destination.
type DestKind struct {
	Name      string
	OwnLimits bool // each endpoint has a limit of its own
	Batch     int  // messages that one call may carry
}

// Settings is the configuration of a sender.
type Settings struct {
	Index, Senders             int      // index of this sender, and number of senders in the fleet
	Zone                       int      // index in Zones
	Zones                      []string // names
	MinStepInterval            float64  // least interval between steps, kept by the caller
	Classes                    []Class
	Tenants                    []Tenant
	Kinds                      []DestKind
	ZoneFees                   []float64 // fee of a message to an endpoint, by the endpoint's zone
	CrossZoneFee               float64   // fee of a call to another zone, in score points per first attempt
	CallSlots                  int       // calls that may be in flight at once
	WorthHalves                bool      // late worth halves with each further aim of delay; otherwise it falls linearly
	OverShareWorth             float64   // not used at present
	RatingIsRate               bool      // Endpoint.Rating is a rate in calls per second
	AllowanceIndex, LimitIndex int       // indexes in a report of the allowance left (a share) and the limit; -1: absent
	MayCancel                  bool      // not used at present
	MayProbe                   bool      // not used at present: the module sends no probes
	MarksResubmissions         bool      // clients mark resubmissions: Event.Resubmitted is set
	SendsRetryAfter            bool      // refusals to clients carry a Retry-After
	MaxRetryAfter              float64   // upper bound of the Retry-After of a refusal
	MaxAttempts                int       // attempts per message
	MaxHeld                    int       // capacity for held messages; 0: unlimited
	StreamsPerConn             int       // calls that a connection carries at once
	KeepAlive                  float64   // idle time after which a connection counts as closed
	DialTimeout                float64   // time-out of connecting
	Subscribe                  bool      // the endpoint list is sent on request only
	MaxSubscribeInterval       float64   // with Subscribe: longest interval between requests for the list
	AnswerSlack                float64   // how late a final answer may still come; not used at present
	DrainGrace                 float64   // time within which calls to a draining endpoint must stop; they stop at once
	WarmUpDuration             float64   // time after an outage until a destination is warm
	ColdCapacity               float64   // share of its capacity that a cold destination has
	OverloadMultiple           float64   // multiple of its present capacity that overloads a destination
	OverloadWindow             float64   // time at that load after which it collapses
	KeyPause                   float64   // pause of a key after an attempt that may still run
}

// EndpointState is the listed state of an endpoint.
type EndpointState uint8

// The listed states.
const (
	Gone     EndpointState = 0
	Ready    EndpointState = 1
	Draining EndpointState = 2
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID     uint32
	State  EndpointState
	Zone   int
	Kind   int     // index in Settings.Kinds
	Dest   int     // number of the destination
	Rating float64 // capacity by the list; in calls per second with Settings.RatingIsRate
	// Streams is the number of calls that a connection there carries at once; 0 means Settings.StreamsPerConn. Only the
	// first entry of an endpoint sets it.
	Streams int
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events, with the fields that each one sets.
const (
	EvList      EventKind = iota // List, FullList; Failed if the list could not be fetched
	EvMessage                    // ID, Class, Tenant, Key, Remaining, Resubmitted, Dest; Restored: Attempts, MayHaveRun*
	EvOutcome                    // ID, Endpoint, Attempt, Outcome, RequestedWait, Latency, Final, Report
	EvWithdrawn                  // ID
	EvTimer                      // Token
	EvProbe                      // Endpoint, Outcome, Latency, Report; ignored, as the module sends no probes
	EvFacts                      // Facts for endpoints first listed later in this step; to known ones only waits apply
	EvPace                       // Dest, or Endpoint of one with a limit of its own; Pace, which caps the calls there
	EvSettings                   // Settings read again: Classes, a list that only grows, and MaxAttempts
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran. Full is a refusal by a limit; Moot
// says nothing about the endpoint.
const (
	OK Outcome = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

var outcomeNames = [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == Moot }

// UnknownZone stands for the zone of an attempt that may have run in any.
const UnknownZone = -1

// Event is an input of a Sender.
type Event struct {
	Kind           EventKind
	ID             uint64
	Class          int
	Tenant         int
	Key            uint64  // 0: none
	Remaining      float64 // time until the deadline; at most Class.Deadline counts
	Resubmitted    bool    // by its client, or taken over from a sender that died
	Dest           int
	Restored       bool    // accepted in an earlier run of the sender, from its journal
	Attempts       int     // Restored: attempts made so far; they count towards MaxAttempts
	MayHaveRun     bool    // Restored: one of the attempts may have run
	MayHaveRunAge  float64 // Restored: time since the first such attempt was sent; not above Step's now
	MayHaveRunZone int     // Restored: zone of the endpoint of that attempt; may be UnknownZone
	Endpoint       uint32
	Attempt        int // 0: the first
	Outcome        Outcome
	RequestedWait  float64 // wait that the partner asks for; 0: none
	Latency        float64
	Final          bool      // the message has ended: it gets no further attempt or answer
	Report         []float64 // fields as the destination reports them; see Settings.AllowanceIndex and LimitIndex
	Token          uint32    // of the ActTimer that has come due
	List           []Endpoint
	FullList       bool // List replaces all earlier lists
	Failed         bool // the list could not be fetched
	Facts          []DestFacts
	Pace           float64 // calls per second; 0: the cap ends
	Settings       *Settings
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions, with the fields that each one sets.
const (
	ActSend      ActionKind = iota // ID, Endpoint, After = time-out
	ActRefuse                      // ID, After = Retry-After; promises that the message never ran or may be repeated
	ActFail                        // ID; the message may have run
	ActTimer                       // Token, After
	ActProbe                       // Endpoint; never returned at present
	ActCloseIdle                   // Endpoint whose idle connections are closed
	ActSubscribe                   // none; requests the endpoint list
	ActLog                         // Text
)

// Action is an output of a Sender.
type Action struct {
	Kind     ActionKind
	ID       uint64
	Endpoint uint32
	After    float64
	Token    uint32
	Text     string
}
