// Package lease keeps the time of leases on both sides: Holder is for the member that holds a lease, Grantor for the
// leader that grants leases. It has no clock and does no I/O. Times are nanoseconds on the caller's own monotonic
// clock, which continues while the machine is suspended. The two sides never compare clocks: each measures its own
// interval.
//
// No two members hold a lease at once, for this reason: a holder counts length*(1-drift) on its clock from before it
// sent the renewal. The grantor counts length*(1+drift) on its clock from when it received the renewal, which is
// later. As long as neither clock runs fast or slow by more than drift, the holder's interval ends first.
package lease

import "time"

// Params are the lease settings, equal on both sides.
type Params struct {
	Length time.Duration
	Drift  float64 // fraction by which a clock may run fast or slow
}

// HolderDuration returns how long a holder relies on a renewal, on its own clock.
func (p Params) HolderDuration() time.Duration {
	return time.Duration(float64(p.Length) * (1 - p.Drift))
}

// GrantorDuration returns how long a grantor waits after a renewal before the lease expires, on its own clock.
func (p Params) GrantorDuration() time.Duration {
	return time.Duration(float64(p.Length) * (1 + p.Drift))
}

// RenewInterval returns how often a holder renews: three attempts fit in a lease, so that a lost answer costs only
// one of them.
func (p Params) RenewInterval() time.Duration { return p.Length / 4 }

// Holder is a lease as its holder counts it. The zero value holds no lease.
type Holder struct {
	until int64
	held  bool
}

// Renew extends the lease by a renewal that was sent at sentAt and has been granted.
func (h *Holder) Renew(params Params, sentAt int64) {
	if until := sentAt + int64(params.HolderDuration()); !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

func (h *Holder) Valid(now int64) bool { return h.held && now < h.until }

// Remaining returns how long the lease is still valid, or 0 if it is not.
func (h *Holder) Remaining(now int64) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return time.Duration(h.until - now)
}

// Drop ends the lease.
func (h *Holder) Drop() { *h = Holder{} }

// Grantor tracks the leases as the leader counts them. A new leader starts with Reset: it cannot know which leases
// its predecessor renewed, and grants every session a full lease. Reset must be called before Renew
// and MarkEnding.
type Grantor struct {
	renewedAt map[uint64]int64
	ending    map[uint64]bool // sessions whose end is proposed: they can no longer be renewed
}

// Reset starts over with these sessions, each renewed at now.
func (g *Grantor) Reset(now int64, sessions []uint64) {
	g.renewedAt, g.ending = make(map[uint64]int64, len(sessions)), map[uint64]bool{}
	for _, id := range sessions {
		g.renewedAt[id] = now
	}
}

// Renew records a renewal or the start of a session. It returns false if the end of the session is already proposed.
func (g *Grantor) Renew(id uint64, now int64) bool {
	if g.ending[id] {
		return false
	}
	if at, known := g.renewedAt[id]; !known || now > at {
		g.renewedAt[id] = now
	}
	return true
}

// MarkEnding records that the end of the session is proposed. Whatever becomes of the proposal, this leader no longer
// renews the session.
func (g *Grantor) MarkEnding(id uint64) { g.ending[id] = true }

// IsEnding reports whether the end of the session is proposed.
func (g *Grantor) IsEnding(id uint64) bool { return g.ending[id] }

// LastRenewal returns when the session was last renewed.
func (g *Grantor) LastRenewal(id uint64) (at int64, known bool) {
	at, known = g.renewedAt[id]
	return at, known
}

// Remove deletes a session that has ended.
func (g *Grantor) Remove(id uint64) { delete(g.renewedAt, id); delete(g.ending, id) }

// ForEachExpired calls f for each session whose lease has expired and whose end is not yet proposed.
func (g *Grantor) ForEachExpired(params Params, now int64, f func(id uint64)) {
	for id, at := range g.renewedAt {
		if now-at >= int64(params.GrantorDuration()) && !g.ending[id] {
			f(id)
		}
	}
}
