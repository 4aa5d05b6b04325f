package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sliptide/internal/standin"
)

// partnerLatency is the time that the partner of these tests takes to answer a call.
const partnerLatency = 100 * time.Millisecond

// newRawRig starts a sender that logs records, with one RawPartner as the endpoint of destination 5.
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

// answerLater answers a call after partnerLatency.
func answerLater(c *standin.RawCall, text string) {
	time.AfterFunc(partnerLatency, func() { c.Write(text) })
}

// recordCount returns the number of log records of a kind.
func (r *rig) recordCount(kind string) int {
	return strings.Count(r.logs.String(), fmt.Sprintf(`"record":%q`, kind))
}

// awaitRecords waits until the log has at least n records of a kind.
func (r *rig) awaitRecords(kind string, n int) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); r.recordCount(kind) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%d records %q, want %d", r.recordCount(kind), kind, n)
		}
	}
}

// callOnReusedConn submits messages one after the other until one is sent on a connection that has carried another
// call, and returns that call.
func (r *rig) callOnReusedConn(p *standin.RawPartner) *standin.RawCall {
	r.t.Helper()
	used := map[int]bool{}
	for n := range 20 {
		r.mustSubmit(fmt.Sprint("m", n), 5, 10, "")
		c := receive(r.t, p.Calls, "a call")
		if used[c.Conn] {
			return c
		}
		used[c.Conn] = true
		answerLater(c, standin.AnswerOK)
		r.awaitRecords("ended", n+1)
	}
	r.t.Fatal("no connection was reused")
	return nil
}

// Guards against a lost message: a second copy of the previous answer on the connection must not end the next request.
func TestRepeatedAnswerDoesNotEndNextRequest(t *testing.T) {
	r, p := newRawRig(t)
	c := r.callOnReusedConn(p)
	c.Write(standin.AnswerOK) // a second answer to the previous call
	answerLater(c, standin.AnswerUnavailable)
	again := receive(t, p.Calls, "a further attempt")
	if again.ID != c.ID {
		t.Errorf("call for %q, want %q again", again.ID, c.ID)
	}
	answerLater(again, standin.AnswerOK)
}

// Guards against a duplicate call: a repeated answer to the previous call ends the current one, whose own answer then
// arrives late and would be taken for that of the connection's next call. The connection must carry no further call.
func TestRepeatedAnswerShiftsLaterAnswers(t *testing.T) {
	r, p := newRawRig(t)
	c := r.callOnReusedConn(p)
	ended := r.recordCount("ended")
	c.Write(standin.AnswerOK) // a second answer to the previous call; the answer to c is still outstanding
	r.awaitRecords("ended", ended+1)
	r.mustSubmit("next", 5, 10, "")
	for {
		following := receive(t, p.Calls, "a call for the next message")
		if following.Conn == c.Conn {
			t.Fatalf("%q is sent on connection %d, on which the answer to %q is outstanding", following.ID, c.Conn, c.ID)
		}
		answerLater(following, standin.AnswerOK)
		if following.ID == "next" {
			return
		}
	}
}
