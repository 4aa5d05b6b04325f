package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sliptide/internal/journal"
	"sliptide/internal/statedir"
)

// readyTimeout is the time within which nine in ten restarts have to be ready.
const readyTimeout = 10 * time.Second

// With a journal that fills the state directory and an unresponsive discovery, a restarted sender is ready in time,
// accepts a new message, and attempts at least half of the restored messages within 15 s.
func TestReadyWithAFullJournalAndNoDiscovery(t *testing.T) {
	t.Parallel()
	const diskMB = 3
	r := newUnstartedRig(t, "", func(settings, limits map[string]any) {
		limits["disk_mb"] = diskMB
		settings["limits"].(map[string]any)["most_held"] = 1000
	})
	var attempts atomic.Int64
	partner := r.endpointWithHandler("s", 3, func(w http.ResponseWriter, _ *http.Request) { attempts.Add(1) })
	r.endpoints = append(r.endpoints, partner)
	r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
	r.discoverySilent = true
	jr, _, err := journal.Open(r.stateDir, statedir.NewSpace(diskMB<<20).Account())
	if err != nil {
		t.Fatal(err)
	}
	rng, accepted := rand.New(rand.NewPCG(1, 2)), 0
	for ; jr.HasSpace(16<<10) && accepted < 900; accepted++ {
		body := make([]byte, rng.IntN(16<<10))
		jr.Accept(&journal.Entry{Num: jr.NextNumber(), Trace: fmt.Sprint("m", accepted), Key: fmt.Sprint("k", accepted), Class: "note",
			Tenant: "acme", Dest: 3, Deadline: time.Now().Add(20 * time.Second).UnixMilli(), Body: body})
		if err := jr.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if err := jr.Close(); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	r.start()
	took := time.Since(startedAt)
	if took > readyTimeout {
		t.Errorf("ready after %v, want 10 s at most", took)
	}
	if res := r.submit("new", 3, 15, ""); res.StatusCode != 202 {
		t.Errorf("a new message: status %d, want 202", res.StatusCode)
	}
	for end := time.Now().Add(15 * time.Second); attempts.Load() <= int64(accepted) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("ready after %v with %d messages restored, %d calls made", took, accepted, attempts.Load())
	if n := int(attempts.Load()); n < accepted/2 {
		t.Errorf("%d calls for %d restored messages, want at least half as many", n, accepted)
	}
}
