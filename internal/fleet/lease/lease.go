// Package lease is the time of leases, on both sides: Held for the member that holds one, Granted for the voter
// that grants them. It has no clock and no I/O; times are nanoseconds on the caller's own monotonic clock, which
// goes on while the machine sleeps. The two sides never compare clocks: each counts a span of its own.
//
// Why no two members hold a lease at once. A holder counts from before it sent the renewal, and for
// length*(1-drift) of its clock; the grantor counts from when it heard the renewal, which is later, and for
// length*(1+drift) of its clock. Where neither clock is off by more than drift, the holder's span is over first.
package lease

import "time"

// Terms are what both sides agree on by the fleet's settings.
type Params struct {
	Length time.Duration
	Drift  float64 // share by which a clock may run fast or slow
}

// Hold is how long a holder relies on a renewal, on its clock.
func (p Params) HolderDuration() time.Duration {
	return time.Duration(float64(p.Length) * (1 - p.Drift))
}

// Wait is how long a grantor waits after a renewal before it hands on, on its clock.
func (p Params) GrantorDuration() time.Duration {
	return time.Duration(float64(p.Length) * (1 + p.Drift))
}

// Every is how often a holder renews: three tries fit in a lease, and a lost answer costs one.
func (p Params) RenewInterval() time.Duration { return p.Length / 4 }

// Held is the lease as its holder counts it. The zero value holds nothing.
type Holder struct {
	until int64
	held  bool
}

// Renewed takes a renewal that was sent at that time and has been granted.
func (h *Holder) Renew(params Params, sentAt int64) {
	if until := sentAt + int64(params.HolderDuration()); !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

// Valid reports whether the lease holds at that time.
func (h *Holder) Valid(now int64) bool { return h.held && now < h.until }

// Left is how long it still holds; 0: not at all.
func (h *Holder) Remaining(now int64) time.Duration {
	if !h.Valid(now) {
		return 0
	}
	return time.Duration(h.until - now)
}

// Drop ends it.
func (h *Holder) Drop() { *h = Holder{} }

// Granted is the leases as the voter that leads counts them. A voter that begins to lead starts it anew: it
// cannot know what its predecessor has renewed, and gives each session a whole lease.
type Grantor struct {
	renewedAt map[uint64]int64
	ending    map[uint64]bool // their end is proposed: no renewal counts any more
}

// Reset starts anew for those sessions, each heard of now.
func (g *Grantor) Reset(now int64, sessions []uint64) {
	g.renewedAt, g.ending = make(map[uint64]int64, len(sessions)), map[uint64]bool{}
	for _, id := range sessions {
		g.renewedAt[id] = now
	}
}

// Heard takes a renewal, or the session's beginning. It reports false where the session's end is under way.
func (g *Grantor) Renew(id uint64, now int64) bool {
	if g.ending[id] {
		return false
	}
	if at, known := g.renewedAt[id]; !known || now > at {
		g.renewedAt[id] = now
	}
	return true
}

// Ending tells that the session's end is proposed. Whatever becomes of that, this voter renews it no more.
func (g *Grantor) MarkEnding(id uint64) { g.ending[id] = true }

// Doomed reports whether the session's end is under way.
func (g *Grantor) IsEnding(id uint64) bool { return g.ending[id] }

// At is when the session was last heard of.
func (g *Grantor) LastRenewal(id uint64) (at int64, known bool) {
	at, known = g.renewedAt[id]
	return at, known
}

// Over forgets a session that has ended.
func (g *Grantor) Remove(id uint64) { delete(g.renewedAt, id); delete(g.ending, id) }

// Lapsed calls f for each session whose lease is over and whose end is not under way.
func (g *Grantor) ForEachExpired(params Params, now int64, f func(id uint64)) {
	for id, at := range g.renewedAt {
		if now-at >= int64(params.GrantorDuration()) && !g.ending[id] {
			f(id)
		}
	}
}
