package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/fleet"
	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/link"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/subscriber"
	"sliptide/internal/fsys"
)

const (
	leaderDuty        = "directory" // its holder is the leader
	inboxSize         = 4096        // frames and lists that wait for the loop in Run
	tickInterval      = 50 * time.Millisecond
	reportInterval    = time.Second            // between reports to the leader while nothing changes
	minReportInterval = 200 * time.Millisecond // between reports to the leader when its list of subscribers is outdated
	rosterInterval    = 200 * time.Millisecond // between checks by the leader of which members join and leave
	statusInterval    = 500 * time.Millisecond // between updates of the status for operators
	maxLinks          = 20000                  // links that are accepted from senders and control members
)

// Options configure a Control.
type Options struct {
	Settings *Settings
	Log      zerolog.Logger
}

// Status is the state of a control member as it reports it to operators.
type Status struct {
	Name             string `json:"name"`
	Leader           string `json:"leader"` // empty: none is known
	Version          uint64 `json:"version"`
	DiscoveryVersion uint64 `json:"source"` // the latest version of discovery in the directory
	Endpoints        int    `json:"endpoints"`
	Members          int    `json:"members"`
	Subscribers      int    `json:"subscribers"` // senders that have subscribed at this member
}

// Control is a control member. Its state is owned by the goroutine of Run, except leader, inbox and status, which other
// goroutines use too.
type Control struct {
	o      Options
	self   Member
	group  *fleet.Member
	links  *link.Manager
	leader atomic.Pointer[string] // the duty's holder, as the group reports it
	inbox  chan input
	status atomic.Pointer[Status]

	dir             *directory.Directory
	publisher       *directory.Publisher
	subscription    *directory.Subscription
	followedLeader  string      // the leader that it subscribes to; empty: none
	leadership      *leadership // nil unless this member leads
	statusAt        int64       // when the status was last updated, by fleet.Now
	reportSeq       uint64      // number of the last report to the leader
	reportAt        int64       // when it was sent, by fleet.Now
	reportedHashSum uint64      // NameHashSum of the members in the last report
	fullReportDue   bool        // the next report has to list all members
}

// leadership is the state that a control member has only while it leads.
type leadership struct {
	token     uint64 // of the duty; the leadership ends once this member does not hold the duty under it
	roster    *directory.Roster
	rosterAt  int64              // when the roster was last checked, by fleet.Now
	stopWatch context.CancelFunc // ends the watch of discovery
}

// input is an input of the loop in Run: a frame or a list from discovery.
type input struct {
	from  string
	frame *pb.Frame
	list  *discoveryList
}

// discoveryList is a list from discovery, received by the leader with the given token.
type discoveryList struct {
	token     uint64
	full      bool // a complete list, not only changes
	version   uint64
	endpoints []directory.Endpoint
}

// New opens a control member's listeners, which serve links at once, and joins its group. Run must be called to operate
// it.
func New(o Options) (*Control, error) {
	s := o.Settings
	c := &Control{o: o, self: s.Self(), inbox: make(chan input, inboxSize), dir: directory.New(), fullReportDue: true}
	c.publisher = directory.NewPublisher(c.dir, s.Replicas)
	c.subscription = directory.NewSubscription(directory.SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	c.status.Store(&Status{Name: s.Name})
	client, server, err := s.tlsConfigs()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.StateDir, 0o700); err != nil {
		return nil, err
	}
	groupListener, err := net.Listen("tcp", c.self.Addr)
	if err != nil {
		return nil, fmt.Errorf("addr: %w", err)
	}
	directoryListener, err := net.Listen("tcp", c.self.DirectoryAddr)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("directory: %w", err), groupListener.Close())
	}
	groupSettings := fleet.Settings{Name: s.Name, Weight: 1, Lease: lease.Params{Length: s.Lease, Drift: s.ClockDrift}, ElectionTimeout: s.ElectionTimeout, Hash: s.groupHash(), Client: client, Server: server}
	for _, m := range s.Members {
		groupSettings.Members = append(groupSettings.Members, fleet.Peer{Name: m.Name, Addr: m.Addr, Zone: m.Region, Voter: m.Voter})
	}
	groupSettings.MinVoters = len(groupSettings.VoterNames())
	c.group, err = fleet.Open(fleet.Options{Settings: groupSettings, Files: fsys.OS{Dir: s.StateDir}, Log: o.Log, DutyChanged: c.recordLeader}, groupListener)
	if err != nil {
		return nil, errors.Join(err, groupListener.Close(), directoryListener.Close())
	}
	c.group.Request(leaderDuty, "")
	c.links = link.New(link.Options{Self: s.Name, SettingsHash: subscriber.LinkSettingsHash, DialAddrs: c.dialAddrs(), IsMember: func(name string) bool { return name != "" }, Client: client, Server: server,
		PingInterval: subscriber.LinkPingInterval, SilenceTimeout: subscriber.LinkSilenceTimeout, MaxLinks: maxLinks, Receive: c.enqueueFrame, Call: c.handleCall,
		OnEvent: func(what, member string, err error) {
			o.Log.Debug().Str("member", member).Err(err).Msg("directory: " + what)
		}})
	go c.links.Serve(directoryListener)
	return c, nil
}

