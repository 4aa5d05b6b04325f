package fleet

import (
	"os"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sliptide/internal/fleet/copies"
	"sliptide/internal/fleet/copies/keep"
	"sliptide/internal/fleet/duty"
	"sliptide/internal/fleet/pb"
)

// View is what a member knows of journals and their copies. It is immutable once published.
type View struct {
	Session   uint64
	Journals  map[string]*pb.Duty // the duty of each journal, by owner
	Adoptions map[string]*pb.Adoption
	Present   []*pb.Present
}

// Holds reports whether this member holds a duty according to the view.
func (v *View) Holds(d *pb.Duty) bool { return d != nil && v.Session != 0 && d.Session == v.Session }

// HasMember reports whether a member has a live session.
func (v *View) HasMember(name string) bool {
	return slices.ContainsFunc(v.Present, func(p *pb.Present) bool { return p.Name == name })
}

// View returns the current view; it stays empty if Options.CopyQuota is 0. It does not block.
func (m *Member) View() *View { return m.view.Load() }

// Incarnation returns the incarnation of this member's state directory.
func (m *Member) Incarnation() uint64 { return m.identity.Incarnation }

// publishView publishes what the session knows, and connects this member with the owner and the other holders of each
// journal that it holds copies of, and with the holders of its own. It does nothing if the session knows nothing new,
// or if this member keeps no copies.
func (m *Member) publishView() {
	version, id := m.session.Version(), m.session.ID()
	if m.o.CopyQuota == 0 || version == m.viewVersion && id == m.viewSession {
		return
	}
	m.viewVersion, m.viewSession = version, id
	duties, adoptions, present := m.session.View()
	published := &View{Session: id, Journals: map[string]*pb.Duty{}, Adoptions: map[string]*pb.Adoption{}, Present: present}
	for name, d := range duties {
		if owner, isJournal := strings.CutPrefix(name, duty.JournalDuty("")); isJournal {
			published.Journals[owner] = d
			m.connectHolders(owner, d)
		}
	}
	for owner, a := range adoptions {
		published.Adoptions[owner] = a
	}
	m.view.Store(published)
	if m.o.ViewChanged != nil {
		m.o.ViewChanged()
	}
}

// connectHolders connects this member, if it is the owner or a holder of a journal, with the others of these. Of two
// members the one whose name sorts first dials. A holder also requests the duty of the journal, since one of the
// holders becomes the successor of the owner.
func (m *Member) connectHolders(owner string, d *pb.Duty) {
	replicas := append([]string{owner}, d.Holders...)
	if !slices.Contains(replicas, m.self.Name) {
		return
	}
	if owner != m.self.Name {
		m.session.Request(d.Name, "")
	}
	for _, name := range replicas {
		if m.self.Name < name {
			for _, p := range m.o.Settings.Members {
				if p.Name == name {
					m.links.Connect(name, p.Addr)
				}
			}
		}
	}
}

// SendCopy sends a frame about copies to a member. It does not block.
func (m *Member) SendCopy(to string, f *pb.Frame) {
	if to != m.self.Name {
		m.links.Send(to, f)
		return
	}
	select {
	case m.copyInbox <- input{from: to, frame: f}:
	default: // dropped: the owner sends it again
	}
}

// Propose proposes a command to the voters and passes the result to done on the goroutine of the session, which done
// must not block. The command times out after the length of a lease, see session.Session.Do. Propose does not block.
func (m *Member) Propose(c *pb.Command, done func(*pb.Answer, error)) {
	m.runOnSessionLoop(func() {
		m.session.Do(&pb.Ask{Command: c}, m.o.Settings.Lease.Length, done)
	})
}

// bootID identifies the current boot of the machine, from which CLOCK_BOOTTIME counts; 0: unknown.
func bootID() uint64 {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0
	}
	return xxhash.Sum64(id) | 1
}

// runCopies is the loop that keeps copies of other members' journals.
func (m *Member) runCopies() {
	defer m.loops.Done()
	var holder *copies.Holder
	if m.o.CopyQuota > 0 {
		var owners []string
		for _, p := range m.o.Settings.Members {
			if p.Name != m.self.Name {
				owners = append(owners, p.Name)
			}
		}
		files, kept, err := keep.Open(m.o.Files, m.o.CopyAccount, owners)
		if err != nil {
			m.o.Log.Error().Err(err).Msg("fleet: opening the copies failed; this member keeps none")
		} else {
			holder = copies.NewHolder(files, m.o.CopyQuota, bootID(), kept)
		}
	}
	for {
		select {
		case <-m.ctx.Done():
			return
		case in := <-m.copyInbox:
			if holder != nil {
				m.handleCopyFrame(holder, in)
			}
		}
	}
}

// handleCopyFrame handles a batch or a request to seal a copy, and sends the answer.
func (m *Member) handleCopyFrame(h *copies.Holder, in input) {
	var answer *pb.Frame
	switch w := in.frame.What.(type) {
	case *pb.Frame_Copy:
		mismatchesBefore := h.Mismatches()
		a := h.HandleCopy(m.now(), w.Copy)
		if h.Mismatches() > mismatchesBefore {
			m.o.Log.Warn().Str("owner", w.Copy.Owner).Msg("fleet: a copy differs from its owner's journal and is requested again")
		}
		if a != nil && w.Copy.Owner == in.from {
			answer = &pb.Frame{What: &pb.Frame_Copied{Copied: a}}
		}
	case *pb.Frame_Seal:
		if a := h.HandleSeal(m.now(), w.Seal); a != nil {
			answer = &pb.Frame{What: &pb.Frame_Sealed{Sealed: a}}
		}
	}
	switch {
	case answer == nil:
	case in.from == m.self.Name:
		m.o.ReceiveCopyReply(in.from, answer)
	default:
		m.links.Send(in.from, answer)
	}
}
