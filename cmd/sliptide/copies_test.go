package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// acceptedCalls counts, for each message, the calls that the partner accepted.
func (m *testFleet) acceptedCalls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := map[string]int{}
	for _, c := range m.calls {
		if c.accepted {
			n[c.id]++
		}
	}
	return n
}

// awaitReady consumes the senders' reports until the test ends, and waits until each sender accepts messages.
func (m *testFleet) awaitReady() {
	m.t.Helper()
	stop := make(chan struct{})
	m.t.Cleanup(func() { close(stop) })
	m.consumeReports(stop)
	m.awaitAccepting()
}

// awaitAccepting waits until each sender accepts messages, for which it needs the lease on its journal.
func (m *testFleet) awaitAccepting() {
	m.t.Helper()
	for i, r := range m.rigs {
		n := 0
		m.await(fmt.Sprintf("n%d accepts messages", i), func() bool {
			n++
			resp, err := r.trySubmit(fmt.Sprintf("n%d-warm-%d", i, n), 5, 12, "x")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == 202
		})
	}
}

// finalAnswers counts the final answers of each message: deliveries and notices.
func (m *testFleet) finalAnswers() map[string]int {
	n := m.acceptedCalls()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.notices {
		n[e.Message]++
	}
	return n
}

// copiesXML gives each journal two copies on other members, one of which must be acknowledged before a 202.
const copiesXML = `<copies enabled="true" count="2" needed="1"/>`

// TestMachineLost kills a sender that holds messages and deletes its state directory: each of them gets one final
// answer, and its successor delivers all but two at most. One whose 202 was in flight at the loss may be returned
// instead: the successor can't know whether the client received it. Before the loss, "fleet copies" must list the
// copies of all four journals.
func TestMachineLost(t *testing.T) {
	m := newTestFleet(t, copiesXML, 4)
	m.awaitReady()
	if out, errs, code := runCommand(t, "fleet", "copies", "--operator", m.rigs[0].operatorPath); code != 0 || strings.Count(out, "copied") != 4 || strings.Count(out, "batches") != 4 {
		t.Errorf("fleet copies: status %d, want 0, and \"copied\" and \"batches\" four times each in:\n%s%s", code, out, errs)
	}
	m.setPartnerDown(true)
	ids := m.submitHeld(0, 12, 15)
	m.killAndWipe(0)
	lostAt := time.Now()
	m.setPartnerDown(false)
	m.awaitFinalAnswers(ids)
	t.Logf("all delivered %v after the loss", time.Since(lostAt).Round(10*time.Millisecond))
	delivered := 0
	for id, n := range m.finalAnswers() {
		if strings.HasPrefix(id, "n0-held") && n > 1 {
			t.Errorf("%s has %d final answers, want one", id, n)
		}
	}
	for id := range m.acceptedCalls() {
		if strings.HasPrefix(id, "n0-held") {
			delivered++
		}
	}
	if delivered < len(ids)-2 {
		t.Errorf("%d of %d were delivered, want all but two at most", delivered, len(ids))
	}
}

// TestOwnerReturnsAfterTakeover guards against a message that ends twice: a sender is stopped past its lease, another
// member takes its messages over, and the sender resumes. It must find its messages taken over and accept new ones, and
// no held message may have two final answers.
func TestOwnerReturnsAfterTakeover(t *testing.T) {
	m := newTestFleet(t, copiesXML, 4)
	m.awaitReady()
	m.setPartnerDown(true)
	ids := m.submitHeld(3, 8, 19)
	m.rigs[3].proc.Process.Signal(syscall.SIGSTOP)
	m.await("another member has taken over", func() bool {
		for _, r := range m.rigs[:3] {
			if strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`) {
				return true
			}
		}
		return false
	})
	m.rigs[3].proc.Process.Signal(syscall.SIGCONT)
	m.rigs[3].awaitUp(200) // it may have answered 503 in between
	m.rigs[3].awaitLog("messages were taken over while this sender was away")
	m.setPartnerDown(false)
	m.awaitFinalAnswers(ids)
	m.await("it accepts messages again", func() bool {
		resp, err := m.rigs[3].trySubmit("n3-again-"+fmt.Sprint(time.Now().UnixNano()), 5, 12, "x")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 202
	})
	for id, n := range m.finalAnswers() {
		if n > 1 && strings.HasPrefix(id, "n3-held") {
			t.Errorf("%s has %d final answers, want one", id, n)
		}
	}
}

// TestNoQuorum checks that without a majority of voters new messages are refused with Retry-After and the reason in
// /up, that the refused one is not sent, and that messages are accepted again when the voters are back.
func TestNoQuorum(t *testing.T) {
	m := newTestFleet(t, copiesXML, 4)
	m.awaitReady()
	for _, r := range m.rigs[:2] {
		r.proc.Process.Signal(syscall.SIGSTOP)
	}
	r := m.rigs[3]
	m.await("/up answers 503 with the reason", func() bool {
		resp, err := http.Get("http://" + r.addr + "/up")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode == 503 && strings.Contains(string(text), "too few members")
	})
	resp := r.submit("n3-refused", 5, 10, "x")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("submission without a quorum: %s, Retry-After %q", resp.Status, resp.Header.Get("Retry-After"))
	}
	for _, r := range m.rigs[:2] {
		r.proc.Process.Signal(syscall.SIGCONT)
	}
	m.awaitAccepting()
	if m.acceptedCalls()["n3-refused"] > 0 {
		t.Error("a refused message was sent")
	}
}
