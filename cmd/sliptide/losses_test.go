package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/fleet/ledger"
	"sliptide/internal/standin"
)

// lossRun is a fleet under load whose machines are lost. Each link goes through its own relay; the ledger records what
// clients, the partner and the receivers of notices observe.
type lossRun struct {
	*testFleet
	ledger *ledger.Ledger

	mu        sync.Mutex
	rng       *rand.Rand // draws the partner's faults
	history   []string   // injected events with their times
	startedAt time.Time
	maxBatch  int               // most messages in one call
	effects   map[string][2]int // how often each message took effect in each zone
	returned  map[string]bool   // messages that were returned to their clients
	atLimit   map[int]bool      // senders of whom the partner requests a wait at their next call
}

// Classes of the messages, by which their IDs begin.
const (
	classRepeatable = "note" // keyed; all endpoints drop repeats
	classUnsafe     = "pay"
	classZone       = "zone" // keyed; the endpoints of one zone drop repeats
)

// addZones adds a second zone, with an endpoint of the partner in each, and classZone to a sender's settings.
func (l *lossRun) addZones(i int, r *rig, kind string) {
	settings := r.config["settings"].(map[string]any)
	settings["areas"] = []string{"a", "b"}
	settings["services"] = append(settings["services"].([]any), map[string]any{"name": classZone, "aim": 4000, "deadline": 20000, "effect": "keyed",
		"key_scope": "zone", "memory_span": 20000, "worth": 1, "late_worth": 0.4})
	for k := range r.endpoints {
		if r.endpoints[k].ID == "p-5" {
			r.endpoints = slices.Delete(r.endpoints, k, k+1)
			break
		}
	}
	for zone, name := range []string{"a", "b"} {
		e := r.endpointWithHandler("p-loss-"+name, 5, func(w http.ResponseWriter, q *http.Request) { l.serve(i, zone, w, q) })
		e.Zone, e.Kind = name, kind
		r.endpoints = append(r.endpoints, e)
	}
	r.config["known"] = map[string]any{"version": 1, "full": true, "servers": r.endpoints}
}

// conflictingEnds returns the messages that ran in both zones although their class forbids that, and those that ran and
// were returned to their clients although their class forbids that.
func (l *lossRun) conflictingEnds() (list []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.effects {
		class, _, _ := strings.Cut(id, "-")
		if class == classZone && n[0] > 0 && n[1] > 0 {
			list = append(list, id+" took effect in both zones")
		}
		if class != classRepeatable && l.returned[id] && n[0]+n[1] > 0 {
			list = append(list, id+" took effect and was returned")
		}
	}
	slices.Sort(list)
	return list
}

// serve handles calls from sender i to the partner's endpoint in a zone, with one message or several in each. Some calls fail, some end
// without an answer after they took effect, and some request a wait.
func (l *lossRun) serve(i, zone int, w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	var ids []string
	bulk := q.URL.Path == "/inbox/bulk"
	if id := q.Header.Get("X-Trace-Id"); id != "" {
		ids = []string{id}
	} else if bulk {
		var items []struct{ ID string }
		if err := json.Unmarshal(body, &items); err != nil {
			l.t.Errorf("bulk call: %v", err)
		}
		for _, x := range items {
			ids = append(ids, x.ID)
		}
	}
	if len(ids) == 0 {
		return // a probe
	}
	began := time.Now()
	l.mu.Lock()
	l.maxBatch = max(l.maxBatch, len(ids))
	chance := l.rng.IntN(1000)
	atLimit := l.atLimit[i]
	delete(l.atLimit, i)
	l.mu.Unlock()
	if atLimit {
		for _, id := range ids {
			l.ledger.CallStarted(began, i, id)
			l.ledger.CallEnded(time.Now(), id, false)
		}
		l.ledger.WaitRequested(time.Now(), i, began, time.Now().Add(shortWait))
		w.Header().Set("Retry-After", fmt.Sprint(shortWait.Seconds()))
		w.WriteHeader(429)
		return
	}
	for _, id := range ids {
		l.ledger.CallStarted(began, i, id)
		if chance >= 45 {
			l.ledger.TookEffect(began, id)
			l.countEffect(id, zone)
		}
	}
	time.Sleep(20 * time.Millisecond)
	for _, id := range ids {
		l.ledger.CallEnded(time.Now(), id, chance >= 85)
	}
	if chance < 5 {
		l.ledger.WaitRequested(time.Now(), i, began, time.Now().Add(requestedWait))
		l.record("a wait is requested of n%d", i)
	}
	switch {
	case chance < 5:
		w.Header().Set("Retry-After", fmt.Sprint(requestedWait.Seconds()))
		w.WriteHeader(429)
	case chance < 45:
		w.WriteHeader(500)
	case chance < 85:
		nc, _, _ := w.(http.Hijacker).Hijack()
		nc.Close()
	case bulk:
		states := make([]map[string]string, len(ids))
		for k, id := range ids {
			states[k] = map[string]string{"id": id, "state": "accepted"}
		}
		json.NewEncoder(w).Encode(states)
	}
}

