package outbound

import "time"

// dialPacer spaces the connections that are opened to one destination.
type dialPacer struct {
	interval time.Duration // between two turns
	nextAt   time.Time     // the first free turn
}

// PaceDials limits the new connections to the endpoints of a destination to perSecond, evenly spaced; 0 removes the
// limit. Over HTTP/1.1, a call waits for its turn, and then uses an idle connection instead of a new one if there is
// one by then. Over HTTP/2, it takes a free stream as soon as there is one. Without a limit, a partner that recovers
// from an outage would get a handshake for each waiting call (HTTP/1.1), or several from each sender at once (HTTP/2).
func (p *Pool) PaceDials(dest int, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if perSecond <= 0 {
		delete(p.dialPacers, dest)
		return
	}
	d := p.dialPacers[dest]
	if d == nil {
		d = &dialPacer{}
		p.dialPacers[dest] = d
	}
	d.interval = time.Duration(float64(time.Second) / perSecond)
}

// dialTurn takes the next turn to open a connection to a destination, and returns the time until then; 0 if its dials
// are not paced.
func (p *Pool) dialTurn(dest int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.dialPacers[dest]
	if d == nil {
		return 0
	}
	now := time.Now()
	if d.nextAt.Before(now) {
		d.nextAt = now
	}
	wait := d.nextAt.Sub(now)
	d.nextAt = d.nextAt.Add(d.interval)
	return wait
}
