package scale

// Observation is one event at a hollow member. Its time is the machine's monotonic clock, which all processes of a run
// share.
type Observation struct {
	At      int64     `json:"at"` // nanoseconds
	Kind    EventKind `json:"kind"`
	Member  int       `json:"member"`
	Version uint64    `json:"version,omitempty"`
	// Only with kind Applied: the destinations whose endpoints the update set, each with the number of its last change,
	// and the shards assigned to and withdrawn from the member.
	Changes    []SeenChange `json:"changes,omitempty"`
	Assigned   []uint32     `json:"assigned,omitempty"`
	Unassigned []uint32     `json:"unassigned,omitempty"`
}

// SeenChange is a destination with the number of the last change that the member has applied to it.
type SeenChange struct {
	Destination uint64 `json:"d"`
	Number      int    `json:"n"`
}

// EventKind is the kind of an observation.
type EventKind string

// Kinds of observations.
const (
	Up        EventKind = "up"      // the member started, with empty state
	Down      EventKind = "down"    // the member stopped
	Applied   EventKind = "applied" // the member applied an update
	AtVersion EventKind = "at"      // periodic report of the member's version
)

// Command tells a process of hollow members to stop and start members, given by number.
type Command struct {
	Stop  []int `json:"stop,omitempty"`
	Start []int `json:"start,omitempty"`
}

// HollowSettings is the first message to a process of hollow members.
type HollowSettings struct {
	Members        []HollowMember  `json:"members"`
	Controls       []ControlServer `json:"controls"`
	DisabledChecks uint            `json:"break,omitempty"` // bits of directory.SubscriptionCheck
}

// HollowMember identifies a member and its location.
type HollowMember struct {
	Number int    `json:"number"`
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// ControlServer is a control member to which members can subscribe.
type ControlServer struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Region string `json:"region"`
}
