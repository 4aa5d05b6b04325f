package operator

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/strictxml"
)

// Fleet sets how senders act together. Off, each is alone.
type Fleet struct {
	Enabled       bool
	ListenAddr    string // where this member takes links; empty: its address in Members
	MinVoters     int    // voters that must see each other to found the group; 0: all
	Weight        int    // of this member, for how many duties it gets
	CA, Cert, Key string
	Members       []Member
	Duties        Duties
	Trials        Trials
	Copies        Copies
	Shards        Shards
}

// Shards sets whether this sender serves the destinations of its shards alone, of which control members tell it.
type Shards struct {
	Enabled        bool
	Region         string
	Zone           string
	Weight         int
	Replicas       int
	ControlMembers []ControlMember
}

// ControlMember is one control member that a sender may subscribe at.
type ControlMember struct{ Name, Addr, Region string }

// Member is one sender of the fleet, by its RELAY_NAME.
type Member struct {
	Name, Addr, Zone string
	Voter            bool
}

// Duties sets how long a member may rely on what it holds.
type Duties struct {
	Lease           time.Duration
	ClockDrift      float64 // share by which a clock may run fast or slow
	ElectionTimeout time.Duration
}

// Trials sets whether one member makes the first calls to a partner that is down.
type Trials struct {
	Enabled        bool
	SilenceTimeout time.Duration // the others wait so long for its word
}

// Copies sets how what a sender has taken on is copied to further members.
type Copies struct {
	Enabled        bool
	Count          int // members that keep copies
	Required       int // of these, that have a message before its client is told 202
	Timeout        time.Duration
	AcceptUncopied bool // where too few can be reached: take messages on all the same, else refuse them
	QuotaBytes     int64
	Classes        []CopyClass
}

// CopyClass sets another number of copies for the messages of one class.
type CopyClass struct {
	Name     string
	Required int
}

// tooMany finds a class that waits for more copies than there are.
func (c *Copies) tooMany() string {
	for _, k := range c.Classes {
		if k.Required > c.Count {
			return fmt.Sprintf("fleet: copies: class %q: needed=\"%d\" of count=\"%d\"; allowed: count at most", k.Name, k.Required, c.Count)
		}
	}
	return ""
}

// Voters are the members that vote.
func (f *Fleet) Voters() (list []Member) {
	for _, m := range f.Members {
		if m.Voter {
			list = append(list, m)
		}
	}
	return list
}

// Hash is of what must be alike in the files of all members: who votes, the lease, drift and election. Addresses
// may change one file at a time.
func (f *Fleet) Hash() uint64 {
	var b strings.Builder
	for _, m := range f.Voters() {
		fmt.Fprintf(&b, "%s;", m.Name)
	}
	fmt.Fprintf(&b, "%v;%v;%v;%v", f.Duties.Lease, f.Duties.ClockDrift, f.Duties.ElectionTimeout, f.MinVoters)
	return xxhash.Sum64String(b.String())
}

