package scale

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sliptide/internal/fleet/shard"
)

// Rules are what a run is held to.
type Rules struct {
	Unserved time.Duration // a destination may be without a live member so long, once it has had one
	InForce  time.Duration // a change has to be in force at a member that could be reached so long
	Replicas int
}

// Change is one change of a destination's endpoint, as discovery told it.
type Change struct {
	At          int64
	Destination uint64
	Number      int
}

// Cut is a time in which the control members of a region heard none of the others.
type Cut struct {
	Region   string
	From, To int64
}

// Finding is one break of a rule.
type Finding struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// The rules' names.
const (
	RuleUnserved = "unserved"
	RuleStale    = "stale"
	RuleMissed   = "missed"
	RuleBackward = "backward"
)

// Verdict is what a judge says of a run.
type Verdict struct {
	Findings  map[string]int `json:"findings"` // by rule
	Examples  []Finding      `json:"examples,omitempty"`
	Changes   int            `json:"changes"`
	InForce   int            `json:"in_force"` // at members
	Median    float64        `json:"p50_seconds"`
	P99       float64        `json:"p99_seconds"`
	Worst     float64        `json:"worst_seconds"`
	Unserved  float64        `json:"longest_unserved_seconds"`
	OldestGap float64        `json:"longest_on_an_old_version_seconds"`
}

// Clean reports whether no rule was broken.
func (v *Verdict) Clean() bool {
	total := 0
	for _, n := range v.Findings {
		total += n
	}
	return total == 0
}

const maxExamples = 20

// Judge holds what members saw against the rules. It reads a whole run after its end.
type Judge struct {
	Rules   Rules
	Members []HollowMember // by number
	Real    []HollowMember // real senders, which are always up and tell nothing
	Changes []Change       // by time
	Cuts    []Cut

	members []judged
	cover   map[place]*coverage
	byPlace map[place]map[int]bool // members that serve a shard
	pending map[int]map[uint64]waiting
	planned map[string]*shard.Locator // by region, of all members, up or not
	newest  []versionAt               // the highest version that any member was at, by time
	verdict Verdict
	delays  []float64
}

// place is a shard of a region.
type place struct {
	region string
	shard  uint32
}

type judged struct {
	up      bool
	upSince int64
	version uint64
	serves  map[uint32]bool
}

type coverage struct {
	live  int
	since int64 // since when nobody serves; 0: somebody does
	told  bool
}

type waiting struct {
	number int
	from   int64
}

type versionAt struct {
	at      int64
	version uint64
}

// Run judges a run that ended at end.
func (j *Judge) Run(seen []Observation, end int64) *Verdict {
	j.members = make([]judged, len(j.Members))
	j.cover, j.byPlace, j.pending = map[place]*coverage{}, map[place]map[int]bool{}, map[int]map[uint64]waiting{}
	j.verdict.Findings = map[string]int{}
	j.planned = j.locators(func(int) bool { return true })
	slices.SortStableFunc(seen, func(x, y Observation) int { return cmp.Compare(x.At, y.At) })
	next := 0
	look := int64(0)
	for i := range seen {
		for next < len(j.Changes) && j.Changes[next].At <= seen[i].At {
			j.changed(&j.Changes[next])
			next++
		}
		j.take(&seen[i])
		if seen[i].At-look > int64(time.Second) {
			look = seen[i].At
			j.lookAtCover(look)
		}
	}
	for ; next < len(j.Changes); next++ {
		j.changed(&j.Changes[next])
	}
	j.finish(end)
	return &j.verdict
}

func (j *Judge) find(rule, format string, args ...any) {
	j.verdict.Findings[rule]++
	if len(j.verdict.Examples) < maxExamples {
		j.verdict.Examples = append(j.verdict.Examples, Finding{rule, fmt.Sprintf(format, args...)})
	}
}

func (j *Judge) take(o *Observation) {
	m := &j.members[o.Member]
	switch o.Kind {
	case Up:
		*m = judged{up: true, upSince: o.At, serves: map[uint32]bool{}}
	case Down:
		j.down(o.Member, o.At)
	case Applied:
		j.applied(o, m)
	case At:
		if m.up {
			j.version(o, m)
		}
	}
}

