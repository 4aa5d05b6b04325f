package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/standin"
)

// These tests put the holders of copies in trouble: what a client hears meanwhile, and that nothing is lost after it.

// holders are who keeps copies of a sender's journal, as numbers, by the command line.
func (m *testFleet) holders(i int) (list []int) {
	out, err := exec.Command(binary, "fleet", "copies", "--json", "--operator", m.rigs[0].operator).Output()
	var views []struct {
		Owner  string
		Copies []string
	}
	if err != nil || json.Unmarshal(out, &views) != nil {
		return nil
	}
	for _, v := range views {
		if v.Owner == fmt.Sprint("n", i) {
			for _, name := range v.Copies {
				var k int
				fmt.Sscanf(name, "n%d", &k)
				list = append(list, k)
			}
		}
	}
	return list
}

// awaitHolders waits until a sender's journal has two.
func (m *testFleet) awaitHolders(i int) (list []int) {
	m.t.Helper()
	m.await(fmt.Sprintf("n%d has two holders", i), func() bool { list = m.holders(i); return len(list) == 2 })
	return list
}

// timed hands a message in and returns the status and how long the answer took.
func (m *testFleet) submitTimed(i int, id, body string) (int, time.Duration) {
	at := time.Now()
	resp, err := m.rigs[i].tryHandIn(id, 5, 12, body)
	if err != nil {
		m.t.Fatal(err)
	}
	return resp.StatusCode, time.Since(at)
}

// TestSlowHolder: a holder that answers 300 ms late holds nothing up where one copy is waited for, and has messages
// refused plainly and in time where two are.
func TestSlowHolder(t *testing.T) {
	for _, needed := range []int{1, 2} {
		t.Run(fmt.Sprint("needed ", needed), func(t *testing.T) {
			m := newTestFleetWith(t, fmt.Sprintf(`<copies enabled="true" count="2" needed="%d"/>`, needed), 4, (*testFleet).connectByRelays)
			m.awaitReady()
			slow := m.awaitHolders(3)[0]
			m.eachRelay(3, slow, func(r *standin.Relay) { r.SetDelay(300 * time.Millisecond) })
			accepted, refused := 0, 0
			for k := range 12 {
				code, took := m.submitTimed(3, fmt.Sprintf("n3-slow-%d", k), "x")
				if took > 400*time.Millisecond {
					t.Errorf("the answer took %v", took)
				}
				switch code {
				case 202:
					accepted++
				case 503:
					refused++
				}
			}
			if needed == 1 && accepted < 11 || needed == 2 && refused < 11 { // the first may have been on its way
				t.Errorf("needed %d: %d taken on, %d refused", needed, accepted, refused)
			}
			m.eachRelay(3, slow, func(r *standin.Relay) { r.SetDelay(0) })
			m.await("all is well again", func() bool {
				code, _ := m.submitTimed(3, fmt.Sprint("n3-after-", time.Now().UnixNano()), "x")
				return code == 202
			})
			for id := range m.acceptedCalls() {
				if strings.HasPrefix(id, "n3-slow") && needed == 2 && refused == 12 {
					t.Errorf("%s was refused and sent", id)
				}
			}
		})
	}
}

// TestHolderCutOneWay: a holder that is not heard by the owner, or does not hear it, holds nothing up.
func TestHolderCutOneWay(t *testing.T) {
	m := newTestFleetWith(t, copiesXML, 4, (*testFleet).connectByRelays)
	m.awaitReady()
	for _, direction := range []int{standin.ToTarget, standin.FromTarget} {
		cut := m.awaitHolders(3)[0]
		m.eachRelay(3, cut, func(r *standin.Relay) { r.Block(direction, true) })
		for k := range 6 {
			if code, took := m.submitTimed(3, fmt.Sprintf("n3-%d-%d", direction, k), "x"); code != 202 || took > 400*time.Millisecond {
				t.Errorf("direction %d: %d after %v", direction, code, took)
			}
		}
		m.eachRelay(3, cut, func(r *standin.Relay) { r.BlockBoth(false) })
	}
}

