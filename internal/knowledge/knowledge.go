// Package knowledge holds the facts that a sender has learned about its partners, in a form that outlasts
// the process: under names that are stable over restarts. It merges and ages facts, and evicts the least
// valuable ones when space is short.
//
// The package has no I/O, no clock and no goroutines. Times are Unix milliseconds, given by the caller.
// It does not decide what is sent: package policy does, from these facts.
package knowledge

import (
	"cmp"
	"math"
	"slices"

	"sliptide/policy"
)

// Route identifies what a requested wait applies to: a destination, or one of its endpoints if each has a
// limit of its own.
type Route struct {
	Dest     int
	Endpoint string // empty: the whole destination
}

// Wait is a wait that a partner has requested. It is honoured in full: unlike other facts it does not age.
type Wait struct {
	Route
	ReceivedAt int64
	Until      int64 // nothing is sent before
}

// Endpoint holds the facts about one endpoint, under its name in discovery. They do not include the address: a
// new machine at an old address must not get the facts of the old machine.
type Endpoint struct {
	Name      string
	LearnedAt float64
	policy.EndpointFacts
}

// Destination holds the facts about one destination. It is immutable once added to a Facts, so that several
// Facts can share it.
type Destination struct {
	Dest        int
	LearnedAt   float64
	SharedRoute *policy.RouteFacts // of the route that the endpoints share; nil = unknown
	Latency     policy.LatencyFacts
	Admission   policy.AdmissionFacts
	Endpoints   []Endpoint // sorted by name
}

// ClassLatency is the typical call latency of a class of messages.
type ClassLatency struct {
	LearnedAt float64
	policy.LatencyFacts
}

// Dials holds the facts about connection attempts to one kind of destination.
type Dials struct {
	LearnedAt float64
	policy.DialFacts
}

// Staleness holds the facts about calls on connections that had been idle.
type Staleness struct {
	LearnedAt    float64
	StaleShare   float64 // share of such calls that fail
	MinStaleIdle float64 // shortest idle time in milliseconds after which a call failed; 0 = none
}

// Facts holds all facts that a sender has learned. It is not safe for concurrent use.
type Facts struct {
	Sender       string
	WrittenAt    int64 // when it was written to disk; 0 = never
	Waits        map[Route]Wait
	Dests        map[int]*Destination
	ClassLatency map[string]ClassLatency // by class
	Dials        map[string]Dials        // by kind
	Staleness    Staleness
}

// New returns an empty Facts.
func New(sender string) *Facts {
	return &Facts{
		Sender: sender, Waits: map[Route]Wait{}, Dests: map[int]*Destination{},
		ClassLatency: map[string]ClassLatency{}, Dials: map[string]Dials{},
	}
}

// Clone returns a copy that can be changed independently; the two share their Destinations, which are immutable.
func (f *Facts) Clone() *Facts {
	clone := New(f.Sender)
	clone.WrittenAt = f.WrittenAt
	clone.Merge(f)
	return clone
}

// AddWait adds a requested wait and reports whether it ends later than the known one for its route. A wait never
// shortens another: the partner has requested both, so both apply.
func (f *Facts) AddWait(w Wait) bool {
	if w.Until <= w.ReceivedAt || f.Waits[w.Route].Until >= w.Until {
		return false
	}
	f.Waits[w.Route] = w
	return true
}

// MergeDestination merges facts about a destination. Endpoints that d does not contain are kept: they may not be
// listed yet, and expire later.
func (f *Facts) MergeDestination(d *Destination) {
	old := f.Dests[d.Dest]
	if old == nil {
		f.Dests[d.Dest] = d
		return
	}
	if old.LearnedAt > d.LearnedAt {
		old, d = d, old
	}
	merged := *d
	merged.Endpoints = mergeEndpoints(old.Endpoints, d.Endpoints)
	f.Dests[d.Dest] = &merged
}