// fleetSpec is the element.
func fleetSpec() element {
	last := func(f *File) *Member { return &f.Fleet.Members[len(f.Fleet.Members)-1] }
	path := strictxml.Text("[!-~]{1,1000}", "a path without blanks")
	addr := strictxml.Text(`[0-9A-Za-z.:\[\]-]{3,80}`, "an IP address and a port, such as 127.0.0.1:7101")
	name := strictxml.Text("[0-9A-Za-z_.-]{1,64}", "letters, digits, dots, dashes and underscores, 64 at most")
	return element{
		Name: "fleet", Doc: "Senders that act together: duties that one of them holds at a time.",
		Attrs: []attribute{{
			Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on.",
			SetNumber: func(f *File, v int64) { f.Fleet.Enabled = v == 1 },
		}, {
			Name: "listen", Values: addr, Doc: "Where this member takes links; else its own addr below.",
			SetText: func(f *File, v string) { f.Fleet.ListenAddr = v },
		}, {
			Name: "voter-minimum", Values: strictxml.Integer(2, 5), Doc: "Voters that must see each other once, at the founding; else all. More than half of them.",
			SetNumber: func(f *File, v int64) { f.Fleet.MinVoters = int(v) },
		}, {
			Name: "weight", Default: "1", Values: strictxml.Integer(1, 100), Doc: "How many duties this member gets, beside the others.",
			SetNumber: func(f *File, v int64) { f.Fleet.Weight = int(v) },
		}, {
			Name: "ca", Values: path, Doc: "CA certificates in PEM that the members' own are signed by. With cert and key: links use TLS both ways.",
			SetText: func(f *File, v string) { f.Fleet.CA = v },
		}, {
			Name: "cert", Values: path, Doc: "This member's certificate in PEM.",
			SetText: func(f *File, v string) { f.Fleet.Cert = v },
		}, {
			Name: "key", Values: path, Doc: "Its key in PEM, which nobody else may read.",
			SetText: func(f *File, v string) { f.Fleet.Key = v },
		}},
		Children: []element{{
			Name: "member", Doc: "One sender of the fleet; all members' files list the same voters.", Repeated: true, Unique: "name",
			Add: func(f *File) { f.Fleet.Members = append(f.Fleet.Members, Member{}) },
			Attrs: []attribute{{
				Name: "name", Required: true, Values: name, Doc: "Its RELAY_NAME.",
				SetText: func(f *File, v string) { last(f).Name = v },
			}, {
				Name: "addr", Required: true, Values: addr, Doc: "Where it takes links.",
				SetText: func(f *File, v string) { last(f).Addr = v },
			}, {
				Name: "zone", Values: name, Doc: "The building that it stands in.",
				SetText: func(f *File, v string) { last(f).Zone = v },
			}, {
				Name: "voter", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "It keeps the log and votes. 3 or 5 members do.",
				SetNumber: func(f *File, v int64) { last(f).Voter = v == 1 },
			}},
		}, {
			Name: "duties", Doc: "How long a member may rely on what it holds.",
			Attrs: []attribute{{
				Name: "lease", Default: "2s", Values: strictxml.Duration(200*time.Millisecond, time.Minute), Doc: "A holder that is cut off or stopped gives up within it; at least twice the election time.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.Lease = time.Duration(v) },
			}, {
				Name: "drift", Default: "0.05", Values: strictxml.OneOf("0.01", "0.02", "0.05", "0.1", "0.2"), Doc: "The share by which a member's clock may run fast or slow.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.ClockDrift = []float64{0.01, 0.02, 0.05, 0.1, 0.2}[v] },
			}, {
				Name: "election", Default: "500ms", Values: strictxml.Duration(100*time.Millisecond, 20*time.Second), Doc: "A voter that hears nothing of a leader for so long asks to lead.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.ElectionTimeout = time.Duration(v) },
			}},
		}, shardsSpec(name, addr), {
			Name: "trials", Doc: "One member makes the first calls to a partner that is down; the others wait for its word. Needs storms.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on.",
				SetNumber: func(f *File, v int64) { f.Fleet.Trials.Enabled = v == 1 },
			}, {
				Name: "bound", Default: "4s", Values: strictxml.Duration(500*time.Millisecond, time.Minute), Doc: "Without a word for so long, a member tries by itself, as without a fleet.",
				SetNumber: func(f *File, v int64) { f.Fleet.Trials.SilenceTimeout = time.Duration(v) },
			}},
		}, {
			Name: "copies", Doc: "What a sender has taken on is copied to further members, so that a machine lost with its disk loses nothing.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Enabled = v == 1 },
			}, {
				Name: "count", Default: "2", Values: strictxml.Integer(1, 4), Doc: "Members that keep copies of a sender's journal.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Count = int(v) },
			}, {
				Name: "needed", Default: "1", Values: strictxml.Integer(1, 4), Doc: "Of these, how many must have a message before its client is told 202; count at most.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Required = int(v) },
			}, {
				Name: "patience", Default: "150ms", Values: strictxml.Duration(10*time.Millisecond, 300*time.Millisecond), Doc: "How long that may take; clients wait 400 ms.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Timeout = time.Duration(v) },
			}, {
				Name: "when-short", Default: "refuse", Values: strictxml.OneOf("refuse", "take"), Doc: "Where too few can be reached: 503 with Retry-After, or 202 with what there is.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.AcceptUncopied = v == 1 },
			}, {
				Name: "room", Default: "64MiB", Values: strictxml.Size(64<<10, 1<<40), Doc: "What copies of others may take here, within limits.disk_mb.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.QuotaBytes = v },
			}},
			Children: []element{{
				Name: "class", Doc: "A class whose messages wait for another number of copies than the rest.", Repeated: true, Unique: "name",
				Add: func(f *File) { f.Fleet.Copies.Classes = append(f.Fleet.Copies.Classes, CopyClass{}) },
				Attrs: []attribute{{
					Name: "name", Required: true, Values: strictxml.Text("[!-~]{1,100}", "a class's name, without blanks"), Doc: "Its name in the platform's settings.",
					SetText: func(f *File, v string) { f.Fleet.Copies.Classes[len(f.Fleet.Copies.Classes)-1].Name = v },
				}, {
					Name: "needed", Required: true, Values: strictxml.Integer(1, 4), Doc: "Members that must have such a message before its client is told 202; count at most.",
					SetNumber: func(f *File, v int64) { f.Fleet.Copies.Classes[len(f.Fleet.Copies.Classes)-1].Required = int(v) },
				}},
			}},
		}},
	}
}

