package scale

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sliptide/internal/fleet/shard"
)

// Rules are the limits that a run must keep.
type Rules struct {
	MaxUnserved    time.Duration // longest time without a live member for a destination that has had one
	InForceTimeout time.Duration // time limit for a change to be in force at a member, from when the member is reachable
	Replicas       int           // of a shard in each region
}

// Change is one change of a destination's endpoint, as published by discovery.
type Change struct {
	At          int64 // nanoseconds of the clock of observations
	Destination uint64
	Number      int
}

// Partition is a period in which the control members of a region were disconnected from those of other regions.
type Partition struct {
	Region   string
	From, To int64 // nanoseconds of the clock of observations
}

// Finding is one violation of a rule.
type Finding struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// Names of the rules, as written in findings.
const (
	RuleUnserved = "unserved" // a shard had no live member for longer than MaxUnserved
	RuleStale    = "stale"    // a member stayed at an old version for longer than InForceTimeout
	RuleMissed   = "missed"   // a change was not in force at a serving member within InForceTimeout
	RuleBackward = "backward" // a member applied a lower version than it had
)

// Verdict is the judge's result for a run. Median, P99 and Worst are the delays until changes were in force at members.
// All times are in seconds.
type Verdict struct {
	Findings        map[string]int `json:"findings"` // by rule
	Examples        []Finding      `json:"examples,omitempty"`
	Changes         int            `json:"changes"`
	InForceCount    int            `json:"in_force"` // changes that came into force, counted per member
	Median          float64        `json:"p50_seconds"`
	P99             float64        `json:"p99_seconds"`
	Worst           float64        `json:"worst_seconds"`
	LongestUnserved float64        `json:"longest_unserved_seconds"`
	LongestStale    float64        `json:"longest_on_an_old_version_seconds"`
}

// Clean reports whether no rule was violated.
func (v *Verdict) Clean() bool {
	total := 0
	for _, n := range v.Findings {
		total += n
	}
	return total == 0
}

const maxExamples = 20 // findings that a verdict lists; further ones are only counted

// Judge checks the members' observations against the rules, after the whole run has ended. A Judge judges one run.
type Judge struct {
	Rules       Rules
	Members     []HollowMember // indexed by member number
	RealSenders []HollowMember // always up; they send no observations
	Changes     []Change       // in order of time
	Partitions  []Partition

	memberStates    []memberState
	coverageByShard map[regionShard]*shardCoverage
	membersByShard  map[regionShard]map[int]bool     // hollow members that serve a shard
	pendingByMember map[int]map[uint64]pendingChange // by member number and destination
	allLocators     map[string]*shard.Locator        // by region, over all members, whether up or down
	versionHistory  []firstSeenVersion               // each new highest version of any member, in order of time
	verdict         Verdict
	delays          []float64 // in seconds
}

// regionShard identifies a shard within a region.
type regionShard struct {
	region string
	shard  uint32
}

type memberState struct {
	up      bool
	upSince int64           // in nanoseconds of the clock of observations, as all times below
	version uint64          // of the last applied update; 0: none since upSince
	serves  map[uint32]bool // shards
}

type shardCoverage struct {
	liveMembers   int   // hollow members that serve the shard
	unservedSince int64 // 0: the shard is served
	reported      bool  // the current period without a live member is among the findings
}

// pendingChange is a change that a member has not applied yet.
type pendingChange struct {
	number        int
	reachableFrom int64 // time from which the member could learn of it
}

type firstSeenVersion struct {
	at      int64
	version uint64
}