func (l *lossRun) countEffect(id string, zone int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.effects[id]
	n[zone]++
	l.effects[id] = n
}

// requestedWait is the wait that the partner requests. shortWait, for which it asks a sender that is about to be cut off,
// ends before that sender's lease.
const (
	requestedWait = 1500 * time.Millisecond
	shortWait     = 600 * time.Millisecond
)

// cutOffHoldingMessages makes a sender hold messages for shortWait, and cuts it off from the fleet, but not from the
// partner, in the middle of it. It returns when the wait is over and the sender's lease about to end.
func (l *lossRun) cutOffHoldingMessages(k int) {
	l.mu.Lock()
	l.atLimit[k] = true
	l.mu.Unlock()
	l.await("the partner has requested a wait", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.atLimit[k]
	})
	time.Sleep(shortWait / 2) // messages are accepted
	l.record("n%d is cut off, holding messages", k)
	l.ledger.SenderUnreachable(time.Now(), k, l.takenOver(k))
	l.setCutOff(k, toOwner|fromOwner)
	time.Sleep(shortWait)
}

// submitMessages submits messages of all classes in turn at one sender, until stop is closed.
func (l *lossRun) submitMessages(i int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		class, expiresIn := [...]string{classRepeatable, classUnsafe, classZone}[n%3], 8.0
		id := fmt.Sprintf("%s-%d-%d", class, i, n)
		l.ledger.Submitted(id, i, class == classUnsafe)
		q, _ := http.NewRequest("POST", "http://"+l.rigs[i].addr+"/api", strings.NewReader("two guests, one night"))
		for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": class, "X-Customer": "acme", "Idempotency-Key": "key-" + id,
			"X-Expires-In": strconv.FormatFloat(expiresIn, 'f', 3, 64), "X-Route-To": "dest=5"} {
			q.Header.Set(k, v)
		}
		resp, err := (&http.Client{Timeout: 400 * time.Millisecond}).Do(q)
		if err != nil {
			continue // no answer: the message was not accepted
		}
		resp.Body.Close()
		l.ledger.Answered(id, resp.StatusCode == 202, time.Now().Add(time.Duration(expiresIn*float64(time.Second))))
	}
}

// TestLosses loses machines with their disks under load and link faults: one after the other, or two at once where two
// copies are needed. The ledger then checks the delivery guarantees: no accepted message is lost or late, no refused
// one is sent, none takes effect twice if its class forbids it, no two attempts of a message overlap, and no call is
// made during a requested wait. No copy may be found to differ from its owner's journal. SLIPTIDE_LOSSES sets the
// number of lost machines; CI loses three.
func TestLosses(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("SLIPTIDE_LOSSES"))
	if err != nil {
		n = 3
	}
	for first := 0; first < n; first += lossesPerFleet {
		t.Run(fmt.Sprint("from ", first), func(t *testing.T) { runLosses(t, min(lossesPerFleet, n-first), uint64(first)) })
	}
}

// lossesPerFleet is the number of losses that one fleet goes through.
const lossesPerFleet = 50

