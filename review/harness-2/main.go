// Command play plays the cases of the second review: it starts the sender by the run line of the deploy file, with
// stand-ins for its clients, its partners and the platform, and judges what these see.
//
//	play CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// show writes a line to record.txt and to standard output.
func (r *record) show(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// world is what a case is played in.
type world struct {
	*record
	trouble  bool
	platform *platform
	partners *partners
	site     *site
	clients  *clients
}

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// verdict is the result of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

var cases = map[string]func(*world) (verdict, error){}

// settings returns the settings of a small deployment with one keyed class.
func settings(change func(map[string]any)) map[string]any {
	s := map[string]any{
		"areas": []string{"a"}, "kinds": []string{"partner"}, "balancers": 1, "round": 5, "weights": "rough",
		"family_info": map[string]any{"call_slots": 12, "kind_batch": []int{1}, "own_limits": []bool{false}, "loses_worth": "halves"},
		"limits": map[string]any{"max_attempts": 6, "most_held": 177, "keepalive": 15000, "dial_timeout": 1500,
			"retry_after": true, "max_retry_after": 2000, "may_cancel": true, "parallel_tries": false},
		"contract": map[string]any{"answer_slack": 20, "stop_sending_within": 500, "cold": 9100, "cold_from": 0.23,
			"tip_multiple": 1.5, "tip_after": 3000},
		"reporting": map[string]any{"fields": []string{"x0", "x1"}, "source": "inline"},
		"services": []any{map[string]any{"name": "note", "aim": 4000, "deadline": 20000, "effect": "keyed", "key_scope": "all",
			"memory_span": 20000, "worth": 1, "late_worth": 0.4}},
		"tenants": []any{map[string]any{"name": "acme", "quota_per_s": 100}},
	}
	if change != nil {
		change(s)
	}
	return s
}

func limits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(int(cannotRun))
	}
	root, err := os.Getwd()
	var f *os.File
	if err == nil {
		f, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	os.Exit(int(play(root, cases[os.Args[1]], f)))
}

// play plays a case and ends all that it has started.
func play(root string, run func(*world) (verdict, error), f *os.File) verdict {
	rec := &record{f: f, start: time.Now()}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0", platform: newPlatform(rec), partners: &partners{rec: rec}}
	var err error
	if w.site, err = newSite(root, w.platform); err != nil {
		rec.show("cannot run: %v", err)
		return cannotRun
	}
	w.clients = newClients(rec, w.site.listen)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() { // whatever happens, no process of the sender is left
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		rec.show("cannot run: interrupted, or not over after %v", timeLimit)
		w.site.close()
		os.Exit(int(cannotRun))
	}()
	v, err := run(w)
	w.site.close()
	w.partners.close()
	if err != nil {
		rec.show("cannot run: %v", err)
		return cannotRun
	}
	rec.show("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", cannotRun: "could not run"}[v])
	return v
}
