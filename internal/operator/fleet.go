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

// Fleet configures the fleet of senders that this one belongs to. If it is off, the sender acts alone.
type Fleet struct {
	Enabled       bool
	ListenAddr    string // where this member accepts links; empty: its address in Members
	MinVoters     int    // voters that must reach each other to found the group; 0: all
	Weight        int    // this member's share of the duties, relative to the others' weights
	CA, Cert, Key string
	Members       []Member
	Duties        Duties
	Trials        Trials
	Copies        Copies
	Shards        Shards
}

// Shards configures sharding: the sender serves only the destinations of its shards, which control members report.
type Shards struct {
	Enabled        bool
	Region         string // shards are assigned among the senders of a region
	Zone           string // within the region; a shard's replicas are spread over zones
	Weight         int    // this sender's share of the destinations, relative to the other senders' weights
	Replicas       int    // senders of a region that serve a destination
	ControlMembers []ControlMember
}

// ControlMember is a control member to which a sender may subscribe.
type ControlMember struct{ Name, Addr, Region string }

// Member is one sender of the fleet. Its name is its RELAY_NAME.
type Member struct {
	Name, Addr, Zone string
	Voter            bool
}

// Duties configures how long a member may rely on the duties that it holds.
type Duties struct {
	Lease           time.Duration // a holder that is cut off or stopped loses its duties within this time
	ClockDrift      float64       // fraction by which a clock may run fast or slow
	ElectionTimeout time.Duration // a voter that hears from no leader for this time starts an election
}

// Trials configures whether one member alone makes the first calls to a partner that is down.
type Trials struct {
	Enabled        bool
	SilenceTimeout time.Duration // without a report of that member for this time, the others make trial calls
}

// Copies configures how a sender's journal is copied to other members.
type Copies struct {
	Enabled        bool
	Count          int           // members that hold copies
	Required       int           // copies that a message must have before its client is answered 202
	Timeout        time.Duration // for the required copies to be made
	AcceptUncopied bool          // with too few members in reach, accept messages nevertheless instead of refusing them
	QuotaBytes     int64         // space that copies of other senders' journals may take here
	Classes        []CopyClass
}

// CopyClass overrides Copies.Required for the messages of one class.
type CopyClass struct {
	Name     string
	Required int
}

// checkClasses returns an error text if a class requires more copies than Count, otherwise "".
func (c *Copies) checkClasses() string {
	for _, k := range c.Classes {
		if k.Required > c.Count {
			return fmt.Sprintf("fleet: copies: class %q: needed=\"%d\" exceeds count=\"%d\"; allowed: count at most", k.Name, k.Required, c.Count)
		}
	}
	return ""
}

// Voters returns the members that vote.
func (f *Fleet) Voters() (list []Member) {
	for _, m := range f.Members {
		if m.Voter {
			list = append(list, m)
		}
	}
	return list
}

// Hash returns a hash of the settings that must be equal in all members' files: the voters' names in the order of the
// file, the minimum number of voters, the lease, the clock drift and the election timeout. Addresses are not included,
// so that they can be changed in one file after the other.
func (f *Fleet) Hash() uint64 {
	var b strings.Builder
	for _, m := range f.Voters() {
		fmt.Fprintf(&b, "%s;", m.Name)
	}
	fmt.Fprintf(&b, "%v;%v;%v;%v", f.Duties.Lease, f.Duties.ClockDrift, f.Duties.ElectionTimeout, f.MinVoters)
	return xxhash.Sum64String(b.String())
}