// groupHash returns a hash of the settings that must be the same in all control members' files: the replicas, the
// lease, the clock drift, the election timeout and the voters' names in the order of the file.
func (s *Settings) groupHash() uint64 {
	text := fmt.Sprint(s.Lease, s.ClockDrift, s.ElectionTimeout, s.Replicas)
	for _, m := range s.Members {
		if m.Voter {
			text += " " + m.Name
		}
	}
	return xxhash.Sum64String(text)
}

// dialAddrs returns the control members that this one dials, by name: of two members the one whose name sorts first
// dials.
func (c *Control) dialAddrs() map[string]string {
	list := map[string]string{}
	for _, m := range c.o.Settings.Members {
		if c.self.Name < m.Name {
			list[m.Name] = m.DirectoryAddr
		}
	}
	return list
}

// regions returns the regions of all control members.
func (c *Control) regions() (list []string) {
	for _, m := range c.o.Settings.Members {
		list = append(list, m.Region)
	}
	return list
}

// regionOf returns the region of a control member, empty if it is unknown.
func (c *Control) regionOf(name string) string {
	for _, m := range c.o.Settings.Members {
		if m.Name == name {
			return m.Region
		}
	}
	return ""
}

// recordLeader stores the holder of the leader's duty at each change of a duty.
func (c *Control) recordLeader(d *pb.Duty, _ bool) {
	if d.Name == leaderDuty {
		holder := d.Holder
		c.leader.Store(&holder)
	}
}

// leaderName returns the last known leader, empty if none is known.
func (c *Control) leaderName() string {
	if name := c.leader.Load(); name != nil {
		return *name
	}
	return ""
}

// enqueueFrame passes a frame to the loop. While the inbox is full it blocks the frame's link, but no other one.
func (c *Control) enqueueFrame(ctx context.Context, from string, f *pb.Frame) {
	select {
	case c.inbox <- input{from: from, frame: f}:
	case <-ctx.Done():
	}
}

// handleCall answers an operator's command.
func (c *Control) handleCall(_ context.Context, a *pb.Ask) (*pb.Answer, error) {
	if a.Status == nil {
		return &pb.Answer{Error: "a control member answers status alone here"}, nil
	}
	text, err := json.Marshal(c.status.Load())
	return &pb.Answer{Status: string(text)}, err
}

// Run operates the control member until the context ends, and then leaves the group.
func (c *Control) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	c.o.Log.Info().Str("directory", c.self.DirectoryAddr).Msg("control member started")
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case in := <-c.inbox:
			c.handleInput(ctx, in)
			for range len(c.inbox) {
				c.handleInput(ctx, <-c.inbox)
			}
			c.flush()
		case <-tick.C:
			c.tick(ctx)
			c.flush()
		}
	}
	c.stopLeading()
	c.group.Close()
	c.links.Close()
}

