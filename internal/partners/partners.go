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
	now  func() time.Time
	mu   sync.Mutex // over Load
	list atomic.Pointer[map[int]*entry]
}

type entry struct {
	set operator.Partner
	out *outbound.Partner
	tls atomic.Pointer[tls.Config]
}

// New returns an empty Registry. now is the time that certificates are judged by.
func New(now func() time.Time) *Registry {
	b := &Registry{now: now}
	b.list.Store(&map[int]*entry{})
	return b
}

// Load takes the partners of an operators' file; keys are read again. An error changes nothing. A partner
// that is set as before keeps its connections, with the new keys for the next ones.
func (b *Registry) Load(list []operator.Partner) ([]keys.Warning, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.list.Load()
	fresh := make(map[int]*entry, len(list))
	read := make(map[int]*tls.Config, len(list))
	var warnings []keys.Warning
	for _, set := range list {
		e := old[set.Dest]
		if e == nil || e.set != set {
			e = newEntry(set)
		}
		if set.Protocol == operator.TLS || set.Protocol == operator.H2 {
			cfg, w, err := keys.Load(keys.Files{CA: set.CA, Cert: set.Cert, Key: set.Key}, b.now())
			if err != nil {
				return nil, fmt.Errorf("partner of destination %d: %w", set.Dest, err)
			}
			read[set.Dest] = cfg
			warnings = append(warnings, w...)
		}
		fresh[set.Dest] = e
	}
	for dest, cfg := range read {
		fresh[dest].tls.Store(cfg)
	}
	b.list.Store(&fresh)
	return warnings, nil
}

func newEntry(set operator.Partner) *entry {
	e := &entry{set: set}
	if set.Protocol == operator.Plain {
		return e
	}
	e.out = &outbound.Partner{
		HTTP2: set.Protocol == operator.H2 || set.Protocol == operator.H2C, ServerName: set.ServerName,
		MaxConns: set.MaxConns, PingAfter: set.PingAfter, PingTimeout: set.PingFor,
	}
	if set.Protocol != operator.H2C {
		e.out.TLS = e.tls.Load
	}
	return e
}

// Lookup returns how a destination is reached; nil: by plain HTTP/1.1.
func (b *Registry) Lookup(dest int) *outbound.Partner {
	if e := (*b.list.Load())[dest]; e != nil {
		return e.out
	}
	return nil
}
