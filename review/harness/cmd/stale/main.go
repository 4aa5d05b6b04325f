// Command stale is the case of a sender that is cut off from its fleet and hands back messages that its heir runs.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"sliptide.review/harness/lab"
)

const (
	payments = 12
	callTime = 400 * time.Millisecond // at a partner of usual pace
	deadline = 7 * time.Second        // of the class
	shut     = 7 * time.Second        // how long the partner is still shut when it tells so, 2 s after it began
	cut      = 6 * time.Second        // how long the first member is cut off from the others
	others   = 4                      // further partners, which get as many messages each
)

func main() {
	l := lab.New()
	partner := l.NewEndpoint("payments", "")
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1"/>`)
	listed := []lab.Listed{{ID: "s-7", Addr: partner.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 20}}
	for i := range others {
		e := l.NewEndpoint(fmt.Sprintf("other-%d", i), "")
		listed = append(listed, lab.Listed{ID: fmt.Sprintf("s-%d", i), Addr: e.Addr, Zone: "a", Kind: "partner", Cell: i, State: "up", Weight: 20})
	}
	var senders []*lab.Sender
	for i := range 3 {
		platform := l.NewPlatform(listed...)
		settings := lab.DefaultSettings(lab.Class("ticket-payment", "unsafe", 4000, int(deadline.Milliseconds())))
		settings["balancers"], settings["index"] = 3, i
		settings["family_info"].(map[string]any)["call_slots"] = 24
		senders = append(senders, l.Start(lab.Config{
			Name: fmt.Sprintf("n%d", i+1), Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, fmt.Sprintf("state-%d", i+1)),
			Platform: platform, Settings: settings,
		}, fleet.Command(i)))
	}
	owner := senders[0]
	n := 0
	submit := func(to *lab.Sender, body string) (trace string, taken bool) {
		n++
		trace = fmt.Sprintf("p-%03d", n)
		for i := range others {
			l.Submit(to.Config.Listen, &lab.Message{Trace: fmt.Sprintf("o-%03d-%d", n, i), Class: "ticket-payment", Body: "other", Dest: i, Expires: deadline})
		}
		return trace, l.Submit(to.Config.Listen, &lab.Message{Trace: trace, Class: "ticket-payment", Body: body, Dest: 7, Expires: deadline}) == 202
	}
	for _, s := range senders {
		s.Up()
		if !lab.WaitFor(15*time.Second, func() bool { _, ok := submit(s, "earlier payment"); return ok }) {
			l.Fail("%s takes nothing on", s.Config.Name)
		}
	}
	time.Sleep(3 * time.Second) // every journal has its copies
	partner.Answer(func(string) lab.Answer { return lab.Answer{After: callTime, Status: 200} })
	for range 6 {
		submit(owner, "earlier payment")
		time.Sleep(500 * time.Millisecond)
	}
	// The partner is shut and tells how long: nothing may be sent to it until then.
	partner.Answer(func(string) lab.Answer {
		return lab.Answer{Status: 429, RetryAfter: fmt.Sprintf("%.1f", shut.Seconds())}
	})
	time.Sleep(2 * time.Second)
	submit(owner, "payment that is told the wait")
	time.Sleep(300 * time.Millisecond)
	partner.Answer(func(string) lab.Answer { return lab.Answer{After: callTime, Status: 200} })
	// Payments that wait until the partner opens. They are copied to the other two members before their 202.
	bodies := map[string]string{} // by id
	for i := range payments {
		body := fmt.Sprintf("payment %d", i)
		trace, taken := submit(owner, body)
		if !taken {
			l.Fail("%s was not taken on", trace)
		}
		bodies[trace] = body
		time.Sleep(100 * time.Millisecond)
	}
	if l.Trouble {
		fleet.SetCut(0, true)
		time.AfterFunc(cut, func() { fleet.SetCut(0, false) })
	}
	var wg sync.WaitGroup
	for trace, body := range bodies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			followUp(l, senders, partner, trace, body)
		}()
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	for trace, body := range bodies {
		var by []string
		for _, r := range partner.Runs("") {
			if r.Body == body {
				by = append(by, r.Trace)
			}
		}
		if len(by) > 1 {
			l.Break("%q was handed back, which promises that it never ran, and it was run %d times: as %s", body, len(by), strings.Join(by, " and "))
		}
		if _, ended := firstNotice(senders, trace); len(by) == 0 && !ended {
			l.Break("%s has no end", trace)
		}
	}
	l.End()
}

// firstNotice returns the first notice for a message that any of the senders has posted.
func firstNotice(senders []*lab.Sender, trace string) (first lab.Notice, found bool) {
	for _, s := range senders {
		for _, notice := range s.Config.Platform.Notices(trace) {
			if !found || notice.At.Before(first.At) {
				first, found = notice, true
			}
		}
	}
	return first, found
}

// followUp is the client of a message: if the message is handed back before it is delivered, it comes again, to the
// second sender, when its notice says so. A notice about a message that is over does no harm.
func followUp(l *lab.Lab, senders []*lab.Sender, partner *lab.Endpoint, trace, body string) {
	var first lab.Notice
	found := false
	if !lab.WaitFor(12*time.Second, func() bool { first, found = firstNotice(senders, trace); return found }) {
		return
	}
	for _, r := range partner.Runs(trace) {
		if r.At.Add(callTime).Before(first.At) {
			return // delivered already
		}
	}
	if first.Outcome != "handed_back" {
		return
	}
	l.Note("platform: %s is over, handed back; its client hands it in again in %d ms", trace, first.RetryMS)
	time.Sleep(time.Duration(first.RetryMS) * time.Millisecond)
	l.Submit(senders[1].Config.Listen, &lab.Message{Trace: trace + "-again", Class: "ticket-payment", Body: body, Dest: 7, Expires: deadline, SecondTry: "1"})
}
