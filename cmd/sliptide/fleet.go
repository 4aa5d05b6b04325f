package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/cli"
	"sliptide/internal/config"
	"sliptide/internal/fleet"
	"sliptide/internal/fleet/lease"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/trial"
	"sliptide/internal/fsys"
	"sliptide/internal/keys"
	"sliptide/internal/operator"
	"sliptide/internal/sender"
	"sliptide/internal/statedir"
)

// membership connects this sender to its fleet. It is nil if the fleet is disabled. The successor in an upgrade joins
// only after its predecessor has left, since both are the same member.
type membership struct {
	settings fleet.Settings
	files    fsys.FS
	account  *statedir.Account
	log      zerolog.Logger
	sender   *sender.Sender
	copies   operator.Copies
	space    *statedir.Space

	mu     sync.Mutex
	member *fleet.Member
	closed bool // set by leave and abandon: a later join does nothing
}

// newMembership builds the member's settings from the operators' file. It returns nil if the fleet is disabled, and an
// error if the file lists no member of this sender's name or if a key file can't be used.
func newMembership(cfg *config.Config, op *operator.File, space *statedir.Space, log zerolog.Logger) (*membership, error) {
	f := &op.Fleet
	if !f.Enabled {
		return nil, nil
	}
	if !f.HasMember(cfg.Name) {
		return nil, fmt.Errorf("%w: fleet: RELAY_NAME %q is not the name of a <member>", cli.ErrConfig, cfg.Name)
	}
	m := &membership{copies: f.Copies, space: space, files: fsys.OS{Dir: cfg.StateDir}, account: space.Account(), log: log}
	m.settings = fleet.Settings{Name: cfg.Name, Listen: f.ListenAddr, Members: peers(f),
		MinVoters: f.MinVoters, Weight: uint32(f.Weight),
		Lease: lease.Params{Length: f.Duties.Lease, Drift: f.Duties.ClockDrift}, ElectionTimeout: f.Duties.ElectionTimeout, Hash: f.Hash()}
	if m.settings.MinVoters == 0 {
		m.settings.MinVoters = len(f.Voters())
	}
	if f.Cert != "" {
		tlsConfig, warnings, err := keys.Load(keys.Files{CA: f.CA, Cert: f.Cert, Key: f.Key}, time.Now())
		if err != nil {
			return nil, fmt.Errorf("%w: fleet: %w", cli.ErrConfig, err)
		}
		logCertificateWarnings(log, warnings)
		m.settings.Client = tlsConfig
		m.settings.Server = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: tlsConfig.Certificates,
			ClientCAs: tlsConfig.RootCAs, ClientAuth: tls.RequireAndVerifyClientCert}
	}
	return m, nil
}

func peers(f *operator.Fleet) (members []fleet.Peer) {
	for _, m := range f.Members {
		members = append(members, fleet.Peer(m))
	}
	return members
}

// bind connects the sender to the fleet, and enables copies and shared trials as configured. senders is the number of
// senders that share the trials. bind must be called before the sender runs.
func (m *membership) bind(snd *sender.Sender, op *operator.File, senders int) {
	if m == nil {
		return
	}
	m.sender = snd
	snd.SetFleet(m)
	if c := op.Fleet.Copies; c.Enabled {
		self, _ := m.settings.Self()
		settings := sender.CopySettings{Name: m.settings.Name, Zone: self.Zone, Count: c.Count, Required: c.Required,
			Timeout: c.Timeout, AcceptUncopied: c.AcceptUncopied, RequiredByClass: map[string]int{}}
		for _, class := range c.Classes {
			settings.RequiredByClass[class.Name] = class.Required
		}
		snd.EnableCopies(m, settings)
	}
	if op.Fleet.Trials.Enabled {
		snd.ShareTrials(m, trial.Settings{Senders: senders,
			SilenceTimeoutMS: float64(op.Fleet.Trials.SilenceTimeout) / float64(time.Millisecond)})
	}
}

