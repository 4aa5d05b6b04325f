package capacity

import (
	"math"

	"sliptide/internal/discovery"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/link"
	"sliptide/internal/operator"
	"sliptide/internal/sender"
)

const (
	secondsPerDay = 86400
	kilo          = 1e3 // prefixes of units are decimal, also with bytes
	mega          = 1e6
)

// Row is one row of the page: the product of measured slopes and quantities of the target, compared with a budget.
type Row struct {
	Role        string
	Description string
	Series      []string // names of the series whose slopes Need gets, in this order
	Formula     string   // the calculation of Need, in words
	Unit        string
	Need        func(t *Target, slopes []float64) float64 // amount needed at a target, in Unit
	Budget      func(t *Target) float64                   // in Unit; nil if no budget is stated
	BudgetName  string
	Mechanism   string // current mechanism that causes the need
	PerSender   bool   // the need depends on what one sender holds and handles, not on the size of the fleet
}

// Rows returns all rows of the page.
func Rows() []Row {
	memory := func(t *Target) float64 { return t.MemoryMB }
	links := func(t *Target) float64 { return t.LinkKBPerSecond }
	processor := func(t *Target) float64 { return t.CorePercent }
	ready := func(t *Target) float64 { return t.ReadyWithin.Seconds() }
	frame := func(*Target) float64 { return link.MaxFrame / mega }
	// Sessions that begin or end, per second: each restart ends one and begins one.
	changes := func(t *Target) float64 { return 2 * t.RestartsPerDay / secondsPerDay }
	return []Row{{
		Role: roleSender, Description: "memory of known destinations", Series: []string{"destination-memory"},
		Unit:    "MB",
		Formula: "slope x destinations", Need: func(t *Target, s []float64) float64 { return s[0] * t.Destinations },
		Budget: memory, BudgetName: "memory for control", Mechanism: "every sender receives the whole list",
	}, {
		Role: roleSender, Description: "memory of known destinations, in the decision module alone",
		Series: []string{"module-destination-memory"}, Unit: "MB",
		Formula: "slope x destinations",
		Need:    func(t *Target, s []float64) float64 { return s[0] / kilo * t.Destinations },
		Budget:  memory, BudgetName: "memory for control", Mechanism: "policy.Sender keeps each listed endpoint",
	}, {
		Role: roleSender, Description: "memory of known destinations with shards on",
		Series: []string{"destination-memory"}, Unit: "MB",
		Formula: "slope x destinations x 2 replicas x regions / senders", Need: func(t *Target, s []float64) float64 {
			return s[0] * t.Destinations * shardReplicas * t.Regions / t.Senders
		},
		Budget: memory, BudgetName: "memory for control",
		Mechanism: "each sender receives the endpoints of its shards (docs/scale.md)", PerSender: true,
	}, {
		Role: roleControl, Description: "memory of the directory", Series: []string{"directory-memory"}, Unit: "GB",
		Formula:   "slope x destinations",
		Need:      func(t *Target, s []float64) float64 { return s[0] / mega * t.Destinations },
		Mechanism: "each control member holds all endpoints",
	}, {
		Role: roleSender, Description: "processor time to accept and deliver events", Series: []string{"event-cpu"},
		Unit:      "cores",
		Formula:   "slope x events a second of a sender",
		Need:      func(t *Target, s []float64) float64 { return s[0] / kilo * t.EventsPerSecondPerSender() },
		Mechanism: "one goroutine per connection, and one for the module", PerSender: true,
	}, {
		Role: roleSender, Description: "processor time of steps that send, with the whole backlog held for one destination",
		Series: []string{"module-send"}, Unit: "cores",
		Formula: "slope x backlog of a sender x events a second of a sender",
		Need: func(t *Target, s []float64) float64 {
			return s[0] / mega * t.BacklogPerSender() * t.EventsPerSecondPerSender()
		},
		Mechanism: "policy.Sender.chooseMessage scans all held events of a destination", PerSender: true,
	}, {
		Role: roleSender, Description: "memory of held events", Series: []string{"held-memory"}, Unit: "GB",
		Formula:   "slope x backlog of a sender",
		Need:      func(t *Target, s []float64) float64 { return s[0] / kilo * t.BacklogPerSender() },
		Mechanism: "all held events are in memory", PerSender: true,
	}, {
		Role: roleSender, Description: "memory of held events after a restart", Series: []string{"restart-memory"},
		Unit:      "GB",
		Formula:   "slope x backlog of a sender",
		Need:      func(t *Target, s []float64) float64 { return s[0] / kilo * t.BacklogPerSender() },
		Mechanism: "the journal is replayed into memory", PerSender: true,
	}, {
		Role: roleSender, Description: "size of the journal", Series: []string{"journal-bytes"}, Unit: "GB",
		Formula:   "slope x backlog of a sender",
		Need:      func(t *Target, s []float64) float64 { return s[0] / mega * t.BacklogPerSender() },
		Mechanism: "one append-only file, compacted", PerSender: true,
	}, {
		Role: roleSender, Description: "time until ready after SIGKILL", Series: []string{"restart-ready"}, Unit: "s",
		Formula: "slope x backlog of a sender",
		Need:    func(t *Target, s []float64) float64 { return s[0] / kilo * t.BacklogPerSender() },
		Budget:  ready, BudgetName: "time until ready", Mechanism: "the whole journal is replayed first", PerSender: true,
	}, {
		Role: roleSender, Description: "time until ready after SIGKILL, the replay's processor time alone", Series: []string{"journal-replay"},
		Unit:    "s",
		Formula: "slope x backlog of a sender",
		Need:    func(t *Target, s []float64) float64 { return s[0] / kilo * t.BacklogPerSender() },
		Budget:  ready, BudgetName: "time until ready", Mechanism: "journal.Open", PerSender: true,
	}, {
		Role: roleHolder, Description: "traffic to two holders", Series: []string{"copy-bytes"}, Unit: "KB/s",
		Formula:   "2 x slope x events a second of a sender",
		Need:      func(t *Target, s []float64) float64 { return 2 * s[0] * t.EventsPerSecondPerSender() },
		Mechanism: "each record is sent to each holder (data, not control)", PerSender: true,
	}, {
		Role: roleVoter, Description: "processor time of the leader's links",
		Series: []string{"group-frames", "link-frame"}, Unit: "cores",
		Formula: "frames a second a sender x senders x time of a frame",
		Need:    func(t *Target, s []float64) float64 { return s[0] * t.Senders * s[1] / kilo },
		Budget:  func(t *Target) float64 { return 1 }, BudgetName: "one core, the loop of one leader",
		Mechanism: "one group, through one leader",
	}, {
		Role: roleVoter, Description: "frames a second through one leader", Series: []string{"group-frames"},
		Unit:    "frames/s",
		Formula: "slope x senders", Need: func(t *Target, s []float64) float64 { return s[0] * t.Senders },
		Mechanism: "one group, through one leader",
	}, {
		Role: roleVoter, Description: "traffic to a sender: the list of present members, sent at each change",
		Series: []string{"present-bytes"}, Unit: "KB/s",
		Formula: "slope x senders x 2 x restarts a second",
		Need:    func(t *Target, s []float64) float64 { return s[0] * t.Senders * changes(t) },
		Budget:  links, BudgetName: "links for control", Mechanism: "each change sends the list of all members to each member",
	}, {
		Role: roleVoter, Description: "traffic of the leader: the same list to all senders", Series: []string{"present-bytes"}, Unit: "MB/s",
		Formula:   "slope x senders x 2 x restarts a second x senders",
		Need:      func(t *Target, s []float64) float64 { return s[0] * t.Senders * changes(t) * t.Senders / kilo },
		Mechanism: "the leader sends to every member",
	}, {
		Role: roleVoter, Description: "snapshot of the agreed state", Series: []string{"state-session", "state-duty"},
		Unit:    "MB",
		Formula: "slope x senders + slope x destinations that are down",
		Need:    func(t *Target, s []float64) float64 { return (s[0]*t.Senders + s[1]*t.DownDestinations()) / kilo },
		Budget:  frame, BudgetName: "a frame (link.MaxFrame)", Mechanism: "one Raft message",
	}, {
		Role: roleVoter, Description: "processor time to end sessions", Series: []string{"session-end"}, Unit: "cores",
		Formula: "slope x destinations that are down x restarts a second",
		Need:    func(t *Target, s []float64) float64 { return s[0] / mega * t.DownDestinations() * changes(t) / 2 },
		Budget:  func(*Target) float64 { return 1 }, BudgetName: "one core, the loop of one leader",
		Mechanism: "each end of a session sorts and scans all duties",
	}, {
		Role: roleDistribution, Description: "size of the whole endpoint list", Series: []string{"list-bytes"}, Unit: "MB",
		Formula:    "slope x destinations",
		Need:       func(t *Target, s []float64) float64 { return s[0] / kilo * t.Destinations },
		Budget:     func(*Target) float64 { return discovery.MaxListBytes / mega },
		BudgetName: "the longest accepted list (discovery.MaxListBytes)",
		Mechanism:  "discovery answers each sender with the whole list",
	}, {
		Role: roleDistribution, Description: "processor time to apply the whole endpoint list", Series: []string{"list-take"},
		Unit:    "s",
		Formula: "slope x destinations",
		Need:    func(t *Target, s []float64) float64 { return s[0] / kilo * t.Destinations },
		Budget:  ready, BudgetName: "time until ready", Mechanism: "discovery answers each sender with the whole list",
	}, {
		Role: roleDistribution, Description: "processor time to read the operators' file at each change",
		Series: []string{"member-file"}, Unit: "% of a core",
		Formula: "slope x senders x changes a second", Need: func(t *Target, s []float64) float64 {
			return s[0] / kilo * t.Senders * t.ChangesPerDay / secondsPerDay * 100
		},
		Budget: processor, BudgetName: "processor for control", Mechanism: "a file on each machine, and SIGHUP",
	}, {
		Role: roleDistribution, Description: "traffic to copy the operators' file to each sender at each change",
		Series: []string{"member-file-bytes"}, Unit: "KB/s",
		Formula: "slope x senders x changes a second",
		Need:    func(t *Target, s []float64) float64 { return s[0] * t.Senders * t.ChangesPerDay / secondsPerDay },
		Budget:  links, BudgetName: "links for control", Mechanism: "none: the operators of the machines copy the file",
	}, {
		Role: roleTelemetry, Description: "processor time of all events' traces", Series: []string{"telemetry-event"},
		Unit:    "% of a core",
		Formula: "slope x events a second of a sender",
		Need:    func(t *Target, s []float64) float64 { return s[0] / kilo * t.EventsPerSecondPerSender() * 100 },
		Budget:  processor, BudgetName: "processor for control, if traces count as control",
		Mechanism: "a goroutine of its own", PerSender: true,
	}, {
		Role: roleOperator, Description: "size of the answer to `sliptide fleet status`", Series: []string{"status-bytes"},
		Unit:    "MB",
		Formula: "slope x senders", Need: func(t *Target, s []float64) float64 { return s[0] / kilo * t.Senders },
		Budget: frame, BudgetName: "a frame (link.MaxFrame)", Mechanism: "one voter answers with all members",
	}}
}

