// Package scale runs a sharded fleet on one machine: real control members and a few real senders as processes, with
// hollow members beside them, which run a sender's real subscription over real loopback links, without journal and calls,
// hundreds to a process. Faults come by schedule; a judge reads what all members saw. What budgets are held against is
// measured on the real senders.
package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sliptide/internal/strictxml"
)

// FaultKind is what goes wrong.
type FaultKind string

// The faults.
const (
	RestartWave FaultKind = "restart-wave" // a part of all members is killed, and starts again at once
	Rack        FaultKind = "rack"         // so many members end at once, and come back
	Zone        FaultKind = "zone"         // all members of one zone are killed, and come back
	RegionCut   FaultKind = "region-cut"   // the control members of one region hear none of the others, nor they them
	LeaderKill  FaultKind = "leader-kill"  // the control member that leads is killed, and starts again
)

var faultKinds = []string{string(RestartWave), string(Rack), string(Zone), string(RegionCut), string(LeaderKill)}

// Fault is one fault of the schedule.
type Fault struct {
	Kind FaultKind
	At   time.Duration // from when all members are up
	For  time.Duration
	Size int // of a wave: one in so many; of a rack: members
}

// File is a scale run.
type File struct {
	Name             string
	About            string
	Seed             int
	Sizes            []int // members
	Controls         int
	Senders          int // real ones
	Regions          int
	Zones            int // of all regions
	Replicas         int
	DestinationsEach float64 // for each member
	ChangesPerSecond float64
	Length           time.Duration // of the schedule, from when all members are up
	PerProcess       int           // hollow members
	MaxMemory        int64
	Unserved         time.Duration // a destination may have no live member so long
	Faults           []Fault
	Compare          []int // numbers of destinations for the comparison with senders that know them all
	CompareMembers   int
}

