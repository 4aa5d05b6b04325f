package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/standin"
)

// cutOffTest is a fleet of four, one of which is cut off from the others while it holds messages of a class whose
// attempts limit a successor. Destination 6 has an endpoint in each of two zones; the sender that is cut off is in one
// zone, the others in the other one.
type cutOffTest struct {
	class       map[string]any
	copies      string                        // the copies element
	maxAttempts int                           // attempts of a message; 0: 100
	whileCut    func(m *testFleet, owner int) // further trouble; nil: none
	directions  linkDirections                // that the cut blocks; 0: both
}

// linkDirections is a set of directions of the links between the sender that is cut off and the others.
type linkDirections uint8

const (
	toOwner linkDirections = 1 << iota
	fromOwner
)

// cutOffOwner is the member that is cut off; it is no voter.
const cutOffOwner = 3

// cutOffWait is the wait that the partner requests first. It outlasts the start of the cut, but not the lease.
const (
	cutOffWait  = 2 * time.Second
	cutOffLease = "4s"
)

// earlierMessages is the number of messages by which the sender that is cut off learns a pace at which it sends soon after
// the requested wait.
const earlierMessages = 60

// zoneRuns counts the calls that each zone's endpoint accepted, by message.
type zoneRuns struct {
	mu   sync.Mutex
	runs [2]map[string]int
}

func (z *zoneRuns) add(zone int, id string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.runs[zone][id]++
}

// of returns the number of calls accepted for a message, in each zone.
func (z *zoneRuns) of(id string) [2]int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return [2]int{z.runs[0][id], z.runs[1][id]}
}

// total returns the number of calls accepted.
func (z *zoneRuns) total() (n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, runs := range z.runs {
		for _, count := range runs {
			n += count
		}
	}
	return n
}

