// Package scale runs a sharded fleet on one machine: control members and a few senders as real processes, and hollow
// members, hundreds to a process. A hollow member runs a sender's real subscription over loopback links, without a
// journal and without calls. Faults are injected by a schedule, and a judge checks the observations of all hollow
// members afterwards. Budgets are checked against the usage of the real senders.
package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sliptide/internal/strictxml"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	RestartWave FaultKind = "restart-wave" // hollow members' processes are killed in turn, each restarted at once
	Rack        FaultKind = "rack"         // some members of one process stop together, and start again later
	Zone        FaultKind = "zone"         // all hollow members of one zone are killed, and start again later
	RegionCut   FaultKind = "region-cut"   // the control members of one region are disconnected from those of the others
	LeaderKill  FaultKind = "leader-kill"  // the leader of the control members is killed, and starts again later
)

var faultKinds = []string{string(RestartWave), string(Rack), string(Zone), string(RegionCut), string(LeaderKill)}

// Fault is a fault in the schedule.
type Fault struct {
	Kind     FaultKind
	At       time.Duration // since the start of the schedule, when all members are up
	Duration time.Duration
	Size     int // restart-wave: one in Size processes is killed; rack: number of members
}

// File describes a scale run.
type File struct {
	Name                  string
	About                 string
	Seed                  int
	Sizes                 []int // numbers of members, ascending
	Controls              int   // control members
	Senders               int   // real senders; the other members are hollow
	Regions               int
	Zones                 int           // in all regions together
	Replicas              int           // members of a region that serve a destination
	DestinationsPerMember float64       // size of the endpoint list, in destinations for each member
	ChangesPerSecond      float64       // endpoint changes
	Duration              time.Duration // length of the schedule, from when all members are up
	MembersPerProcess     int           // hollow members in a process, at most
	MaxMemory             int64         // resident memory of all processes together, in bytes, above which a size ends
	MaxUnserved           time.Duration // longest permitted time without a live member for a destination
	Faults                []Fault
	ComparisonSizes       []int // numbers of destinations for the comparison of both kinds of senders
	CompareMembers        int   // hollow members of a comparison
}

