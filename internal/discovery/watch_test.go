package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/policy"
)

const oneEndpointList = `{"version":%d,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:9000","cell":1,"state":"up"}]}`

// agent answers each ask with the next of its statuses and hands over what was asked for.
func startAgent(t *testing.T, statuses ...int) (addr string, requests <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 64)
	var mu sync.Mutex
	answer := func() int {
		mu.Lock()
		defer mu.Unlock()
		if len(statuses) == 0 {
			return 0
		}
		status := statuses[0]
		statuses = statuses[1:]
		return status
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				rd := bufio.NewReader(nc)
				for {
					r, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					received <- r.URL.RequestURI()
					status, body := answer(), fmt.Sprintf(oneEndpointList, 42)
					switch status {
					case 0: // silent from here on
						continue
					case 1: // a broken answer
						status, body = 200, `{"version":43,"servers":[{`
					}
					fmt.Fprintf(nc, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				}
			}()
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), received
}

func startWatch(t *testing.T, addr string, known string) *Watch {
	w := NewWatch(addr, &policy.Settings{}, 1, zerolog.Nop(), func(List) {})
	if err := w.Restore([]byte(known)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

func expectRequests(t *testing.T, requests <-chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		select {
		case got := <-requests:
			if got != w {
				t.Fatalf("ask %d is %s, want %s", i, got, w)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("ask %d never came", i)
		}
	}
}

// A fleet that starts in one moment must not ask for 80 whole lists: who has a list asks what has changed, also
// after it was turned away.
func TestKnownListIsWatchedNotRequestedAgain(t *testing.T) {
	addr, requests := startAgent(t, 503, 503, 200, 503)
	startWatch(t, addr, fmt.Sprintf(oneEndpointList, 41))
	const from41, from42 = "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000"
	expectRequests(t, requests, from41, from41, from41, from42, from42)
}

func TestWholeListIsRequestedWithoutKnownList(t *testing.T) {
	addr, requests := startAgent(t, 503, 200)
	startWatch(t, addr, "")
	expectRequests(t, requests, "/discovery/hosts", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// What was broken on the way may have told something: only the whole list shows what was missed.
func TestWholeListAfterInvalidAnswer(t *testing.T) {
	addr, requests := startAgent(t, 1, 200)
	startWatch(t, addr, fmt.Sprintf(oneEndpointList, 41))
	expectRequests(t, requests, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// Another agent's versions are its own.
func TestWholeListFromNewAgent(t *testing.T) {
	oldAgent, oldRequests := startAgent(t, 200)
	newAgent, newRequests := startAgent(t, 200)
	w := startWatch(t, oldAgent, fmt.Sprintf(oneEndpointList, 41))
	expectRequests(t, oldRequests, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000")
	w.SetAddr(newAgent)
	expectRequests(t, newRequests, "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// What the settings of a fleet make of the pauses. Absurd numbers are a fleet of one or as many as the bound allows.
func TestPauseBounds(t *testing.T) {
	for _, c := range []struct {
		senders   int
		subscribe bool
		within    float64
		want      time.Duration
	}{
		{1, true, 10000, 100 * time.Millisecond}, {0, true, 10000, 100 * time.Millisecond}, {-7, false, 0, 100 * time.Millisecond},
		{3, true, 10000, 200 * time.Millisecond}, {80, true, 10000, 5 * time.Second}, {80, true, 4000, 2 * time.Second},
		{80, true, 0, 5 * time.Second}, {80, true, 1, 100 * time.Millisecond}, {80, false, 0, 5 * time.Second}, {1 << 30, true, 1e300, 5 * time.Second},
	} {
		b := newBackoff(&policy.Settings{Senders: c.senders, Subscribe: c.subscribe, MaxSubscribeInterval: c.within}, 1)
		if b.longest.Round(time.Millisecond) != c.want {
			t.Errorf("%d senders, within %g: %v, want %v", c.senders, c.within, b.longest, c.want)
		}
		for n := 1; n < 100; n++ {
			if d := b.exponentialPause(n, b.longest); d < minPause/2 || d > b.longest {
				t.Errorf("%d senders: pause %v after %d failures", c.senders, d, n)
			}
		}
	}
}

// Eighty senders of which every ask fails, all started in one moment, on a clock of their own: their asks stay
// under six times what the fleet is meant to settle at in the first second, when a fleet without pauses asks
// 800 times, and under twice as much from the next on: pauses that began short again after the first spread
// asked 42 to 62 times a second in seconds 1 to 4, and kept discovery overbooked for good on the herd day.
func TestFleetRequestsAreBoundedAndSpread(t *testing.T) {
	const senders, seconds = 80, 60
	var requests []float64
	for i := range senders {
		b := newBackoff(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, uint64(i))
		at := 0.0 // the first ask goes at once: a pause before it would be a gap in the watch
		for n := 1; at < seconds; n++ {
			requests = append(requests, at)
			at += b.pause(n, false, 0).Seconds()
		}
	}
	sort.Float64s(requests)
	perSecond := make([]int, seconds)
	for _, at := range requests {
		perSecond[int(at)]++
	}
	for s, n := range perSecond {
		if s == 0 && n > 6*fleetRetriesPerSecond || s > 0 && n > 2*fleetRetriesPerSecond {
			t.Errorf("second %d: %d asks", s, n)
		}
	}
	t.Logf("asks a second: %v", perSecond)
}

// What the agent holds counts as told, asked for or not: a sender of a large fleet that starts with a known
// list must not leave a gap before its first watch, or a drain told meanwhile goes unseen past its grace.
func TestKnownListIsWatchedAtOnce(t *testing.T) {
	const within = 250 * time.Millisecond // half of the tightest drain grace of the deployments
	for seed := range uint64(10) {
		addr, requests := startAgent(t, 200)
		w := NewWatch(addr, &policy.Settings{Senders: 300}, seed, zerolog.Nop(), func(List) {})
		if err := w.Restore([]byte(fmt.Sprintf(oneEndpointList, 41))); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		start := time.Now()
		go func() { w.Run(ctx); close(done) }()
		select {
		case got := <-requests:
			if took := time.Since(start); got != "/discovery/hosts?index=41&wait=3000" || took > within {
				t.Errorf("seed %d: first ask %s after %v", seed, got, took)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("seed %d: no ask", seed)
		}
		cancel()
		<-done
	}
}

// silenceMost is the time after which what was missed counts as told.
const maxSilence = 6 * time.Second

// A watch falls silent, and so does the ask for the whole list that follows: whatever the size of the fleet, the
// third ask is out before what was missed counts as told.
func TestRepeatedSilenceIsDetectedInTime(t *testing.T) {
	const margin = 200 * time.Millisecond // an answer's, and the machine's
	for _, senders := range []int{1, 3, 30, 80, 300, 10000} {
		b := newBackoff(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, 1)
		firstPause, secondPause := time.Duration(0), time.Duration(0)
		for range 1000 {
			firstPause, secondPause = max(firstPause, b.pause(1, true, watchDuration+watchGrace)), max(secondPause, b.pause(2, true, listTimeout))
		}
		if at := watchDuration + watchGrace + firstPause + listTimeout + secondPause + margin; at > maxSilence {
			t.Errorf("%d senders: the answer comes %v after the silence began", senders, at)
		}
	}
}

// The same on sockets: an endpoint that drains meanwhile is heard of in time.
func TestDrainIsSeenAfterTwoTimeouts(t *testing.T) {
	t.Parallel()
	addr, requests := startAgent(t, 200, 0, 0, 200)
	updates := make(chan time.Time, 8)
	w := NewWatch(addr, &policy.Settings{}, 1, zerolog.Nop(), func(List) { updates <- time.Now() })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	expectRequests(t, requests, "/discovery/hosts")
	<-updates
	expectRequests(t, requests, "/discovery/hosts?index=42&wait=3000")
	silentSince := time.Now()
	expectRequests(t, requests, "/discovery/hosts", "/discovery/hosts")
	if took := (<-updates).Sub(silentSince); took > maxSilence {
		t.Errorf("heard %v after the silence began", took)
	}
}

// The configuration moves discovery after a request was made for the old agent, and before it goes out: a watch from
// the old one's version must not reach the new one, which would hold it while what it has counts as told.
func TestRequestForOldAgentIsNotSentToNewAgent(t *testing.T) {
	oldAgent, _ := startAgent(t, 200)
	newAgent, newRequests := startAgent(t, 200)
	c := newAgentClient(oldAgent)
	defer c.close()
	addr := c.currentAddr()
	c.setAddr(newAgent)
	request := []byte("GET /discovery/hosts?index=41&wait=3000 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := c.call(context.Background(), addr, request, time.Second); !errors.Is(err, errAddrChanged) {
		t.Errorf("error %v, want %v", err, errAddrChanged)
	}
	if _, err := c.call(context.Background(), c.currentAddr(), []byte("GET /first HTTP/1.1\r\nHost: b\r\n\r\n"), time.Second); err != nil {
		t.Fatal(err)
	}
	if got := <-newRequests; got != "/first" {
		t.Errorf("the new agent was asked for %s", got)
	}
}