// fleetSpec returns the specification of <fleet>.
func fleetSpec() element {
	last := func(f *File) *Member { return &f.Fleet.Members[len(f.Fleet.Members)-1] }
	path := strictxml.Text("[!-~]{1,1000}", "a path without spaces")
	addr := strictxml.Text(`[0-9A-Za-z.:\[\]-]{3,80}`, "an IP address and a port, such as 127.0.0.1:7101")
	name := strictxml.Text("[0-9A-Za-z_.-]{1,64}", "letters, digits, dots, dashes and underscores, 64 at most")
	return element{
		Name: "fleet", Doc: "The fleet of senders: its members and the duties, each held by one member at a time.",
		Attrs: []attribute{{
			Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part.",
			SetNumber: func(f *File, v int64) { f.Fleet.Enabled = v == 1 },
		}, {
			Name: "listen", Values: addr, Doc: "Where this member accepts links; else its own addr below.",
			SetText: func(f *File, v string) { f.Fleet.ListenAddr = v },
		}, {
			Name: "voter-minimum", Values: strictxml.Integer(2, 5), Doc: "Voters that must reach each other to found the group; else all. More than half of the voters.",
			SetNumber: func(f *File, v int64) { f.Fleet.MinVoters = int(v) },
		}, {
			Name: "weight", Default: "1", Values: strictxml.Integer(1, 100), Doc: "Share of the duties that this member gets, relative to the other members' weights.",
			SetNumber: func(f *File, v int64) { f.Fleet.Weight = int(v) },
		}, {
			Name: "ca", Values: path, Doc: "CA certificates in PEM that sign the members' certificates. With ca, cert and key, links use mutual TLS.",
			SetText: func(f *File, v string) { f.Fleet.CA = v },
		}, {
			Name: "cert", Values: path, Doc: "This member's certificate in PEM.",
			SetText: func(f *File, v string) { f.Fleet.Cert = v },
		}, {
			Name: "key", Values: path, Doc: "Its private key in PEM, which only the owner of the file may read.",
			SetText: func(f *File, v string) { f.Fleet.Key = v },
		}},
		Children: []element{{
			Name: "member", Doc: "One sender of the fleet. All members' files list the same voters.", Repeated: true, Unique: "name",
			Add: func(f *File) { f.Fleet.Members = append(f.Fleet.Members, Member{}) },
			Attrs: []attribute{{
				Name: "name", Required: true, Values: name, Doc: "Its RELAY_NAME.",
				SetText: func(f *File, v string) { last(f).Name = v },
			}, {
				Name: "addr", Required: true, Values: addr, Doc: "Where it accepts links.",
				SetText: func(f *File, v string) { last(f).Addr = v },
			}, {
				Name: "zone", Values: name, Doc: "The zone that it is in, such as a building.",
				SetText: func(f *File, v string) { last(f).Zone = v },
			}, {
				Name: "voter", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Whether it keeps the log and votes. 3 or 5 members do.",
				SetNumber: func(f *File, v int64) { last(f).Voter = v == 1 },
			}},
		}, {
			Name: "duties", Doc: "How long a member may rely on the duties that it holds.",
			Attrs: []attribute{{
				Name: "lease", Default: "2s", Values: strictxml.Duration(200*time.Millisecond, time.Minute), Doc: "A holder that is cut off or stopped loses its duties within this time. At least twice the election timeout.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.Lease = time.Duration(v) },
			}, {
				Name: "drift", Default: "0.05", Values: strictxml.OneOf("0.01", "0.02", "0.05", "0.1", "0.2"), Doc: "The fraction by which a member's clock may run fast or slow.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.ClockDrift = []float64{0.01, 0.02, 0.05, 0.1, 0.2}[v] },
			}, {
				Name: "election", Default: "500ms", Values: strictxml.Duration(100*time.Millisecond, 20*time.Second), Doc: "A voter that does not hear from a leader for this time starts an election.",
				SetNumber: func(f *File, v int64) { f.Fleet.Duties.ElectionTimeout = time.Duration(v) },
			}},
		}, shardsSpec(name, addr), {
			Name: "trials", Doc: "One member makes the first calls to a partner that is down; the others wait for its report. Requires storms.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part.",
				SetNumber: func(f *File, v int64) { f.Fleet.Trials.Enabled = v == 1 },
			}, {
				Name: "bound", Default: "4s", Values: strictxml.Duration(500*time.Millisecond, time.Minute), Doc: "After this time without a report, a member makes trial calls itself, as without a fleet.",
				SetNumber: func(f *File, v int64) { f.Fleet.Trials.SilenceTimeout = time.Duration(v) },
			}},
		}, {
			Name: "copies", Doc: "Copies of a sender's journal at other members, so that no message is lost when a machine is lost with its disk.",
			Attrs: []attribute{{
				Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Enabled = v == 1 },
			}, {
				Name: "count", Default: "2", Values: strictxml.Integer(1, 4), Doc: "Members that hold copies of a sender's journal.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Count = int(v) },
			}, {
				Name: "needed", Default: "1", Values: strictxml.Integer(1, 4), Doc: "Copies that a message must have before its client is answered 202; count at most.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Required = int(v) },
			}, {
				Name: "patience", Default: "150ms", Values: strictxml.Duration(10*time.Millisecond, 300*time.Millisecond), Doc: "How long to wait for these copies; clients wait 400 ms for their answer.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.Timeout = time.Duration(v) },
			}, {
				Name: "when-short", Default: "refuse", Values: strictxml.OneOf("refuse", "take"), Doc: "With too few members in reach: 503 with Retry-After (refuse), or 202 with fewer copies (take).",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.AcceptUncopied = v == 1 },
			}, {
				Name: "room", Default: "64MiB", Values: strictxml.Size(64<<10, 1<<40), Doc: "Space that copies of other senders' journals may take here, within limits.disk_mb.",
				SetNumber: func(f *File, v int64) { f.Fleet.Copies.QuotaBytes = v },
			}},
			Children: []element{{
				Name: "class", Doc: "A class whose messages require another number of copies.", Repeated: true, Unique: "name",
				Add: func(f *File) { f.Fleet.Copies.Classes = append(f.Fleet.Copies.Classes, CopyClass{}) },
				Attrs: []attribute{{
					Name: "name", Required: true, Values: strictxml.Text("[!-~]{1,100}", "a class's name, without spaces"), Doc: "Its name in the platform's settings.",
					SetText: func(f *File, v string) { f.Fleet.Copies.Classes[len(f.Fleet.Copies.Classes)-1].Name = v },
				}, {
					Name: "needed", Required: true, Values: strictxml.Integer(1, 4), Doc: "Copies that such a message must have before its client is answered 202; count at most.",
					SetNumber: func(f *File, v int64) { f.Fleet.Copies.Classes[len(f.Fleet.Copies.Classes)-1].Required = int(v) },
				}},
			}},
		}},
	}
}

