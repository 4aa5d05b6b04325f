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
	leaderDuty  = "directory" // whoever holds it leads
	inboxSize   = 4096
	tickEvery   = 50 * time.Millisecond
	reportEvery = time.Second            // to the member that leads, and
	reportLeast = 200 * time.Millisecond // where something changed
	rosterEvery = 200 * time.Millisecond
	statusEvery = 500 * time.Millisecond
	maxLinks    = 20000
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
	member *fleet.Member
	net    *link.Manager
	leader atomic.Pointer[string] // the holder of the duty, as the group tells
	inbox  chan input
	status atomic.Pointer[Status]

	dir       *directory.Directory
	publisher *directory.Publisher
	follows   *directory.Subscription
	followed  string      // whom it follows
	lead      *leadership // nil: another one leads
	statusAt  int64
	reportSeq uint64
	reportAt  int64
	reported  uint64 // sum of the members that were reported last
	again     bool   // all members are to be reported
}

// leadership is what a control member has while it leads.
type leadership struct {
	token    uint64
	roster   *directory.Roster
	rosterAt int64
	stop     context.CancelFunc // of the watch of discovery
}

// input is something for the loop: a frame, or a list of discovery.
type input struct {
	from  string
	frame *pb.Frame
	list  *list
}

// list is what discovery told the leader with that token.
type list struct {
	token     uint64
	full      bool
	version   uint64
	endpoints []directory.Endpoint
}

// New starts a control member's links. Run keeps it going.
func New(o Options) (*Control, error) {
	s := o.Settings
	c := &Control{o: o, self: s.Self(), inbox: make(chan input, inboxSize), dir: directory.New(), again: true}
	c.publisher = directory.NewPublisher(c.dir, s.Replicas)
	c.follows = directory.NewSubscription(directory.SubscriptionOptions{Everything: true, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
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
	set := fleet.Settings{Name: s.Name, Weight: 1, Lease: lease.Params{Length: s.Lease, Drift: s.ClockDrift}, ElectionTimeout: s.ElectionTimeout, Hash: s.hash(), Client: client, Server: server}
	for _, m := range s.Members {
		set.Members = append(set.Members, fleet.Peer{Name: m.Name, Addr: m.Addr, Zone: m.Region, Voter: m.Voter})
	}
	set.MinVoters = len(set.VoterNames())
	c.member, err = fleet.Open(fleet.Options{Settings: set, Files: fsys.OS{Dir: s.StateDir}, Log: o.Log, DutyChanged: c.heardOfLeader}, groupListener)
	if err != nil {
		return nil, errors.Join(err, groupListener.Close(), directoryListener.Close())
	}
	c.member.Request(leaderDuty, "")
	c.net = link.New(link.Options{Self: s.Name, SettingsHash: subscriber.LinkSettingsHash, DialAddrs: c.dials(), IsMember: func(name string) bool { return name != "" }, Client: client, Server: server,
		PingInterval: subscriber.LinkPingInterval, SilenceTimeout: subscriber.LinkSilenceTimeout, MaxLinks: maxLinks, Receive: c.receive, Call: c.call,
		OnEvent: func(what, member string, err error) {
			o.Log.Debug().Str("member", member).Err(err).Msg("directory: " + what)
		}})
	go c.net.Serve(directoryListener)
	return c, nil
}

// hash is of what must be alike in all control members' files.
func (s *Settings) hash() uint64 {
	text := fmt.Sprint(s.Lease, s.ClockDrift, s.ElectionTimeout, s.Replicas)
	for _, m := range s.Members {
		if m.Voter {
			text += " " + m.Name
		}
	}
	return xxhash.Sum64String(text)
}

// dials are the control members that this one dials: of two the one whose name sorts first does.
func (c *Control) dials() map[string]string {
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
func (c *Control) heardOfLeader(d *pb.Duty, _ bool) {
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
func (c *Control) receive(ctx context.Context, from string, f *pb.Frame) {
	select {
	case c.inbox <- input{from: from, frame: f}:
	case <-ctx.Done():
	}
}

// call answers an operator's command.
func (c *Control) call(_ context.Context, a *pb.Ask) (*pb.Answer, error) {
	if a.Status == nil {
		return &pb.Answer{Error: "a control member answers status alone here"}, nil
	}
	text, err := json.Marshal(c.status.Load())
	return &pb.Answer{Status: string(text)}, err
}

// Run keeps the control member going until the context ends, and leaves the group then.
func (c *Control) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	c.o.Log.Info().Str("directory", c.self.DirectoryAddr).Msg("control member started")
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case in := <-c.inbox:
			c.take(ctx, in)
			for range len(c.inbox) {
				c.take(ctx, <-c.inbox)
			}
			c.flush()
		case <-tick.C:
			c.tick(ctx)
			c.flush()
		}
	}
	c.stopLeading()
	c.member.Close()
	c.net.Close()
}

func (c *Control) take(ctx context.Context, in input) {
	if in.list != nil {
		c.takeList(in.list)
		return
	}
	now := fleet.Now()
	switch w := in.frame.What.(type) {
	case *pb.Frame_Subscribe, *pb.Frame_Ack:
		c.publisher.Receive(in.from, in.frame, now)
	case *pb.Frame_Report:
		if c.lead != nil {
			again := c.lead.roster.HandleReport(in.from, c.regionOf(in.from), w.Report, now)
			c.net.Send(in.from, &pb.Frame{What: &pb.Frame_Reported{Reported: &pb.Reported{Seq: w.Report.Seq, Again: again}}})
		}
	case *pb.Frame_Reported:
		c.again = c.again || w.Reported.Again
	case *pb.Frame_Update, *pb.Frame_Refused:
		if c.lead == nil {
			c.learn(c.follows.Receive(in.from, in.frame, now))
		}
	}
}

// learn takes what the member that leads has told.
func (c *Control) learn(a *directory.AppliedUpdate) {
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
		c.follows.Resume(0)
	default:
		c.publisher.ApplyChange(change)
	}
}

