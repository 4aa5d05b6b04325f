// Command sameid is the case of a client that uses the id of another client's open request during an upgrade.
package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"sliptide.review/harness/lab"
)

func main() {
	l := lab.New()
	lodge := l.NewEndpoint("payments", "")
	platform := l.NewPlatform(lab.Listed{ID: "s-1", Addr: lodge.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 10})
	config := lab.Config{
		Name: "n0", Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, "state"), Platform: platform,
		Settings: lab.DefaultSettings(lab.Class("ticket-payment", "unsafe", 4000, 20000)),
	}
	old := l.Start(config, "")
	old.Up()
	message := func(trace, body string) *lab.Message {
		return &lab.Message{Trace: trace, Class: "ticket-payment", Body: body, Dest: 7, Expires: 18 * time.Second}
	}
	l.MustSubmit(config.Listen, message("warm-up", "payment 0"))
	time.Sleep(500 * time.Millisecond)
	// The partner tells a wait, so that the next messages stay open.
	lodge.Answer(func(string) lab.Answer { return lab.Answer{Status: 429, RetryAfter: "6"} })
	l.MustSubmit(config.Listen, message("told-the-wait", "payment 1"))
	time.Sleep(300 * time.Millisecond)
	lodge.Answer(func(string) lab.Answer { return lab.Answer{Status: 200, After: 300 * time.Millisecond} })
	for i := range 5 {
		l.MustSubmit(config.Listen, message(fmt.Sprintf("open-%d", i), "payment of an honest client"))
	}
	if l.Trouble {
		next := config
		next.Admin = l.FreeAddr()
		fresh := l.Start(next, "")
		fresh.Ready()
	}
	for range 3 { // while both processes listen, the system deals out new connections among them
		for i := range 5 {
			l.Submit(config.Listen, message(fmt.Sprintf("open-%d", i), "another body under the same id"))
		}
	}
	if l.Trouble {
		old.Signal(syscall.SIGTERM)
	}
	time.Sleep(20 * time.Second)
	for i := range 5 {
		trace := fmt.Sprintf("open-%d", i)
		runs := lodge.Runs(trace)
		if len(runs) > 1 {
			l.Break("message %s of a class that must never take effect twice was run %d times: %q and %q", trace, len(runs), runs[0].Body, runs[1].Body)
		}
		if len(runs) == 0 && len(platform.Notices(trace)) == 0 {
			l.Break("message %s has no end", trace)
		}
	}
	l.End()
}
