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
	leaderDuty        = "directory" // whoever holds it leads
	inboxSize         = 4096
	tickInterval      = 50 * time.Millisecond
	reportInterval    = time.Second            // to the member that leads, and
	minReportInterval = 200 * time.Millisecond // where something changed
	rosterInterval    = 200 * time.Millisecond
	statusInterval    = 500 * time.Millisecond
	maxLinks          = 20000
)

// Options are what a Control works with.
type Options struct {
	Settings *Settings
	Log      zerolog.Logger
}

// Status is what a control member tells operators.
type Status struct {
	Name             string `json:"name"`
	Leader           string `json:"leader"` // empty: none is known
	Version          uint64 `json:"version"`
	DiscoveryVersion uint64 `json:"source"` // the version of discovery
	Endpoints        int    `json:"endpoints"`
	Members          int    `json:"members"`
	Subscribers      int    `json:"subscribers"` // here
}

// Control is a control member. Its state belongs to the goroutine of Run.
type Control struct {
	o      Options
	self   Member
	group  *fleet.Member
	links  *link.Net
	leader atomic.Pointer[string] // the holder of the duty, as the group tells
	inbox  chan input
	status atomic.Pointer[Status]

	dir             *directory.Directory
	publisher       *directory.Publisher
	subscription    *directory.Subscription
	followedLeader  string      // whom it follows
	leadership      *leadership // nil: another one leads
	statusAt        int64
	reportSeq       uint64
	reportAt        int64
	reportedHashSum uint64 // sum of the members that were reported last
	fullReportDue   bool   // all members are to be reported
}

// leadership is what a control member has while it leads.
type leadership struct {
	token     uint64
	roster    *directory.Roster
	rosterAt  int64
	stopWatch context.CancelFunc // of the watch of discovery
}

// input is something for the loop: a frame, or a list of discovery.
type input struct {
	from  string
	frame *pb.Frame
	list  *discoveryList
}

// list is what discovery told the leader with that token.
type discoveryList struct {
	token     uint64
	full      bool
	version   uint64
	endpoints []directory.Endpoint
}

// New starts a control member's links. Run keeps it going.
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
	groupSettings := fleet.Settings{Name: s.Name, Weight: 1, Terms: lease.Terms{Length: s.Lease, Drift: s.ClockDrift}, Election: s.ElectionTimeout, Hash: s.groupHash(), Client: client, Server: server}
	for _, m := range s.Members {
		groupSettings.Members = append(groupSettings.Members, fleet.Peer{Name: m.Name, Addr: m.Addr, Zone: m.Region, Voter: m.Voter})
	}
	groupSettings.Minimum = len(groupSettings.Voters())
	c.group, err = fleet.Open(fleet.Options{Settings: groupSettings, Files: fsys.OS{Dir: s.StateDir}, Log: o.Log, Watch: c.recordLeader}, groupListener)
	if err != nil {
		return nil, errors.Join(err, groupListener.Close(), directoryListener.Close())
	}
	c.group.Want(leaderDuty, "")
	c.links = link.New(link.Options{Self: s.Name, Settings: subscriber.LinkHash, Dial: c.dialAddrs(), Known: func(name string) bool { return name != "" }, Client: client, Server: server,
		PingEvery: subscriber.LinkPing, Silent: subscriber.LinkSilent, MaxLinks: maxLinks, Receive: c.enqueueFrame, Call: c.handleCall,
		Note: func(what, member string, err error) {
			o.Log.Debug().Str("member", member).Err(err).Msg("directory: " + what)
		}})
	go c.links.Serve(directoryListener)
	return c, nil
}

// hash is of what must be alike in all control members' files.
func (s *Settings) groupHash() uint64 {
	text := fmt.Sprint(s.Lease, s.ClockDrift, s.ElectionTimeout, s.Replicas)
	for _, m := range s.Members {
		if m.Voter {
			text += " " + m.Name
		}
	}
	return xxhash.Sum64String(text)
}

// dials are the control members that this one dials: of two the one whose name sorts first does.
func (c *Control) dialAddrs() map[string]string {
	list := map[string]string{}
	for _, m := range c.o.Settings.Members {
		if c.self.Name < m.Name {
			list[m.Name] = m.DirectoryAddr
		}
	}
	return list
}

// regions are those that have control members.
func (c *Control) regions() (list []string) {
	for _, m := range c.o.Settings.Members {
		list = append(list, m.Region)
	}
	return list
}

// regionOf is the region of a control member.
func (c *Control) regionOf(name string) string {
	for _, m := range c.o.Settings.Members {
		if m.Name == name {
			return m.Region
		}
	}
	return ""
}

// heardOfLeader takes each change of a duty.
func (c *Control) recordLeader(d *pb.Duty, _ bool) {
	if d.Name == leaderDuty {
		holder := d.Holder
		c.leader.Store(&holder)
	}
}