// MaxMembers is the maximum number of members in a file.
const MaxMembers = 1000

// shardsSpec returns the specification of <shards>.
func shardsSpec(name, addr strictxml.Values) element {
	last := func(f *File) *ControlMember {
		return &f.Fleet.Shards.ControlMembers[len(f.Fleet.Shards.ControlMembers)-1]
	}
	return element{
		Name: "shards", Doc: "This sender serves only the destinations of its shards, and gets its lists from control members instead of discovery.",
		Attrs: []attribute{{
			Name: "enabled", Default: "false", Values: strictxml.OneOf("false", "true"), Doc: "Enables this part, for which the fleet itself must be off.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Enabled = v == 1 },
		}, {
			Name: "region", Values: name, Doc: "The region that this sender is in; shards are assigned among the senders of a region.",
			SetText: func(f *File, v string) { f.Fleet.Shards.Region = v },
		}, {
			Name: "zone", Values: name, Doc: "The zone within that region; a shard's replicas are spread over zones.",
			SetText: func(f *File, v string) { f.Fleet.Shards.Zone = v },
		}, {
			Name: "weight", Default: "1", Values: strictxml.Integer(1, 100), Doc: "Share of the destinations that this sender serves, relative to the other senders' weights.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Weight = int(v) },
		}, {
			Name: "replicas", Default: "2", Values: strictxml.Integer(1, 5), Doc: "Senders of a region that serve a destination; the same in all senders' and control members' files.",
			SetNumber: func(f *File, v int64) { f.Fleet.Shards.Replicas = int(v) },
		}},
		Children: []element{{
			Name: "control", Doc: "A control member.", Repeated: true, Unique: "name",
			Add: func(f *File) { f.Fleet.Shards.ControlMembers = append(f.Fleet.Shards.ControlMembers, ControlMember{}) },
			Attrs: []attribute{{
				Name: "name", Required: true, Values: name, Doc: "Its name.", SetText: func(f *File, v string) { last(f).Name = v },
			}, {
				Name: "addr", Required: true, Values: addr, Doc: "Where it accepts subscribers' links.", SetText: func(f *File, v string) { last(f).Addr = v },
			}, {
				Name: "region", Values: name, Doc: "The region that it is in; the control members of this sender's region are tried first.", SetText: func(f *File, v string) { last(f).Region = v },
			}},
		}},
	}
}