// run plays the test. Each message must run in one zone at most, not at all if it was returned to its client, more than
// once only if its class permits that, and it must have an end.
func (c cutOffTest) run(t *testing.T) {
	var atLimit atomic.Bool  // the partner requests a wait with its next answer
	var waitEnd atomic.Int64 // in Unix nanoseconds
	z := zoneRuns{runs: [2]map[string]int{{}, {}}}
	m := newTestFleetWith(t, c.copies, 4, func(m *testFleet, i int, r *rig) {
		m.lease = cutOffLease
		m.connectByRelays(i, r)
		settings := r.config["settings"].(map[string]any)
		settings["areas"], settings["zone"] = []string{"a", "b"}, 1
		if i == cutOffOwner {
			settings["zone"] = 0
		}
		settings["services"] = []any{c.class}
		if c.maxAttempts > 0 {
			settings["limits"].(map[string]any)["max_attempts"] = c.maxAttempts
		}
		for zone, name := range []string{"a", "b"} {
			e := r.endpointWithHandler("p-6"+name, 6, func(w http.ResponseWriter, q *http.Request) {
				switch id := q.Header.Get("X-Trace-Id"); {
				case id == "":
				case atLimit.CompareAndSwap(true, false):
					waitEnd.Store(time.Now().Add(cutOffWait).UnixNano())
					w.Header().Set("Retry-After", fmt.Sprint(cutOffWait.Seconds()))
					w.WriteHeader(429)
				default:
					z.add(zone, id)
				}
			})
			e.Zone = name
			r.endpoints = append(r.endpoints, e)
		}
		r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
	})
	m.awaitReady()
	m.await("the sender has its holders", func() bool { return len(m.holders(cutOffOwner)) >= 2 })
	owner := m.rigs[cutOffOwner]
	for k := range earlierMessages {
		owner.mustSubmit(fmt.Sprintf("n3-6-earlier-%d", k), 6, 15, "x")
	}
	m.await("the earlier messages are delivered", func() bool { return z.total() == earlierMessages })
	atLimit.Store(true)
	ids := []string{"n3-6-first"}
	owner.mustSubmit(ids[0], 6, 15, "x")
	m.await("the partner has requested a wait", func() bool { return waitEnd.Load() != 0 })
	for k := range 5 {
		id := fmt.Sprintf("n3-6-%d", k)
		owner.mustSubmit(id, 6, 15, "x")
		ids = append(ids, id)
	}
	owner.mustSubmit("n3-5-last", 5, 15, "x") // copied after the confirmations of the others
	m.setCutOff(cutOffOwner, cmp.Or(c.directions, toOwner|fromOwner))
	if left := time.Until(time.Unix(0, waitEnd.Load())); left <= 0 {
		t.Fatalf("the wait ended %v before the cut", -left)
	}
	if c.whileCut != nil {
		c.whileCut(m, cutOffOwner)
	}
	m.await("a successor has taken over", func() bool {
		return slices.ContainsFunc(m.rigs[:3], func(r *rig) bool { return strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`) })
	})
	notices := func(id string) (n int, returned bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, e := range m.notices {
			if e.Message == id {
				n, returned = n+1, returned || e.Outcome == "handed_back"
			}
		}
		return n, returned
	}
	m.await("each message has an end", func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool {
			n, _ := notices(id)
			runs := z.of(id)
			return n+runs[0]+runs[1] == 0
		})
	})
	m.setCutOff(cutOffOwner, 0)
	owner.awaitLog("messages were taken over while this sender was away")
	m.await("the sender accepts messages again", func() bool {
		code, _ := m.submitTimed(cutOffOwner, fmt.Sprint("n3-again-", time.Now().UnixNano()), "x")
		return code == 202
	})
	delivered := 0
	for _, id := range ids {
		n, returned := notices(id)
		runs := z.of(id)
		total := runs[0] + runs[1]
		delivered += min(total, 1)
		switch {
		case runs[0] > 0 && runs[1] > 0:
			t.Errorf("%s ran in both zones", id)
		case returned && total > 0:
			t.Errorf("%s ran, and was returned to its client", id)
		case total > 1 && c.class["effect"] == "unsafe":
			t.Errorf("%s ran %d times", id, total)
		case total+n > 1:
			t.Errorf("%s ran %d times and has %d notices, want one end", id, total, n)
		}
	}
	if delivered < len(ids) {
		t.Errorf("%d of %d messages were delivered, want all", delivered, len(ids))
		m.mu.Lock()
		defer m.mu.Unlock()
		t.Logf("notices: %+v", m.notices)
	}
}

// setCutOff blocks these directions of the links between a member and all others, and unblocks the rest.
func (m *testFleet) setCutOff(owner int, blocked linkDirections) {
	for k, relay := range m.relays {
		switch owner {
		case k[0]:
			relay.Block(standin.ToTarget, blocked&fromOwner != 0)
			relay.Block(standin.FromTarget, blocked&toOwner != 0)
		case k[1]:
			relay.Block(standin.ToTarget, blocked&toOwner != 0)
			relay.Block(standin.FromTarget, blocked&fromOwner != 0)
		}
	}
}

// cutOffClass returns a class of messages with a deadline of 20 s.
func cutOffClass(effect, keyScope string) map[string]any {
	class := map[string]any{"name": "note", "aim": 4000, "deadline": 20000, "effect": effect, "worth": 1, "late_worth": 0.4}
	if effect == "keyed" {
		class["key_scope"], class["memory_span"] = keyScope, 20000
	}
	return class
}

const copiesTakeXML = `<copies enabled="true" count="2" needed="1" when-short="take"/>`

// restartCutOff restarts a member that is cut off, and waits until it serves again.
func restartCutOff(sig syscall.Signal) func(m *testFleet, i int) {
	return func(m *testFleet, i int) {
		r := m.rigs[i]
		r.kill(sig)
		r.launch()
		m.await("the restarted sender answers", func() bool { return r.upStatus() != 0 })
	}
}

// upgradeCutOff starts a new version of a member that is cut off, and stops the running one.
func upgradeCutOff(m *testFleet, i int) {
	r := m.rigs[i]
	running, exited := r.proc, r.exited
	r.launch()
	m.await("the new version waits", func() bool { return strings.Count(r.logs.String(), `"started"`) == 2 })
	running.Process.Signal(syscall.SIGTERM)
	r.await(exited, "the old process ends")
}

// TestCutOffSenderKeepsZoneScope guards against keyed messages that run in two zones: the owner, cut off, sends them
// before its lease ends, and its successor, which knows of no attempt, sends them to the other zone.
func TestCutOffSenderKeepsZoneScope(t *testing.T) {
	for name, c := range map[string]cutOffTest{
		"refuse":                      {copies: copiesXML},
		"take":                        {copies: copiesTakeXML},
		"needed 2":                    {copies: `<copies enabled="true" count="2" needed="2"/>`},
		"three copies":                {copies: `<copies enabled="true" count="3" needed="1"/>`},
		"owner killed and restarted":  {copies: copiesXML, whileCut: restartCutOff(syscall.SIGKILL)},
		"owner stopped and restarted": {copies: copiesXML, whileCut: restartCutOff(syscall.SIGTERM)},
		"owner upgraded":              {copies: copiesXML, whileCut: upgradeCutOff},
		"owner hears nobody":          {copies: copiesXML, directions: toOwner},
		"owner is not heard":          {copies: copiesXML, directions: fromOwner},
	} {
		c.class = cutOffClass("keyed", "zone")
		t.Run(name, c.run)
	}
}

// TestCutOffSenderReturnsNothingThatSuccessorRuns guards against messages that are returned to their clients and run: the
// owner, cut off, uses up their attempts before its lease ends, and its successor sends them.
func TestCutOffSenderReturnsNothingThatSuccessorRuns(t *testing.T) {
	for name, class := range map[string]map[string]any{"unsafe": cutOffClass("unsafe", ""), "zone": cutOffClass("keyed", "zone")} {
		for _, copies := range []string{copiesXML, copiesTakeXML} {
			c := cutOffTest{class: class, copies: copies, maxAttempts: 2}
			t.Run(fmt.Sprint(name, " take ", copies == copiesTakeXML), c.run)
		}
		c := cutOffTest{class: class, copies: copiesXML, maxAttempts: 2, whileCut: awaitReturnsAndRestart}
		t.Run(name+" and restarted", c.run)
	}
}

// awaitReturnsAndRestart waits until a member that is cut off has used up the attempts of its messages, and kills and
// restarts it.
func awaitReturnsAndRestart(m *testFleet, i int) {
	m.await("the attempts of a message are used up", func() bool {
		out, _, _ := runCommand(m.t, "journal", "show", "--json", m.rigs[i].stateDir)
		return strings.Contains(out, `"handed_back"`)
	})
	restartCutOff(syscall.SIGKILL)(m, i)
}
