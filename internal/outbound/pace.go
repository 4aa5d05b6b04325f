package outbound

import "time"

// dialPace spaces the connections that are opened to one destination.
type dialPace struct {
	every time.Duration
	next  time.Time // the first turn that is free
}

// PaceDials lets no more than that many new connections a second be opened to the endpoints of a destination,
// evenly spaced; 0 ends it. Calls wait for their turn, or for a connection that becomes idle before it. A
// partner that comes back cold would else get a handshake for each call that has waited (HTTP/1.1), or several
// from each sender at once (HTTP/2).
func (p *Pool) PaceDials(dest int, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if perSecond <= 0 {
		delete(p.pace, dest)
		return
	}
	d := p.pace[dest]
	if d == nil {
		d = &dialPace{}
		p.pace[dest] = d
	}
	d.every = time.Duration(float64(time.Second) / perSecond)
}

// dialTurn takes the next turn to open a connection to a destination, and returns how long it is until then.
func (p *Pool) dialTurn(dest int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.pace[dest]
	if d == nil {
		return 0
	}
	now := time.Now()
	if d.next.Before(now) {
		d.next = now
	}
	wait := d.next.Sub(now)
	d.next = d.next.Add(d.every)
	return wait
}
