// Command unacked is the case of a sender that is cut off from its fleet and sends payments without the word of a
// holder; its heir sends them too.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"sliptide.review/harness/lab"
)

const (
	payments = 8
	callTime = 300 * time.Millisecond  // at a partner of usual pace
	deadline = 28 * time.Second        // of the class
	wait     = 1500 * time.Millisecond // that the partner tells
	cut      = 6 * time.Second         // how long the first member is cut off from the others
	others   = 4                       // further partners, which get as many messages each
)

func main() {
	l := lab.New()
	partner := l.NewEndpoint("payments", "")
	listed := []lab.Listed{{ID: "s-7", Addr: partner.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 60}}
	for i := range others {
		e := l.NewEndpoint(fmt.Sprintf("other-%d", i), "")
		listed = append(listed, lab.Listed{ID: fmt.Sprintf("s-%d", i), Addr: e.Addr, Zone: "a", Kind: "partner", Cell: i, State: "up", Weight: 60})
	}
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1" when-short="take"/>`)
	var senders []*lab.Sender
	for i := range 3 {
		settings := lab.DefaultSettings(lab.Class("ticket-payment", "unsafe", 2000, int(deadline.Milliseconds())))
		settings["balancers"], settings["index"], settings["weights"] = 3, i, "rough"
		senders = append(senders, l.Start(lab.Config{
			Name: fmt.Sprintf("n%d", i+1), Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, fmt.Sprintf("state-%d", i+1)),
			Platform: l.NewPlatform(listed...), Settings: settings,
		}, fleet.Command(i)))
	}
	for _, s := range senders {
		s.Up()
	}
	time.Sleep(5 * time.Second) // every journal has its copies
	n := 0
	submit := func(body string) string {
		n++
		trace := fmt.Sprintf("p-%03d", n)
		for i := range others {
			l.MustSubmit(senders[0].Config.Listen, &lab.Message{Trace: fmt.Sprintf("o-%03d-%d", n, i), Class: "ticket-payment", Body: "other", Dest: i, Expires: deadline})
		}
		l.MustSubmit(senders[0].Config.Listen, &lab.Message{Trace: trace, Class: "ticket-payment", Body: body, Dest: 7, Expires: deadline})
		return trace
	}
	partner.Answer(func(string) lab.Answer { return lab.Answer{After: callTime, Status: 200} })
	for range 20 {
		submit("earlier payment")
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	// The partner is at its limit and tells a wait. Payments that come now have to wait for it; they are copied to the
	// other two members.
	partner.Answer(func(string) lab.Answer {
		return lab.Answer{Status: 429, RetryAfter: fmt.Sprintf("%.1f", wait.Seconds())}
	})
	submit("payment that is told the wait")
	time.Sleep(100 * time.Millisecond)
	partner.Answer(func(string) lab.Answer { return lab.Answer{After: callTime, Status: 200} })
	var traces []string
	for i := range payments {
		traces = append(traces, submit(fmt.Sprintf("payment %d", i)))
	}
	time.Sleep(300 * time.Millisecond)
	if l.Trouble {
		fleet.SetCut(0, true)
		time.AfterFunc(cut, func() { fleet.SetCut(0, false) })
	}
	time.Sleep(32 * time.Second) // until each payment's time is up
	for _, trace := range traces {
		runs := partner.Runs(trace)
		if len(runs) > 1 {
			l.Break("%s, of a class that must never take effect twice, was run %d times, the second time %v after the first",
				trace, len(runs), runs[1].At.Sub(runs[0].At).Round(time.Millisecond))
		}
		notices := 0
		for _, s := range senders {
			notices += len(s.Config.Platform.Notices(trace))
		}
		if len(runs)+notices == 0 {
			l.Break("%s has no end", trace)
		}
	}
	l.End()
}
