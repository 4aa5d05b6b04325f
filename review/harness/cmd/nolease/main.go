// Command nolease is the case of a sender that is started again without its lease and sends what its heir has taken over.
package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"sliptide.review/harness/lab"
)

const (
	partners = 24
	struck   = 6 // partners that refuse connections: a quarter of the traffic
	rounds   = 3 // messages for each partner while they do

	down = 3500 * time.Millisecond // from the kill to the next start: longer than a lease
)

func main() {
	l := lab.New()
	var endpoints []*lab.Endpoint
	var listed []lab.Listed
	for i := range partners {
		e := l.NewEndpoint(fmt.Sprintf("payments-%d", i), "")
		endpoints = append(endpoints, e)
		listed = append(listed, lab.Listed{ID: fmt.Sprintf("s-%d", i), Addr: e.Addr, Zone: "a", Kind: "partner", Cell: i, State: "up", Weight: 20})
	}
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1" when-short="take"/>`)
	var senders []*lab.Sender
	var configs []lab.Config
	for i := range 3 {
		settings := lab.DefaultSettings(lab.Class("ticket-payment", "unsafe", 4000, 28000))
		settings["balancers"], settings["index"] = 3, i
		settings["family_info"].(map[string]any)["call_slots"] = 24
		c := lab.Config{
			Name: fmt.Sprintf("n%d", i+1), Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, fmt.Sprintf("state-%d", i+1)),
			Platform: l.NewPlatform(listed...), Settings: settings,
		}
		senders, configs = append(senders, l.Start(c, fleet.Command(i))), append(configs, c)
	}
	n := 0
	submit := func(to *lab.Sender, dest int) string {
		n++
		trace := fmt.Sprintf("p-%03d", n)
		l.Submit(to.Config.Listen, &lab.Message{Trace: trace, Class: "ticket-payment", Body: trace, Dest: dest, Expires: 28 * time.Second})
		return trace
	}
	for _, s := range senders {
		s.Up()
	}
	time.Sleep(4 * time.Second) // every journal has its copies
	for i := range 2 * partners {
		submit(senders[0], i%partners)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, e := range endpoints[:struck] {
		e.Stop()
	}
	l.Note("%d of %d partners refuse connections", struck, partners)
	var traces []string
	for i := range partners * rounds {
		trace := submit(senders[0], i%partners)
		if i%partners < struck {
			traces = append(traces, trace)
		}
		time.Sleep(35 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // what has been learned is on disk
	if l.Trouble {
		senders[0].Signal(syscall.SIGKILL)
		senders[0].WaitExit(time.Second)
	}
	time.Sleep(down)
	var again []*lab.Endpoint
	for _, e := range endpoints[:struck] {
		a := l.NewEndpoint(e.Name, e.Addr)
		a.Answer(func(string) lab.Answer { return lab.Answer{After: 440 * time.Millisecond, Status: 200} })
		again = append(again, a)
	}
	l.Note("these partners serve again")
	if l.Trouble {
		l.Start(configs[0], fleet.Command(0))
	}
	time.Sleep(20 * time.Second)
	for _, trace := range traces {
		runs := 0
		for _, e := range again {
			runs += len(e.Runs(trace))
		}
		if runs > 1 {
			l.Break("%s, of a class that must never take effect twice, was run %d times", trace, runs)
		}
	}
	l.End()
}