// TestHoldersLost: both holders of a sender are lost with their disks. It holds what it has, finds others, and takes
// messages on again; then it is lost itself, and nothing is.
func TestHoldersLost(t *testing.T) {
	m := newTestFleet(t, copiesXML, 7)
	m.awaitReady()
	owner, lostHolders := -1, []int(nil)
	for i := 3; i < 7 && owner < 0; i++ { // one with a holder that is no voter: a majority of the disks stays
		if list := m.awaitHolders(i); list[0] >= 3 || list[1] >= 3 {
			owner, lostHolders = i, list
		}
	}
	if owner < 0 {
		owner, lostHolders = 3, m.awaitHolders(3)[:1]
	}
	m.setPartnerDown(true)
	ids := m.hold(owner, 5, 19)
	for _, k := range lostHolders {
		m.lose(k)
	}
	m.await("it has other holders", func() bool {
		list := m.holders(owner)
		return len(list) == 2 && !slices.ContainsFunc(list, func(k int) bool { return slices.Contains(lostHolders, k) })
	})
	m.await("it takes messages on again", func() bool {
		code, _ := m.submitTimed(owner, fmt.Sprintf("n%d-more-%d", owner, time.Now().UnixNano()), "x")
		return code == 202
	})
	m.lose(owner)
	m.setPartnerDown(false)
	m.allEnded(ids)
}

// TestHolderDiskFails: a holder that cannot write its copy answers nothing for it; the other one does. When it can
// write again, it is brought everything.
func TestHolderDiskFails(t *testing.T) {
	m := newTestFleet(t, copiesXML, 4)
	m.awaitReady()
	list := m.awaitHolders(3)
	file := filepath.Join(m.rigs[list[0]].state, "copy-n3")
	m.await("the holder has a file", func() bool { _, err := os.Stat(file); return err == nil })
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(file, 0o700); err != nil { // an append to a folder fails, and so does a rename onto it
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(file, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	m.setPartnerDown(true)
	ids := m.hold(3, 4, 15)
	if err := os.RemoveAll(file); err != nil {
		t.Fatal(err)
	}
	m.await("the holder has a file again", func() bool { _, err := os.Stat(file); return err == nil })
	m.lose(3)
	m.lose(list[1])
	m.setPartnerDown(false)
	m.allEnded(ids)
}

// TestBurstOfBodies: bodies of 64 KiB until the holders' room is used up: refused plainly and in time, with nothing lost,
// and taken on again when there is room.
func TestHolderSpaceExhausted(t *testing.T) {
	m := newTestFleetWith(t, `<copies enabled="true" count="2" needed="1" room="400KiB"/>`, 4, nil)
	m.awaitReady()
	m.awaitHolders(3)
	m.setPartnerDown(true)
	body := strings.Repeat("a booking of a large party. ", 2300) // a little under 64 KiB
	var accepted []string
	refused := 0
	for k := range 24 {
		id := fmt.Sprintf("n3-large-%d", k)
		code, took := m.submitTimed(3, id, body)
		if took > 400*time.Millisecond {
			t.Errorf("the answer took %v", took)
		}
		switch code {
		case 202:
			accepted = append(accepted, id)
		case 503, 429:
			refused++
		default:
			t.Errorf("%s: %d", id, code)
		}
	}
	if len(accepted) < 3 || refused == 0 {
		t.Errorf("%d taken on, %d refused", len(accepted), refused)
	}
	m.setPartnerDown(false)
	m.allEnded(accepted)
	m.await("there is room again", func() bool {
		code, _ := m.submitTimed(3, fmt.Sprint("n3-room-", time.Now().UnixNano()), body)
		return code == 202
	})
}

// TestRollingRestart: all senders are restarted in turn, every second one by SIGKILL, with messages held: they are held
// and ended by their own sender, none is taken over that need not be, none is lost or ended twice.
func TestRollingRestart(t *testing.T) {
	m := newTestFleet(t, copiesXML, 5)
	m.awaitReady()
	m.setPartnerDown(true)
	var ids []string
	for i := range m.rigs {
		ids = append(ids, m.hold(i, 3, 19)...)
	}
	for i, r := range m.rigs {
		r.logs.Reset()
		if i%2 == 1 {
			r.kill(syscall.SIGKILL)
		} else {
			r.kill(syscall.SIGTERM)
		}
		r.launch()
		r.awaitLog(`"held":true`)
	}
	m.setPartnerDown(false)
	m.allEnded(ids)
	for id, n := range m.finalAnswers() {
		if strings.Contains(id, "-held-") && n > 1 {
			t.Errorf("%s has %d final answers", id, n)
		}
	}
	accepted := m.acceptedCalls()
	delivered := 0
	for _, id := range ids {
		delivered += min(accepted[id], 1)
	}
	if delivered < len(ids)-2 {
		t.Errorf("%d of %d were delivered", delivered, len(ids))
	}
}