// runLosses takes one fleet through n losses of a machine.
func runLosses(t *testing.T, n int, seed uint64) {
	l := &lossRun{rng: rand.New(rand.NewPCG(seed, 24)), ledger: ledger.New(), effects: map[string][2]int{}, returned: map[string]bool{}, atLimit: map[int]bool{}}
	needsTwo := seed/lossesPerFleet%2 == 1 // every second fleet needs two copies, and loses two machines at once
	l.startedAt = time.Now()
	kind := "one"
	if needsTwo { // and its partner accepts several messages in a call
		kind = "bulk"
	}
	copiesXML := fmt.Sprintf(`<copies enabled="true" count="2" needed="%d"/>`, map[bool]int{false: 1, true: 2}[needsTwo])
	l.testFleet = newTestFleetWith(t, copiesXML, 5, func(m *testFleet, i int, r *rig) {
		m.connectByRelays(i, r)
		l.addZones(i, r, kind)
	})
	l.onNotice = func(e timedNotice) {
		l.ledger.NoticeReceived(e.at, e.Message)
		if e.Outcome == "handed_back" {
			l.mu.Lock()
			l.returned[e.Message] = true
			l.mu.Unlock()
		}
	}
	stop := make(chan struct{})
	l.consumeReports(stop)
	l.awaitAccepting()
	var clients sync.WaitGroup
	for i := range l.rigs {
		clients.Go(func() { l.submitMessages(i, stop) })
	}
	rng := rand.New(rand.NewPCG(seed, 25)) // the partner has its own source
	cuts := rand.New(rand.NewPCG(seed, 26))
	counts := map[string]int{}
	for i := 0; i < n; {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond) // under load, between two faults
		lost := []int{rng.IntN(5)}
		// Never two voters: a majority must keep the fleet's log.
		if k := 3 + rng.IntN(2); needsTwo && k != lost[0] && rng.IntN(2) == 0 {
			lost = append(lost, k)
		}
		// A member that is unreachable for longer than a lease counts as lost: only where one more loss is permitted.
		maxFault := 400 * time.Millisecond
		if needsTwo && len(lost) == 1 {
			maxFault = 1200 * time.Millisecond
		}
		healed := make(chan struct{})
		heal := l.startFault(rng, counts, maxFault)
		go func() { heal(); close(healed) }()
		cutFirst := cuts.IntN(3) == 0
		if cutFirst {
			l.cutOffHoldingMessages(lost[0])
		}
		for _, k := range lost {
			l.loseMachine(k)
		}
		if cutFirst {
			counts["cut off before the loss"]++
			l.setCutOff(lost[0], 0)
		}
		i += len(lost)
		if !needsTwo && rng.IntN(4) == 0 {
			l.killSuccessor(rng, lost[0], counts)
		}
		<-healed
		for _, k := range lost {
			r := l.rigs[k]
			l.record("n%d starts", k)
			r.logs.Reset()
			r.launch()
			if k < 3 { // it must vote again before a further voter is lost
				r.awaitLog(fmt.Sprintf("voters changed: n%d", k))
			}
		}
		for _, r := range l.rigs {
			r.awaitLog(`"held":true`)
		}
		l.record("all members hold their journals")
		if i%10 == 9 {
			t.Logf("%d losses: %d messages unfinished", i+1, l.ledger.Unfinished())
		}
	}
	close(stop)
	clients.Wait()
	ended := time.Now()
	stopConsuming := make(chan struct{})
	defer close(stopConsuming)
	l.consumeReports(stopConsuming)
	l.await("every message has its final answer, or is 10 s past the end of the load", func() bool {
		return l.ledger.Unfinished() == 0 || time.Since(ended) > 10*time.Second
	})
	v := l.ledger.Judge()
	l.mu.Lock() // a call that was abandoned may still be served
	maxBatch, history := l.maxBatch, strings.Join(l.history, "\n")
	l.mu.Unlock()
	t.Logf("%d losses of a machine with its disk (needed %d; %v): %d accepted, %d lost, %d late, %d of a class that forbids it took effect twice, %d others repeated, %d refused and sent, "+
		"%d calls by successors, %d inside a wait, %d with another attempt in flight, %d ended more than once; %d messages at most in a call",
		n, map[bool]int{false: 1, true: 2}[needsTwo], counts, v.Accepted, v.Lost, v.Late, v.ForbiddenRepeats, v.Repeated, v.RefusedSent, v.BySuccessors, v.SentInWait, v.Overlapping, v.MultipleEnds, maxBatch)
	t.Logf("%d messages whose deadline passed during the takeover ended up to %.0f ms late", len(v.TakeoverDelays), quantile(v.TakeoverDelays, 1))
	t.Logf("from a loss to the successor's first call: p50 %.0f ms, max %.0f; until all messages have ended: p50 %.0f ms, max %.0f",
		quantile(v.FirstCalls, 0.5), quantile(v.FirstCalls, 1), quantile(v.Settlements, 0.5), quantile(v.Settlements, 1))
	for _, r := range l.rigs {
		if strings.Contains(r.logs.String(), "differs from its owner's journal") {
			t.Errorf("a copy differed from its owner's journal:\n%s", r.logs.String())
		}
	}
	if conflicts := l.conflictingEnds(); len(conflicts) > 0 {
		t.Logf("%s\n%s", history, strings.Join(conflicts, "\n"))
		t.Error("messages ran in two zones, or ran and were returned")
	}
	if v.Violated() {
		t.Logf("%s\n%s", history, strings.Join(v.Violations, "\n"))
		t.Error("the delivery guarantees are violated")
	}
}