// mergeEndpoints merges two lists that are sorted by name. Of two endpoints of the same name it keeps the one that
// was learned later, and the one of newer if both were learned at the same time.
func mergeEndpoints(older, newer []Endpoint) []Endpoint {
	merged := make([]Endpoint, 0, max(len(older), len(newer)))
	for len(older) > 0 || len(newer) > 0 {
		switch {
		case len(older) == 0 || len(newer) > 0 && newer[0].Name < older[0].Name:
			merged, newer = append(merged, newer[0]), newer[1:]
		case len(newer) == 0 || older[0].Name < newer[0].Name:
			merged, older = append(merged, older[0]), older[1:]
		default:
			later := newer[0]
			if older[0].LearnedAt > later.LearnedAt {
				later = older[0]
			}
			merged, older, newer = append(merged, later), older[1:], newer[1:]
		}
	}
	return merged
}

// Merge adds all facts of other. Of two facts about the same subject it keeps the one that was learned later.
func (f *Facts) Merge(other *Facts) {
	for _, w := range other.Waits {
		f.AddWait(w)
	}
	for _, d := range other.Dests {
		f.MergeDestination(d)
	}
	for name, u := range other.ClassLatency {
		if u.LearnedAt >= f.ClassLatency[name].LearnedAt {
			f.ClassLatency[name] = u
		}
	}
	for name, d := range other.Dials {
		if d.LearnedAt >= f.Dials[name].LearnedAt {
			f.Dials[name] = d
		}
	}
	if other.Staleness.LearnedAt >= f.Staleness.LearnedAt {
		f.Staleness = other.Staleness
	}
}

// SortedWaits returns the waits sorted by destination and endpoint.
func (f *Facts) SortedWaits() []Wait {
	list := make([]Wait, 0, len(f.Waits))
	for _, w := range f.Waits {
		list = append(list, w)
	}
	slices.SortFunc(list, func(x, y Wait) int {
		return cmp.Or(cmp.Compare(x.Dest, y.Dest), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return list
}

// DestNumbers returns the destinations' numbers in ascending order.
func (f *Facts) DestNumbers() []int {
	list := make([]int, 0, len(f.Dests))
	for n := range f.Dests {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// EvictToFit evicts destinations until the rest, measured by size, takes at most maxBytes, and returns the number
// evicted. It keeps first those with a requested wait, then those in an outage, because forgetting these puts load
// on the partner; then those with the most traffic, then those learned last. Waits are never evicted.
func (f *Facts) EvictToFit(maxBytes int, size func(*Destination) int) (evicted int) {
	list := make([]rankedDest, 0, len(f.Dests))
	total := 0
	for _, d := range f.Dests {
		r := rankedDest{dest: d, size: size(d)}
		r.rank()
		list = append(list, r)
		total += r.size
	}
	if total <= maxBytes {
		return 0
	}
	hasWait := map[int]bool{}
	for _, w := range f.Waits {
		hasWait[w.Dest] = true
	}
	slices.SortFunc(list, func(x, y rankedDest) int {
		return cmp.Or(
			-compareBool(hasWait[x.dest.Dest], hasWait[y.dest.Dest]), -compareBool(x.inOutage, y.inOutage),
			cmp.Compare(y.callRate, x.callRate), cmp.Compare(y.dest.LearnedAt, x.dest.LearnedAt),
			cmp.Compare(x.dest.Dest, y.dest.Dest))
	})
	remaining := maxBytes
	for _, r := range list {
		if remaining -= r.size; remaining < 0 {
			delete(f.Dests, r.dest.Dest)
			evicted++
		}
	}
	return evicted
}

// rankedDest is a destination with the criteria by which EvictToFit orders it.
type rankedDest struct {
	dest     *Destination
	size     int
	inOutage bool // at least one endpoint is not healthy
	callRate float64
}

// rank sets inOutage and callRate from the facts.
func (r *rankedDest) rank() {
	addRate := func(f *policy.RouteFacts) {
		if f != nil {
			r.callRate += f.CallRate
		}
	}
	addRate(r.dest.SharedRoute)
	for i := range r.dest.Endpoints {
		e := &r.dest.Endpoints[i]
		r.inOutage = r.inOutage || e.Health != policy.Healthy
		addRate(e.OwnRoute)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// validOrZero returns v, or 0 if v is NaN or outside [lo, hi]. A file with a correct checksum may still contain a
// wrong value, written by a faulty program.
func validOrZero(v, lo, hi float64) float64 {
	if math.IsNaN(v) || v < lo || v > hi {
		return 0
	}
	return v
}
