package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// server is an entry of discovery's list.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// notice is the end of a message, as told to the platform.
type notice struct {
	Message, Outcome string
	Retry            int `json:"retry_in_ms"`
	at               time.Time
}

// platform is the discovery agent: it serves the list and takes notices.
type platform struct {
	http *httptest.Server
	rec  *record

	mu      sync.Mutex
	version int
	servers []server
	changed chan struct{}
	notices map[string][]notice
}

func newPlatform(rec *record) *platform {
	p := &platform{rec: rec, version: 1, changed: make(chan struct{}), notices: map[string][]notice{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.serveList)
	mux.HandleFunc("POST /v1/outcomes", p.serveNotices)
	p.http = httptest.NewServer(mux)
	return p
}

func (p *platform) addr() string { return p.http.Listener.Addr().String() }

// list returns the whole list in discovery's form.
func (p *platform) list() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"version": p.version, "full": true, "servers": append([]server(nil), p.servers...)}
}

// update changes the list and publishes it as a new version.
func (p *platform) update(change func(servers []server) []server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = change(p.servers)
	p.version++
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveList answers a request for the list, or a watch as soon as there is a newer version.
func (p *platform) serveList(w http.ResponseWriter, q *http.Request) {
	index, err := strconv.Atoi(q.FormValue("index"))
	watch := err == nil
	wait, _ := strconv.Atoi(q.FormValue("wait"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for watch {
		p.mu.Lock()
		newer, changed := p.version != index, p.changed
		p.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-changed:
			continue
		case <-q.Context().Done():
			return
		case <-end:
			fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`, index)
			return
		}
	}
	json.NewEncoder(w).Encode(p.list())
}

func (p *platform) serveNotices(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	var list []notice
	for lines := bufio.NewScanner(q.Body); lines.Scan(); {
		n := notice{at: now}
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			p.rec.printf("notice that cannot be read: %q", lines.Text())
			w.WriteHeader(400)
			return
		}
		list = append(list, n)
	}
	p.mu.Lock()
	for _, n := range list {
		p.notices[n.Message] = append(p.notices[n.Message], n)
	}
	p.mu.Unlock()
	for _, n := range list {
		p.rec.printf("notice %s %s", n.Message, n.Outcome)
	}
	w.WriteHeader(204)
}