// handleInput handles one frame or list.
func (c *Control) handleInput(ctx context.Context, in input) {
	if in.list != nil {
		c.handleList(in.list)
		return
	}
	now := fleet.Now()
	switch w := in.frame.What.(type) {
	case *pb.Frame_Subscribe, *pb.Frame_Ack:
		c.publisher.Receive(in.from, in.frame, now)
	case *pb.Frame_Report:
		if c.leadership != nil {
			fullReport := c.leadership.roster.HandleReport(in.from, c.regionOf(in.from), w.Report, now)
			c.links.Send(in.from, &pb.Frame{What: &pb.Frame_Reported{Reported: &pb.Reported{Seq: w.Report.Seq, Again: fullReport}}})
		}
	case *pb.Frame_Reported:
		c.fullReportDue = c.fullReportDue || w.Reported.Again
	case *pb.Frame_Update, *pb.Frame_Refused:
		if c.leadership == nil {
			c.applyUpdate(c.subscription.Receive(in.from, in.frame, now))
		}
	}
}

// applyUpdate applies an update of the leader; nil is ignored.
func (c *Control) applyUpdate(a *directory.AppliedUpdate) {
	if a == nil {
		return
	}
	change, err := c.dir.ApplyUpdate(a)
	switch {
	case errors.Is(err, directory.ErrStale):
	case err == nil && a.AllShards:
		c.publisher.ApplyChange(change)
		go debug.FreeOSMemory() // the snapshot's parts took several times the memory that is kept
	case err != nil: // the next subscription begins with a snapshot
		c.o.Log.Error().Err(err).Msg("directory: failed to apply an update from the leader; the next subscription requests a snapshot")
		c.subscription.Resume(0)
	default:
		c.publisher.ApplyChange(change)
	}
}

// tick does the periodic work of the loop.
func (c *Control) tick(ctx context.Context) {
	now := fleet.Now()
	c.updateLeadership(ctx, now)
	if c.leadership != nil {
		c.publishMembership(now)
	} else if c.subscription.Tick(now); c.subscription.ShouldReconnect() && c.followedLeader != "" {
		c.subscription.Connect(c.followedLeader, now)
	}
	c.sendReport(now)
	c.publisher.Tick(now)
	if now-c.statusAt < int64(statusInterval) {
		return
	}
	c.statusAt = now
	c.status.Store(&Status{Name: c.self.Name, Leader: c.leaderName(), Version: c.dir.Version(), DiscoveryVersion: c.dir.DiscoveryVersion(), Endpoints: c.dir.Len(),
		Members: len(c.dir.Members()), Subscribers: len(c.publisher.Subscribers())})
}

// updateLeadership starts leading if this member has acquired the duty, stops if it no longer holds it under the same
// token, and otherwise subscribes to a leader that is new.
func (c *Control) updateLeadership(ctx context.Context, now int64) {
	token := c.group.Token(leaderDuty)
	if c.leadership != nil && c.leadership.token != token {
		c.stopLeading()
	}
	if token != 0 && c.leadership == nil {
		c.startLeading(ctx, token, now)
	}
	if c.leadership != nil {
		return
	}
	if leader := c.leaderName(); leader != "" && leader != c.self.Name && leader != c.followedLeader {
		c.followedLeader, c.fullReportDue = leader, true
		c.subscription.Resume(c.dir.Version())
		c.subscription.Connect(leader, now)
	}
}

// startLeading publishes a first version under the token and starts the watch of discovery.
func (c *Control) startLeading(ctx context.Context, token uint64, now int64) {
	watchCtx, stopWatch := context.WithCancel(ctx)
	c.leadership = &leadership{token: token, roster: directory.NewRoster(c.regions(), now), stopWatch: stopWatch}
	c.followedLeader, c.fullReportDue = "", true
	c.o.Log.Info().Uint64("token", token).Uint64("version", c.dir.Version()).Msg("directory: became leader")
	c.publish(c.dir.DiscoveryVersion(), nil, nil, nil)
	// The watch continues from the version of discovery that the previous leader published last.
	watch := discovery.NewDirectoryWatch(c.o.Settings.DiscoveryAddr, c.dir.DiscoveryVersion(), int(c.o.Settings.MaxListBytes), rand.Uint64(), c.o.Log, func(l discovery.List) {
		c.enqueueList(watchCtx, token, l)
	})
	go watch.Run(watchCtx)
}

// stopLeading ends the leadership, if there is one, and its watch of discovery.
func (c *Control) stopLeading() {
	if c.leadership == nil {
		return
	}
	c.leadership.stopWatch()
	c.leadership = nil
	c.o.Log.Info().Uint64("version", c.dir.Version()).Msg("directory: no longer leads")
}

