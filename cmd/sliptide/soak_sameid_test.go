package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// sameIDPeriod is the time between two submissions of a client that uses others' IDs.
const sameIDPeriod = 150 * time.Millisecond

// submitTakenIDs keeps submitting messages under IDs that the sender has accepted, on new connections. None may be
// accepted again: not by the other process of an upgrade, nor by the next one.
func (n *soakNode) submitTakenIDs(rng *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: newConnClient.Transport, Timeout: clientTimeout}
	for {
		select {
		case <-stop:
			return
		case <-time.After(sameIDPeriod):
		}
		id := n.acceptedID(rng, n.index)
		if id == "" {
			continue
		}
		resp, err := n.rig.trySubmitWith(client, id, 20, soakMaxExpiry.Seconds(), "another body")
		if err == nil && resp.StatusCode == 202 {
			n.violation("%s: accepted again, although its ID is taken", id)
		}
	}
}

// acceptedID returns the ID of a message that a sender has accepted, one of the latest or any other; empty: none yet.
func (s *soak) acceptedID(rng *rand.Rand, sender int) string {
	const latest = 10
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.acceptedIDs[sender]
	if len(ids) == 0 {
		return ""
	}
	from := 0
	if rng.IntN(2) == 0 {
		from = max(len(ids)-latest, 0)
	}
	return ids[from+rng.IntN(len(ids)-from)]
}