// Run returns the verdict for a run that ended at end. It sorts the observations by time.
func (j *Judge) Run(observations []Observation, end int64) *Verdict {
	j.memberStates = make([]memberState, len(j.Members))
	j.coverageByShard, j.membersByShard, j.pendingByMember = map[regionShard]*shardCoverage{}, map[regionShard]map[int]bool{}, map[int]map[uint64]pendingChange{}
	j.verdict.Findings = map[string]int{}
	j.allLocators = j.locators(func(int) bool { return true })
	slices.SortStableFunc(observations, func(x, y Observation) int { return cmp.Compare(x.At, y.At) })
	next := 0
	lastCheck := int64(0)
	for i := range observations {
		for next < len(j.Changes) && j.Changes[next].At <= observations[i].At {
			j.recordChange(&j.Changes[next])
			next++
		}
		j.observe(&observations[i])
		if observations[i].At-lastCheck > int64(time.Second) {
			lastCheck = observations[i].At
			j.checkCoverage(lastCheck)
		}
	}
	for ; next < len(j.Changes); next++ {
		j.recordChange(&j.Changes[next])
	}
	j.finish(end)
	return &j.verdict
}

// addFinding counts a violation of a rule, and lists it among the examples while there are fewer than maxExamples.
func (j *Judge) addFinding(rule, format string, args ...any) {
	j.verdict.Findings[rule]++
	if len(j.verdict.Examples) < maxExamples {
		j.verdict.Examples = append(j.verdict.Examples, Finding{rule, fmt.Sprintf(format, args...)})
	}
}

// observe updates the state of a member by an observation, and checks the rules that it concerns.
func (j *Judge) observe(o *Observation) {
	m := &j.memberStates[o.Member]
	switch o.Kind {
	case Up:
		*m = memberState{up: true, upSince: o.At, serves: map[uint32]bool{}}
	case Down:
		j.memberDown(o.Member, o.At)
	case Applied:
		j.updateApplied(o, m)
	case AtVersion:
		if m.up {
			j.checkVersion(o, m)
		}
	}
}

// memberDown takes a member out of service of all its shards. Its pending changes are dropped: it starts again with
// empty state.
func (j *Judge) memberDown(member int, at int64) {
	state := &j.memberStates[member]
	for id := range state.serves {
		j.stopServing(member, id, at)
	}
	state.up = false
	delete(j.pendingByMember, member)
}

// updateApplied applies an update's version, its assigned and withdrawn shards, and its endpoint changes to the state
// of the member that has applied it.
func (j *Judge) updateApplied(o *Observation, m *memberState) {
	if !m.up {
		return // an update that was applied while the member was being stopped
	}
	j.checkVersion(o, m)
	for _, id := range o.Assigned {
		if !m.serves[id] {
			m.serves[id] = true
			j.startServing(o.Member, id, o.At)
		}
	}
	for _, id := range o.Unassigned {
		if m.serves[id] {
			j.stopServing(o.Member, id, o.At)
			delete(m.serves, id)
		}
	}
	for _, c := range o.Changes {
		if pending, found := j.pendingByMember[o.Member][c.Destination]; found && c.Number >= pending.number {
			j.recordInForce(o.Member, pending, o.At)
			delete(j.pendingByMember[o.Member], c.Destination)
		}
	}
}

// checkVersion records a member's version and checks that it neither decreases nor stays old for too long. Only
// applied updates show the order of versions: the member may apply an update between the time of a periodic version
// report and the reading of its version, and the report may name a lower version than an update that came before it.
// Such a report counts as one of that update's version.
func (j *Judge) checkVersion(o *Observation, m *memberState) {
	if o.Kind == Applied {
		if o.Version < m.version {
			j.addFinding(RuleBackward, "%s went back from version %d to %d", j.Members[o.Member].Name, m.version, o.Version)
		}
		m.version = o.Version
	}
	o.Version = max(o.Version, m.version)
	if n := len(j.versionHistory); n == 0 || o.Version > j.versionHistory[n-1].version {
		j.versionHistory = append(j.versionHistory, firstSeenVersion{o.At, o.Version})
	}
	if o.Kind == Applied {
		return
	}
	staleSince := j.staleSince(o, m)
	if staleSince == 0 {
		return
	}
	gap := o.At - staleSince
	j.verdict.LongestStale = max(j.verdict.LongestStale, seconds(gap))
	if gap > int64(j.Rules.InForceTimeout) {
		j.addFinding(RuleStale, "%s was at version %d for %.1f s after a later one was known", j.Members[o.Member].Name, o.Version, seconds(gap))
	}
}

