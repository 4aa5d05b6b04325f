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

// These tests inject faults into the holders of copies, and check what clients receive meanwhile and that no message is
// lost.

// holders returns the indices of the members that hold copies of a sender's journal, from the command line.
func (m *testFleet) holders(i int) (list []int) {
	out, err := exec.Command(binary, "fleet", "copies", "--json", "--operator", m.rigs[0].operatorPath).Output()
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

// awaitHolders waits until a sender's journal has two holders, and returns them.
func (m *testFleet) awaitHolders(i int) (list []int) {
	m.t.Helper()
	m.await(fmt.Sprintf("n%d has two holders", i), func() bool { list = m.holders(i); return len(list) == 2 })
	return list
}

// submitTimed submits a message and returns the status and the time until the answer.
func (m *testFleet) submitTimed(i int, id, body string) (int, time.Duration) {
	at := time.Now()
	resp, err := m.rigs[i].trySubmit(id, 5, 12, body)
	if err != nil {
		m.t.Fatal(err)
	}
	return resp.StatusCode, time.Since(at)
}

// TestSlowHolder guards against messages that wait for a slow holder, whose links delay each chunk by 300 ms in both
// directions. Each of 12 is answered within 400 ms: at least 11 by 202 where one copy is needed, and at least 11 by 503
// where two are. They are accepted again once the delay is gone.
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
					t.Errorf("submission answered after %v, want 400 ms at most", took)
				}
				switch code {
				case 202:
					accepted++
				case 503:
					refused++
				}
			}
			if needed == 1 && accepted < 11 || needed == 2 && refused < 11 { // one may have been in flight when the delay began
				t.Errorf("needed %d: %d accepted, %d refused; want at least 11 accepted with 1 needed, or refused with 2", needed, accepted, refused)
			}
			m.eachRelay(3, slow, func(r *standin.Relay) { r.SetDelay(0) })
			m.await("messages are accepted again", func() bool {
				code, _ := m.submitTimed(3, fmt.Sprint("n3-after-", time.Now().UnixNano()), "x")
				return code == 202
			})
			for id := range m.acceptedCalls() { // only if all 12 were refused is a call for any of them a violation
				if strings.HasPrefix(id, "n3-slow") && needed == 2 && refused == 12 {
					t.Errorf("%s was refused and sent", id)
				}
			}
		})
	}
}

// TestHolderCutOneWay checks that messages are accepted within 400 ms while the links to one of the two holders are
// blocked in one direction.
func TestHolderCutOneWay(t *testing.T) {
	m := newTestFleetWith(t, copiesXML, 4, (*testFleet).connectByRelays)
	m.awaitReady()
	for _, direction := range []int{standin.ToTarget, standin.FromTarget} {
		cut := m.awaitHolders(3)[0]
		m.eachRelay(3, cut, func(r *standin.Relay) { r.Block(direction, true) })
		for k := range 6 {
			if code, took := m.submitTimed(3, fmt.Sprintf("n3-%d-%d", direction, k), "x"); code != 202 || took > 400*time.Millisecond {
				t.Errorf("direction %d: status %d after %v, want 202 within 400 ms", direction, code, took)
			}
		}
		m.eachRelay(3, cut, func(r *standin.Relay) { r.BlockBoth(false) })
	}
}

// TestHoldersLost loses both holders of a sender with their disks: the sender keeps its messages, gets other holders
// and accepts messages again. Then the sender is lost too, and each message still gets a final answer.
func TestHoldersLost(t *testing.T) {
	m := newTestFleet(t, copiesXML, 7)
	m.awaitReady()
	owner, lostHolders := -1, []int(nil)
	// An owner with a holder that is no voter, so that a majority of voters keep their disks.
	for i := 3; i < 7 && owner < 0; i++ {
		if list := m.awaitHolders(i); list[0] >= 3 || list[1] >= 3 {
			owner, lostHolders = i, list
		}
	}
	if owner < 0 { // there is none: only one holder is lost
		owner, lostHolders = 3, m.awaitHolders(3)[:1]
	}
	m.setPartnerDown(true)
	ids := m.submitHeld(owner, 5, 19)
	for _, k := range lostHolders {
		m.killAndWipe(k)
	}
	m.await("the owner has other holders", func() bool {
		list := m.holders(owner)
		return len(list) == 2 && !slices.ContainsFunc(list, func(k int) bool { return slices.Contains(lostHolders, k) })
	})
	m.await("the owner accepts messages again", func() bool {
		code, _ := m.submitTimed(owner, fmt.Sprintf("n%d-more-%d", owner, time.Now().UnixNano()), "x")
		return code == 202
	})
	m.killAndWipe(owner)
	m.setPartnerDown(false)
	m.awaitFinalAnswers(ids)
}

// TestHolderDiskFails checks that messages are accepted while one of two holders cannot write its copy, and that this
// holder gets the whole copy when it can write again: each message gets a final answer although the owner and the other
// holder are lost.
func TestHolderDiskFails(t *testing.T) {
	m := newTestFleet(t, copiesXML, 4)
	m.awaitReady()
	list := m.awaitHolders(3)
	file := filepath.Join(m.rigs[list[0]].stateDir, "copy-n3")
	m.await("the holder has the file of the copy", func() bool { _, err := os.Stat(file); return err == nil })
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	// Appends to a directory fail, and so do renames onto one that is not empty.
	if err := os.Mkdir(file, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(file, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	m.setPartnerDown(true)
	ids := m.submitHeld(3, 4, 15)
	if err := os.RemoveAll(file); err != nil {
		t.Fatal(err)
	}
	m.await("the holder has the file of the copy again", func() bool { _, err := os.Stat(file); return err == nil })
	m.killAndWipe(3)
	m.killAndWipe(list[1])
	m.setPartnerDown(false)
	m.awaitFinalAnswers(ids)
}

// TestHolderSpaceExhausted submits bodies of 64 KiB until the holders' space is used up: further messages are refused
// within the time limit, none is lost, and they are accepted again when there is space.
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
			t.Errorf("submission answered after %v, want 400 ms at most", took)
		}
		switch code {
		case 202:
			accepted = append(accepted, id)
		case 503, 429:
			refused++
		default:
			t.Errorf("%s: unexpected status %d", id, code)
		}
	}
	if len(accepted) < 3 || refused == 0 {
		t.Errorf("%d accepted, %d refused; want at least 3 accepted and 1 refused", len(accepted), refused)
	}
	m.setPartnerDown(false)
	m.awaitFinalAnswers(accepted)
	m.await("messages are accepted again", func() bool {
		code, _ := m.submitTimed(3, fmt.Sprint("n3-room-", time.Now().UnixNano()), body)
		return code == 202
	})
}

// TestRollingRestart restarts all senders in turn, every second one by SIGKILL, while they hold messages: each message
// ends, all but two at most by delivery, and none has two final answers.
func TestRollingRestart(t *testing.T) {
	m := newTestFleet(t, copiesXML, 5)
	m.awaitReady()
	m.setPartnerDown(true)
	var ids []string
	for i := range m.rigs {
		ids = append(ids, m.submitHeld(i, 3, 19)...)
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
	m.awaitFinalAnswers(ids)
	for id, n := range m.finalAnswers() {
		if strings.Contains(id, "-held-") && n > 1 {
			t.Errorf("%s has %d final answers, want one", id, n)
		}
	}
	accepted := m.acceptedCalls()
	delivered := 0
	for _, id := range ids {
		delivered += min(accepted[id], 1)
	}
	if delivered < len(ids)-2 {
		t.Errorf("%d of %d were delivered, want all but two at most", delivered, len(ids))
	}
}