func (c *Control) tick(ctx context.Context) {
	now := fleet.Now()
	c.seeWhoLeads(ctx, now)
	if c.lead != nil {
		c.admitMembers(now)
	} else if c.follows.Tick(now); c.follows.ShouldReconnect() && c.followed != "" {
		c.follows.Connect(c.followed, now)
	}
	c.report(now)
	c.publisher.Tick(now)
	if now-c.statusAt < int64(statusEvery) {
		return
	}
	c.statusAt = now
	c.status.Store(&Status{Name: c.self.Name, Leader: c.leaderName(), Version: c.dir.Version(), DiscoveryVersion: c.dir.DiscoveryVersion(), Endpoints: c.dir.Len(),
		Members: len(c.dir.Members()), Subscribers: len(c.publisher.Subscribers())})
}

// seeWhoLeads begins or ends to lead, or follows another one.
func (c *Control) seeWhoLeads(ctx context.Context, now int64) {
	token := c.member.Token(leaderDuty)
	if c.lead != nil && c.lead.token != token {
		c.stopLeading()
	}
	if token != 0 && c.lead == nil {
		c.startLeading(ctx, token, now)
	}
	if c.lead != nil {
		return
	}
	if leader := c.leaderName(); leader != "" && leader != c.self.Name && leader != c.followed {
		c.followed, c.again = leader, true
		c.follows.Resume(c.dir.Version())
		c.follows.Connect(leader, now)
	}
}

func (c *Control) startLeading(ctx context.Context, token uint64, now int64) {
	watching, stop := context.WithCancel(ctx)
	c.lead = &leadership{token: token, roster: directory.NewRoster(c.regions(), now), stop: stop}
	c.followed, c.again = "", true
	c.o.Log.Info().Uint64("token", token).Uint64("version", c.dir.Version()).Msg("directory: leads")
	c.publish(c.dir.DiscoveryVersion(), nil, nil, nil)
	// The watch goes on where the leader before had come to.
	watch := discovery.NewDirectoryWatch(c.o.Settings.DiscoveryAddr, c.dir.DiscoveryVersion(), int(c.o.Settings.MaxListBytes), rand.Uint64(), c.o.Log, func(l discovery.List) {
		c.toLoop(watching, token, l)
	})
	go watch.Run(watching)
}

