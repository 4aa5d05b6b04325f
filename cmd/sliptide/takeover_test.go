package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/fleet/ledger"
)

// These tests lose a machine with its disk, and check what its successor does with the copied messages.

// shiftedBuilds holds the paths of the programs built by buildWithClockShift, by shift.
var (
	shiftedBuildsMu sync.Mutex
	shiftedBuilds   = map[time.Duration]string{}
)

// diskFailSuffix, appended to a rig's state directory, names a marker file. While it exists, disk operations of a
// program built by buildWithClockShift fail.
const diskFailSuffix = ".fails"

// buildWithClockShift returns the path of a program whose wall clock is off by the given duration. Each is built once.
func buildWithClockShift(t *testing.T, by time.Duration) string {
	t.Helper()
	shiftedBuildsMu.Lock()
	defer shiftedBuildsMu.Unlock()
	if path := shiftedBuilds[by]; path != "" {
		return path
	}
	path := fmt.Sprintf("%s-shifted%s", binary, by)
	args := []string{"build", "-race", "-ldflags", "-X sliptide/internal/sender.wallShift=" + by.String() + " -X sliptide/internal/fsys.failWhile=" + diskFailSuffix, "-o", path, "."}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	shiftedBuilds[by] = path
	return path
}

// submitHeld submits n messages that expire in expiresIn seconds to sender i, which must accept them, and returns their
// IDs.
func (m *testFleet) submitHeld(i, n int, expiresIn float64) (ids []string) {
	m.t.Helper()
	for k := range n {
		id := fmt.Sprintf("n%d-held-%d", i, k)
		m.rigs[i].mustSubmit(id, 5, expiresIn, "two guests, one night")
		ids = append(ids, id)
	}
	return ids
}

// killAndWipe kills sender i and removes its state directory.
func (m *testFleet) killAndWipe(i int) {
	m.t.Helper()
	m.rigs[i].kill(syscall.SIGKILL)
	m.rigs[i].proc = nil
	if err := os.RemoveAll(m.rigs[i].stateDir); err != nil {
		m.t.Fatal(err)
	}
}

// awaitFinalAnswers waits until each message has a final answer.
func (m *testFleet) awaitFinalAnswers(ids []string) {
	m.t.Helper()
	m.await("all messages have a final answer", func() bool {
		got := m.finalAnswers()
		for _, id := range ids {
			if got[id] == 0 {
				return false
			}
		}
		return true
	})
}

// TestSuccessorWallClockIsOff guards against deadlines that depend on the wall clocks of different machines. The
// successors' wall clocks are an hour ahead of the lost owner's, or an hour behind it. Messages whose deadlines have
// not passed must be delivered, and the others must end at their deadlines.
func TestSuccessorWallClockIsOff(t *testing.T) {
	for _, by := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			program := buildWithClockShift(t, by)
			m := newTestFleetWith(t, copiesXML, 4, func(_ *testFleet, i int, r *rig) {
				if i > 0 {
					r.binary = program
				}
			})
			m.awaitReady()
			m.setPartnerDown(true)
			from := time.Now()
			var short []string
			for k := range 4 {
				id := fmt.Sprintf("n0-short-%d", k)
				m.rigs[0].mustSubmit(id, 5, 4, "x")
				short = append(short, id)
			}
			ids := m.submitHeld(0, 6, 15) // the 202 of the last one may be in flight when the machine is lost
			m.killAndWipe(0)
			m.awaitFinalAnswers(short)
			m.forEachNotice(func(e timedNotice) {
				if strings.HasPrefix(e.Message, "n0-short") && (e.at.Sub(from) < 3*time.Second || e.at.Sub(from) > 4*time.Second+ledger.LateSlack+time.Second) {
					t.Errorf("%s: %s after %v, want it at its deadline of 4 s", e.Message, e.Outcome, e.at.Sub(from))
				}
			})
			m.setPartnerDown(false)
			m.awaitFinalAnswers(ids)
			got := m.acceptedCalls()
			delivered := 0
			for _, id := range ids {
				delivered += got[id]
			}
			if delivered < len(ids)-1 {
				t.Errorf("%d of %d messages within their deadlines were delivered, want all but one at most", delivered, len(ids))
			}
		})
	}
}