// record adds an event to the history.
func (l *lossRun) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, fmt.Sprintf("%v: ", time.Since(l.startedAt).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// startFault starts a random fault that overlaps a loss, and returns a function that waits for its duration and ends
// it.
func (l *lossRun) startFault(rng *rand.Rand, counts map[string]int, maxDuration time.Duration) (heal func()) {
	a, b := rng.IntN(5), rng.IntN(4)
	if b >= a {
		b++
	}
	onPair := func(do func(*standin.Relay)) func() {
		for k, relay := range l.relays {
			if k == [2]int{a, b} || k == [2]int{b, a} {
				do(relay)
			}
		}
		return nil
	}
	faultDuration := 300*time.Millisecond + time.Duration(rng.Int64N(int64(maxDuration)))
	name, endFault := "", func() {}
	switch rng.IntN(7) {
	case 0:
		name = "pair cut"
		onPair(func(r *standin.Relay) { r.BlockBoth(true) })
		endFault = func() { onPair(func(r *standin.Relay) { r.BlockBoth(false) }) }
	case 1:
		name = "one way cut"
		onPair(func(r *standin.Relay) { r.Block(standin.ToTarget, true) })
		endFault = func() { onPair(func(r *standin.Relay) { r.BlockBoth(false) }) }
	case 2:
		name = "slow link"
		onPair(func(r *standin.Relay) { r.SetDelay(60 * time.Millisecond) })
		endFault = func() { onPair(func(r *standin.Relay) { r.SetDelay(0) }) }
	case 3:
		name = "links broken"
		for _, r := range l.relays {
			r.CloseConns()
		}
	case 4:
		name = "member cut off"
		l.ledger.SenderUnreachable(time.Now(), a, l.takenOver(a))
		for k, r := range l.relays {
			if k[0] == a || k[1] == a {
				r.BlockBoth(true)
			}
		}
		endFault = func() {
			for _, r := range l.relays {
				r.BlockBoth(false)
			}
		}
	case 5:
		name = "member stopped"
		l.ledger.SenderUnreachable(time.Now(), a, l.takenOver(a))
		p := l.rigs[a].proc
		p.Process.Signal(syscall.SIGSTOP)
		endFault = func() { p.Process.Signal(syscall.SIGCONT) }
	default:
		name = "none"
	}
	counts[name]++
	l.record("%s, %d and %d, for %v", name, a, b, faultDuration)
	at := time.Now()
	return func() {
		time.Sleep(time.Until(at.Add(faultDuration)))
		endFault()
		l.record("%s ends", name)
	}
}

// loseMachine kills a sender and empties its state directory.
func (l *lossRun) loseMachine(k int) {
	r := l.rigs[k]
	l.record("n%d is lost with its disk", k)
	r.proc.Process.Signal(syscall.SIGCONT)
	r.kill(syscall.SIGKILL)
	if err := os.RemoveAll(r.stateDir); err != nil {
		l.t.Fatal(err)
	}
	if err := os.Mkdir(r.stateDir, 0o700); err != nil {
		l.t.Fatal(err)
	}
	l.ledger.SenderLost(time.Now(), k, l.takenOver(k))
}

// takenOver returns the senders whose messages a member has taken over, from its log.
func (l *lossRun) takenOver(k int) (owners []int) {
	for _, line := range strings.Split(l.rigs[k].logs.String(), "\n") {
		var e struct{ Message, Owner string }
		if json.Unmarshal([]byte(line), &e) == nil && e.Message == "copies: took over from a lost sender" {
			var owner int
			fmt.Sscanf(e.Owner, "n%d", &owner)
			owners = append(owners, owner)
		}
	}
	return owners
}

// killSuccessor kills the process that takes over from a lost sender, at a random moment of the takeover, and starts it
// again.
func (l *lossRun) killSuccessor(rng *rand.Rand, owner int, counts map[string]int) {
	ownerField := fmt.Sprintf(`"owner":"n%d"`, owner)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for k, r := range l.rigs {
			if k == owner {
				continue
			}
			for _, line := range strings.Split(r.logs.String(), "\n") {
				if strings.Contains(line, "taking over from a lost sender") && strings.Contains(line, ownerField) && !strings.Contains(r.logs.String(), `"copies: took over from a lost sender"`) {
					time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond) // a random moment of the takeover
					counts["successor killed"]++
					l.record("n%d, the successor of n%d, is killed", k, owner)
					r.proc.Process.Signal(syscall.SIGCONT)
					r.kill(syscall.SIGKILL)
					l.ledger.SenderKilled(time.Now(), k, append(l.takenOver(k), owner))
					r.logs.Reset()
					r.launch()
					return
				}
			}
		}
	}
}

