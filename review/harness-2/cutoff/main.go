// Command cutoff is the case of a sender that is cut off from its fleet and sends messages of a keyed class, whose repeats are
// dropped by the endpoints of one zone alone, without the word of a holder; its heir sends them to the other zone. It starts
// from the program unacked of the first review.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"sliptide.review/harness/lab"
)

const (
	held     = 8                       // messages that wait when the sender is cut off
	callTime = 300 * time.Millisecond  // at a partner of usual pace
	deadline = 20 * time.Second        // of the class
	wait     = 1500 * time.Millisecond // that the partner tells
	cut      = 6 * time.Second         // how long the first member is cut off from the others
	others   = 4                       // further partners, which get as many messages each
)

func main() {
	l := lab.New()
	zones := []string{"a", "b"}
	var partner []*lab.Endpoint // with an endpoint in each zone
	var listed []lab.Listed
	for _, zone := range zones {
		e := l.NewEndpoint("partner-"+zone, "")
		partner = append(partner, e)
		listed = append(listed, lab.Listed{ID: "s-7-" + zone, Addr: e.Addr, Zone: zone, Kind: "partner", Cell: 7, State: "up", Weight: 60})
	}
	answer := func(a lab.Answer) {
		for _, e := range partner {
			e.Answer(func(string) lab.Answer { return a })
		}
	}
	for i := range others {
		e := l.NewEndpoint(fmt.Sprintf("other-%d", i), "")
		listed = append(listed, lab.Listed{ID: fmt.Sprintf("s-%d", i), Addr: e.Addr, Zone: "a", Kind: "partner", Cell: i, State: "up", Weight: 60})
	}
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1" when-short="refuse"/>`)
	var senders []*lab.Sender
	for i := range 3 {
		class := lab.Class("note", "keyed", 4000, int(deadline.Milliseconds()))
		class["key_scope"], class["memory_span"] = "zone", deadline.Milliseconds()
		settings := lab.DefaultSettings(class)
		settings["areas"], settings["zone"] = zones, min(i, 1) // the first sender is in a zone of its own
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
			l.MustSubmit(senders[0].Config.Listen, &lab.Message{Trace: fmt.Sprintf("o-%03d-%d", n, i), Class: "note", Key: fmt.Sprintf("o-%03d-%d", n, i), Body: "other", Dest: i, Expires: deadline})
		}
		l.MustSubmit(senders[0].Config.Listen, &lab.Message{Trace: trace, Class: "note", Key: trace, Body: body, Dest: 7, Expires: deadline})
		return trace
	}
	answer(lab.Answer{After: callTime, Status: 200})
	for range 20 {
		submit("earlier message")
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	// The partner is at its limit and tells a wait. Messages that come now have to wait for it; they are copied to the
	// other two members.
	answer(lab.Answer{Status: 429, RetryAfter: fmt.Sprintf("%.1f", wait.Seconds())})
	submit("message that is told the wait")
	time.Sleep(100 * time.Millisecond)
	answer(lab.Answer{After: callTime, Status: 200})
	var traces []string
	for i := range held {
		traces = append(traces, submit(fmt.Sprintf("message %d", i)))
	}
	time.Sleep(300 * time.Millisecond)
	if l.Trouble {
		fleet.SetCut(0, true)
		time.AfterFunc(cut, func() { fleet.SetCut(0, false) })
	}
	time.Sleep(24 * time.Second) // until each message's time is up
	for _, trace := range traces {
		runs, inOther := partner[0].Runs(trace), partner[1].Runs(trace)
		if len(runs) > 0 && len(inOther) > 0 {
			l.Break("%s ran in both zones, %v apart", trace, inOther[0].At.Sub(runs[0].At).Abs().Round(time.Millisecond))
		}
		notices := 0
		for _, s := range senders {
			notices += len(s.Config.Platform.Notices(trace))
		}
		if len(runs)+len(inOther)+notices == 0 {
			l.Break("%s has no end", trace)
		}
	}
	l.End()
}