// MaxMembers is how many members a file may list.
const MaxMembers = 1000

// shardsSpec is the element.
func shardsSpec(name, addr strictxml.Values) element {
	last := func(f *File) *ControlMember {
		return &f.Fleet.Shards.ControlMembers[len(f.Fleet.Shards.ControlMembers)-1]
	}
	return element{
		Name: "shards", Doc: "This sender serves the destinations of its shards alone, and learns of them from control members in place of discovery.",
		Attrs: []attribute{{
			Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Switches the part on. The fleet itself may be off.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Enabled = v == 1 },
		}, {
			Name: "region", Values: name, Doc: "Where this sender stands; shards are assigned among the senders of a region.",
			SetText: func(f *File, v string) { f.Fleet.Shards.Region = v },
		}, {
			Name: "zone", Values: name, Doc: "The zone of that region; a shard's replicas are spread over zones.",
			SetText: func(f *File, v string) { f.Fleet.Shards.Zone = v },
		}, {
			Name: "weight", Default: "1", Values: strictxml.Integer(1, 100), Doc: "How much this sender serves, beside the others.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Weight = int(v) },
		}, {
			Name: "replicas", Default: "2", Values: strictxml.Integer(1, 5), Doc: "Senders of a region that serve a destination; alike in all files and the control members'.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Replicas = int(v) },
		}},
		Children: []element{{
			Name: "control", Doc: "A control member.", Repeated: true, Unique: "name",
			Add: func(f *File) { f.Fleet.Shards.ControlMembers = append(f.Fleet.Shards.ControlMembers, ControlMember{}) },
			Attrs: []attribute{{
				Name: "name", Required: true, Values: name, Doc: "Its name.", SetText: func(f *File, v string) { last(f).Name = v },
			}, {
				Name: "addr", Required: true, Values: addr, Doc: "Where it takes links of subscribers.", SetText: func(f *File, v string) { last(f).Addr = v },
			}, {
				Name: "region", Values: name, Doc: "Where it stands; those of the own region are tried first.", SetText: func(f *File, v string) { last(f).Region = v },
			}},
		}},
	}
}

// check finds what is wrong with the shards' settings.
func (s *Shards) check(f *Fleet) string {
	switch {
	case !s.Enabled:
		return ""
	case f.Enabled:
		return "fleet: enabled=\"true\" and shards enabled=\"true\"; allowed: one of them, duties and copies do not go with shards yet"
	case s.Region == "" || s.Zone == "":
		return "fleet: shards: region and zone are needed"
	case len(s.ControlMembers) == 0:
		return "fleet: shards: no <control>; allowed: one or more"
	case (f.Cert == "") != (f.Key == "") || (f.Cert == "") != (f.CA == ""):
		return "fleet: ca, cert and key go together"
	}
	for _, c := range s.ControlMembers {
		if bad := checkAddr(c.Addr, f.Cert != ""); bad != "" {
			return fmt.Sprintf("fleet: shards: control %q: addr=%q: %s", c.Name, c.Addr, bad)
		}
	}
	return ""
}

