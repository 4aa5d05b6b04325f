package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Listed is an entry of discovery's list.
type Listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Notice is one notice that the platform has received.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
	At      time.Time
}

// Platform is a stand-in for the discovery agent, which also takes the notices.
type Platform struct {
	Addr string

	lab     *Lab
	mu      sync.Mutex
	version int
	hosts   map[string]Listed
	changed map[string]int // version of the last change, by id
	news    chan struct{}  // closed at the next change
	notices []Notice
}

// NewPlatform starts a Platform with the given list.
func (l *Lab) NewPlatform(hosts ...Listed) *Platform {
	ln, err := net.Listen("tcp", l.Host+":0")
	if err != nil {
		l.Fail("discovery: %v", err)
	}
	p := &Platform{Addr: ln.Addr().String(), lab: l, version: 1, hosts: map[string]Listed{}, changed: map[string]int{}, news: make(chan struct{})}
	for _, h := range hosts {
		p.hosts[h.ID], p.changed[h.ID] = h, 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", p.serveList)
	mux.HandleFunc("POST /v1/outcomes", p.serveNotices)
	server := &http.Server{Handler: mux}
	go server.Serve(ln)
	l.AtEnd(func() { server.Close() })
	return p
}

// Set changes an entry of the list. An entry in state removed leaves the list and shows among the changes.
func (p *Platform) Set(h Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.hosts[h.ID], p.changed[h.ID] = h, p.version
	close(p.news)
	p.news = make(chan struct{})
	p.lab.Note("discovery: version %d: %s at %s of destination %d is %s", p.version, h.ID, h.Addr, h.Cell, h.State)
}

type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Listed `json:"servers"`
}

// since returns the changes after a version; the whole list for version 0. The lock must be held.
func (p *Platform) since(version int, full bool) list {
	answer := list{Version: p.version, Full: full, Servers: []Listed{}}
	for id, h := range p.hosts {
		if full && h.State != "removed" || !full && p.changed[id] > version {
			answer.Servers = append(answer.Servers, h)
		}
	}
	slices.SortFunc(answer.Servers, func(a, b Listed) int { return strings.Compare(a.ID, b.ID) })
	return answer
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	full := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		answer, news := p.since(index, full), p.news
		waiting := !full && p.version <= index
		p.mu.Unlock()
		if waiting {
			select {
			case <-news:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		body, _ := json.Marshal(answer)
		for _, h := range answer.Servers {
			p.lab.Note("discovery: told %s: %s is %s (version %d)", r.RemoteAddr, h.ID, h.State, answer.Version)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
		return
	}
}

func (p *Platform) serveNotices(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var batch []Notice
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		var n Notice
		if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
			w.WriteHeader(400)
			return
		}
		n.At = time.Now()
		batch = append(batch, n)
		p.lab.Note("platform: notice %s for %s from %s", n.Outcome, n.Message, r.RemoteAddr)
	}
	p.mu.Lock()
	p.notices = append(p.notices, batch...)
	p.mu.Unlock()
	w.WriteHeader(204)
}

// Notices returns the notices for a message, in the order of their arrival.
func (p *Platform) Notices(message string) (list []Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.notices {
		if n.Message == message {
			list = append(list, n)
		}
	}
	return list
}
