// Command enable is the case of an endpoint that discovery removes while an operator has it taken out.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"sliptide.review/harness/lab"
)

func main() {
	l := lab.New()
	lodge := l.NewEndpoint("lodge-old", "")
	other := l.NewEndpoint("lodge-second", "")
	usual := func(string) lab.Answer { return lab.Answer{After: 300 * time.Millisecond, Status: 200} }
	lodge.Answer(usual)
	other.Answer(usual)
	platform := l.NewPlatform(
		lab.Listed{ID: "s-old", Addr: lodge.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 10},
		lab.Listed{ID: "s-second", Addr: other.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 10},
	)
	s := l.Start(lab.Config{
		Name: "n0", Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, "state"), Platform: platform,
		Settings: lab.DefaultSettings(lab.Class("booking-msg", "keyed", 4000, 20000)),
	}, "")
	s.Up()
	submit := func(i int) {
		trace := fmt.Sprintf("m-%03d", i)
		l.MustSubmit(s.Config.Listen, &lab.Message{Trace: trace, Class: "booking-msg", Key: "k-" + trace, Body: "booking of the lodge", Dest: 7, Expires: 20 * time.Second})
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 10 {
		submit(i)
	}
	if l.Trouble {
		s.Operate("/endpoints/disable", "s-old")
	}
	// The endpoint is replaced: it is gone, and a new endpoint of another partner takes its address.
	lodge.Stop()
	platform.Set(lab.Listed{ID: "s-old", Addr: lodge.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "removed"})
	gate := l.NewEndpoint("gate", lodge.Addr)
	gate.Answer(usual)
	platform.Set(lab.Listed{ID: "s-gate", Addr: gate.Addr, Zone: "a", Kind: "partner", Cell: 8, State: "up", Weight: 10})
	time.Sleep(7 * time.Second) // counts as told after 6 s at the latest
	if l.Trouble {
		s.Operate("/endpoints/enable", "s-old")
	}
	time.Sleep(time.Second) // 500 ms are allowed from the moment at which the sender is told
	for i := range 30 {
		submit(100 + i)
	}
	time.Sleep(2 * time.Second)
	for _, r := range gate.Runs("") {
		l.Break("message %s for destination 7 was run by %s, an endpoint of destination 8; its body: %q", r.Trace, r.Endpoint, r.Body)
	}
	l.End()
}
