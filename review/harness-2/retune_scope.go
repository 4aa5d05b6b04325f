package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["retune-scope"] = playRetuneScope }

// resetCall closes the connection of a call with a reset, without an answer.
func resetCall(w http.ResponseWriter) {
	nc, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// playRetuneScope: the configuration is replaced by one that is short of a key, services[].key_scope, and SIGHUP is sent.
// The class is keyed, and only the endpoints of one zone drop repeats. Some connections are reset under requests.
func playRetuneScope(w *world) (verdict, error) {
	const (
		destinations = 4
		interval     = 40 * time.Millisecond // between two messages: 25 a second
		resetEvery   = 8                     // of the messages' first calls, one in so many is reset
		inUseAfter   = 1200 * time.Millisecond
	)
	var mu sync.Mutex
	called, first := map[string]bool{}, 0
	answer := func(rw http.ResponseWriter, _ *http.Request, id string) int {
		time.Sleep(150 * time.Millisecond)
		mu.Lock()
		repeat := called[id]
		called[id] = true
		if !repeat {
			first++
		}
		reset := !repeat && first%resetEvery == 0
		mu.Unlock()
		if reset {
			resetCall(rw)
			return 0
		}
		return 200
	}
	for d := range destinations {
		for _, zone := range []string{"a", "b"} {
			e := w.partners.start(fmt.Sprintf("s-%d-%s", d, zone), "partner", d, 0)
			e.server.Zone, e.answer = zone, answer
		}
	}
	w.platform.update(func([]server) []server { return w.partners.servers() })
	withScope := func(scope string) map[string]any {
		return settings(func(s map[string]any) {
			s["areas"] = []string{"a", "b"}
			class := s["services"].([]any)[0].(map[string]any)
			if class["key_scope"] = scope; scope == "" {
				delete(class, "key_scope")
			}
		})
	}
	if err := w.site.writeConfig(withScope("zone"), limits()); err != nil {
		return cannotRun, err
	}
	sender, err := w.site.start("sender")
	if err != nil {
		return cannotRun, err
	}
	if err := sender.awaitReady(10 * time.Second); err != nil {
		return cannotRun, err
	}
	sent := 0
	handIn := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
			w.clients.sendAsync("note", sent%destinations, 20*time.Second, []byte("hello"))
			sent++
		}
	}
	handIn(8 * time.Second)
	scope := "zone"
	if w.trouble {
		scope = ""
	}
	if err := w.site.writeConfig(withScope(scope), limits()); err != nil {
		return cannotRun, err
	}
	sender.signal(syscall.SIGHUP)
	w.printf("SIGHUP, with key_scope %q", scope)
	time.Sleep(inUseAfter)
	handIn(20 * time.Second)
	messages := w.clients.messages()
	time.Sleep(5 * time.Second)

	zones := map[string]string{}
	for _, s := range w.partners.servers() {
		zones[s.ID] = s.Zone
	}
	resets, both := 0, 0
	runs := w.partners.byID()
	for _, m := range messages {
		for i, r := range runs[m.id] {
			if r.status != 0 {
				continue
			}
			resets++
			for _, later := range runs[m.id][i+1:] {
				if zones[later.endpoint] != zones[r.endpoint] {
					both++
					w.printf("message %s may have run at %s and was sent to %s %v later", m.id, r.endpoint, later.endpoint,
						later.at.Sub(r.at).Round(time.Millisecond))
				}
			}
		}
	}
	w.show("messages by answer: %v; calls reset: %d; repeats in another zone: %d", counts(messages), resets, both)
	if both > 0 {
		return broken, nil
	}
	return held, nil
}
