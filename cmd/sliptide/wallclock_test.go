package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/knowledge"
)

// Guards against deadlines and requested waits that move when the wall clock is stepped between two runs of the
// process: the message with the short deadline must get its notice in time, and the other two must still be called. A
// wait that ends early is not detected here.
func TestWallClockStepBetweenRuns(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{time.Hour, -time.Hour, -3 * time.Second} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			stepped := buildWithClockShift(t, step)
			r := newRigWithOperatorFile(t, `<knowledge enabled="true" write-every="1m"/>`, nil, "one")
			r.mustSubmit("waits", 0, 15, "")
			requested := time.Now()
			r.expectCallFor("waits").respond(503, "Retry-After", "1.500")
			r.awaitKnowledgeFile("knowledge.waits", func(b *knowledge.Facts) bool { return len(b.Waits) > 0 })
			r.mustSubmit("long", 7, 12, "") // no endpoint is up yet
			r.mustSubmit("short", 7, 2, "")
			accepted := time.Now()
			r.kill(syscall.SIGKILL)
			r.binary = stepped
			r.start()
			n := r.nextNotice()
			if late := time.Since(accepted) - 2*time.Second; n.Message != "short" || late > 300*time.Millisecond+restartSlack {
				t.Errorf("notice %+v, %v after its deadline; want the one of message \"short\", in time", n, late)
			}
			r.updateList(func() { r.endpoints = append(r.endpoints, r.endpoint("s-7", "one", 7)) })
			got := map[string]time.Time{}
			for range 2 {
				c := r.nextCall()
				got[c.id()] = c.at
				c.respond(200)
			}
			if len(got) != 2 || got["long"].IsZero() || got["waits"].Sub(requested) > 15*time.Second {
				t.Errorf("called: %v, want \"long\", and \"waits\" within 15 s of the request to wait", got)
			}
		})
	}
}

// restartSlack is the time after a restart within which no notice is overdue.
const restartSlack = 1500 * time.Millisecond