// staleSince returns the time from which the member could have had a later version, or 0 if it is at the newest.
func (j *Judge) staleSince(o *Observation, m *memberState) int64 {
	index, _ := slices.BinarySearchFunc(j.versionHistory, o.Version+1, func(v firstSeenVersion, want uint64) int { return cmp.Compare(v.version, want) })
	if index == len(j.versionHistory) {
		return 0
	}
	return max(j.versionHistory[index].at, m.upSince, j.reachableFrom(j.Members[o.Member].Region, j.versionHistory[index].at))
}

// reachableFrom returns the time from which members of a region could learn of an update published at that time: the
// end of a partition of their region that may have delayed it, otherwise the time itself. A partition that began within
// InForceTimeout after the publication counts, since the update may not have reached the region by then.
func (j *Judge) reachableFrom(region string, at int64) int64 {
	reachableFrom := at
	for _, partition := range j.Partitions {
		if partition.Region == region && at < partition.To && partition.From < at+int64(j.Rules.InForceTimeout) {
			reachableFrom = max(reachableFrom, partition.To)
		}
	}
	return reachableFrom
}

// startServing counts a member as serving a shard. It ends and records a period in which no live member served the
// shard.
func (j *Judge) startServing(member int, id uint32, at int64) {
	key := regionShard{j.Members[member].Region, id}
	if j.membersByShard[key] == nil {
		j.membersByShard[key] = map[int]bool{}
	}
	j.membersByShard[key][member] = true
	c := j.coverageByShard[key]
	if c == nil {
		c = &shardCoverage{}
		j.coverageByShard[key] = c
	}
	if c.liveMembers++; c.unservedSince != 0 {
		j.recordGap(key, c, at)
		c.unservedSince, c.reported = 0, false
	}
}

// stopServing no longer counts a member as serving a shard, and drops its pending changes to the shard's destinations.
// A shard that has no live member left is unserved from then on, unless a real sender is among its replicas.
func (j *Judge) stopServing(member int, id uint32, at int64) {
	key := regionShard{j.Members[member].Region, id}
	delete(j.membersByShard[key], member)
	for destination := range j.pendingByMember[member] {
		if uint32(shard.Of(destination)) == id {
			delete(j.pendingByMember[member], destination)
		}
	}
	if c := j.coverageByShard[key]; c != nil {
		if c.liveMembers--; c.liveMembers == 0 && !j.servedByRealSender(j.allLocators[key.region], id) {
			c.unservedSince = at
		}
	}
}

// checkCoverage reports shards without a live member for longer than MaxUnserved. A shard with a real sender among its
// replicas, by the members that are up now, counts as served until now.
func (j *Judge) checkCoverage(now int64) {
	var locators map[string]*shard.Locator
	for key, c := range j.coverageByShard {
		if c.unservedSince == 0 || c.reported || now-c.unservedSince <= int64(j.Rules.MaxUnserved) {
			continue
		}
		if locators == nil {
			locators = j.locators(func(n int) bool { return j.memberStates[n].up })
		}
		if j.servedByRealSender(locators[key.region], key.shard) {
			c.unservedSince = now
			continue
		}
		j.recordGap(key, c, now)
	}
}

// recordGap records the time that a shard has had no live member, and reports it once if it exceeds MaxUnserved.
func (j *Judge) recordGap(key regionShard, c *shardCoverage, now int64) {
	gap := now - c.unservedSince
	j.verdict.LongestUnserved = max(j.verdict.LongestUnserved, seconds(gap))
	if gap > int64(j.Rules.MaxUnserved) && !c.reported {
		c.reported = true
		j.addFinding(RuleUnserved, "shard %d of %s has had no live member for %.1f s", key.shard, key.region, seconds(gap))
	}
}