func (j *Judge) down(n int, at int64) {
	m := &j.members[n]
	for id := range m.serves {
		j.leave(n, id, at)
	}
	m.up = false
	delete(j.pending, n)
}

func (j *Judge) applied(o *Observation, m *judged) {
	if !m.up {
		return // told as it ended
	}
	j.version(o, m)
	for _, id := range o.Assigned {
		if !m.serves[id] {
			m.serves[id] = true
			j.enter(o.Member, id, o.At)
		}
	}
	for _, id := range o.Unassigned {
		if m.serves[id] {
			j.leave(o.Member, id, o.At)
			delete(m.serves, id)
		}
	}
	for _, c := range o.Changes {
		if w, waits := j.pending[o.Member][c.Destination]; waits && c.Number >= w.number {
			j.inForce(o.Member, w, o.At)
			delete(j.pending[o.Member], c.Destination)
		}
	}
}

// version takes the version that a member is at. A look at it may be overtaken by what the member learns meanwhile, and
// tells nothing of the order in which it did.
func (j *Judge) version(o *Observation, m *judged) {
	if o.Kind == Applied {
		if o.Version < m.version {
			j.find(RuleBackward, "%s went back from version %d to %d", j.Members[o.Member].Name, m.version, o.Version)
		}
		m.version = o.Version
	}
	o.Version = max(o.Version, m.version)
	if n := len(j.newest); n == 0 || o.Version > j.newest[n-1].version {
		j.newest = append(j.newest, versionAt{o.At, o.Version})
	}
	if o.Kind == Applied {
		return
	}
	behind := j.behindSince(o, m)
	if behind == 0 {
		return
	}
	gap := o.At - behind
	j.verdict.OldestGap = max(j.verdict.OldestGap, seconds(gap))
	if gap > int64(j.Rules.InForce) {
		j.find(RuleStale, "%s was at version %d for %.1f s after a later one was known", j.Members[o.Member].Name, o.Version, seconds(gap))
	}
}

// behindSince is since when a member could have had a later version than it is at; 0: it is at the newest.
func (j *Judge) behindSince(o *Observation, m *judged) int64 {
	at, _ := slices.BinarySearchFunc(j.newest, o.Version+1, func(v versionAt, want uint64) int { return cmp.Compare(v.version, want) })
	if at == len(j.newest) {
		return 0
	}
	return max(j.newest[at].at, m.upSince, j.reachable(j.Members[o.Member].Region, j.newest[at].at))
}

// reachable is from when a member of a region could hear of what was told at that time.
func (j *Judge) reachable(region string, told int64) int64 {
	from := told
	for _, c := range j.Cuts {
		if c.Region == region && told < c.To && c.From < told+int64(j.Rules.InForce) {
			from = max(from, c.To)
		}
	}
	return from
}

func (j *Judge) enter(n int, id uint32, at int64) {
	p := place{j.Members[n].Region, id}
	if j.byPlace[p] == nil {
		j.byPlace[p] = map[int]bool{}
	}
	j.byPlace[p][n] = true
	c := j.cover[p]
	if c == nil {
		c = &coverage{}
		j.cover[p] = c
	}
	if c.live++; c.since != 0 {
		j.unserved(p, c, at)
		c.since, c.told = 0, false
	}
}

func (j *Judge) leave(n int, id uint32, at int64) {
	p := place{j.Members[n].Region, id}
	delete(j.byPlace[p], n)
	for destination := range j.pending[n] {
		if uint32(shard.Of(destination)) == id {
			delete(j.pending[n], destination)
		}
	}
	if c := j.cover[p]; c != nil {
		if c.live--; c.live == 0 && !j.servedByReal(j.planned[p.region], id) {
			c.since = at
		}
	}
}