// join makes this process the member. It does nothing if this process has joined or left already. A sender whose fleet
// log cannot be opened joins all the same. If the state directory belongs to another member, join returns an error that
// wraps disk.ErrForeign, and the sender must not use the directory.
func (m *membership) join() error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.member != nil {
		return nil
	}
	addr := m.settings.Listen
	if self, known := m.settings.Self(); known && addr == "" {
		addr = self.Addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fleet: listen: %w", err)
	}
	opts := fleet.Options{Settings: m.settings, Files: m.files, Account: m.account, Log: m.log, DutyChanged: m.dutyChanged}
	if m.copies.Enabled {
		opts.CopyQuota, opts.CopyAccount, opts.ReceiveCopyReply, opts.ViewChanged, opts.CopyStatus =
			m.copies.QuotaBytes, m.space.Account(), m.sender.ReceiveCopyFrame, m.sender.Wake, m.sender.CopyStatus
	}
	m.member, err = fleet.Open(opts, ln)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	return nil
}

// dutyChanged passes a change of a duty to the sender.
func (m *membership) dutyChanged(d *pb.Duty, heldLocally bool) {
	m.sender.UpdateDuty(d.Name, trial.Update{Holder: d.Holder, HeldLocally: heldLocally, Value: d.Word})
}

// outlivesSender reports whether the member must leave only after its sender has exited: with copies enabled, the
// sender's journal is copied until then.
func (m *membership) outlivesSender() bool { return m != nil && m.copies.Enabled }

// abandon ends the membership of this process without notifying the fleet, so that the next process on the same state
// directory continues in its place.
func (m *membership) abandon() { m.stopJoining().Abandon() }

// stopJoining makes later calls of join do nothing, and returns the member, or nil if this process has not joined.
func (m *membership) stopJoining() *fleet.Member {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return m.member
}

// leave releases all duties and leaves the fleet. A later join does nothing.
func (m *membership) leave() { m.stopJoining().Close() }

// joined returns the member, or nil if this process has not joined.
func (m *membership) joined() *fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member
}

// updateMembers applies the member list of a reloaded operators' file.
func (m *membership) updateMembers(op *operator.File) {
	if m != nil && op.Fleet.Enabled {
		m.joined().SetMembers(peers(&op.Fleet))
	}
}

// Request implements sender.Fleet. Before the member has joined, it and the methods below do nothing and return zero
// values.
func (m *membership) Request(duty, zone string) {
	if f := m.joined(); f != nil {
		f.Request(duty, zone)
	}
}

// Release implements sender.Fleet.
func (m *membership) Release(duty string, end bool) {
	if f := m.joined(); f != nil {
		f.Release(duty, end)
	}
}

// Publish implements sender.Fleet.
func (m *membership) Publish(duty, value string) {
	if f := m.joined(); f != nil {
		f.Publish(duty, value)
	}
}

// Token implements sender.Fleet.
func (m *membership) Token(duty string) uint64 { return m.joined().Token(duty) }

// View implements sender.CopyFleet. Before the member has joined, the view is empty.
func (m *membership) View() *fleet.View {
	if f := m.joined(); f != nil {
		return f.View()
	}
	return &fleet.View{}
}

// SendCopy implements sender.CopyFleet.
func (m *membership) SendCopy(to string, f *pb.Frame) {
	if member := m.joined(); member != nil {
		member.SendCopy(to, f)
	}
}

// Propose implements sender.CopyFleet. Before the member has joined, done is never called.
func (m *membership) Propose(c *pb.Command, done func(*pb.Answer, error)) {
	if f := m.joined(); f != nil {
		f.Propose(c, done)
	}
}

// Incarnation implements sender.CopyFleet.
func (m *membership) Incarnation() uint64 {
	if f := m.joined(); f != nil {
		return f.Incarnation()
	}
	return 0
}

// HeldDuties implements sender.Fleet.
func (m *membership) HeldDuties() int { return m.joined().HeldDuties() }

// Live implements sender.Fleet.
func (m *membership) Live() bool { return m.joined().Live() }