// enqueueList passes a list from discovery to the loop. It is called on the watch's goroutine and blocks it while the
// inbox is full.
func (c *Control) enqueueList(ctx context.Context, token uint64, l discovery.List) {
	converted := &discoveryList{token: token, full: l.Full, version: l.Version, endpoints: make([]directory.Endpoint, 0, len(l.Endpoints))}
	for i := range l.Endpoints {
		converted.endpoints = append(converted.endpoints, directoryEndpoint(&l.Endpoints[i]))
	}
	select {
	case c.inbox <- input{list: converted}:
	case <-ctx.Done():
	}
	if l.Full {
		go debug.FreeOSMemory() // reading the list took several times the memory that is kept
	}
}

// directoryEndpoint converts an endpoint of discovery.
func directoryEndpoint(e *discovery.Endpoint) directory.Endpoint {
	endpoint := directory.Endpoint{ID: e.Name, Addr: e.Addr, Zone: e.ZoneName, Kind: e.KindName, Destination: uint64(max(e.Dest, 0)), Weight: e.Rating}
	endpoint.State = pb.EndpointState(e.State) // both enumerations have the same values: removed, up, draining
	return endpoint
}

// handleList publishes the changes of a list from discovery, unless an earlier leadership of this member received it.
// Removed endpoints in a list may lack their destination, which the directory then provides.
func (c *Control) handleList(l *discoveryList) {
	if c.leadership == nil || c.leadership.token != l.token {
		return
	}
	changed := l.endpoints
	if l.full {
		changed = c.dir.Diff(l.endpoints)
	}
	for i := range changed {
		if e := &changed[i]; e.State == pb.EndpointState_REMOVED {
			if destination, found := c.dir.DestinationOf(e.ID); found {
				e.Destination = destination
			}
		}
	}
	c.publish(l.version, changed, nil, nil)
}

// publish publishes a change, or stops leading if this member does not hold the duty with its token any more.
func (c *Control) publish(discoveryVersion uint64, endpoints []directory.Endpoint, joined, left []directory.Member) {
	if c.group.Token(leaderDuty) != c.leadership.token {
		c.stopLeading()
		return
	}
	if change, changed := c.dir.Publish(directory.FirstVersion(c.leadership.token), discoveryVersion, endpoints, joined, left); changed {
		c.publisher.ApplyChange(change)
	}
}

// publishMembership publishes the members that join and leave by the roster.
func (c *Control) publishMembership(now int64) {
	if now-c.leadership.rosterAt < int64(rosterInterval) {
		return
	}
	c.leadership.rosterAt = now
	joined, left := c.leadership.roster.Tick(c.dir.Members(), now)
	if len(joined)+len(left) > 0 {
		c.publish(c.dir.DiscoveryVersion(), nil, joined, left)
	}
}

// sendReport reports the members that have subscribed here to the leader, which may be this member.
func (c *Control) sendReport(now int64) {
	leader := c.followedLeader
	if c.leadership != nil {
		leader = c.self.Name
	}
	if leader == "" || now-c.reportAt < int64(minReportInterval) {
		return
	}
	members := c.publisher.Subscribers()
	hashSum := directory.NameHashSum(members)
	changed := c.fullReportDue || hashSum != c.reportedHashSum
	if !changed && now-c.reportAt < int64(reportInterval) {
		return
	}
	c.reportSeq++
	r := directory.NewReport(c.reportSeq, members, changed)
	c.reportAt, c.reportedHashSum, c.fullReportDue = now, hashSum, false
	if c.leadership != nil {
		c.fullReportDue = c.leadership.roster.HandleReport(c.self.Name, c.self.Region, r, now)
		return
	}
	c.links.Send(leader, &pb.Frame{What: &pb.Frame_Report{Report: r}})
}

// flush sends the frames of the publisher and the subscription.
func (c *Control) flush() {
	for _, o := range c.publisher.TakeFrames() {
		c.links.Send(o.To, o.Frame)
	}
	for _, o := range c.subscription.TakeFrames() {
		c.links.Send(o.To, o.Frame)
	}
}
