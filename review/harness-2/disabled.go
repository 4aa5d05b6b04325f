package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["disabled"] = playDisabled }

// playDisabled: an operator takes one endpoint of each of several partners out, one call after the other, and puts them
// back, a few times. Without trouble the calls come a while apart.
func playDisabled(w *world) (verdict, error) {
	const (
		destinations = 14 // with two endpoints each
		rounds       = 14
		grace        = 550 * time.Millisecond // contract.stop_sending_within and the 50 ms of the rules on sockets
		watched      = 800 * time.Millisecond
		callGap      = 150 * time.Millisecond // between two calls: without trouble, and when endpoints are put back
	)
	for d := range destinations {
		for i := range 2 {
			w.partners.start(fmt.Sprintf("s-%d-%d", d, i), "partner", d, 60*time.Millisecond)
		}
	}
	w.platform.update(func([]server) []server { return w.partners.servers() })
	if err := w.site.writeConfig(settings(nil), limits()); err != nil {
		return cannotRun, err
	}
	sender, err := w.site.start("sender")
	if err != nil {
		return cannotRun, err
	}
	if err := sender.awaitReady(10 * time.Second); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // 80 messages a second
		defer close(done)
		tick := time.NewTicker(12500 * time.Microsecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				w.clients.sendAsync("note", i%destinations, 20*time.Second, []byte("hello"))
			}
		}
	}()
	time.Sleep(2 * time.Second)
	breaches := 0
	for round := range rounds {
		took := time.Now()
		out := map[string]time.Time{}
		for d := range destinations {
			id := fmt.Sprintf("s-%d-0", d)
			status, err := sender.adminCall("POST", "/endpoints/disable", id)
			w.printf("disable %s: %d %v", id, status, err)
			if status/100 == 2 {
				out[id] = time.Now()
			}
			if !w.trouble {
				time.Sleep(callGap)
			}
		}
		w.printf("round %d: %d calls answered yes in %v", round, len(out), time.Since(took).Round(time.Millisecond))
		time.Sleep(grace + watched)
		for id, at := range out {
			if late := w.partners.since(id, at.Add(grace)); len(late) > 0 {
				breaches++
				w.show("round %d: %s was taken out with a yes; %d calls came later than %v after it, the last %v after it", round, id,
					len(late), grace, late[len(late)-1].at.Sub(at).Round(time.Millisecond))
			}
		}
		for id := range out {
			if status, err := sender.adminCall("POST", "/endpoints/enable", id); status != http.StatusOK {
				w.printf("enable %s: %d %v", id, status, err)
			}
			time.Sleep(callGap)
		}
	}
	close(stop)
	<-done
	w.show("messages by answer: %v; endpoints sent to while out: %d of %d", counts(w.clients.messages()), breaches, rounds*destinations)
	if breaches > 0 {
		return broken, nil
	}
	return held, nil
}
