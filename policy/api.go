// Package policy decides when and where a sender delivers outbound messages.
//
// This file is the interface of the decision module: the settings it starts
// from, the events it is told and the actions it answers with. It holds facts
// only; every decision and every tuned value is in policy.go.
//
// Times are milliseconds. The caller owns the clock.
package policy

// Effect tells what may be done with a message that may already have run.
type Effect uint8

// The effects of a class of message.
const (
	Safe   Effect = iota // may be repeated without restriction
	Keyed                // repeats are dropped within the class's memory span
	Unsafe               // must never run twice
)

// Class describes one class of message.
type Class struct {
	Name        string
	Aim         float64 // delivered within this time it earns its full worth
	Deadline    float64 // how long it may be delivered at all
	Worth       float64
	LateWorth   float64 // share of the worth left at the deadline
	Effect      Effect
	ZoneScope   bool    // keyed: only endpoints of the same zone drop repeats
	DedupWindow float64 // keyed: how long repeats are dropped
	Ordered     bool    // messages of one key go one at a time, in order
}

// Tenant describes one tenant of the service.
type Tenant struct {
	Name  string
	Quota float64 // messages a second within its share, over all senders
}

// DestKind describes one kind of destination.
type DestKind struct {
	Name      string
	OwnLimits bool // endpoints are routes apart, each with its own limit
	Batch     int  // messages that one call may carry
}

// Settings are the facts a sender starts with.
type Settings struct {
	Index, Senders             int
	Zone                       int
	Zones                      []string // names, by position
	MinStepInterval            float64  // least interval between steps
	Classes                    []Class
	Tenants                    []Tenant
	Kinds                      []DestKind
	ZoneFees                   []float64 // price of a message to a route apart, by zone
	CrossZoneFee               float64   // price of an attempt that crosses zones, in points of G a first try
	CallSlots                  int
	WorthHalves                bool // worth halves with each further aim, else falls evenly
	OverShareWorth             float64
	RatingIsRate               bool // Endpoint.Rating is a rate in calls a second
	AllowanceIndex, LimitIndex int  // positions in a report of the allowance left and the limit; -1 if absent
	MayCancel                  bool
	MayProbe                   bool
	MarksResubmissions         bool // Event.Again is told
	SendsRetryAfter            bool // clients are given the retry-after of a refusal
	MaxRetryAfter              float64
	MaxAttempts                int
	MaxHeld                    int
	StreamsPerConn             int
	KeepAlive                  float64
	DialTimeout                float64
	Subscribe                  bool    // discovery is sent on request only
	MaxSubscribeInterval       float64 // with Subscribe: how often the list must be asked for
	AnswerSlack                float64 // how late a final answer may still come
	DrainGrace                 float64
	WarmUpDuration             float64 // a destination is warm this long after an outage
	ColdCapacity               float64 // share of its capacity that a cold destination has
	OverloadMultiple           float64
	OverloadWindow             float64
	KeyPause                   float64 // how long a key rests after an attempt in doubt
}

// EndpointState is the listed state of an endpoint.
type EndpointState uint8

// The listed states.
const (
	Gone     EndpointState = 0
	Ready    EndpointState = 1
	Draining EndpointState = 2
)

// Endpoint is one line of the list of endpoints.
type Endpoint struct {
	ID     uint32
	State  EndpointState
	Zone   int
	Kind   int
	Dest   int
	Rating float64
	// Streams is how many calls a connection there carries at once; 0: Settings.StreamsPerConn. Of its first line.
	Streams int
}

// EventKind tells the events apart.
type EventKind uint8

// The events. The fields that each one sets are named beside it.
const (
	EvList      EventKind = iota // List, Full; Failed if the list could not be had
	EvMessage                    // ID, Class, Tenant, Key, Left, Again, Dest; if Restored: Attempts, Doubtful, DoubtAge, Zone
	EvOutcome                    // ID, Endpoint, Attempt, Outcome, Wait, Latency, Closed, Report
	EvWithdrawn                  // ID
	EvTimer                      // Token
	EvProbe                      // Endpoint, Outcome, Latency, Report
	EvFacts                      // Facts, of an earlier life, on what lists of this same step name for the first time
	EvPace                       // Dest, or Endpoint of one with a limit of its own; Pace, which caps what goes there
	EvSettings                   // Settings read anew: Classes, a list that only grows, and MaxAttempts
)

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes. Full, ConnectFailed and Moot prove that the attempt never ran.
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

// String is the outcome in a word.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == Moot }

// Event is one thing that the sender is told.
type Event struct {
	Kind           EventKind
	ID             uint64
	Class          int
	Tenant         int
	Key            uint64 // 0 = none
	Remaining      float64
	Resubmitted    bool // handed in again by its client, or taken over from a sender that died
	Dest           int
	Restored       bool    // taken on in an earlier life of the sender, from its journal
	Attempts       int     // Restored: attempts made so far; they count towards MaxAttempts
	MayHaveRun     bool    // Restored: one of them may have run:
	MayHaveRunAge  float64 // how long ago the first of these was sent; less than the clock itself,
	MayHaveRunZone int     // and the zone of its endpoint
	Endpoint       uint32
	Attempt        int
	Outcome        Outcome
	RequestedWait  float64 // the wait that was told; 0 = none
	Latency        float64
	Final          bool
	Report         []float64
	Token          uint32
	List           []Endpoint
	FullList       bool // List replaces the list held before
	Failed         bool
	Facts          []DestFacts
	Pace           float64 // calls a second; 0 = no longer
	Settings       *Settings
}

// ActionKind tells the actions apart.
type ActionKind uint8

// The actions. The fields that each one sets are named beside it.
const (
	ActSend      ActionKind = iota // ID, Endpoint, After = time-out
	ActRefuse                      // ID, After = retry-after; a promise that it never ran or may be repeated
	ActFail                        // ID
	ActTimer                       // Token, After
	ActProbe                       // Endpoint
	ActCloseIdle                   // Endpoint
	ActSubscribe                   // none
	ActLog                         // Text
)

// Action is one thing that the sender does.
type Action struct {
	Kind     ActionKind
	ID       uint64
	Endpoint uint32
	After    float64
	Token    uint32
	Text     string
}
