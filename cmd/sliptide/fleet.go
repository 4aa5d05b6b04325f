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

// membership is this sender in its fleet. A nil one is none: the part is off. An heir joins only when the version
// before has left: the two are one member.
type membership struct {
	set   fleet.Settings
	files fsys.FS
	room  *statedir.Account
	log   zerolog.Logger
	snd   *sender.Sender
	keep  operator.Copies
	space *statedir.Space

	mu     sync.Mutex
	member *fleet.Member
	left   bool
}

// newMembership checks the fleet's settings against this sender's name, and gives the sender its part in the
// trials that the fleet shares.
func newMembership(cfg *config.Config, op *operator.File, space *statedir.Space, log zerolog.Logger) (*membership, error) {
	f := &op.Fleet
	if !f.Enabled {
		return nil, nil
	}
	if !f.HasMember(cfg.Name) {
		return nil, fmt.Errorf("%w: fleet: RELAY_NAME is %q, which is no <member>", cli.ErrConfig, cfg.Name)
	}
	m := &membership{keep: f.Copies, space: space, files: fsys.OS{Dir: cfg.StateDir}, room: space.Account(), log: log}
	m.set = fleet.Settings{Name: cfg.Name, Listen: f.ListenAddr, Members: peers(f), MinVoters: f.MinVoters, Weight: uint32(f.Weight),
		Lease: lease.Params{Length: f.Duties.Lease, Drift: f.Duties.ClockDrift}, ElectionTimeout: f.Duties.ElectionTimeout, Hash: f.Hash()}
	if m.set.MinVoters == 0 {
		m.set.MinVoters = len(f.Voters())
	}
	if f.Cert != "" {
		cfg, warnings, err := keys.Load(keys.Files{CA: f.CA, Cert: f.Cert, Key: f.Key}, time.Now())
		if err != nil {
			return nil, fmt.Errorf("%w: fleet: %w", cli.ErrConfig, err)
		}
		warn(log, warnings)
		m.set.Client = cfg
		m.set.Server = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: cfg.Certificates, ClientCAs: cfg.RootCAs, ClientAuth: tls.RequireAndVerifyClientCert}
	}
	return m, nil
}

func peers(f *operator.Fleet) (list []fleet.Peer) {
	for _, m := range f.Members {
		list = append(list, fleet.Peer(m))
	}
	return list
}

// bind gives the sender its part in the fleet's trials, before it runs.
func (m *membership) bind(snd *sender.Sender, op *operator.File, senders int) {
	if m == nil {
		return
	}
	m.snd = snd
	snd.SetFleet(m)
	if c := op.Fleet.Copies; c.Enabled {
		self, _ := m.set.Self()
		set := sender.CopySettings{Name: m.set.Name, Zone: self.Zone, Count: c.Count, Required: c.Required, Timeout: c.Timeout, AcceptUncopied: c.AcceptUncopied, RequiredByClass: map[string]int{}}
		for _, k := range c.Classes {
			set.RequiredByClass[k.Name] = k.Required
		}
		snd.EnableCopies(m, set)
	}
	if op.Fleet.Trials.Enabled {
		snd.ShareTrials(m, trial.Settings{Senders: senders, SilenceTimeoutMS: float64(op.Fleet.Trials.SilenceTimeout) / float64(time.Millisecond)})
	}
}

// join makes this process the member. What fails leaves the sender as it is without a fleet, but for a folder that
// is another member's, which must not be used at all.
func (m *membership) join() error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left || m.member != nil {
		return nil
	}
	addr := m.set.Listen
	if self, known := m.set.Self(); known && addr == "" {
		addr = self.Addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fleet: listen: %w", err)
	}
	o := fleet.Options{Settings: m.set, Files: m.files, Account: m.room, Log: m.log, DutyChanged: m.heard}
	if m.keep.Enabled {
		o.CopyQuota, o.CopyAccount, o.ReceiveCopyReply, o.ViewChanged, o.CopyStatus = m.keep.QuotaBytes, m.space.Account(), m.snd.ReceiveCopyFrame, m.snd.Wake, m.snd.CopyStatus
	}
	m.member, err = fleet.Open(o, ln)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	return nil
}

func (m *membership) heard(d *pb.Duty, mine bool) {
	m.snd.UpdateDuty(d.Name, trial.Update{Holder: d.Holder, HeldLocally: mine, Word: d.Word})
}

// stays reports whether the member is to be left only when its sender has: what it holds is copied until then.
func (m *membership) stays() bool { return m != nil && m.keep.Enabled }

// abandon ends this process's part without a word, for the next process of the same folder to go on in its place.
func (m *membership) abandon() { m.last().Abandon() }

// last is the member, nil if there is none; no further one is made.
func (m *membership) last() *fleet.Member {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
	return m.member
}

// leave gives up what is held and leaves the fleet; a later join does nothing.
func (m *membership) leave() { m.last().Close() }

func (m *membership) get() *fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member
}

// retune takes the members of an operators' file that was read again.
func (m *membership) retune(op *operator.File) {
	if m != nil && op.Fleet.Enabled {
		m.get().SetMembers(peers(&op.Fleet))
	}
}

// Request implements sender.Fleet, as the others below.
func (m *membership) Request(duty, zone string) {
	if f := m.get(); f != nil {
		f.Request(duty, zone)
	}
}

// Release implements sender.Fleet.
func (m *membership) Release(duty string, end bool) {
	if f := m.get(); f != nil {
		f.Release(duty, end)
	}
}

// Publish implements sender.Fleet.
func (m *membership) Publish(duty, word string) {
	if f := m.get(); f != nil {
		f.Publish(duty, word)
	}
}

// Token implements sender.Fleet.
func (m *membership) Token(duty string) uint64 { return m.get().Token(duty) }

// View implements sender.CopyFleet, as the others below.
func (m *membership) View() *fleet.View {
	if f := m.get(); f != nil {
		return f.View()
	}
	return &fleet.View{}
}

// SendCopy implements sender.CopyFleet.
func (m *membership) SendCopy(to string, f *pb.Frame) {
	if member := m.get(); member != nil {
		member.SendCopy(to, f)
	}
}

// Propose implements sender.CopyFleet.
func (m *membership) Propose(c *pb.Command, done func(*pb.Answer, error)) {
	if f := m.get(); f != nil {
		f.Propose(c, done)
	}
}

// Incarnation implements sender.CopyFleet.
func (m *membership) Incarnation() uint64 {
	if f := m.get(); f != nil {
		return f.Incarnation()
	}
	return 0
}

// HeldDuties implements sender.Fleet.
func (m *membership) HeldDuties() int { return m.get().HeldDuties() }

// Live implements sender.Fleet.
func (m *membership) Live() bool { return m.get().Live() }
