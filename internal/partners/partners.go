// Package partners holds how each destination is reached, as the operators' file says: the protocol and the
// keys. It is read while calls are made and replaced as a whole on a reload.
package partners

import (
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sliptide/internal/keys"
	"sliptide/internal/operator"
	"sliptide/internal/outbound"
)

// StreamsPerConn is how many calls the decision module takes a connection to an HTTP/2 partner to carry.
const StreamsPerConn = 100

// Registry is the partners of one operators' file. It is safe for concurrent use.
type Registry struct {
	now     func() time.Time
	mu      sync.Mutex // over Load
	entries atomic.Pointer[map[int]*entry]
}

type entry struct {
	settings operator.Partner
	partner  *outbound.Partner
	tls      atomic.Pointer[tls.Config]
}

// New returns an empty Registry. now is the time that certificates are judged by.
func New(now func() time.Time) *Registry {
	r := &Registry{now: now}
	r.entries.Store(&map[int]*entry{})
	return r
}

// Load takes the partners of an operators' file; keys are read again. An error changes nothing. A partner
// that is set as before keeps its connections, with the new keys for the next ones.
func (r *Registry) Load(list []operator.Partner) ([]keys.Warning, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.entries.Load()
	next := make(map[int]*entry, len(list))
	loaded := make(map[int]*tls.Config, len(list))
	var warnings []keys.Warning
	for _, settings := range list {
		e := old[settings.Dest]
		if e == nil || e.settings != settings {
			e = newEntry(settings)
		}
		if settings.Protocol == operator.TLS || settings.Protocol == operator.H2 {
			cfg, w, err := keys.Load(keys.Files{CA: settings.CA, Cert: settings.Cert, Key: settings.Key}, r.now())
			if err != nil {
				return nil, fmt.Errorf("partner of destination %d: %w", settings.Dest, err)
			}
			loaded[settings.Dest] = cfg
			warnings = append(warnings, w...)
		}
		next[settings.Dest] = e
	}
	for dest, cfg := range loaded {
		next[dest].tls.Store(cfg)
	}
	r.entries.Store(&next)
	return warnings, nil
}

func newEntry(settings operator.Partner) *entry {
	e := &entry{settings: settings}
	if settings.Protocol == operator.Plain {
		return e
	}
	e.partner = &outbound.Partner{
		HTTP2: settings.Protocol == operator.H2 || settings.Protocol == operator.H2C, ServerName: settings.ServerName,
		MaxConns: settings.MaxConns, PingAfter: settings.PingAfter, PingTimeout: settings.PingFor,
	}
	if settings.Protocol != operator.H2C {
		e.partner.TLS = e.tls.Load
	}
	return e
}

// Lookup returns how a destination is reached; nil: by plain HTTP/1.1.
func (r *Registry) Lookup(dest int) *outbound.Partner {
	if e := (*r.entries.Load())[dest]; e != nil {
		return e.partner
	}
	return nil
}