// locators returns a locator for each region, over the hollow members that include selects and all real senders.
func (j *Judge) locators(include func(n int) bool) map[string]*shard.Locator {
	included := map[string][]shard.Member{}
	add := func(m *HollowMember) {
		included[m.Region] = append(included[m.Region], shard.Member{Name: m.Name, Zone: m.Zone, Weight: 1})
	}
	for i := range j.Members {
		if include(i) {
			add(&j.Members[i])
		}
	}
	for i := range j.RealSenders {
		add(&j.RealSenders[i])
	}
	locators := map[string]*shard.Locator{}
	for region, list := range included {
		locators[region] = shard.NewLocator(j.Rules.Replicas)
		locators[region].Update(list, nil)
	}
	return locators
}

// servedByRealSender reports whether a real sender is among a shard's replicas.
func (j *Judge) servedByRealSender(locator *shard.Locator, id uint32) bool {
	if locator == nil {
		return false
	}
	for _, name := range locator.Replicas(shard.ID(id)) {
		if slices.ContainsFunc(j.RealSenders, func(m HollowMember) bool { return m.Name == name }) {
			return true
		}
	}
	return false
}

// recordChange marks a change as pending at each member that serves its destination at that time.
func (j *Judge) recordChange(c *Change) {
	j.verdict.Changes++
	id := uint32(shard.Of(c.Destination))
	for key, members := range j.servingMembers(id) {
		for member := range members {
			if j.pendingByMember[member] == nil {
				j.pendingByMember[member] = map[uint64]pendingChange{}
			}
			if _, found := j.pendingByMember[member][c.Destination]; found {
				continue // an earlier change is pending; any later change number satisfies it
			}
			j.pendingByMember[member][c.Destination] = pendingChange{c.Number, j.reachableFrom(key.region, c.At)}
		}
	}
}

// servingMembers returns the members that serve a shard, for each region that has any.
func (j *Judge) servingMembers(id uint32) map[regionShard]map[int]bool {
	byRegion := map[regionShard]map[int]bool{}
	for _, region := range j.regions() {
		key := regionShard{region, id}
		if members := j.membersByShard[key]; len(members) > 0 {
			byRegion[key] = members
		}
	}
	return byRegion
}

// regions returns the regions of the hollow members.
func (j *Judge) regions() (list []string) {
	for i := range j.Members {
		if region := j.Members[i].Region; !slices.Contains(list, region) {
			list = append(list, region)
		}
	}
	return list
}

// recordInForce records the delay of a change that has come into force at a member at the given time.
func (j *Judge) recordInForce(member int, pending pendingChange, at int64) {
	delay := max(at-pending.reachableFrom, 0)
	j.delays = append(j.delays, seconds(delay))
	if delay > int64(j.Rules.InForceTimeout) {
		j.addFinding(RuleMissed, "change %d was in force at %s after %.1f s", pending.number, j.Members[member].Name, seconds(delay))
	}
}

// finish reports the changes and gaps that are still open at the end of the run for longer than the rules allow, and
// computes the delays' percentiles.
func (j *Judge) finish(end int64) {
	for member, changes := range j.pendingByMember {
		for destination, pending := range changes {
			if end-pending.reachableFrom > int64(j.Rules.InForceTimeout) {
				j.addFinding(RuleMissed, "change %d of destination %d is not in force at %s, %.1f s after it could be", pending.number, destination, j.Members[member].Name, seconds(end-pending.reachableFrom))
			}
		}
	}
	j.checkCoverage(end)
	slices.Sort(j.delays)
	j.verdict.InForceCount = len(j.delays)
	if n := len(j.delays); n > 0 {
		j.verdict.Median, j.verdict.P99, j.verdict.Worst = j.delays[n/2], j.delays[min(n*99/100, n-1)], j.delays[n-1]
	}
}

// seconds converts nanoseconds to seconds.
func seconds(d int64) float64 { return float64(d) / 1e9 }
