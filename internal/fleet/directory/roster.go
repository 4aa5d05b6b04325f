package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/fleet/pb"
)

// How long the member that leads waits before it takes members for lost.
const (
	// ControlSilence is the time after which a control member that does not report counts as lost, with all that have
	// subscribed there, until they subscribe elsewhere.
	ControlTimeout = 4 * time.Second
	// MemberGrace is how long a member that no control member reports keeps its shards: a restart in place, or a change
	// to another control member, moves none.
	MemberGracePeriod = 6 * time.Second
	// JoinSettle is how long the first members of a region wait for others that start with them: a single one would be
	// given all of its region's shards for a moment.
	FirstJoinDelay = 3 * time.Second
)

// Sum is the sum of the members' names' hashes, by which two sets of members are compared.
func NameHashSum(members []Member) (sum uint64) {
	for i := range members {
		sum += xxhash.Sum64String(members[i].Name)
	}
	return sum
}

// ReportOf is a control member's report of the members that have subscribed there, whole or by their sum alone.
func NewReport(seq uint64, members []Member, whole bool) *pb.Report {
	r := &pb.Report{Seq: seq, Whole: whole, Count: uint64(len(members)), Sum: NameHashSum(members)}
	for i := range members {
		if !whole {
			break
		}
		r.Joined = append(r.Joined, members[i].message(false))
	}
	return r
}

// reporter is one control member as the leader has heard it.
type reporter struct {
	region  string
	seq     uint64
	heardAt int64
	members map[string]Member
	sum     uint64
}

// Roster is the leader's book of who has subscribed where. It says which members join and leave the directory.
type Roster struct {
	regions   map[string]bool // that have control members
	reporters map[string]*reporter
	lostAt    map[string]int64 // since when a member of the directory is reported by nobody
	firstAt   map[string]int64 // since when members of a region without any are reported
	since     int64
}

// NewRoster returns the book of a member that begins to lead. regions are those that have control members.
func NewRoster(regions []string, now int64) *Roster {
	known := map[string]bool{}
	for _, region := range regions {
		known[region] = true
	}
	return &Roster{regions: known, reporters: map[string]*reporter{}, lostAt: map[string]int64{}, firstAt: map[string]int64{}, since: now}
}

// Report takes a report of a control member of that region, and returns whether all members are to be reported again.
func (r *Roster) HandleReport(from, region string, report *pb.Report, now int64) (again bool) {
	c := r.reporters[from]
	if c == nil {
		c = &reporter{region: region}
		r.reporters[from] = c
	}
	if report.Seq <= c.seq && c.members != nil {
		return false // a late copy
	}
	c.heardAt = now
	if report.Whole {
		c.members, c.sum = make(map[string]Member, len(report.Joined)), 0
		for _, m := range report.Joined {
			c.members[m.Name] = MemberFromProto(m)
			c.sum += xxhash.Sum64String(m.Name)
		}
	}
	if c.members == nil || uint64(len(c.members)) != report.Count || c.sum != report.Sum {
		return true
	}
	c.seq = report.Seq
	return false
}

// Tick returns the members that are to join the directory, and those that are to leave it. Members of a region none of
// whose control members reports stay: the region is cut off and goes on with what it knows.
func (r *Roster) Tick(known map[string]Member, now int64) (joined, left []Member) {
	reported, heard := map[string]bool{}, map[string]bool{}
	for name, c := range r.reporters {
		if now-c.heardAt > int64(ControlTimeout) {
			delete(r.reporters, name)
			continue
		}
		heard[c.region] = true
		for name, m := range c.members {
			if reported[name] {
				continue // of two reports, as a member changes over, either will do
			}
			reported[name] = true
			if known[name] != m {
				joined = append(joined, m)
			}
		}
	}
	for name, m := range known {
		if reported[name] || r.regions[m.Region] && !heard[m.Region] {
			delete(r.lostAt, name)
			continue
		}
		at, counted := r.lostAt[name]
		if !counted {
			at = now
			r.lostAt[name] = at
		}
		// A leader that begins waits until the control members have had time to report.
		if now-at > int64(MemberGracePeriod) && now-r.since > int64(MemberGracePeriod+ControlTimeout) {
			left = append(left, m)
			delete(r.lostAt, name)
		}
	}
	for name := range r.lostAt {
		if _, there := known[name]; !there {
			delete(r.lostAt, name)
		}
	}
	joined = r.settled(joined, known, now)
	slices.SortFunc(joined, byName)
	slices.SortFunc(left, byName)
	return joined, left
}

// byName orders members.
func byName(x, y Member) int { return cmp.Compare(x.Name, y.Name) }

// settled leaves members out that are among the first of their region and have not waited for others yet.
func (r *Roster) settled(joined []Member, known map[string]Member, now int64) []Member {
	begun := map[string]bool{}
	for _, m := range known {
		begun[m.Region] = true
	}
	return slices.DeleteFunc(joined, func(m Member) bool {
		if begun[m.Region] {
			delete(r.firstAt, m.Region)
			return false
		}
		at, counted := r.firstAt[m.Region]
		if !counted {
			at = now
			r.firstAt[m.Region] = now
		}
		return now-at < int64(FirstJoinDelay)
	})
}