// leaderName is the control member that leads, as far as is known; empty: none.
func (c *Control) leaderName() string {
	if name := c.leader.Load(); name != nil {
		return *name
	}
	return ""
}

// receive brings a frame to the loop. A loop that is behind holds up the link, and no other.
func (c *Control) enqueueFrame(ctx context.Context, from string, f *pb.Frame) {
	select {
	case c.inbox <- input{from: from, frame: f}:
	case <-ctx.Done():
	}
}

// call answers an operator's command.
func (c *Control) handleCall(_ context.Context, a *pb.Ask) (*pb.Answer, error) {
	if a.Status == nil {
		return &pb.Answer{Error: "a control member answers status alone here"}, nil
	}
	text, err := json.Marshal(c.status.Load())
	return &pb.Answer{Status: string(text)}, err
}

// Run keeps the control member going until the context ends, and leaves the group then.
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
			again := c.leadership.roster.HandleReport(in.from, c.regionOf(in.from), w.Report, now)
			c.links.Send(in.from, &pb.Frame{What: &pb.Frame_Reported{Reported: &pb.Reported{Seq: w.Report.Seq, Again: again}}})
		}
	case *pb.Frame_Reported:
		c.fullReportDue = c.fullReportDue || w.Reported.Again
	case *pb.Frame_Update, *pb.Frame_Refused:
		if c.leadership == nil {
			c.applyUpdate(c.subscription.Receive(in.from, in.frame, now))
		}
	}
}

// learn takes what the member that leads has told.
func (c *Control) applyUpdate(a *directory.AppliedUpdate) {
	if a == nil {
		return
	}
	change, err := c.dir.ApplyUpdate(a)
	switch {
	case errors.Is(err, directory.ErrStale):
	case err == nil && a.AllShards:
		c.publisher.ApplyChange(change)
		go debug.FreeOSMemory() // what the snapshot's parts took: several times what is kept
	case err != nil: // the next subscription begins with a snapshot
		c.o.Log.Error().Err(err).Msg("directory: an update does not fit")
		c.subscription.Resume(0)
	default:
		c.publisher.ApplyChange(change)
	}
}

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

// seeWhoLeads begins or ends to lead, or follows another one.
func (c *Control) updateLeadership(ctx context.Context, now int64) {
	token := c.group.Held(leaderDuty)
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

func (c *Control) startLeading(ctx context.Context, token uint64, now int64) {
	watchCtx, stopWatch := context.WithCancel(ctx)
	c.leadership = &leadership{token: token, roster: directory.NewRoster(c.regions(), now), stopWatch: stopWatch}
	c.followedLeader, c.fullReportDue = "", true
	c.o.Log.Info().Uint64("token", token).Uint64("version", c.dir.Version()).Msg("directory: leads")
	c.publish(c.dir.DiscoveryVersion(), nil, nil, nil)
	// The watch goes on where the leader before had come to.
	watch := discovery.NewDirectoryWatch(c.o.Settings.DiscoveryAddr, c.dir.DiscoveryVersion(), int(c.o.Settings.MaxListBytes), rand.Uint64(), c.o.Log, func(l discovery.List) {
		c.enqueueList(watchCtx, token, l)
	})
	go watch.Run(watchCtx)
}

func (c *Control) stopLeading() {
	if c.leadership == nil {
		return
	}
	c.leadership.stopWatch()
	c.leadership = nil
	c.o.Log.Info().Uint64("version", c.dir.Version()).Msg("directory: leads no more")
}

// toLoop hands a list of discovery to the loop. It is for the watch's goroutine, which waits while the loop is behind.
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
		go debug.FreeOSMemory() // what reading it took: several times what is kept
	}
}

func directoryEndpoint(e *discovery.Endpoint) directory.Endpoint {
	endpoint := directory.Endpoint{ID: e.Name, Addr: e.Addr, Zone: e.ZoneName, Kind: e.KindName, Destination: uint64(max(e.Dest, 0)), Weight: e.Rating}
	endpoint.State = pb.EndpointState(e.State) // the numbers are the same: removed, up, draining
	return endpoint
}

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

// publish makes a change known, if this member still leads at this very moment.
func (c *Control) publish(discoveryVersion uint64, endpoints []directory.Endpoint, joined, left []directory.Member) {
	if c.group.Held(leaderDuty) != c.leadership.token {
		c.stopLeading()
		return
	}
	if change, changed := c.dir.Publish(directory.FirstVersion(c.leadership.token), discoveryVersion, endpoints, joined, left); changed {
		c.publisher.ApplyChange(change)
	}
}

// admitMembers publishes members that have come and gone.
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

// report tells the member that leads who has subscribed here.
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

// flush sends what the publisher and the subscription have made.
func (c *Control) flush() {
	for _, o := range c.publisher.TakeFrames() {
		c.links.Send(o.To, o.Frame)
	}
	for _, o := range c.subscription.TakeFrames() {
		c.links.Send(o.To, o.Frame)
	}
}