// BreaksAt returns the share of the target at which the row's need reaches its budget: a share of the fleet's size, or
// for a row with PerSender of the load and backlog of one sender. A share of 1 or more means that the budget holds at
// the target. stated is false if the row has no budget.
func (r *Row) BreaksAt(t *Target, slopes []float64) (share float64, stated bool) {
	if r.Budget == nil {
		return 0, false
	}
	budget := r.Budget(t)
	if r.PerSender {
		return budget / r.Need(t, slopes), true
	}
	low, high := 0.0, 1.0
	for r.Need(t.Scaled(high), slopes) < budget && high < 1e6 {
		high *= 2
	}
	for range 60 {
		middle := (low + high) / 2
		if r.Need(t.Scaled(middle), slopes) < budget {
			low = middle
		} else {
			high = middle
		}
	}
	return high, true
}

// slopes returns the slopes of the row's series, negative ones as 0: they come from scatter, as no need falls with
// size. ok is false if a series was not measured.
func (r *Row) slopes(record *Record) (list []float64, ok bool) {
	for _, name := range r.Series {
		s := record.SeriesByName(name)
		if s == nil {
			return nil, false
		}
		list = append(list, math.Max(s.Fit.Slope, 0))
	}
	return list, true
}

// Bound is a constant in the code that limits the size of a fleet.
type Bound struct {
	Description  string
	Constant     string
	File         string
	Value        float64
	Need         func(t *Target) float64
	WhenExceeded string // behaviour past the bound
}

