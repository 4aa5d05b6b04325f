// Command heir is the case of a sender that is started again without its lease, and sends what its heir has taken over: of a
// keyed class whose repeats are dropped by the endpoints of one zone alone. It starts from the program nolease of the first
// review.
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
	struck   = 6 // partners that refuse connections, with both endpoints: a quarter of the traffic
	rounds   = 3 // messages for each partner while they do

	down = 3500 * time.Millisecond // from the kill to the next start: longer than a lease
)

func main() {
	l := lab.New()
	var endpoints []*lab.Endpoint
	var listed []lab.Listed
	for i := range partners {
		for _, zone := range []string{"a", "b"} {
			e := l.NewEndpoint(fmt.Sprintf("partner-%d-%s", i, zone), "")
			endpoints = append(endpoints, e)
			listed = append(listed, lab.Listed{ID: fmt.Sprintf("s-%d-%s", i, zone), Addr: e.Addr, Zone: zone, Kind: "partner", Cell: i, State: "up", Weight: 20})
		}
	}
	fleet := l.NewFleet(3, `<copies enabled="true" count="2" needed="1" when-short="refuse"/>`)
	var senders []*lab.Sender
	var configs []lab.Config
	for i := range 3 {
		class := lab.Class("note", "keyed", 4000, 20000)
		class["key_scope"], class["memory_span"] = "zone", 20000
		settings := lab.DefaultSettings(class)
		settings["areas"], settings["zone"] = []string{"a", "b"}, i%2
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
		l.Submit(to.Config.Listen, &lab.Message{Trace: trace, Class: "note", Key: "k-" + trace, Body: trace, Dest: dest, Expires: 20 * time.Second})
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
	for _, e := range endpoints[:2*struck] {
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
	for _, e := range endpoints[:2*struck] {
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
		zones := map[string]int{}
		for _, e := range again {
			zones[e.Name[len(e.Name)-1:]] += len(e.Runs(trace))
		}
		if zones["a"] > 0 && zones["b"] > 0 {
			l.Break("%s ran in both zones: %v", trace, zones)
		}
	}
	l.End()
}
