package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sliptide/internal/standin"
)

// partnerTakes is the time that the partner of these tests takes for a call.
const partnerLatency = 100 * time.Millisecond

// rawRig is a sender, which logs records, with one RawPartner for destination 5.
func newRawRig(t *testing.T) (*rig, *standin.RawPartner) {
	t.Helper()
	t.Parallel()
	r := newUnstartedRig(t, `<log records="true"/>`, nil)
	p := standin.NewRawPartner(t)
	r.endpoints = append(r.endpoints, endpoint{ID: "s-raw", Addr: p.Addr, Zone: "a", Kind: "one", Cell: 5, State: "up"})
	r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
	r.start()
	return r, p
}

// answerLater answers a call after the time that the partner takes.
func answerLater(c *standin.RawCall, text string) {
	time.AfterFunc(partnerLatency, func() { c.Write(text) })
}

// records counts the log's records of a kind.
func (r *rig) recordCount(kind string) int {
	return strings.Count(r.logs.String(), fmt.Sprintf(`"record":%q`, kind))
}

// awaitRecords waits until the log has so many records of a kind.
func (r *rig) awaitRecords(kind string, n int) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); r.recordCount(kind) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d records %q, want %d", r.recordCount(kind), kind, n)
		}
	}
}

// callOnKept hands messages in, one after the other, until one goes out on a connection that has carried another.
func (r *rig) callOnReusedConn(p *standin.RawPartner) *standin.RawCall {
	r.t.Helper()
	carried := map[int]bool{}
	for n := range 20 {
		r.mustSubmit(fmt.Sprint("m", n), 5, 10, "")
		c := receive(r.t, p.Calls, "a call")
		if carried[c.Conn] {
			return c
		}
		carried[c.Conn] = true
		answerLater(c, standin.AnswerOK)
		r.awaitRecords("ended", n+1)
	}
	r.t.Fatal("no connection is kept")
	return nil
}

// Guards against a message that ends by a second copy of an earlier answer, and is lost.
func TestRepeatedAnswerCrossesARequestAndLosesIt(t *testing.T) {
	r, p := newRawRig(t)
	c := r.callOnReusedConn(p)
	c.Write(standin.AnswerOK) // of the call before
	answerLater(c, standin.AnswerUnavailable)
	again := receive(t, p.Calls, "a further attempt")
	if again.ID != c.ID {
		t.Errorf("call for %q, want %q again", again.ID, c.ID)
	}
	answerLater(again, standin.AnswerOK)
}

// Guards against an answer that ends the next call of its connection, whose message is then out twice.
func TestRepeatedAnswerShiftsLaterAnswers(t *testing.T) {
	r, p := newRawRig(t)
	c := r.callOnReusedConn(p)
	ended := r.recordCount("ended")
	c.Write(standin.AnswerOK) // of the call before; its own answer is still owed
	r.awaitRecords("ended", ended+1)
	r.mustSubmit("next", 5, 10, "")
	for {
		following := receive(t, p.Calls, "a call for the next message")
		if following.Conn == c.Conn {
			t.Fatalf("%q goes out on connection %d, which owes the answer to %q", following.ID, c.Conn, c.ID)
		}
		answerLater(following, standin.AnswerOK)
		if following.ID == "next" {
			return
		}
	}
}