// Bounds returns the constants that limit the size of a fleet.
func Bounds() []Bound {
	return []Bound{{
		Description: "destinations that a sender knows", Constant: "sender.MaxDestinations",
		File: "internal/sender/sender.go", Value: sender.MaxDestinations,
		Need:         func(t *Target) float64 { return t.Destinations },
		WhenExceeded: "messages for others are refused with 503",
	}, {
		Description: "endpoints that a sender has known during a process run", Constant: "discovery.MaxEndpoints",
		File: "internal/discovery/watch.go", Value: discovery.MaxEndpoints,
		Need: func(t *Target) float64 { return t.Destinations }, WhenExceeded: "further ones are ignored, and logged once",
	}, {
		Description: "members of a group", Constant: "duty.MaxSessions", File: "internal/fleet/duty/duty.go",
		Value: duty.MaxSessions,
		Need:  func(t *Target) float64 { return t.Senders }, WhenExceeded: "further ones get no session",
	}, {
		Description: "members in an operators' file", Constant: "operator.MaxMembers",
		File: "internal/operator/fleet.go", Value: operator.MaxMembers,
		Need: func(t *Target) float64 { return t.Senders }, WhenExceeded: "the file is refused",
	}, {
		Description: "links that a voter accepts", Constant: "link.MaxLinks", File: "internal/fleet/link/link.go",
		Value: link.MaxLinks,
		Need:  func(t *Target) float64 { return t.Senders }, WhenExceeded: "further ones are refused",
	}, {
		Description: "duties, one for each destination that is down", Constant: "duty.MaxDuties",
		File: "internal/fleet/duty/duty.go", Value: duty.MaxDuties,
		Need:         func(t *Target) float64 { return t.DownDestinations() },
		WhenExceeded: "trials of further destinations are not shared",
	}}
}
