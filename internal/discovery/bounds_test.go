package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/policy"
)

// listText returns a whole list with that many endpoints, each of a different destination.
func listText(version, endpoints int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"full":true,"servers":[`, version)
	for i := range endpoints {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"id":"s-%d","addr":"10.1.%d.%d:9000","cell":%d,"state":"up","weight":25,"kind":"k","zone":"z"}`, i, i>>8&0xff, i&0xff, i)
	}
	text.WriteString("]}")
	return text.String()
}

// startScriptedAgent starts an agent that answers each request with the next of the bodies and no request after the
// last one. It sends the URI of each request to the returned channel.
func startScriptedAgent(t *testing.T, chunked bool, bodies ...string) (addr string, requests <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	received := make(chan string, 64)
	var mu sync.Mutex
	next := func() (body string, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(bodies) == 0 {
			return "", false
		}
		body, bodies = bodies[0], bodies[1:]
		return body, true
	}
	serve := func(nc net.Conn) {
		defer nc.Close()
		for reader := bufio.NewReader(nc); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			received <- request.URL.RequestURI()
			body, ok := next()
			switch {
			case !ok:
			case chunked:
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			default:
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return ln.Addr().String(), received
}

// syncBuffer is a log that the test can read while the watch writes to it.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// A list of some 500 endpoints or more exceeds the limit for other bodies (http1.MaxBody). Guards against a sender that
// rejects such a list, logs that discovery does not answer, and serves no destination.
func TestLongListIsAccepted(t *testing.T) {
	const endpoints = 5000
	for _, chunked := range []bool{false, true} {
		addr, _ := startScriptedAgent(t, chunked, listText(7, endpoints))
		lists := make(chan List, 1)
		w := NewWatch(addr, &policy.Settings{}, 1, zerolog.Nop(), func(l List) { lists <- l })
		if err := w.requestList(context.Background()); err != nil {
			t.Fatalf("chunked %t: %v", chunked, err)
		}
		if l := <-lists; !l.Full || len(l.Endpoints) != endpoints {
			t.Errorf("chunked %t: %d endpoints, want %d", chunked, len(l.Endpoints), endpoints)
		}
		w.agent.close()
	}
}

// A list over MaxListBytes is rejected, with a Content-Length and chunked. The log reports it once although it comes
// twice, with the allowed length. No update results from it, and a shorter list is accepted afterwards.
func TestOversizedListChangesNothing(t *testing.T) {
	long := listText(8, 1) + strings.Repeat(" ", MaxListBytes)
	for _, chunked := range []bool{false, true} {
		addr, requests := startScriptedAgent(t, chunked, listText(7, 3), long, long, listText(9, 2))
		lists := make(chan List, 4)
		var log syncBuffer
		w := NewWatch(addr, &policy.Settings{}, 1, zerolog.New(&log), func(l List) { lists <- l })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { w.Run(ctx); close(done) }()
		expectRequests(t, requests, "/discovery/hosts", "/discovery/hosts?index=7&wait=3000",
			"/discovery/hosts", "/discovery/hosts", "/discovery/hosts?index=9&wait=3000")
		cancel()
		<-done
		close(lists)
		var sizes []int
		for l := range lists {
			sizes = append(sizes, len(l.Endpoints))
		}
		if fmt.Sprint(sizes) != "[3 2]" {
			t.Errorf("chunked %t: accepted lists of %v endpoints, want 3 and 2", chunked, sizes)
		}
		if n := strings.Count(log.String(), "list of endpoints too long"); n != 1 || !strings.Contains(log.String(), fmt.Sprintf(`"bytes_allowed":%d`, MaxListBytes)) {
			t.Errorf("chunked %t: logged %d times, want once with bytes_allowed:\n%s", chunked, n, log.String())
		}
	}
}

// Endpoints beyond MaxEndpoints are ignored, and the log reports it once.
func TestEndpointsOverLimitAreLogged(t *testing.T) {
	var log syncBuffer
	accepted := 0
	w := NewWatch("127.0.0.1:1", &policy.Settings{}, 1, zerolog.New(&log), func(l List) { accepted = len(l.Endpoints) })
	if err := w.Restore([]byte(listText(1, MaxEndpoints+2))); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(log.String(), "too many endpoints"); accepted != MaxEndpoints || n != 1 {
		t.Errorf("%d endpoints accepted, want %d; logged %d times, want once:\n%s", accepted, MaxEndpoints, n, log.String())
	}
}

// Discovery is silent, and recovers with a change right after a request that it never answers. For fleets of any size
// and after any number of failures, the next request must be sent early enough for its answer to report the change
// before it counts as known to the sender. Guards against a watch of 3.5 s that is followed by a pause of up to 5 s.
func TestRetryAfterTimeoutIsInTime(t *testing.T) {
	const answerTime = time.Second // for the answer to the next request
	for _, senders := range []int{1, 3, 30, 43, 44, 80, 300, 10000} {
		for _, elapsed := range []time.Duration{0, listTimeout, dialTimeout + listTimeout, watchDuration + watchGrace} {
			for _, answered := range []bool{false, true} {
				b := newBackoff(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, 1)
				worst := time.Duration(0)
				for failures := 1; failures <= 20; failures++ {
					for range 200 {
						worst = max(worst, elapsed+b.pause(failures, answered, elapsed))
					}
				}
				if worst+answerTime > maxSilence {
					t.Errorf("%d senders, request timed out after %v, answered before %t: the next one is sent %v after it was sent, too late",
						senders, elapsed, answered, worst)
				}
			}
		}
	}
}

// A process of a large fleet starts with a known list while discovery is silent. Its second request must be sent in
// time for a change to be seen before it counts as known to the sender. As TestRetryAfterTimeoutIsInTime, over sockets.
func TestSilentAgentAtStartIsRetriedInTime(t *testing.T) {
	t.Parallel()
	const watchers = 8
	var wg sync.WaitGroup
	for seed := range uint64(watchers) {
		wg.Go(func() {
			addr, requests := startAgent(t) // answers no request
			w := NewWatch(addr, &policy.Settings{Senders: 300, Subscribe: true, MaxSubscribeInterval: 10000}, seed, zerolog.Nop(), func(List) {})
			if err := w.Restore([]byte(listText(41, 1))); err != nil {
				t.Error(err)
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { w.Run(ctx); close(done) }()
			<-requests
			first := time.Now()
			<-requests
			if took := time.Since(first); took > maxSilence-500*time.Millisecond {
				t.Errorf("seed %d: the second request was sent %v after the first, want 500 ms less than maxSilence at most", seed, took)
			}
			cancel()
			<-done
		})
	}
	wg.Wait()
}
