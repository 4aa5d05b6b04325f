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

// listOf is a whole list of so many endpoints, each of a destination of its own.
func listOf(version, endpoints int) string {
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

// scriptedAgent answers each ask with the next of its bodies, chunked if it says so, and is silent after the last.
func scriptedAgent(t *testing.T, chunked bool, bodies ...string) (addr string, asked <-chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asks := make(chan string, 64)
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
			asks <- request.URL.RequestURI()
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
	return ln.Addr().String(), asks
}

// syncBuffer is a log that the test reads while the watch writes it.
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

// A list of some 500 endpoints and more is over the bound of other bodies (http1.MaxBody). It was taken for silence:
// the log said that discovery does not answer, and the sender served nobody.
func TestALongListIsTaken(t *testing.T) {
	const endpoints = 5000
	for _, chunked := range []bool{false, true} {
		addr, _ := scriptedAgent(t, chunked, listOf(7, endpoints))
		lists := make(chan List, 1)
		w := NewWatch(addr, &policy.Settings{}, 1, zerolog.Nop(), func(l List) { lists <- l })
		if err := w.once(context.Background()); err != nil {
			t.Fatalf("chunked %t: %v", chunked, err)
		}
		if l := <-lists; !l.Full || len(l.Endpoints) != endpoints {
			t.Errorf("chunked %t: %d endpoints, want %d", chunked, len(l.Endpoints), endpoints)
		}
		w.agent.close()
	}
}

// A list over MaxList is not taken, whichever way its length is told. The log says what is too long and what is
// allowed, once, nothing that was known is taken away, and a list that fits is taken afterwards.
func TestAListPastTheBoundChangesNothing(t *testing.T) {
	long := listOf(8, 1) + strings.Repeat(" ", MaxList)
	for _, chunked := range []bool{false, true} {
		addr, asked := scriptedAgent(t, chunked, listOf(7, 3), long, long, listOf(9, 2))
		lists := make(chan List, 4)
		var log syncBuffer
		w := NewWatch(addr, &policy.Settings{}, 1, zerolog.New(&log), func(l List) { lists <- l })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { w.Run(ctx); close(done) }()
		expect(t, asked, "/discovery/hosts", "/discovery/hosts?index=7&wait=3000", "/discovery/hosts", "/discovery/hosts", "/discovery/hosts?index=9&wait=3000")
		cancel()
		<-done
		close(lists)
		var sizes []int
		for l := range lists {
			sizes = append(sizes, len(l.Endpoints))
		}
		if fmt.Sprint(sizes) != "[3 2]" {
			t.Errorf("chunked %t: lists of %v endpoints were taken, want 3 and 2", chunked, sizes)
		}
		if n := strings.Count(log.String(), "list of endpoints too long"); n != 1 || !strings.Contains(log.String(), fmt.Sprintf(`"bytes_allowed":%d`, MaxList)) {
			t.Errorf("chunked %t: said %d times:\n%s", chunked, n, log.String())
		}
	}
}

// An endpoint past the number that are known is passed over, and the log says so once.
func TestEndpointsPastTheBoundAreReported(t *testing.T) {
	var log syncBuffer
	taken := 0
	w := NewWatch("127.0.0.1:1", &policy.Settings{}, 1, zerolog.New(&log), func(l List) { taken = len(l.Endpoints) })
	if err := w.Restore([]byte(listOf(1, MaxEndpoints+2))); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(log.String(), "too many endpoints"); taken != MaxEndpoints || n != 1 {
		t.Errorf("%d endpoints taken, want %d; said %d times:\n%s", taken, MaxEndpoints, n, log.String())
	}
}

// Discovery is silent and comes back with a change just behind an ask that it never answers: the next ask is out
// in time for its answer to bring the change before it counts as told, for fleets of any size, after any number of
// failures. A watch was out for 3.5 s, and a pause of up to 5 s followed.
func TestAnAskAfterASilentOneComesInTime(t *testing.T) {
	const answer = time.Second
	for _, senders := range []int{1, 3, 30, 43, 44, 80, 300, 10000} {
		for _, spent := range []time.Duration{0, listTimeout, dialTimeout + listTimeout, watchFor + watchGrace} {
			for _, answered := range []bool{false, true} {
				p := newPace(&policy.Settings{Senders: senders, Subscribe: true, MaxSubscribeInterval: 10000}, 1)
				worst := time.Duration(0)
				for failures := 1; failures <= 20; failures++ {
					for range 200 {
						worst = max(worst, spent+p.next(failures, answered, spent))
					}
				}
				if worst+answer > silenceMost {
					t.Errorf("%d senders, an ask out for %v, answered before %t: the next one is out %v after it", senders, spent, answered, worst)
				}
			}
		}
	}
}

// The same on sockets: a process of a large fleet starts with a known list while discovery is silent.
func TestSilentAtTheStartIsAskedAgainInTime(t *testing.T) {
	t.Parallel()
	const watchers = 8
	var wait sync.WaitGroup
	for seed := range uint64(watchers) {
		wait.Go(func() {
			addr, asked := agent(t) // silent from the first ask on
			w := NewWatch(addr, &policy.Settings{Senders: 300, Subscribe: true, MaxSubscribeInterval: 10000}, seed, zerolog.Nop(), func(List) {})
			if err := w.Restore([]byte(listOf(41, 1))); err != nil {
				t.Error(err)
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { w.Run(ctx); close(done) }()
			<-asked
			first := time.Now()
			<-asked
			if took := time.Since(first); took > silenceMost-500*time.Millisecond {
				t.Errorf("seed %d: the second ask is out %v after the first", seed, took)
			}
			cancel()
			<-done
		})
	}
	wait.Wait()
}