// check finds what a schema cannot say.
func (f *Fleet) check(storms bool) string {
	if bad := f.Shards.check(f); bad != "" {
		return bad
	}
	if !f.Enabled {
		return ""
	}
	voters := len(f.Voters())
	switch {
	case voters != 3 && voters != 5:
		return fmt.Sprintf("fleet: %d members have voter=\"true\"; allowed: 3 or 5, so that a majority stays when one or two are lost", voters)
	case f.MinVoters != 0 && (f.MinVoters > voters || 2*f.MinVoters <= voters):
		return fmt.Sprintf("fleet: voter-minimum=\"%d\" of %d voters; allowed: %d to %d", f.MinVoters, voters, voters/2+1, voters)
	case len(f.Members) > MaxMembers:
		return fmt.Sprintf("fleet: %d members; allowed: %d at most", len(f.Members), MaxMembers)
	case f.Duties.Lease < 2*f.Duties.ElectionTimeout:
		return fmt.Sprintf("fleet: duties: lease=%q is shorter than two election times of %v; allowed: %v or more, or each election would end every lease", f.Duties.Lease, f.Duties.ElectionTimeout, 2*f.Duties.ElectionTimeout)
	case f.Copies.Enabled && f.Copies.Required > f.Copies.Count:
		return fmt.Sprintf("fleet: copies: needed=\"%d\" of count=\"%d\"; allowed: count at most", f.Copies.Required, f.Copies.Count)
	case f.Copies.Enabled && f.Copies.tooMany() != "":
		return f.Copies.tooMany()
	case f.Copies.Enabled && f.Copies.Count >= len(f.Members):
		return fmt.Sprintf("fleet: copies: count=\"%d\" among %d members; allowed: fewer than there are others", f.Copies.Count, len(f.Members))
	case (f.Cert == "") != (f.Key == "") || (f.Cert == "") != (f.CA == ""):
		return "fleet: ca, cert and key go together"
	case f.Trials.Enabled && !storms:
		return "fleet: trials need <storms enabled=\"true\"/>, which sees that a partner is down"
	}
	used := map[string]string{}
	for _, m := range f.Members {
		if bad := checkAddr(m.Addr, f.Cert != ""); bad != "" {
			return fmt.Sprintf("fleet: member %q: addr=%q: %s", m.Name, m.Addr, bad)
		}
		if other := used[m.Addr]; other != "" {
			return fmt.Sprintf("fleet: members %q and %q both have addr=%q; allowed: one each", other, m.Name, m.Addr)
		}
		used[m.Addr] = m.Name
	}
	if f.ListenAddr != "" {
		if bad := checkAddr(f.ListenAddr, f.Cert != ""); bad != "" {
			return fmt.Sprintf("fleet: listen=%q: %s", f.ListenAddr, bad)
		}
	}
	return ""
}

// checkAddr finds what is wrong with an address. Without keys, whoever reaches it could speak as a member.
func checkAddr(addr string, keys bool) string {
	host, port, err := net.SplitHostPort(addr)
	ip, bad := netip.ParseAddr(host)
	switch {
	case err != nil || bad != nil || port == "" || port == "0":
		return "allowed: an IP address and a port, such as 127.0.0.1:7101"
	case !keys && !ip.IsLoopback() && !ip.IsPrivate():
		return "without ca, cert and key links are open to whoever reaches them; allowed: loopback and private addresses, or keys"
	}
	return ""
}

// Has reports whether a member has that name.
func (f *Fleet) HasMember(name string) bool {
	return slices.ContainsFunc(f.Members, func(m Member) bool { return m.Name == name })
}
