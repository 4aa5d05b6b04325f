package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/fleet/pb"
)

// Delays after which the leader lets members join or leave the directory.
const (
	// ControlTimeout is the time after which a control member that does not report counts as lost, together with the
	// members that have subscribed there, until they subscribe elsewhere.
	ControlTimeout = 4 * time.Second
	// MemberGracePeriod is how long a member that no control member reports keeps its shards, so that a restart in
	// place or a change to another control member moves no shards.
	MemberGracePeriod = 6 * time.Second
	// FirstJoinDelay is how long the first members of a region wait for others that start at the same time. Otherwise a
	// single member would be assigned all of its region's shards for a moment.
	FirstJoinDelay = 3 * time.Second
)

// NameHashSum returns the sum of the hashes of the members' names, by which two sets of members are compared.
func NameHashSum(members []Member) (sum uint64) {
	for i := range members {
		sum += xxhash.Sum64String(members[i].Name)
	}
	return sum
}

// NewReport returns a control member's report of the members that have subscribed there: all of them if full is set,
// else only their number and hash sum.
func NewReport(seq uint64, members []Member, full bool) *pb.Report {
	r := &pb.Report{Seq: seq, Whole: full, Count: uint64(len(members)), Sum: NameHashSum(members)}
	for i := range members {
		if !full {
			break
		}
		r.Joined = append(r.Joined, members[i].proto(false))
	}
	return r
}

// reporter is what the leader knows of one control member by its reports.
type reporter struct {
	region      string
	seq         uint64
	reportedAt  int64
	members     map[string]Member // nil until a full report has been received
	nameHashSum uint64
}

// Roster is the leader's record of the members that have subscribed at each control member. It decides which members
// join and leave the directory.
type Roster struct {
	controlRegions  map[string]bool // regions that have control members
	reporters       map[string]*reporter
	unreportedSince map[string]int64 // when a member of the directory was first found unreported
	firstReportedAt map[string]int64 // when the first member of a region without members was reported
	leadingSince    int64            // when this control member began to lead
}

// NewRoster returns the roster of a control member that begins to lead. regions are those that have control members.
func NewRoster(regions []string, now int64) *Roster {
	controlRegions := map[string]bool{}
	for _, region := range regions {
		controlRegions[region] = true
	}
	return &Roster{controlRegions: controlRegions, reporters: map[string]*reporter{}, unreportedSince: map[string]int64{}, firstReportedAt: map[string]int64{}, leadingSince: now}
}

// HandleReport handles a report of a control member of a region, and returns whether its next report is to list all
// members: no list of them is known yet, or the known one does not match the report.
func (r *Roster) HandleReport(from, region string, report *pb.Report, now int64) (fullReport bool) {
	c := r.reporters[from]
	if c == nil {
		c = &reporter{region: region}
		r.reporters[from] = c
	}
	if report.Seq <= c.seq && c.members != nil {
		return false // a late duplicate
	}
	c.reportedAt = now
	if report.Whole {
		c.members, c.nameHashSum = make(map[string]Member, len(report.Joined)), 0
		for _, m := range report.Joined {
			c.members[m.Name] = MemberFromProto(m)
			c.nameHashSum += xxhash.Sum64String(m.Name)
		}
	}
	if c.members == nil || uint64(len(c.members)) != report.Count || c.nameHashSum != report.Sum {
		return true
	}
	c.seq = report.Seq
	return false
}

// Tick returns the members that are to join the directory and those that are to leave it, each sorted by name. known
// are the members now in the directory. Members of a region whose control members are all silent stay: the region is
// cut off and keeps working with what it knows.
func (r *Roster) Tick(known map[string]Member, now int64) (joined, left []Member) {
	reported, heardRegions := map[string]bool{}, map[string]bool{}
	for name, c := range r.reporters {
		if now-c.reportedAt > int64(ControlTimeout) {
			delete(r.reporters, name)
			continue
		}
		heardRegions[c.region] = true
		for name, m := range c.members {
			if reported[name] {
				continue // a member that changes its control member may be in two reports: either is correct
			}
			reported[name] = true
			if known[name] != m {
				joined = append(joined, m)
			}
		}
	}
	for name, m := range known {
		if reported[name] || r.controlRegions[m.Region] && !heardRegions[m.Region] {
			delete(r.unreportedSince, name)
			continue
		}
		since, counted := r.unreportedSince[name]
		if !counted {
			since = now
			r.unreportedSince[name] = since
		}
		// A new leader waits until the control members have had time to report.
		if now-since > int64(MemberGracePeriod) && now-r.leadingSince > int64(MemberGracePeriod+ControlTimeout) {
			left = append(left, m)
			delete(r.unreportedSince, name)
		}
	}
	for name := range r.unreportedSince {
		if _, found := known[name]; !found {
			delete(r.unreportedSince, name)
		}
	}
	joined = r.holdBackFirst(joined, known, now)
	slices.SortFunc(joined, byName)
	slices.SortFunc(left, byName)
	return joined, left
}

// byName compares members by name.
func byName(x, y Member) int { return cmp.Compare(x.Name, y.Name) }

// holdBackFirst removes from joined the members of a region that has none in the directory, until FirstJoinDelay has
// passed since the first of them was reported.
func (r *Roster) holdBackFirst(joined []Member, known map[string]Member, now int64) []Member {
	populated := map[string]bool{}
	for _, m := range known {
		populated[m.Region] = true
	}
	return slices.DeleteFunc(joined, func(m Member) bool {
		if populated[m.Region] {
			delete(r.firstReportedAt, m.Region)
			return false
		}
		since, counted := r.firstReportedAt[m.Region]
		if !counted {
			since = now
			r.firstReportedAt[m.Region] = now
		}
		return now-since < int64(FirstJoinDelay)
	})
}
