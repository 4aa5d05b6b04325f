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

// startAgent starts an agent that answers each request with the next of the statuses: 0 is no answer, 1 is status 200
// with truncated JSON. After the last one it answers nothing. It sends the URI of each request to the returned channel.
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
					case 0:
						continue
					case 1:
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

// startWatch starts a watch with the known list, if that is not empty. It stops when the test ends.
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
				t.Fatalf("request %d is %s, want %s", i, got, w)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("request %d did not arrive", i)
		}
	}
}

// Senders of a fleet that start at the same moment must not all request the whole list: a sender with a known list
// requests the changes since then, also after an error answer.
func TestKnownListIsWatchedNotRequestedAgain(t *testing.T) {
	addr, requests := startAgent(t, 503, 503, 200, 503)
	startWatch(t, addr, fmt.Sprintf(oneEndpointList, 41))
	const from41, from42 = "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000"
	expectRequests(t, requests, from41, from41, from41, from42, from42)
}

// Without a known list there is no version to watch from: the whole list must be requested until an answer contains it.
func TestWholeListIsRequestedWithoutKnownList(t *testing.T) {
	addr, requests := startAgent(t, 503, 200)
	startWatch(t, addr, "")
	expectRequests(t, requests, "/discovery/hosts", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// An answer that could not be read may have contained a change, which only the whole list shows.
func TestWholeListAfterInvalidAnswer(t *testing.T) {
	addr, requests := startAgent(t, 1, 200)
	startWatch(t, addr, fmt.Sprintf(oneEndpointList, 41))
	expectRequests(t, requests, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// The versions of two agents are not comparable: a new agent is asked for its whole list.
func TestWholeListFromNewAgent(t *testing.T) {
	oldAgent, oldRequests := startAgent(t, 200)
	newAgent, newRequests := startAgent(t, 200)
	w := startWatch(t, oldAgent, fmt.Sprintf(oneEndpointList, 41))
	expectRequests(t, oldRequests, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000")
	w.SetAddr(newAgent)
	expectRequests(t, newRequests, "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// Guards against pauses that are too short or too long for the size of the fleet. A number of senders below one counts
// as one, and a huge one gives the upper bound of the pauses. within is MaxSubscribeInterval in milliseconds.
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
			t.Errorf("%d senders, within %g ms: longest pause %v, want %v", c.senders, c.within, b.longest, c.want)
		}
		for n := 1; n < 100; n++ {
			if d := b.exponentialPause(n, b.longest); d < minPause/2 || d > b.longest {
				t.Errorf("%d senders: pause %v after %d failures, want half of minPause to the longest pause", c.senders, d, n)
			}
		}
	}
}

// Eighty senders start at the same moment, on a simulated clock, and every request fails. Their requests must not
// exceed six times fleetRetriesPerSecond in the first second, in which a fleet without pauses sends 800, and twice that
// rate afterwards. Guards against pauses that begin short again after the first one: with these the fleet sent 42 to 62
// requests a second in seconds 1 to 4, which can overload discovery permanently.
func TestFleetRequestsAreBoundedAndSpread(t *testing.T) {
	const senders, seconds = 80, 60
	var requests []float64
	for i := range senders {
		b := newBackoff(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, uint64(i))
		at := 0.0 // the first request is sent at once: a change could be missed during a pause before it
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
			t.Errorf("second %d: %d requests, more than six (in second 0) or two times fleetRetriesPerSecond", s, n)
		}
	}
	t.Logf("requests a second: %v", perSecond)
}

// What the agent holds counts as known to the sender, requested or not. A sender of a large fleet that starts with a
// known list must not pause before its first watch, or it sees a drain that is published meanwhile only after the grace
// period.
func TestKnownListIsWatchedAtOnce(t *testing.T) {
	const within = 250 * time.Millisecond // half of the shortest grace period for a drain
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
				t.Errorf("seed %d: first request %s after %v, want a watch from version 41 within 250 ms", seed, got, took)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("seed %d: no request", seed)
		}
		cancel()
		<-done
	}
}

// maxSilence is the time after which a change counts as known to a sender that discovery does not answer.
const maxSilence = 6 * time.Second

// A watch times out, and so does the request for the whole list that follows. Whatever the size of the fleet, the third
// request must be answered before a change that was missed counts as known to the sender.
func TestRepeatedSilenceIsDetectedInTime(t *testing.T) {
	const margin = 200 * time.Millisecond // for the answer and for delays of the machine
	for _, senders := range []int{1, 3, 30, 80, 300, 10000} {
		b := newBackoff(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, 1)
		firstPause, secondPause := time.Duration(0), time.Duration(0)
		for range 1000 {
			firstPause, secondPause = max(firstPause, b.pause(1, true, watchDuration+watchGrace)), max(secondPause, b.pause(2, true, listTimeout))
		}
		if at := watchDuration + watchGrace + firstPause + listTimeout + secondPause + margin; at > maxSilence {
			t.Errorf("%d senders: the answer comes %v after discovery stopped answering, want maxSilence at most", senders, at)
		}
	}
}

// As TestRepeatedSilenceIsDetectedInTime, over sockets: a watch and the next request time out. The list that answers
// the third request must arrive in time, so that a drain published meanwhile would be seen.
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
		t.Errorf("the list came %v after the agent stopped answering, want maxSilence at most", took)
	}
}

// The configuration changes discovery's address after a request was made for the old agent and before it is sent. A
// watch from the old agent's version must not reach the new one, which would hold it while its own endpoints already
// count as known to the sender.
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
		t.Errorf("the new agent received a request for %s, want /first", got)
	}
}
