// Package partners holds the protocol and the keys with which each destination is called, as the operators' file sets
// them. Calls may read them during a reload, which replaces the set of partners atomically.
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

// StreamsPerConn is the number of concurrent calls that the policy assumes on a connection to an HTTP/2 partner.
const StreamsPerConn = 100

// Registry holds the partners of an operators' file. It is safe for concurrent use.
type Registry struct {
	now     func() time.Time
	mu      sync.Mutex // serializes Load
	entries atomic.Pointer[map[int]*entry]
}

// entry is one partner. The TLS configuration is replaced at each Load, for further connections; the rest is constant.
type entry struct {
	settings operator.Partner
	partner  *outbound.Partner          // nil: plain HTTP/1.1
	tls      atomic.Pointer[tls.Config] // nil without TLS
}

// New returns an empty Registry. now returns the time by which certificates are checked for expiry.
func New(now func() time.Time) *Registry {
	r := &Registry{now: now}
	r.entries.Store(&map[int]*entry{})
	return r
}

// Load replaces the partners by those of an operators' file and reads all keys again. After an error nothing has
// changed. A partner whose settings are the same keeps its open connections and uses the new keys for further ones.
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
		if settings.Protocol == operator.HTTPS || settings.Protocol == operator.H2 {
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

// newEntry returns the entry of a partner, still without its TLS configuration.
func newEntry(settings operator.Partner) *entry {
	e := &entry{settings: settings}
	if settings.Protocol == operator.HTTP1 {
		return e
	}
	e.partner = &outbound.Partner{
		HTTP2: settings.Protocol == operator.H2 || settings.Protocol == operator.H2C, ServerName: settings.ServerName,
		MaxConns: settings.MaxConns, PingAfter: settings.PingAfter, PingTimeout: settings.PingTimeout,
	}
	if settings.Protocol != operator.H2C {
		e.partner.TLS = e.tls.Load
	}
	return e
}

// Lookup returns the partner of a destination. It returns nil if the destination is called over plain HTTP/1.1.
func (r *Registry) Lookup(dest int) *outbound.Partner {
	if e := (*r.entries.Load())[dest]; e != nil {
		return e.partner
	}
	return nil
}