// TestMeasureCopies measures the cost of copies: the time until the 202 and until the delivery, at five loads on one
// sender, with copies off and on, one after the other in one run.
func TestMeasureCopies(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make copies-price")
	}
	// Messages per second. The last three are about 0.3, 0.7 and 1 of the maximum with copies.
	for _, rate := range []float64{150, 500, 3000, 7000, 10000} {
		for _, c := range []struct{ name, xml string }{
			{"off", ``},
			{"count 1 needed 1", `<copies enabled="true" count="1" needed="1" room="16MiB"/>`},
			{"count 2 needed 1", `<copies enabled="true" count="2" needed="1" room="16MiB"/>`},
			{"count 2 needed 2", `<copies enabled="true" count="2" needed="2" room="16MiB"/>`},
		} {
			t.Run(fmt.Sprintf("%s at %.0f a second", c.name, rate), func(t *testing.T) { measureCopiesCost(t, c.xml, rate, nil) })
		}
	}
}

// TestMeasureCopiesByClass measures the cost of copies for classes whose attempts a successor need not, or must, know of.
func TestMeasureCopiesByClass(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make copies-price")
	}
	for _, rate := range []float64{150, 1000, 3000} {
		for _, keyScope := range []string{"all", "zone"} {
			t.Run(fmt.Sprintf("key_scope %s at %.0f a second", keyScope, rate), func(t *testing.T) {
				measureCopiesCost(t, `<copies enabled="true" count="2" needed="1" room="16MiB"/>`, rate, cutOffClass("keyed", keyScope))
			})
		}
	}
}

// raiseLimits raises a sender's limits so that it can deliver thousands of messages a second.
func raiseLimits(_ *testFleet, _ int, r *rig) {
	r.config["settings"].(map[string]any)["limits"].(map[string]any)["most_held"] = 4000
	r.config["settings"].(map[string]any)["family_info"].(map[string]any)["call_slots"] = 64
	r.config["limits"].(map[string]any)["disk_mb"] = 32.0
}

