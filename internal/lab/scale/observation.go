package scale

// Observation is one thing that a member saw, with the machine's monotonic clock, which all processes of a run read.
type Observation struct {
	At      int64     `json:"at"` // nanoseconds
	Kind    EventKind `json:"kind"`
	Member  int       `json:"member"`
	Version uint64    `json:"version,omitempty"`
	// Of Applied: destinations whose endpoints it holds now, with the number of the change that made them so, and shards.
	Changes    []SeenChange `json:"changes,omitempty"`
	Assigned   []uint32     `json:"assigned,omitempty"`
	Unassigned []uint32     `json:"unassigned,omitempty"`
}

// SeenChange is a destination as a member knows it.
type SeenChange struct {
	Destination uint64 `json:"d"`
	Number      int    `json:"n"`
}

// EventKind is what an observation tells.
type EventKind string

// The kinds.
const (
	Up        EventKind = "up"      // the member began, and knows nothing
	Down      EventKind = "down"    // it ended
	Applied   EventKind = "applied" // it learned something
	AtVersion EventKind = "at"      // the version that it is at, told now and then
)

// Order is what the runner tells a process of hollow members.
type Command struct {
	Stop  []int `json:"stop,omitempty"`
	Start []int `json:"start,omitempty"`
}

// HollowSettings are what a process of hollow members is told first.
type HollowSettings struct {
	Members        []HollowMember  `json:"members"`
	Controls       []ControlServer `json:"controls"`
	DisabledChecks uint            `json:"break,omitempty"`
}

// HollowMember is one member.
type HollowMember struct {
	Number int    `json:"number"`
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
}

// ControlServer is a control member that members may subscribe at.
type ControlServer struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Region string `json:"region"`
}
