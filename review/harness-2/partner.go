package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// run is one message that reached an endpoint.
type run struct {
	endpoint, id, key string
	at                time.Time
	status            int
}

// partners is the ledger of all endpoints.
type partners struct {
	rec  *record
	mu   sync.Mutex
	runs []run
	all  []*endpoint
}

// endpoint is one endpoint of a partner. It answers a call after its service time.
type endpoint struct {
	server  server
	ledger  *partners
	http    *httptest.Server
	service time.Duration
	// answer, if set, decides on a call in place of 200. It may block.
	answer func(w http.ResponseWriter, q *http.Request, id string) (status int)
}

func (p *partners) start(id, kind string, dest int, service time.Duration) *endpoint {
	e := &endpoint{ledger: p, service: service}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", e.serveOne)
	mux.HandleFunc("POST /inbox/bulk", e.serveBulk)
	e.http = httptest.NewServer(mux)
	e.server = server{ID: id, Addr: e.http.Listener.Addr().String(), Zone: "a", Kind: kind, Cell: dest, State: "up", Weight: 50}
	p.mu.Lock()
	p.all = append(p.all, e)
	p.mu.Unlock()
	return e
}

func (p *partners) servers() (list []server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.all {
		list = append(list, e.server)
	}
	return list
}

func (p *partners) add(r run) {
	p.mu.Lock()
	p.runs = append(p.runs, r)
	p.mu.Unlock()
	p.rec.printf("call at %s of %s: %d", r.endpoint, r.id, r.status)
}

// since returns the calls that an endpoint has received after a time.
func (p *partners) since(endpoint string, at time.Time) (list []run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.endpoint == endpoint && r.at.After(at) {
			list = append(list, r)
		}
	}
	return list
}

func (e *endpoint) serveOne(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	at, id, key := time.Now(), q.Header.Get("X-Trace-Id"), q.Header.Get("Idempotency-Key")
	status := 200
	if e.answer != nil {
		status = e.answer(w, q, id)
	} else {
		time.Sleep(e.service)
	}
	e.ledger.add(run{endpoint: e.server.ID, id: id, key: key, at: at, status: status})
	if status > 0 {
		w.WriteHeader(status)
	}
}

func (e *endpoint) serveBulk(w http.ResponseWriter, q *http.Request) {
	type item struct {
		ID    string `json:"id"`
		Key   string `json:"key,omitempty"`
		State string `json:"state,omitempty"`
	}
	var items []item
	if err := json.NewDecoder(q.Body).Decode(&items); err != nil || len(items) == 0 {
		w.WriteHeader(400)
		return
	}
	at := time.Now()
	time.Sleep(e.service)
	for i := range items {
		e.ledger.add(run{endpoint: e.server.ID, id: items[i].ID, key: items[i].Key, at: at, status: 200})
		items[i].State, items[i].Key = "accepted", ""
	}
	json.NewEncoder(w).Encode(items)
}

func (p *partners) close() {
	for _, e := range p.all {
		e.http.CloseClientConnections()
		go e.http.Close()
	}
}

// byID returns all calls by message, in order.
func (p *partners) byID() map[string][]run {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string][]run{}
	for _, r := range p.runs {
		m[r.id] = append(m[r.id], r)
	}
	return m
}
