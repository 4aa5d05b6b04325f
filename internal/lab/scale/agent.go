package scale

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// agent is the discovery agent of a run, with one endpoint for each destination. An endpoint's weight carries the
// number of its last change, so that members can report which changes they have applied.
type agent struct {
	listener net.Listener
	server   *http.Server

	mu                  sync.Mutex    // guards the fields below, except destinations
	destinations        int           // number of destinations; never changes
	lastChange          []int         // indexed by destination: the number of its last change
	changedDestinations []int         // indexed by change number, from 1: the changed destination
	changeSignal        chan struct{} // closed and replaced at each change
}

// newAgent starts an agent that serves a list of the given number of destinations.
func newAgent(destinations int) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{listener: listener, destinations: destinations, lastChange: make([]int, destinations), changedDestinations: []int{0}, changeSignal: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(listener)
	return a, nil
}

func (a *agent) addr() string { return a.listener.Addr().String() }

func (a *agent) close() { a.server.Close() }

// change changes a destination's endpoint and returns the change's number, from 1.
func (a *agent) change(destination int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	number := len(a.changedDestinations)
	a.changedDestinations = append(a.changedDestinations, destination)
	a.lastChange[destination] = number
	close(a.changeSignal)
	a.changeSignal = make(chan struct{})
	return number
}

// writeEndpoint writes a destination's endpoint as JSON. The caller holds mu.
func (a *agent) writeEndpoint(b *strings.Builder, destination int) {
	fmt.Fprintf(b, `{"id":"endpoint-%07d","addr":"127.0.0.1:9","zone":"zone","kind":"partner","cell":%d,"state":"up","weight":%d}`, destination, destination, a.lastChange[destination])
}

// serve answers requests for the endpoint list, with a long poll for updates after a given version. The first version
// is 1, and each change increments it.
func (a *agent) serve(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/discovery/hosts" {
		w.WriteHeader(http.StatusNoContent) // notices are accepted and ignored
		return
	}
	index, _ := strconv.Atoi(request.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		a.mu.Lock()
		version, changed := len(a.changedDestinations), a.changeSignal
		if index == 0 || index < version {
			text := a.listSince(index)
			a.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.Write([]byte(text))
			return
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-end:
			fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`, version)
			return
		}
	}
}

// listSince returns the response with the endpoints changed since a version, or with the whole list if the version is
// 0. The caller holds mu.
func (a *agent) listSince(index int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"full":%t,"servers":[`, len(a.changedDestinations), index == 0)
	if index == 0 {
		for d := range a.destinations {
			if d > 0 {
				b.WriteByte(',')
			}
			a.writeEndpoint(&b, d)
		}
	} else {
		for i, d := range a.changedDestinations[index:] {
			if i > 0 {
				b.WriteByte(',')
			}
			a.writeEndpoint(&b, d)
		}
	}
	b.WriteString("]}")
	return b.String()
}
