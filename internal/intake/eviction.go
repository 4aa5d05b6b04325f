package intake

// This file closes connections where slots or memory are short.

import (
	"cmp"
	"slices"
	"time"
)

// reserveSlot takes a slot for one more connection. It evicts connections when few slots are left, so that no client
// can hold all slots. It begins before the last slot is taken: during a burst of new connections each client is then
// still answered within its time-out.
func (s *Server) reserveSlot() {
	for {
		reserved := min(maxReservedSlots, int(s.slots.size())/8)
		if free := int(s.slots.free()); free <= reserved && time.Since(s.lastEviction) >= pollInterval {
			s.evict(2*reserved + 1 - free)
			s.lastEviction = time.Now()
		}
		if s.slots.tryAcquire(1) {
			return
		}
		select {
		case <-s.slots.released:
		case <-time.After(pollInterval):
		}
	}
}

// Connections returns the number of clients' connections that are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SetLimits changes what clients can use. While they use more than that, it asks connections to close, as many as are too
// many: it is to be called again until none are. Requests in progress are answered.
func (s *Server) SetLimits(limits Limits) {
	s.slots.setLimit(int64(limits.Conns))
	s.bodies.bytes.setLimit(limits.BodyBytes)
	if free := int(s.slots.free()); free < 0 {
		s.evict(-free)
	}
	if s.bodies.bytes.free() < 0 {
		s.evictReading()
	}
}

// evict asks connections to close until need of them are closing, in the order of their states and the longest in its
// state first. It asks no more than that: a client may be about to write on any of them.
func (s *Server) evict(need int) {
	candidates, leaving := s.evictionCandidates()
	closeLongest(candidates, need-leaving)
}

// evictReading asks the connections to close whose requests have been arriving for longest.
func (s *Server) evictReading() {
	candidates, _ := s.evictionCandidates()
	candidates = slices.DeleteFunc(candidates, func(v evictionCandidate) bool { return v.state != reading })
	closeLongest(candidates, maxBodyEvictions)
}

// evictionCandidate is a connection that may be evicted, as it was found.
type evictionCandidate struct {
	c     *clientConn
	state int
	since time.Time
}

// evictionCandidates returns the connections that may be evicted, and the number of those that are closing or have been
// asked to. It shortens the time that closing ones linger.
func (s *Server) evictionCandidates() (candidates []evictionCandidate, leaving int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.state == closing {
			c.nc.SetReadDeadline(c.since.Add(shortLingerTimeout))
			leaving++
		} else if c.closeRequested {
			leaving++
		} else if c.state != serving && now.Sub(c.since) >= minAges[c.state] {
			candidates = append(candidates, evictionCandidate{c, c.state, c.since})
		}
		c.mu.Unlock()
	}
	return candidates, leaving
}

// closeLongest asks n of the candidates to close, in the order of their states and the longest in its state first.
func closeLongest(candidates []evictionCandidate, n int) {
	slices.SortFunc(candidates, func(a, b evictionCandidate) int { return cmp.Or(a.state-b.state, a.since.Compare(b.since)) })
	for _, v := range candidates[:min(len(candidates), max(n, 0))] {
		v.c.requestClose(v.state, minAges[v.state])
	}
}

// requestClose wakes up a connection that has been in the given state for at least minAge, so that it closes. The lock
// keeps the state from changing meanwhile: the read deadline would interrupt a request that has just begun to arrive.
func (c *clientConn) requestClose(state int, minAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeRequested && c.state == state && time.Since(c.since) >= minAge {
		c.closeRequested = true
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}