// forEachNotice calls look with each notice that the discovery agents have received.
func (m *testFleet) forEachNotice(look func(timedNotice)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.notices {
		look(e)
	}
}

// resubmit submits a message again, marked as a resubmission, to sender i after its first sender was lost. It returns
// the status, or 0 on a connection error.
func (m *testFleet) resubmit(i int, id, key, class string) int {
	q, _ := http.NewRequest("POST", "http://"+m.rigs[i].addr+"/api", strings.NewReader("two guests, one night"))
	for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": class, "X-Customer": "acme", "Idempotency-Key": key,
		"X-Expires-In": "15", "X-Route-To": "dest=5", "X-Second-Try": "again"} {
		q.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// effectCount returns the number of calls with the idempotency key that the partner accepted.
func (m *testFleet) effectCount(key string) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.calls {
		if c.accepted && c.key == key {
			n++
		}
	}
	return n
}

// TestResubmissionElsewhere guards against a message that takes effect twice: its sender is lost, and the client
// resubmits it to another sender before or after a successor has taken the copy over. Only one of the two may deliver
// it.
func TestResubmissionElsewhere(t *testing.T) {
	for _, after := range []bool{false, true} {
		t.Run(fmt.Sprintf("after the takeover %v", after), func(t *testing.T) {
			m := newTestFleet(t, copiesXML, 4)
			m.awaitReady()
			m.setPartnerDown(true)
			ids := m.submitHeld(0, 6, 15)
			m.killAndWipe(0)
			tookOver := func() bool {
				return slices.ContainsFunc(m.rigs[1:], func(r *rig) bool { return strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`) })
			}
			if after {
				m.await("a successor has taken over", tookOver)
			}
			want := 202
			if after {
				want = 409
			}
			var second []string
			for k := range 3 {
				id := fmt.Sprintf("n%d-second-%d", k+1, k)
				m.await("the resubmission is answered", func() bool {
					code := m.resubmit(k+1, id, "key-"+ids[k], "note")
					if code != want && code != 503 && code != 0 {
						t.Fatalf("%s: %d, want %d", id, code, want)
					}
					return code == want
				})
				second = append(second, id)
			}
			m.await("a successor has taken over", tookOver)
			m.setPartnerDown(false)
			m.awaitFinalAnswers(ids)
			if !after {
				m.awaitFinalAnswers(second)
			}
			for k, id := range ids {
				n := m.effectCount("key-" + id)
				if n > 1 || n == 0 && k < 3 {
					t.Errorf("%s took effect %d times, want at most once, and once if it was resubmitted", id, n)
				}
			}
		})
	}
}

// TestWaitsAndDisabledEndpointsGoWithCopies checks that a successor makes no call during a wait that was requested from
// the lost sender, and none to an endpoint that was disabled there, while it has messages of the lost sender. If the
// successor is killed and restarted, only the wait is checked.
func TestWaitsAndDisabledEndpointsGoWithCopies(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor killed %v", killed), func(t *testing.T) { testWaitsGoWithCopies(t, killed) })
	}
}

// testWaitsGoWithCopies runs the test once; killed: the successor is killed after its takeover and restarted.
func testWaitsGoWithCopies(t *testing.T, killed bool) {
	const wait = 7 * time.Second
	var waitEnd atomic.Int64 // end of the requested wait, in Unix nanoseconds
	var callsDuringWait, callsAfterWait, callsToDisabled atomic.Int32
	admin := reserveAddr(t)
	m := newTestFleetWith(t, copiesXML, 4, func(_ *testFleet, i int, r *rig) {
		if i == 0 {
			r.config["admin"] = admin
		}
		r.endpoints = append(r.endpoints, r.endpointWithHandler("p-6a", 6, func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get("X-Trace-Id") == "" {
				return
			}
			if until := waitEnd.Load(); until == 0 {
				waitEnd.Store(time.Now().Add(wait).UnixNano())
				w.Header().Set("Retry-After", fmt.Sprint(wait.Seconds()))
				w.WriteHeader(429)
			} else if time.Now().UnixNano() < until {
				callsDuringWait.Add(1)
			} else {
				callsAfterWait.Add(1)
			}
		}), r.endpointWithHandler("p-6b", 6, func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get("X-Trace-Id") != "" {
				callsToDisabled.Add(1)
			}
		}))
		r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
	})
	m.awaitReady()
	if status, text := callAdmin(t, admin, "POST", "/endpoints/disable", "p-6b"); status != 200 {
		t.Fatalf("disable: %d %s", status, text)
	}
	m.rigs[0].mustSubmit("n0-6-0", 6, 18, "x")
	m.await("the partner has requested a wait", func() bool { return waitEnd.Load() != 0 })
	for k := range 4 {
		m.rigs[0].mustSubmit(fmt.Sprintf("n0-6-%d", k+1), 6, 18, "x")
	}
	m.killAndWipe(0)
	successor := -1
	m.await("a successor has taken over", func() bool {
		successor = slices.IndexFunc(m.rigs, func(r *rig) bool {
			return r != m.rigs[0] && strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`)
		})
		return successor >= 0
	})
	if killed { // its next process honours the wait, too
		r := m.rigs[successor]
		r.kill(syscall.SIGKILL)
		r.logs.Reset()
		r.launch()
		r.awaitLog(`"held":true`)
	}
	if left := time.Until(time.Unix(0, waitEnd.Load())); left < time.Second {
		t.Fatalf("the takeover took too long for this test: %v of the wait are left", left)
	}
	m.await("the wait is over", func() bool { return time.Now().UnixNano() > waitEnd.Load() })
	m.await("the successor calls the endpoint that is not disabled", func() bool { return callsAfterWait.Load() > 0 })
	// A restarted successor does not know of the disabled endpoint.
	if callsDuringWait.Load() > 0 || callsToDisabled.Load() > 0 && !killed {
		t.Errorf("%d calls during the wait, %d to the disabled endpoint, want none", callsDuringWait.Load(), callsToDisabled.Load())
	}
}

// TestOwnerAndSuccessorPartitioned guards against two concurrent attempts, or two final answers, for one message: a
// sender is cut off from all other members, but not from its clients and the partner. After its lease has expired it
// must accept no message and make no call, while a successor delivers its messages. When the links work again, it
// must drop exactly these messages and accept new ones.
func TestOwnerAndSuccessorPartitioned(t *testing.T) {
	m := newTestFleetWith(t, copiesXML, 4, (*testFleet).connectByRelays)
	m.awaitReady()
	m.awaitHolders(3)
	m.setPartnerDown(true)
	ids := m.submitHeld(3, 6, 19)
	for k, relay := range m.relays {
		if k[0] == 3 || k[1] == 3 {
			relay.BlockBoth(true)
		}
	}
	m.await("a successor has taken over", func() bool {
		return slices.ContainsFunc(m.rigs[:3], func(r *rig) bool { return strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`) })
	})
	if code, _ := m.submitTimed(3, "n3-refused", "x"); code != 503 {
		t.Errorf("the sender that is cut off from the fleet answers %d, want 503", code)
	}
	from := time.Now()
	m.setPartnerDown(false)
	m.awaitFinalAnswers(ids)
	for _, r := range m.relays {
		r.BlockBoth(false)
	}
	m.rigs[3].awaitLog("messages were taken over while this sender was away")
	m.await("the sender accepts messages again", func() bool {
		code, _ := m.submitTimed(3, fmt.Sprint("n3-again-", time.Now().UnixNano()), "x")
		return code == 202
	})
	for id, n := range m.finalAnswers() {
		if strings.HasPrefix(id, "n3-held") && n != 1 || id == "n3-refused" {
			t.Errorf("%s has %d final answers, want one, or none if it was refused", id, n)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.calls {
		if strings.HasPrefix(c.id, "n3-held") && c.at.After(from) && c.rig == 3 {
			t.Errorf("%s was sent by its owner after the lease had expired", c.id)
		}
	}
}