func (c *Control) stopLeading() {
	if c.lead == nil {
		return
	}
	c.lead.stop()
	c.lead = nil
	c.o.Log.Info().Uint64("version", c.dir.Version()).Msg("directory: leads no more")
}

// toLoop hands a list of discovery to the loop. It is for the watch's goroutine, which waits while the loop is behind.
func (c *Control) toLoop(ctx context.Context, token uint64, l discovery.List) {
	told := &list{token: token, full: l.Full, version: l.Version, endpoints: make([]directory.Endpoint, 0, len(l.Endpoints))}
	for i := range l.Endpoints {
		told.endpoints = append(told.endpoints, endpointOf(&l.Endpoints[i]))
	}
	select {
	case c.inbox <- input{list: told}:
	case <-ctx.Done():
	}
	if l.Full {
		go debug.FreeOSMemory() // what reading it took: several times what is kept
	}
}

func endpointOf(e *discovery.Endpoint) directory.Endpoint {
	x := directory.Endpoint{ID: e.Name, Addr: e.Addr, Zone: e.ZoneName, Kind: e.KindName, Destination: uint64(max(e.Dest, 0)), Weight: e.Rating}
	x.State = pb.EndpointState(e.State) // the numbers are the same: removed, up, draining
	return x
}

func (c *Control) takeList(l *list) {
	if c.lead == nil || c.lead.token != l.token {
		return
	}
	changed := l.endpoints
	if l.full {
		changed = c.dir.Diff(l.endpoints)
	}
	for i := range changed {
		if e := &changed[i]; e.State == pb.EndpointState_REMOVED {
			if destination, held := c.dir.DestinationOf(e.ID); held {
				e.Destination = destination
			}
		}
	}
	c.publish(l.version, changed, nil, nil)
}

// publish makes a change known, if this member still leads at this very moment.
func (c *Control) publish(source uint64, endpoints []directory.Endpoint, joined, left []directory.Member) {
	if c.member.Token(leaderDuty) != c.lead.token {
		c.stopLeading()
		return
	}
	if change, news := c.dir.Publish(directory.FirstVersion(c.lead.token), source, endpoints, joined, left); news {
		c.publisher.ApplyChange(change)
	}
}

// admitMembers publishes members that have come and gone.
func (c *Control) admitMembers(now int64) {
	if now-c.lead.rosterAt < int64(rosterEvery) {
		return
	}
	c.lead.rosterAt = now
	joined, left := c.lead.roster.Tick(c.dir.Members(), now)
	if len(joined)+len(left) > 0 {
		c.publish(c.dir.DiscoveryVersion(), nil, joined, left)
	}
}

// report tells the member that leads who has subscribed here.
func (c *Control) report(now int64) {
	leader := c.followed
	if c.lead != nil {
		leader = c.self.Name
	}
	if leader == "" || now-c.reportAt < int64(reportLeast) {
		return
	}
	members := c.publisher.Subscribers()
	sum := directory.NameHashSum(members)
	changed := c.again || sum != c.reported
	if !changed && now-c.reportAt < int64(reportEvery) {
		return
	}
	c.reportSeq++
	r := directory.NewReport(c.reportSeq, members, changed)
	c.reportAt, c.reported, c.again = now, sum, false
	if c.lead != nil {
		c.again = c.lead.roster.HandleReport(c.self.Name, c.self.Region, r, now)
		return
	}
	c.net.Send(leader, &pb.Frame{What: &pb.Frame_Report{Report: r}})
}

// flush sends what the publisher and the subscription have made.
func (c *Control) flush() {
	for _, o := range c.publisher.TakeFrames() {
		c.net.Send(o.To, o.Frame)
	}
	for _, o := range c.follows.TakeFrames() {
		c.net.Send(o.To, o.Frame)
	}
}