// check returns an error text if the shards' settings are not allowed, otherwise "".
func (s *Shards) check(f *Fleet) string {
	switch {
	case !s.Enabled:
		return ""
	case f.Enabled:
		return "fleet: enabled=\"true\" and shards enabled=\"true\"; allowed: one of them, since duties and copies are not supported with shards"
	case s.Region == "" || s.Zone == "":
		return "fleet: shards: region and zone are required"
	case len(s.ControlMembers) == 0:
		return "fleet: shards: no <control>; allowed: one or more"
	case (f.Cert == "") != (f.Key == "") || (f.Cert == "") != (f.CA == ""):
		return "fleet: ca, cert and key are needed together"
	}
	for _, c := range s.ControlMembers {
		if problem := checkAddr(c.Addr, f.Cert != ""); problem != "" {
			return fmt.Sprintf("fleet: shards: control %q: addr=%q: %s", c.Name, c.Addr, problem)
		}
	}
	return ""
}

// check returns an error text for combinations of values that a schema cannot exclude, otherwise "".
func (f *Fleet) check(storms bool) string {
	if problem := f.Shards.check(f); problem != "" {
		return problem
	}
	if !f.Enabled {
		return ""
	}
	voters := len(f.Voters())
	switch {
	case voters != 3 && voters != 5:
		return fmt.Sprintf("fleet: %d members have voter=\"true\"; allowed: 3 or 5, so that a majority remains when one or two are lost", voters)
	case f.MinVoters != 0 && (f.MinVoters > voters || 2*f.MinVoters <= voters):
		return fmt.Sprintf("fleet: voter-minimum=\"%d\" of %d voters; allowed: %d to %d", f.MinVoters, voters, voters/2+1, voters)
	case len(f.Members) > MaxMembers:
		return fmt.Sprintf("fleet: %d members; allowed: %d at most", len(f.Members), MaxMembers)
	case f.Duties.Lease < 2*f.Duties.ElectionTimeout:
		return fmt.Sprintf("fleet: duties: lease=%q is shorter than two election times of %v; allowed: %v or more, since otherwise each election would end every lease", f.Duties.Lease, f.Duties.ElectionTimeout, 2*f.Duties.ElectionTimeout)
	case f.Copies.Enabled && f.Copies.Required > f.Copies.Count:
		return fmt.Sprintf("fleet: copies: needed=\"%d\" exceeds count=\"%d\"; allowed: count at most", f.Copies.Required, f.Copies.Count)
	case f.Copies.Enabled && f.Copies.checkClasses() != "":
		return f.Copies.checkClasses()
	case f.Copies.Enabled && f.Copies.Count >= len(f.Members):
		return fmt.Sprintf("fleet: copies: count=\"%d\" among %d members; allowed: fewer than there are other members", f.Copies.Count, len(f.Members))
	case (f.Cert == "") != (f.Key == "") || (f.Cert == "") != (f.CA == ""):
		return "fleet: ca, cert and key are needed together"
	case f.Trials.Enabled && !storms:
		return "fleet: trials need <storms enabled=\"true\"/>, which detects that a partner is down"
	}
	used := map[string]string{}
	for _, m := range f.Members {
		if problem := checkAddr(m.Addr, f.Cert != ""); problem != "" {
			return fmt.Sprintf("fleet: member %q: addr=%q: %s", m.Name, m.Addr, problem)
		}
		if other := used[m.Addr]; other != "" {
			return fmt.Sprintf("fleet: members %q and %q both have addr=%q; allowed: a different address for each", other, m.Name, m.Addr)
		}
		used[m.Addr] = m.Name
	}
	if f.ListenAddr != "" {
		if problem := checkAddr(f.ListenAddr, f.Cert != ""); problem != "" {
			return fmt.Sprintf("fleet: listen=%q: %s", f.ListenAddr, problem)
		}
	}
	return ""
}

// checkAddr returns an error text if the address is not allowed, otherwise "". Without keys only loopback and private
// addresses are allowed, because anyone who reaches the address could act as a member.
func checkAddr(addr string, haveKeys bool) string {
	host, port, err := net.SplitHostPort(addr)
	ip, ipErr := netip.ParseAddr(host)
	switch {
	case err != nil || ipErr != nil || port == "" || port == "0":
		return "allowed: an IP address and a port, such as 127.0.0.1:7101"
	case !haveKeys && !ip.IsLoopback() && !ip.IsPrivate():
		return "without ca, cert and key anyone who reaches the address can connect as a member; allowed: loopback and private addresses, or keys"
	}
	return ""
}

// HasMember reports whether the file lists a member of that name.
func (f *Fleet) HasMember(name string) bool {
	return slices.ContainsFunc(f.Members, func(m Member) bool { return m.Name == name })
}
