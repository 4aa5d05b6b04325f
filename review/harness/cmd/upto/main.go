// Command upto is the case of a sender that is started twice and then drops messages that it has just taken on.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sliptide.review/harness/lab"
)

// pause is how long after the end of a process the platform starts the next one.
const pause = 600 * time.Millisecond

func main() {
	l := lab.New()
	lodge := l.NewEndpoint("lodge", "")
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1" when-short="take"/>`)
	var senders []*lab.Sender
	for i := range 3 {
		settings := lab.DefaultSettings(lab.Class("booking-msg", "unsafe", 4000, 12000))
		settings["balancers"], settings["index"] = 3, i
		senders = append(senders, l.Start(lab.Config{
			Name: fmt.Sprintf("n%d", i+1), Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, fmt.Sprintf("state-%d", i+1)),
			Platform: l.NewPlatform(lab.Listed{ID: "s-1", Addr: lodge.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 20}),
			Settings: settings,
		}, fleet.Command(i)))
	}
	for _, s := range senders {
		s.Up()
	}
	n := 0
	var mu sync.Mutex
	var taken []string
	var clients sync.WaitGroup
	submit := func() { // by a client of its own
		n++
		trace, addr := fmt.Sprintf("m-%03d", n), senders[0].Config.Listen
		clients.Add(1)
		go func() {
			defer clients.Done()
			if l.Submit(addr, &lab.Message{Trace: trace, Class: "booking-msg", Body: trace, Dest: 7, Expires: 12 * time.Second}) == 202 {
				mu.Lock()
				taken = append(taken, trace)
				mu.Unlock()
			}
		}()
	}
	holdsLease := func() bool { return strings.Contains(senders[0].Log(), `"held":true`) }
	if !lab.WaitFor(15*time.Second, holdsLease) {
		l.Fail("n1 does not get the lease on its journal")
	}
	time.Sleep(3 * time.Second)
	for range 60 {
		submit()
		time.Sleep(50 * time.Millisecond)
	}
	restart := func(sig syscall.Signal) {
		senders[0].Signal(sig)
		if !senders[0].WaitExit(3700 * time.Millisecond) {
			l.Fail("n1 does not end")
		}
		time.Sleep(pause)
		senders[0] = l.Start(senders[0].Config, fleet.Command(0))
		senders[0].Up()
	}
	if l.Trouble {
		restart(syscall.SIGTERM)
		if !lab.WaitFor(15*time.Second, holdsLease) {
			l.Fail("n1 does not get the lease on its journal again")
		}
		time.Sleep(3 * time.Second) // a quiet time
		restart(syscall.SIGKILL)
	}
	for range 40 {
		submit()
		time.Sleep(25 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(15 * time.Second)
	lost := 0
	for _, trace := range taken {
		notices := 0
		for _, s := range senders {
			notices += len(s.Config.Platform.Notices(trace))
		}
		if len(lodge.Runs(trace)) == 0 && notices == 0 {
			l.Note("%s was taken on and has no end", trace)
			lost++
		}
		if runs := len(lodge.Runs(trace)); runs > 1 {
			l.Break("%s was run %d times", trace, runs)
		}
	}
	if lost > 0 {
		l.Break("%d of %d messages that were taken on have neither been delivered nor ended by a notice, 3 s past their time", lost, len(taken))
	}
	l.End()
}
