package sender

import (
	"encoding/json"
	"time"

	"sliptide/internal/fleet"
	"sliptide/internal/fleet/copies"
)

// statusInterval is the interval between updates of the copies' status.
const statusInterval = 200 * time.Millisecond

// publishCopyStatus publishes the copies' status for operators, at most once in statusInterval.
func (s *Sender) publishCopyStatus() {
	c := s.copies
	if now := time.Now(); now.Before(c.nextStatus) {
		return
	} else {
		c.nextStatus = now.Add(statusInterval)
	}
	st := copies.Status{LeaseHeld: c.leaseHeld, Holders: c.owner.Lags(fleet.Now()), UnderReplicated: c.shortCount,
		Waiting: len(s.queuedNotices)}
	for i := range c.waits {
		st.Waiting += len(c.waits[i].submissions) + len(c.waits[i].calls)
	}
	for _, h := range st.Holders {
		if !h.Synced {
			st.RemainingBytes += s.journal.LiveBytes()
		}
	}
	c.status.Store(&st)
}

// CopyStatus returns the copies' status as JSON; empty: the journal has no copies. It is safe for concurrent use.
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
