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

const oneEndpoint = `{"version":%d,"full":true,"servers":[{"id":"s-1","addr":"10.1.0.1:9000","cell":1,"state":"up"}]}`

// agent answers each ask with the next of its statuses and hands over what was asked for.
func agent(t *testing.T, statuses ...int) (addr string, asked <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asks := make(chan string, 64)
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
					asks <- r.URL.RequestURI()
					status, body := answer(), fmt.Sprintf(oneEndpoint, 42)
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
	return ln.Addr().String(), asks
}

func follow(t *testing.T, addr string, known string) *Watch {
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

func expect(t *testing.T, asked <-chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		select {
		case got := <-asked:
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
func TestKnownListIsFollowedNotAskedForAgain(t *testing.T) {
	addr, asked := agent(t, 503, 503, 200, 503)
	follow(t, addr, fmt.Sprintf(oneEndpoint, 41))
	const from41, from42 = "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000"
	expect(t, asked, from41, from41, from41, from42, from42)
}

func TestWithoutAListTheWholeIsAskedFor(t *testing.T) {
	addr, asked := agent(t, 503, 200)
	follow(t, addr, "")
	expect(t, asked, "/discovery/hosts", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// What was broken on the way may have told something: only the whole list shows what was missed.
func TestWholeListAfterABrokenAnswer(t *testing.T) {
	addr, asked := agent(t, 1, 200)
	follow(t, addr, fmt.Sprintf(oneEndpoint, 41))
	expect(t, asked, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
}

// Another agent's versions are its own.
func TestWholeListFromANewAgent(t *testing.T) {
	one, askedOne := agent(t, 200)
	two, askedTwo := agent(t, 200)
	w := follow(t, one, fmt.Sprintf(oneEndpoint, 41))
	expect(t, askedOne, "/discovery/hosts?index=41&wait=3000", "/discovery/hosts?index=42&wait=3000")
	w.SetAddr(two)
	expect(t, askedTwo, "/discovery/hosts", "/discovery/hosts?index=42&wait=3000")
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
		p := newPace(&policy.Settings{Senders: c.senders, Subscribe: c.subscribe, MaxSubscribeInterval: c.within}, 1)
		if p.most.Round(time.Millisecond) != c.want {
			t.Errorf("%d senders, within %g: %v, want %v", c.senders, c.within, p.most, c.want)
		}
		for n := 1; n < 100; n++ {
			if d := p.after(n, p.most); d < minPause/2 || d > p.most {
				t.Errorf("%d senders: pause %v after %d failures", c.senders, d, n)
			}
		}
	}
}

// Eighty senders of which every ask fails, all started in one moment, on a clock of their own: their asks stay
// under six times what the fleet is meant to settle at in the first second, when a fleet without pauses asks
// 800 times, and under twice as much from the next on: pauses that began short again after the first spread
// asked 42 to 62 times a second in seconds 1 to 4, and kept discovery overbooked for good on the herd day.
func TestFleetAsksAreBoundedAndSpread(t *testing.T) {
	const senders, seconds = 80, 60
	var asks []float64
	for i := range senders {
		p := newPace(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, uint64(i))
		at := 0.0 // the first ask goes at once: a pause before it would be a gap in the watch
		for n := 1; at < seconds; n++ {
			asks = append(asks, at)
			at += p.next(n, false, 0).Seconds()
		}
	}
	sort.Float64s(asks)
	perSecond := make([]int, seconds)
	for _, at := range asks {
		perSecond[int(at)]++
	}
	for s, n := range perSecond {
		if s == 0 && n > 6*fleetRequests || s > 0 && n > 2*fleetRequests {
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
		addr, asked := agent(t, 200)
		w := NewWatch(addr, &policy.Settings{Senders: 300}, seed, zerolog.Nop(), func(List) {})
		if err := w.Restore([]byte(fmt.Sprintf(oneEndpoint, 41))); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		began := time.Now()
		go func() { w.Run(ctx); close(done) }()
		select {
		case got := <-asked:
			if took := time.Since(began); got != "/discovery/hosts?index=41&wait=3000" || took > within {
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
const silenceMost = 6 * time.Second

// A watch falls silent, and so does the ask for the whole list that follows: whatever the size of the fleet, the
// third ask is out before what was missed counts as told.
func TestSilenceAfterSilenceIsFoundInTime(t *testing.T) {
	const way = 200 * time.Millisecond // an answer's, and the machine's
	for _, senders := range []int{1, 3, 30, 80, 300, 10000} {
		p := newPace(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, 1)
		first, second := time.Duration(0), time.Duration(0)
		for range 1000 {
			first, second = max(first, p.next(1, true, watchFor+watchGrace)), max(second, p.next(2, true, listTimeout))
		}
		if at := watchFor + watchGrace + first + listTimeout + second + way; at > silenceMost {
			t.Errorf("%d senders: the answer comes %v after the silence began", senders, at)
		}
	}
}

// The same on sockets: an endpoint that drains meanwhile is heard of in time.
func TestDrainIsHeardAfterTwoSilences(t *testing.T) {
	t.Parallel()
	addr, asked := agent(t, 200, 0, 0, 200)
	heard := make(chan time.Time, 8)
	w := NewWatch(addr, &policy.Settings{}, 1, zerolog.Nop(), func(List) { heard <- time.Now() })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	expect(t, asked, "/discovery/hosts")
	<-heard
	expect(t, asked, "/discovery/hosts?index=42&wait=3000")
	silent := time.Now()
	expect(t, asked, "/discovery/hosts", "/discovery/hosts")
	if took := (<-heard).Sub(silent); took > silenceMost {
		t.Errorf("heard %v after the silence began", took)
	}
}

// The configuration moves discovery after a request was made for the old agent, and before it goes out: a watch from
// the old one's version must not reach the new one, which would hold it while what it has counts as told.
func TestARequestForTheOldAgentIsNotSentToTheNew(t *testing.T) {
	one, _ := agent(t, 200)
	two, askedTwo := agent(t, 200)
	c := newClient(one)
	defer c.close()
	host := c.host()
	c.move(two)
	request := []byte("GET /discovery/hosts?index=41&wait=3000 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := c.do(context.Background(), host, request, time.Second); !errors.Is(err, errMoved) {
		t.Errorf("error %v, want %v", err, errMoved)
	}
	if _, err := c.do(context.Background(), c.host(), []byte("GET /first HTTP/1.1\r\nHost: b\r\n\r\n"), time.Second); err != nil {
		t.Fatal(err)
	}
	if got := <-askedTwo; got != "/first" {
		t.Errorf("the new agent was asked for %s", got)
	}
}
