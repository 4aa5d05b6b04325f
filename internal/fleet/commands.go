package fleet

import (
	"context"
	"encoding/json"
	"time"

	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/session"
	"sliptide/internal/fleet/voter"
)

// handleCommand answers an operator's command. Every member accepts commands.
func (m *Member) handleCommand(ctx context.Context, a *pb.Ask) (*pb.Answer, error) {
	if a.Copies != nil {
		return m.copyStatus(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answers := make(chan *pb.Answer, 2)
	if a.Status != nil && m.self.Voter {
		m.requestStatus(ctx, answers)
	} else {
		m.forward(ctx, a, answers)
	}
	select {
	case r := <-answers:
		return r, nil
	case <-ctx.Done():
		return nil, session.ErrNoQuorum
	}
}

// copyStatus returns the status of the copies of this member's own journal.
func (m *Member) copyStatus() *pb.Answer {
	if m.o.CopyStatus != nil {
		if text := m.o.CopyStatus(); text != "" {
			return &pb.Answer{Status: text}
		}
	}
	return &pb.Answer{Error: "this member's journal is not copied"}
}

// requestStatus asks this member's own voter for its status.
func (m *Member) requestStatus(ctx context.Context, answers chan<- *pb.Answer) {
	report := func() {
		r := &pb.Answer{}
		if m.voter != nil {
			r.Status, r.Leader = m.voter.StatusJSON(), m.voter.Leader()
		} else {
			b, _ := json.Marshal(voter.Status{ReportedBy: m.self.Name, Failed: "its log cannot be opened"})
			r.Status = string(b)
		}
		answers <- r
	}
	select {
	case m.voterInbox <- input{call: report}:
	case <-ctx.Done():
	}
}

// forward sends a command to the leading voter by this member's session. The session gives up 200 ms before
// commandTimeout, so that its error is still returned.
func (m *Member) forward(ctx context.Context, a *pb.Ask, answers chan<- *pb.Answer) {
	ask := func() {
		m.session.Do(a, commandTimeout-200*time.Millisecond, func(r *pb.Answer, err error) {
			if r == nil {
				r = &pb.Answer{Error: err.Error()}
			}
			answers <- r
		})
	}
	select {
	case m.sessionInbox <- input{call: ask}:
	case <-ctx.Done():
	}
}
