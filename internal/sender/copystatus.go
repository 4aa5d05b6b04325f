package sender

import (
	"encoding/json"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
)

// statusEvery is between two statuses of copies that operators may ask for.
const statusEvery = 200 * time.Millisecond

// publishCopies makes the status readable for operators, now and then.
func (s *Sender) publishCopies() {
	c := s.copies
	if now := time.Now(); now.Before(c.statusAt) {
		return
	} else {
		c.statusAt = now.Add(statusEvery)
	}
	st := copies.Status{LeaseHeld: c.live, Holders: c.owner.Lags(fleet.Now()), UnderReplicated: c.short}
	for i := range c.lines {
		st.Waiting += len(c.lines[i].orders) + len(c.lines[i].calls)
	}
	for _, h := range st.Holders {
		if !h.Synced {
			st.RemainingBytes += s.journal.LiveBytes()
		}
	}
	c.status.Store(&st)
}

// CopyStatus is the status as JSON; empty: there are no copies. It is safe for concurrent use.
func (s *Sender) CopyStatus() string {
	if s.copies == nil || s.copies.status.Load() == nil {
		return ""
	}
	b, err := json.Marshal(s.copies.status.Load())
	if err != nil {
		return ""
	}
	return string(b)
}