func spec() *strictxml.Element[File] {
	type attribute = strictxml.Attribute[File]
	type element = strictxml.Element[File]
	whole := func(name, fallback string, lo, hi int64, doc string, put func(*File, int64)) attribute {
		return attribute{Name: name, Default: fallback, Doc: doc, Values: strictxml.Integer(lo, hi), SetNumber: put}
	}
	number := strictxml.Text(`[0-9]{1,6}(\.[0-9]{1,3})?`, "a decimal number")
	list := strictxml.Text(`[1-9][0-9]{0,7}( [1-9][0-9]{0,7}){0,9}`, "whole numbers, with single blanks between")
	last := func(f *File) *Fault { return &f.Faults[len(f.Faults)-1] }
	return &element{
		Name: "scale", Doc: "A sharded fleet of hollow members, real senders and real control members, with faults.",
		Attrs: []attribute{
			{Name: "version", Required: true, Doc: "The form of this file.", Values: strictxml.OneOf("1")},
			{Name: "name", Required: true, Doc: "The name of its results.", Values: strictxml.Text("[a-z0-9-]{1,60}", "small letters, digits and dashes"), SetText: func(f *File, v string) { f.Name = v }},
			{Name: "about", Doc: "What it is to show.", Values: strictxml.Text("[^<>]{1,1000}", "a sentence"), SetText: func(f *File, v string) { f.About = v }},
			whole("seed", "1", 1, 1<<30, "Draws who is struck.", func(f *File, v int64) { f.Seed = int(v) }),
			{Name: "sizes", Required: true, Doc: "Members, in ascending order.", Values: list, SetText: func(f *File, v string) { f.Sizes = numbers(v) }},
			{Name: "length", Required: true, Doc: "Of the schedule at each size, from when all members are up.", Values: strictxml.Duration(5*time.Second, time.Hour), SetNumber: func(f *File, v int64) { f.Length = time.Duration(v) }},
		},
		Children: []element{{
			Name: "fleet", Doc: "Who takes part.", Attrs: []attribute{
				whole("controls", "10", 3, 50, "Control members, as processes; the first five vote, or three of fewer.", func(f *File, v int64) { f.Controls = int(v) }),
				whole("senders", "10", 1, 50, "Real senders, as processes, beside the hollow members.", func(f *File, v int64) { f.Senders = int(v) }),
				whole("regions", "5", 1, 20, "Regions.", func(f *File, v int64) { f.Regions = int(v) }),
				whole("zones", "13", 1, 100, "Zones of all regions.", func(f *File, v int64) { f.Zones = int(v) }),
				whole("replicas", "2", 1, 5, "Members of a region that serve a destination.", func(f *File, v int64) { f.Replicas = int(v) }),
				whole("per-process", "100", 1, 1000, "Hollow members that share a process.", func(f *File, v int64) { f.PerProcess = int(v) }),
				{Name: "destinations-each", Default: "142.857", Doc: "Destinations for each member.", Values: number, SetText: func(f *File, v string) { f.DestinationsEach, _ = strconv.ParseFloat(v, 64) }},
				{Name: "changes-per-second", Default: "4.4", Doc: "Changes of endpoints: ten times the target's rate.", Values: number, SetText: func(f *File, v string) { f.ChangesPerSecond, _ = strconv.ParseFloat(v, 64) }},
			},
		}, {
			Name: "limits", Doc: "What ends the run, and what the judge holds it to.", Attrs: []attribute{
				{Name: "memory", Default: "12GiB", Doc: "Of all processes; a size that needs more ends the run.", Values: strictxml.Size(1<<28, 1<<40), SetNumber: func(f *File, v int64) { f.MaxMemory = v }},
				{Name: "unserved", Default: "15s", Doc: "A destination may be without a live member so long.", Values: strictxml.Duration(time.Second, time.Minute), SetNumber: func(f *File, v int64) { f.Unserved = time.Duration(v) }},
			},
		}, {
			Name: "fault", Doc: "One fault.", Repeated: true, Add: func(f *File) { f.Faults = append(f.Faults, Fault{}) }, Attrs: []attribute{
				{Name: "kind", Required: true, Doc: "What goes wrong.", Values: strictxml.OneOf(faultKinds...), SetNumber: func(f *File, v int64) { last(f).Kind = FaultKind(faultKinds[v]) }},
				{Name: "at", Required: true, Doc: "From when all members are up.", Values: strictxml.Duration(0, time.Hour), SetNumber: func(f *File, v int64) { last(f).At = time.Duration(v) }},
				{Name: "for", Default: "0s", Doc: "How long.", Values: strictxml.Duration(0, time.Hour), SetNumber: func(f *File, v int64) { last(f).For = time.Duration(v) }},
				{Name: "size", Default: "8", Doc: "Of a restart-wave: one in so many members; of a rack: its members.", Values: strictxml.Integer(1, 10000), SetNumber: func(f *File, v int64) { last(f).Size = int(v) }},
			},
		}, {
			Name: "compare", Doc: "Real senders of shards beside such that know every destination.", Attrs: []attribute{
				{Name: "destinations", Required: true, Doc: "Numbers of destinations.", Values: list, SetText: func(f *File, v string) { f.Compare = numbers(v) }},
				whole("members", "2000", 1, 100000, "Hollow members.", func(f *File, v int64) { f.CompareMembers = int(v) }),
			},
		}},
	}
}

func numbers(text string) (list []int) {
	for field := range strings.FieldsSeq(text) {
		n, _ := strconv.Atoi(field) // the pattern has let nothing else through
		list = append(list, n)
	}
	return list
}

// Load reads a scale run's file.
func Load(path string) (*File, error) {
	f, err := strictxml.Open(path, spec())
	if err != nil {
		return nil, err
	}
	wrong := func(what, allowed string) error { return &strictxml.Error{File: path, What: what, Allowed: allowed} }
	for i := 1; i < len(f.Sizes); i++ {
		if f.Sizes[i] <= f.Sizes[i-1] {
			return nil, wrong(fmt.Sprintf("sizes: %d after %d", f.Sizes[i], f.Sizes[i-1]), "ascending sizes")
		}
	}
	if f.Zones < f.Regions {
		return nil, wrong(fmt.Sprintf("fleet: %d zones of %d regions", f.Zones, f.Regions), "a zone for each region at least")
	}
	for _, x := range f.Faults {
		if x.At+x.For > f.Length {
			return nil, wrong(fmt.Sprintf("fault %s at %v for %v", x.Kind, x.At, x.For), fmt.Sprintf("an end within length=%v", f.Length))
		}
	}
	return f, nil
}

// Schema returns the XML Schema of scale files.
func Schema() string {
	return strictxml.Schema(spec(), `The schema of the lab's scale files. "sliptide lab scale --schema" writes it.`)
}