// spec returns the elements and attributes of scale files.
func spec() *strictxml.Element[File] {
	type attribute = strictxml.Attribute[File]
	type element = strictxml.Element[File]
	integer := func(name, defaultValue string, minValue, maxValue int64, doc string, set func(*File, int64)) attribute {
		return attribute{Name: name, Default: defaultValue, Doc: doc, Values: strictxml.Integer(minValue, maxValue), SetNumber: set}
	}
	decimal := strictxml.Text(`[0-9]{1,6}(\.[0-9]{1,3})?`, "a decimal number")
	list := strictxml.Text(`[1-9][0-9]{0,7}( [1-9][0-9]{0,7}){0,9}`, "whole numbers, separated by single spaces")
	lastFault := func(f *File) *Fault { return &f.Faults[len(f.Faults)-1] }
	return &element{
		Name: "scale", Doc: "A sharded fleet of hollow members, real senders and real control members, with faults.",
		Attrs: []attribute{
			{Name: "version", Required: true, Doc: "The version of the file format.", Values: strictxml.OneOf("1")},
			{Name: "name", Required: true, Doc: "The name of the run, and of its result files.", Values: strictxml.Text("[a-z0-9-]{1,60}", "lowercase letters, digits and dashes"), SetText: func(f *File, v string) { f.Name = v }},
			{Name: "about", Doc: "The purpose of the run.", Values: strictxml.Text("[^<>]{1,1000}", "a sentence"), SetText: func(f *File, v string) { f.About = v }},
			integer("seed", "1", 1, 1<<30, "Seed of the random choices: the processes and members that a fault affects, and the endpoints that change.", func(f *File, v int64) { f.Seed = int(v) }),
			{Name: "sizes", Required: true, Doc: "Numbers of members, in ascending order; the schedule is run at each.", Values: list, SetText: func(f *File, v string) { f.Sizes = numbers(v) }},
			{Name: "length", Required: true, Doc: "Duration of the schedule at each size, from when all members are up.", Values: strictxml.Duration(5*time.Second, time.Hour), SetNumber: func(f *File, v int64) { f.Duration = time.Duration(v) }},
		},
		Children: []element{{
			Name: "fleet", Doc: "The processes and members, and their endpoint list.", Attrs: []attribute{
				integer("controls", "10", 3, 50, "Control members, one process each. The first five are voters, or the first three if there are fewer than five.", func(f *File, v int64) { f.Controls = int(v) }),
				integer("senders", "10", 1, 50, "Real senders, one process each. The other members are hollow.", func(f *File, v int64) { f.Senders = int(v) }),
				integer("regions", "5", 1, 20, "Regions.", func(f *File, v int64) { f.Regions = int(v) }),
				integer("zones", "13", 1, 100, "Number of zones in all regions together.", func(f *File, v int64) { f.Zones = int(v) }),
				integer("replicas", "2", 1, 5, "Members of a region that serve each destination.", func(f *File, v int64) { f.Replicas = int(v) }),
				integer("per-process", "100", 1, 1000, "Maximum number of hollow members in a process.", func(f *File, v int64) { f.MembersPerProcess = int(v) }),
				{Name: "destinations-each", Default: "142.857", Doc: "Size of the endpoint list, in destinations per member.", Values: decimal, SetText: func(f *File, v string) { f.DestinationsPerMember, _ = strconv.ParseFloat(v, 64) }},
				{Name: "changes-per-second", Default: "4.4", Doc: "Endpoint changes per second. The default is ten times the target's rate.", Values: decimal, SetText: func(f *File, v string) { f.ChangesPerSecond, _ = strconv.ParseFloat(v, 64) }},
			},
		}, {
			Name: "limits", Doc: "The limit that ends the run, and the limit that the judge checks.", Attrs: []attribute{
				{Name: "memory", Default: "12GiB", Doc: "Resident memory of all processes; a size that exceeds it ends the run.", Values: strictxml.Size(1<<28, 1<<40), SetNumber: func(f *File, v int64) { f.MaxMemory = v }},
				{Name: "unserved", Default: "15s", Doc: "Maximum time that a destination may be without a live member.", Values: strictxml.Duration(time.Second, time.Minute), SetNumber: func(f *File, v int64) { f.MaxUnserved = time.Duration(v) }},
			},
		}, {
			Name: "fault", Doc: "A fault of the schedule.", Repeated: true, Add: func(f *File) { f.Faults = append(f.Faults, Fault{}) }, Attrs: []attribute{
				{Name: "kind", Required: true, Doc: "The kind of the fault.", Values: strictxml.OneOf(faultKinds...), SetNumber: func(f *File, v int64) { lastFault(f).Kind = FaultKind(faultKinds[v]) }},
				{Name: "at", Required: true, Doc: "Time of the fault, from when all members are up.", Values: strictxml.Duration(0, time.Hour), SetNumber: func(f *File, v int64) { lastFault(f).At = time.Duration(v) }},
				{Name: "for", Default: "0s", Doc: "Duration of the fault.", Values: strictxml.Duration(0, time.Hour), SetNumber: func(f *File, v int64) { lastFault(f).Duration = time.Duration(v) }},
				{Name: "size", Default: "8", Doc: "Of a restart-wave: one in this number of processes of hollow members is killed. Of a rack: the number of members that stop.", Values: strictxml.Integer(1, 10000), SetNumber: func(f *File, v int64) { lastFault(f).Size = int(v) }},
			},
		}, {
			Name: "compare", Doc: "Comparison of a sharded sender with one that knows every destination.", Attrs: []attribute{
				{Name: "destinations", Required: true, Doc: "Numbers of destinations; the senders are compared at each.", Values: list, SetText: func(f *File, v string) { f.ComparisonSizes = numbers(v) }},
				integer("members", "2000", 1, 100000, "Number of hollow members.", func(f *File, v int64) { f.CompareMembers = int(v) }),
			},
		}},
	}
}

// numbers parses whole numbers that are separated by single spaces.
func numbers(text string) (list []int) {
	for field := range strings.FieldsSeq(text) {
		n, _ := strconv.Atoi(field) // cannot fail: the value has matched the pattern
		list = append(list, n)
	}
	return list
}

// Load reads and validates the file of a scale run. Errors are of type *strictxml.Error.
func Load(path string) (*File, error) {
	f, err := strictxml.Open(path, spec())
	if err != nil {
		return nil, err
	}
	invalid := func(problem, allowed string) error {
		return &strictxml.Error{File: path, What: problem, Allowed: allowed}
	}
	for i := 1; i < len(f.Sizes); i++ {
		if f.Sizes[i] <= f.Sizes[i-1] {
			return nil, invalid(fmt.Sprintf("sizes: %d after %d", f.Sizes[i], f.Sizes[i-1]), "ascending sizes")
		}
	}
	if f.Zones < f.Regions {
		return nil, invalid(fmt.Sprintf("fleet: %d zones for %d regions", f.Zones, f.Regions), "a zone for each region at least")
	}
	for _, fault := range f.Faults {
		if fault.At+fault.Duration > f.Duration {
			return nil, invalid(fmt.Sprintf("fault %s at %v for %v", fault.Kind, fault.At, fault.Duration), fmt.Sprintf("an end within length=%v", f.Duration))
		}
	}
	return f, nil
}

// Schema returns the XML Schema of scale files.
func Schema() string {
	return strictxml.Schema(spec(), `The schema of the lab's scale files. "sliptide lab scale --schema" writes it.`)
}