// lookAtCover finds shards that nobody has served for too long. One whose replicas are real senders is served by them.
func (j *Judge) lookAtCover(now int64) {
	var locators map[string]*shard.Locator
	for p, c := range j.cover {
		if c.since == 0 || c.told || now-c.since <= int64(j.Rules.Unserved) {
			continue
		}
		if locators == nil {
			locators = j.locators(func(n int) bool { return j.members[n].up })
		}
		if j.servedByReal(locators[p.region], p.shard) {
			c.since = now
			continue
		}
		j.unserved(p, c, now)
	}
}

// unserved takes how long nobody has served a shard.
func (j *Judge) unserved(p place, c *coverage, now int64) {
	gap := now - c.since
	j.verdict.Unserved = max(j.verdict.Unserved, seconds(gap))
	if gap > int64(j.Rules.Unserved) && !c.told {
		c.told = true
		j.find(RuleUnserved, "shard %d of %s has had no live member for %.1f s", p.shard, p.region, seconds(gap))
	}
}

// locators are of some members and all real senders, by region.
func (j *Judge) locators(of func(n int) bool) map[string]*shard.Locator {
	up := map[string][]shard.Member{}
	add := func(m *HollowMember) {
		up[m.Region] = append(up[m.Region], shard.Member{Name: m.Name, Zone: m.Zone, Weight: 1})
	}
	for i := range j.Members {
		if of(i) {
			add(&j.Members[i])
		}
	}
	for i := range j.Real {
		add(&j.Real[i])
	}
	locators := map[string]*shard.Locator{}
	for region, list := range up {
		locators[region] = shard.NewLocator(j.Rules.Replicas)
		locators[region].Update(list, nil)
	}
	return locators
}

func (j *Judge) servedByReal(l *shard.Locator, id uint32) bool {
	if l == nil {
		return false
	}
	for _, name := range l.Replicas(shard.ID(id)) {
		if slices.ContainsFunc(j.Real, func(m HollowMember) bool { return m.Name == name }) {
			return true
		}
	}
	return false
}

// changed notes who has to hear of a change: who serves its destination at that time.
func (j *Judge) changed(c *Change) {
	j.verdict.Changes++
	id := uint32(shard.Of(c.Destination))
	for p, members := range j.places(id) {
		for n := range members {
			if j.pending[n] == nil {
				j.pending[n] = map[uint64]waiting{}
			}
			if _, waits := j.pending[n][c.Destination]; waits {
				continue // an earlier change is waited for: whoever hears of a later one has it
			}
			j.pending[n][c.Destination] = waiting{c.Number, j.reachable(p.region, c.At)}
		}
	}
}

// places are those of a shard in all regions.
func (j *Judge) places(id uint32) map[place]map[int]bool {
	list := map[place]map[int]bool{}
	for _, region := range j.regions() {
		p := place{region, id}
		if members := j.byPlace[p]; len(members) > 0 {
			list[p] = members
		}
	}
	return list
}

func (j *Judge) regions() (list []string) {
	for i := range j.Members {
		if region := j.Members[i].Region; !slices.Contains(list, region) {
			list = append(list, region)
		}
	}
	return list
}

func (j *Judge) inForce(n int, w waiting, at int64) {
	delay := max(at-w.from, 0)
	j.delays = append(j.delays, seconds(delay))
	if delay > int64(j.Rules.InForce) {
		j.find(RuleMissed, "change %d was in force at %s after %.1f s", w.number, j.Members[n].Name, seconds(delay))
	}
}

func (j *Judge) finish(end int64) {
	for n, list := range j.pending {
		for destination, w := range list {
			if end-w.from > int64(j.Rules.InForce) {
				j.find(RuleMissed, "change %d of destination %d is not in force at %s, %.1f s after it could be", w.number, destination, j.Members[n].Name, seconds(end-w.from))
			}
		}
	}
	j.lookAtCover(end)
	slices.Sort(j.delays)
	j.verdict.InForce = len(j.delays)
	if n := len(j.delays); n > 0 {
		j.verdict.Median, j.verdict.P99, j.verdict.Worst = j.delays[n/2], j.delays[min(n*99/100, n-1)], j.delays[n-1]
	}
}

func seconds(d int64) float64 { return float64(d) / 1e9 }