// measureCopiesCost measures one configuration at one rate. class is the only class; nil: those of every test.
func measureCopiesCost(t *testing.T, xml string, rate float64, class map[string]any) {
	m := newTestFleetWith(t, xml, 3, func(m *testFleet, i int, r *rig) {
		raiseLimits(m, i, r)
		if class != nil {
			r.config["settings"].(map[string]any)["services"] = []any{class}
		}
	})
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var acceptedMS, deliveredMS []float64
	r := m.rigs[0]
	p := r.endpointWithHandler("p-price", 5, func(w http.ResponseWriter, q *http.Request) {
		io.Copy(io.Discard, q.Body)
		mu.Lock()
		if at, ok := sentAt[q.Header.Get("X-Trace-Id")]; ok {
			deliveredMS = append(deliveredMS, float64(time.Since(at))/1e6)
			delete(sentAt, q.Header.Get("X-Trace-Id"))
		}
		mu.Unlock()
	})
	r.updateList(func() {
		for i := range r.endpoints {
			if r.endpoints[i].ID == "p-5" {
				r.endpoints[i] = p
			}
		}
	})
	m.awaitReady()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}, Timeout: time.Second}
	cpu := standin.CPUSeconds(r.proc.Process.Pid)
	refused := 0
	var wg sync.WaitGroup
	const span = 6 * time.Second
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		id := fmt.Sprintf("note-%d", n)
		wg.Go(func() {
			q, _ := http.NewRequest("POST", "http://"+r.addr+"/api", strings.NewReader("two guests, one night"))
			for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "note", "X-Customer": "acme", "Idempotency-Key": "key-" + id, "X-Expires-In": "8", "X-Route-To": "dest=5"} {
				q.Header.Set(k, v)
			}
			at := time.Now()
			mu.Lock()
			sentAt[id] = at
			mu.Unlock()
			resp, err := client.Do(q)
			if err != nil {
				return
			}
			resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode != 202 {
				refused++
				return
			}
			acceptedMS = append(acceptedMS, float64(time.Since(at))/1e6)
		})
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond) // for the last calls to end
	used := standin.CPUSeconds(r.proc.Process.Pid) - cpu
	mu.Lock()
	defer mu.Unlock()
	t.Logf("202: p50 %.1f ms, p99 %.1f ms; delivery: p50 %.1f ms, p99 %.1f ms; %d accepted, %d refused, %.2f ms of a core a message",
		quantile(acceptedMS, 0.5), quantile(acceptedMS, 0.99), quantile(deliveredMS, 0.5), quantile(deliveredMS, 0.99), len(acceptedMS), refused, used*1000/float64(max(len(acceptedMS), 1)))
}

// TestMeasureMost measures the maximum rate at which one sender of three accepts and delivers messages, the bytes that
// copies add on the links, and the memory of a held message at its owner and at a holder.
func TestMeasureMost(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make copies-price")
	}
	for _, c := range []struct{ name, xml string }{
		{"off", ``},
		{"count 1 needed 1", `<copies enabled="true" count="1" needed="1" room="16MiB"/>`},
		{"count 2 needed 1", `<copies enabled="true" count="2" needed="1" room="16MiB"/>`},
		{"count 2 needed 2", `<copies enabled="true" count="2" needed="2" room="16MiB"/>`},
	} {
		t.Run(c.name, func(t *testing.T) { measureThroughput(t, c.xml) })
	}
}

