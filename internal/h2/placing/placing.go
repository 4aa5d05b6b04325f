// Package placing decides where requests to one endpoint go when connections carry many at once: how many
// connections there are, which takes the next request, when a further one is dialled, which is closed. It
// is pure: no I/O, no clock, no goroutines. Which endpoint is called, and when, the decision module has
// decided before.
package placing

// Settings bound the connections to one endpoint.
type Settings struct {
	MaxConns        int     // connections at most
	DialThreshold   float64 // share of the streams in use above which a further connection is dialled
	ExpectedStreams int     // streams that a connection is taken to carry before its peer has said
	IdleTimeout     float64 // milliseconds that a connection without streams is kept
}

// Phase is where a connection stands.
type Phase uint8

// The phases.
const (
	Dialling Phase = iota
	Open
	Draining // its streams go on, none is new
)

// Conn is what is known of one connection.
type Conn struct {
	ID     int
	Phase  Phase
	Limit  int // streams that the peer allows; it may be 0 for a while
	Active int
	UsedAt float64 // when its last stream ended, or it came up
}

// Room is how many more streams it takes.
func (c *Conn) FreeStreams() int {
	if c.Phase != Open {
		return 0
	}
	return max(c.Limit-c.Active, 0)
}

// Pool is the connections to one endpoint. Its zero value has none.
type Pool struct {
	Settings Settings
	conns    []*Conn
	next     int
}

// Dial enters a connection that is being dialled.
func (p *Pool) Add() *Conn {
	p.next++
	c := &Conn{ID: p.next, Phase: Dialling}
	p.conns = append(p.conns, c)
	return c
}

// Drop takes a connection out.
func (p *Pool) Remove(id int) {
	for i, c := range p.conns {
		if c.ID == id {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			return
		}
	}
}

// Get is the connection of that number, nil if there is none.
func (p *Pool) Get(id int) *Conn {
	for _, c := range p.conns {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// Len is how many connections there are.
func (p *Pool) Len() int { return len(p.conns) }

// Place returns the connection that takes the next request, nil if none has room. The busiest that has
// room takes it, so that the others fall idle and close: few connections are what this is for.
func (p *Pool) Pick() *Conn {
	var best *Conn
	for _, c := range p.conns {
		if c.FreeStreams() > 0 && (best == nil || c.Active > best.Active) {
			best = c
		}
	}
	return best
}

// WantsDial reports whether a further connection is to be dialled, with so many requests waiting. Those
// that are being dialled count for what they are expected to carry. A peer that allows no streams just now
// asks for patience, not for a second connection.
func (p *Pool) ShouldDial(waiting int) bool {
	if live, dialling := p.count(); live+dialling >= p.Settings.MaxConns || dialling > 0 && waiting <= dialling*max(p.Settings.ExpectedStreams, 1) {
		return false
	}
	room, active, limit := 0, 0, 0
	open := false
	for _, c := range p.conns {
		if c.Phase == Open {
			open = true
			room, active, limit = room+c.FreeStreams(), active+c.Active, limit+c.Limit
		}
	}
	switch {
	case !open:
		return waiting > 0
	case limit == 0:
		return false
	case waiting > room:
		return true
	}
	_, dialling := p.count()
	return dialling == 0 && p.Settings.DialThreshold > 0 && float64(active+waiting) > p.Settings.DialThreshold*float64(limit)
}

// count tells connections that carry new streams, or soon will. One that drains is on its way out.
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

// Idle returns the connections to close: without streams, and draining or unused for too long.
func (p *Pool) Closable(now float64) (list []*Conn) {
	for _, c := range p.conns {
		if c.Active == 0 && (c.Phase == Draining || c.Phase == Open && now-c.UsedAt >= p.Settings.IdleTimeout) {
			list = append(list, c)
		}
	}
	return list
}
