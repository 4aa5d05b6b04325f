// Package knowledge is what a sender has learned of its partners, made fit to outlast its process: the
// facts under names that mean the same in a later life, how they are merged, how they age, and which of
// them matter most where room is short.
//
// It is pure: no I/O, no clock, no goroutines. Times are Unix milliseconds and come from the caller.
// Nothing here decides what is sent; the decision module takes the facts up and decides.
package knowledge

import (
	"cmp"
	"math"
	"slices"

	"sliptide/policy"
)

// Route names what a told wait binds: a destination, or one endpoint of it where routes are apart.
type Route struct {
	Dest     int
	Endpoint string // empty: the destination's
}

// Wait is a wait that a partner told. It does not fade.
type Wait struct {
	Route
	ReceivedAt int64 // when it was heard
	Until      int64 // nothing is sent before
}

// Endpoint is what is known of one endpoint, under the name that discovery gives it. The address is
// left out on purpose: a new machine at an old address is a new machine.
type Endpoint struct {
	Name      string
	LearnedAt float64 // when it was learned
	policy.EndpointFacts
}

// Destination is what is known of one destination. It is never changed once it is in a Book, so that
// Books may share it.
type Destination struct {
	Dest        int
	LearnedAt   float64
	SharedRoute *policy.RouteFacts
	Latency     policy.LatencyFacts
	Admission   policy.AdmissionFacts
	Endpoints   []Endpoint // by name
}

// Usual is the usual call latency of a class of messages.
type ClassLatency struct {
	LearnedAt float64
	policy.LatencyFacts
}

// Dials is how connecting to one kind of destination fares.
type Dials struct {
	LearnedAt float64
	policy.DialFacts
}

// Staleness is how calls on idle connections fare.
type Staleness struct {
	LearnedAt    float64
	StaleShare   float64 // failing
	MinStaleIdle float64 // milliseconds, shortest idle time of those that failed; 0 = none
}

// Book is all that a sender knows. It is not safe for concurrent use.
type Facts struct {
	Sender       string
	WrittenAt    int64 // 0: never
	Waits        map[Route]Wait
	Dests        map[int]*Destination
	ClassLatency map[string]ClassLatency // by class
	Dials        map[string]Dials        // by kind
	Staleness    Staleness
}

// New returns an empty Book.
func New(sender string) *Facts {
	return &Facts{
		Sender: sender, Waits: map[Route]Wait{}, Dests: map[int]*Destination{},
		ClassLatency: map[string]ClassLatency{}, Dials: map[string]Dials{},
	}
}

// Clone returns a Book of its own with the same facts.
func (b *Facts) Clone() *Facts {
	c := New(b.Sender)
	c.WrittenAt = b.WrittenAt
	c.Merge(b)
	return c
}

// Tell notes a told wait and reports whether it binds longer than what is known. A wait never shortens
// another: each was told, so each binds.
func (b *Facts) AddWait(w Wait) bool {
	if w.Until <= w.ReceivedAt || b.Waits[w.Route].Until >= w.Until {
		return false
	}
	b.Waits[w.Route] = w
	return true
}

// Learn takes what a sender now knows of a destination. Endpoints that it does not name are kept as
// they were: they may not be listed yet, and expire in time.
func (b *Facts) MergeDestination(d *Destination) {
	old := b.Dests[d.Dest]
	if old == nil {
		b.Dests[d.Dest] = d
		return
	}
	if old.LearnedAt > d.LearnedAt {
		old, d = d, old
	}
	merged := *d
	merged.Endpoints = mergeEndpoints(old.Endpoints, d.Endpoints)
	b.Dests[d.Dest] = &merged
}

// mergeEndpoints joins two lists in the order of names; of two of one name the later learned one stays,
// and of two learned together the second.
func mergeEndpoints(old, new []Endpoint) []Endpoint {
	all := make([]Endpoint, 0, max(len(old), len(new)))
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(old) == 0 || len(new) > 0 && new[0].Name < old[0].Name:
			all, new = append(all, new[0]), new[1:]
		case len(new) == 0 || old[0].Name < new[0].Name:
			all, old = append(all, old[0]), old[1:]
		default:
			later := new[0]
			if old[0].LearnedAt > later.LearnedAt {
				later = old[0]
			}
			all, old, new = append(all, later), old[1:], new[1:]
		}
	}
	return all
}

// Merge takes all that o knows; of two facts of one thing the later learned one stays.
func (b *Facts) Merge(o *Facts) {
	for _, w := range o.Waits {
		b.AddWait(w)
	}
	for _, d := range o.Dests {
		b.MergeDestination(d)
	}
	for name, u := range o.ClassLatency {
		if u.LearnedAt >= b.ClassLatency[name].LearnedAt {
			b.ClassLatency[name] = u
		}
	}
	for name, d := range o.Dials {
		if d.LearnedAt >= b.Dials[name].LearnedAt {
			b.Dials[name] = d
		}
	}
	if o.Staleness.LearnedAt >= b.Staleness.LearnedAt {
		b.Staleness = o.Staleness
	}
}

// Routes lists the waits by destination and endpoint.
func (b *Facts) SortedWaits() []Wait {
	list := make([]Wait, 0, len(b.Waits))
	for _, w := range b.Waits {
		list = append(list, w)
	}
	slices.SortFunc(list, func(x, y Wait) int {
		return cmp.Or(cmp.Compare(x.Dest, y.Dest), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return list
}

// Numbers lists the destinations in order.
func (b *Facts) DestNumbers() []int {
	list := make([]int, 0, len(b.Dests))
	for n := range b.Dests {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

// Fit keeps the destinations that matter most within max, as size tells, and returns how many it
// dropped. Those that a wait binds or an outage holds matter most, since forgetting them costs the
// partner; then those with most traffic; then those learned last. Waits all stay.
func (b *Facts) EvictToFit(max int, size func(*Destination) int) (dropped int) {
	list := make([]ranked, 0, len(b.Dests))
	total := 0
	for _, d := range b.Dests {
		r := ranked{d: d, size: size(d)}
		r.rank()
		list = append(list, r)
		total += r.size
	}
	if total <= max {
		return 0
	}
	bound := map[int]bool{}
	for _, w := range b.Waits {
		bound[w.Dest] = true
	}
	slices.SortFunc(list, func(x, y ranked) int {
		return cmp.Or(
			-compareBool(bound[x.d.Dest], bound[y.d.Dest]), -compareBool(x.sick, y.sick),
			cmp.Compare(y.rate, x.rate), cmp.Compare(y.d.LearnedAt, x.d.LearnedAt), cmp.Compare(x.d.Dest, y.d.Dest))
	})
	left := max
	for _, r := range list {
		if left -= r.size; left < 0 {
			delete(b.Dests, r.d.Dest)
			dropped++
		}
	}
	return dropped
}

type ranked struct {
	d    *Destination
	size int
	sick bool
	rate float64
}

func (r *ranked) rank() {
	add := func(f *policy.RouteFacts) {
		if f != nil {
			r.rate += f.CallRate
		}
	}
	add(r.d.SharedRoute)
	for i := range r.d.Endpoints {
		e := &r.d.Endpoints[i]
		r.sick = r.sick || e.Health != policy.Healthy
		add(e.OwnRoute)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// finite is v, or 0 where it is no number or out of [lo, hi]: a file whose checksum is right may still
// have been written by a program that was wrong.
func finite(v, lo, hi float64) float64 {
	if math.IsNaN(v) || v < lo || v > hi {
		return 0
	}
	return v
}