// measureThroughput measures one configuration.
func measureThroughput(t *testing.T, xml string) {
	m := newTestFleetWith(t, xml, 3, func(m *testFleet, i int, r *rig) {
		m.connectByRelays(i, r)
		raiseLimits(m, i, r)
	})
	m.awaitReady()
	bytes := func() (n int64) {
		for _, r := range m.relays {
			n += r.BytesCarried()
		}
		return n
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}, Timeout: time.Second}
	submit := func(id string) int {
		q, _ := http.NewRequest("POST", "http://"+m.rigs[0].addr+"/api", strings.NewReader("two guests, one night"))
		for k, v := range map[string]string{"X-Trace-Id": id, "X-Qos": "note", "X-Customer": "acme", "Idempotency-Key": "key-" + id, "X-Expires-In": "15", "X-Route-To": "dest=5"} {
			q.Header.Set(k, v)
		}
		resp, err := client.Do(q)
		if err != nil {
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode
	}
	const span = 5 * time.Second
	var accepted atomic.Int64
	var wg sync.WaitGroup
	began, before, cpu := time.Now(), bytes(), standin.CPUSeconds(m.rigs[0].proc.Process.Pid)
	delivered := len(m.acceptedCalls())
	for w := range 48 {
		wg.Go(func() {
			for n := 0; time.Since(began) < span; n++ {
				if submit(fmt.Sprintf("n0-%d-%d", w, n)) == 202 {
					accepted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	used := standin.CPUSeconds(m.rigs[0].proc.Process.Pid) - cpu
	n := accepted.Load()
	t.Logf("maximum: %.0f accepted a second, %.0f delivered; %.2f ms of a core and %.0f bytes on links a message", float64(n)/span.Seconds(),
		float64(len(m.acceptedCalls())-delivered)/span.Seconds(), used*1000/float64(n), float64(bytes()-before)/float64(n))
	m.setPartnerDown(true)
	rss := func(k int) float64 { return standin.ResidentMB(m.rigs[k].proc.Process.Pid) }
	rssBefore := []float64{rss(0), rss(1), rss(2)}
	held := 0
	for k := range 2500 {
		if submit(fmt.Sprintf("n0-held-%d", k)) == 202 {
			held++
		}
	}
	if held > 0 {
		t.Logf("%d held: %.1f KB a message at the owner, %.1f and %.1f at the others", held, (rss(0)-rssBefore[0])*1e3/float64(held), (rss(1)-rssBefore[1])*1e3/float64(held), (rss(2)-rssBefore[2])*1e3/float64(held))
	}
}

// TestMeasureWorth measures the share of the worth of a sender's held messages that is delivered within ten seconds of
// its loss with its disk, and of its restart with its disk for comparison. A message's worth falls from its aim of 4 s
// on, to a half at 8 s.
func TestMeasureWorth(t *testing.T) {
	if os.Getenv("SLIPTIDE_MEASURE") == "" {
		t.Skip("a measurement: make copies-price")
	}
	for _, diskKept := range []bool{false, true} {
		for range 5 {
			measureWorth(t, diskKept)
		}
	}
}

// measureWorth measures one loss, or one restart if diskKept.
func measureWorth(t *testing.T, diskKept bool) {
	t.Run(fmt.Sprintf("with its disk %v", diskKept), func(t *testing.T) {
		m := newTestFleetWith(t, copiesXML, 5, nil)
		m.awaitReady()
		m.setPartnerDown(true)
		submittedAt := map[string]time.Time{}
		for k := range 40 {
			id := fmt.Sprintf("n0-worth-%d", k)
			m.rigs[0].mustSubmit(id, 5, 15, "x")
			submittedAt[id] = time.Now()
			time.Sleep(20 * time.Millisecond) // 50 messages a second
		}
		time.Sleep(100 * time.Millisecond) // for the copies of the last messages
		m.setPartnerDown(false)
		if diskKept {
			m.rigs[0].kill(syscall.SIGKILL)
			m.rigs[0].launch()
		} else {
			m.killAndWipe(0)
		}
		stoppedAt := time.Now()
		m.await("all have their final answer, or ten seconds have passed", func() bool {
			final := m.finalAnswers()
			for id := range submittedAt {
				if final[id] == 0 {
					return time.Since(stoppedAt) > 10*time.Second
				}
			}
			return true
		})
		m.mu.Lock()
		defer m.mu.Unlock()
		seen, share, last := map[string]bool{}, 0.0, 0.0
		for _, c := range m.calls {
			if at, ours := submittedAt[c.id]; ours && c.accepted && !seen[c.id] {
				seen[c.id] = true
				age := c.at.Sub(at).Seconds()
				share += 1 - 0.5*min(max(age-4, 0)/4, 1)
				last = max(last, float64(c.at.Sub(stoppedAt))/1e6)
			}
		}
		t.Logf("disk kept %v: %.2f of the worth of %d messages; the last is delivered after %.0f ms", diskKept, share/float64(len(submittedAt)), len(submittedAt), last)
	})
}
