package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/knowledge"
)

// Guards against deadlines and told waits that move with a step of the wall clock between two lives.
func TestWallClockStepBetweenTwoLivesMovesNothing(t *testing.T) {
	t.Parallel()
	for _, step := range []time.Duration{time.Hour, -time.Hour, -3 * time.Second} {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			stepped := shifted(t, step)
			r := newRigWith(t, `<knowledge enabled="true" write-every="1m"/>`, nil, "one")
			r.take("waits", 0, 15, "")
			told := time.Now()
			r.callFor("waits").status(503, "Retry-After", "1.500")
			r.awaitFile("knowledge.waits", func(b *knowledge.Facts) bool { return len(b.Waits) > 0 })
			r.take("long", 7, 12, "") // nowhere to go yet
			r.take("short", 7, 2, "")
			taken := time.Now()
			r.kill(syscall.SIGKILL)
			r.binary = stepped
			r.start()
			n := r.notice()
			if late := time.Since(taken) - 2*time.Second; n.Message != "short" || late > 300*time.Millisecond+restartSlack {
				t.Errorf("notice %+v, %v after its time", n, late)
			}
			r.change(func() { r.list = append(r.list, r.endpoint("s-7", "one", 7)) })
			got := map[string]time.Time{}
			for range 2 {
				c := r.call()
				got[c.id()] = c.at
				c.status(200)
			}
			if len(got) != 2 || got["long"].IsZero() || got["waits"].Sub(told) > 15*time.Second {
				t.Errorf("called: %v", got)
			}
		})
	}
}

// restartSlack is the time after a restart within which no notice is overdue.
const restartSlack = 1500 * time.Millisecond
