// Package placing assigns the requests to one endpoint to multiplexed connections: it decides which connection
// takes the next request, when to dial a further one, and which ones to close. It does no I/O, reads no clock and
// starts no goroutines. Which endpoint is called, and when, is decided beforehand by package policy.
package placing

// Settings configures the connections to one endpoint.
type Settings struct {
	MaxConns        int     // maximum number of connections
	DialThreshold   float64 // share of the streams in use above which a further connection is dialled; 0 disables it
	ExpectedStreams int     // assumed stream limit of a connection that is being dialled
	IdleTimeout     float64 // milliseconds for which a connection without streams is kept
}

// Phase is the phase of a connection's life cycle.
type Phase uint8

// Phases of a connection.
const (
	Dialling Phase = iota
	Open
	Draining // open streams continue, new ones are not accepted
)

// Conn is the state of one connection.
type Conn struct {
	ID     int
	Phase  Phase
	Limit  int     // streams that the peer permits; may be 0 temporarily
	Active int     // open streams
	UsedAt float64 // time in milliseconds at which it opened or its last stream ended
}

// FreeStreams returns the number of further streams that the connection accepts.
func (c *Conn) FreeStreams() int {
	if c.Phase != Open {
		return 0
	}
	return max(c.Limit-c.Active, 0)
}

// Pool holds the connections to one endpoint. The zero value is an empty pool. A Pool is not safe for concurrent use.
type Pool struct {
	Settings Settings
	conns    []*Conn
	lastID   int
}

// Add adds a connection in phase Dialling and returns it; the caller dials it.
func (p *Pool) Add() *Conn {
	p.lastID++
	c := &Conn{ID: p.lastID, Phase: Dialling}
	p.conns = append(p.conns, c)
	return c
}

// Remove removes the connection with the given ID, if there is one.
func (p *Pool) Remove(id int) {
	for i, c := range p.conns {
		if c.ID == id {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			return
		}
	}
}

// Get returns the connection with the given ID, or nil if there is none.
func (p *Pool) Get(id int) *Conn {
	for _, c := range p.conns {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// Len returns the number of connections in all phases.
func (p *Pool) Len() int { return len(p.conns) }

// Pick returns the connection for the next request, or nil if none has a free stream. It picks the busiest one
// with a free stream, so that the others become idle and close, which keeps the number of connections low.
func (p *Pool) Pick() *Conn {
	var best *Conn
	for _, c := range p.conns {
		if c.FreeStreams() > 0 && (best == nil || c.Active > best.Active) {
			best = c
		}
	}
	return best
}

// ShouldDial reports whether a further connection should be dialled while the given number of requests wait.
// Connections that are being dialled count with their expected streams. A peer whose stream limit is 0 asks the
// client to wait, so no second connection is dialled.
func (p *Pool) ShouldDial(waiting int) bool {
	if open, dialling := p.count(); open+dialling >= p.Settings.MaxConns || dialling > 0 && waiting <= dialling*max(p.Settings.ExpectedStreams, 1) {
		return false
	}
	free, active, limit := 0, 0, 0
	hasOpen := false
	for _, c := range p.conns {
		if c.Phase == Open {
			hasOpen = true
			free, active, limit = free+c.FreeStreams(), active+c.Active, limit+c.Limit
		}
	}
	switch {
	case !hasOpen:
		return waiting > 0
	case limit == 0:
		return false
	case waiting > free:
		return true
	}
	_, dialling := p.count()
	return dialling == 0 && p.Settings.DialThreshold > 0 && float64(active+waiting) > p.Settings.DialThreshold*float64(limit)
}

// count returns the numbers of open and of dialling connections. Draining ones are not counted, since they accept
// no new streams.
func (p *Pool) count() (open, dialling int) {
	for _, c := range p.conns {
		switch c.Phase {
		case Open:
			open++
		case Dialling:
			dialling++
		}
	}
	return open, dialling
}

// Closable returns the connections to close: those without open streams that are draining or have been unused for
// IdleTimeout. now is in milliseconds.
func (p *Pool) Closable(now float64) (list []*Conn) {
	for _, c := range p.conns {
		if c.Active == 0 && (c.Phase == Draining || c.Phase == Open && now-c.UsedAt >= p.Settings.IdleTimeout) {
			list = append(list, c)
		}
	}
	return list
}
