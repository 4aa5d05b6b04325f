package placing

import (
	"math/rand/v2"
	"testing"
)

// newPool returns a pool with copies of the connections. Their IDs count from 1.
func newPool(set Settings, conns ...Conn) *Pool {
	p := &Pool{Settings: set}
	for _, c := range conns {
		n := p.Add()
		n.Phase, n.Limit, n.Active, n.UsedAt = c.Phase, c.Limit, c.Active, c.UsedAt
	}
	return p
}

var testSettings = Settings{MaxConns: 3, DialThreshold: 0.9, ExpectedStreams: 100, IdleTimeout: 1000}

// Guards against a request on a connection that is not open or has no free stream, and against requests that are spread
// over more connections than needed.
func TestPick(t *testing.T) {
	for name, tc := range map[string]struct {
		conns []Conn
		want  int // ID of the connection; 0 for none
	}{
		"nothing":                     {nil, 0},
		"dialling":                    {[]Conn{{Phase: Dialling, Limit: 5}}, 0},
		"busiest with capacity":       {[]Conn{{Phase: Open, Limit: 5, Active: 1}, {Phase: Open, Limit: 5, Active: 4}, {Phase: Open, Limit: 5, Active: 5}}, 2},
		"limit below its streams":     {[]Conn{{Phase: Open, Limit: 1, Active: 4}}, 0},
		"limit of 0":                  {[]Conn{{Phase: Open, Limit: 0}}, 0},
		"draining accepts none":       {[]Conn{{Phase: Draining, Limit: 5}}, 0},
		"other than the draining one": {[]Conn{{Phase: Draining, Limit: 5, Active: 3}, {Phase: Open, Limit: 5}}, 2},
	} {
		got := 0
		if c := newPool(testSettings, tc.conns...).Pick(); c != nil {
			got = c.ID
		}
		if got != tc.want {
			t.Errorf("%s: picked %d, want %d", name, got, tc.want)
		}
	}
}

// Guards against more dials than the waiting requests need or MaxConns permits, and against requests that wait although
// a further connection is permitted.
func TestShouldDial(t *testing.T) {
	for name, tc := range map[string]struct {
		conns   []Conn
		waiting int
		want    bool
	}{
		"nothing waits":                     {nil, 0, false},
		"first connection":                  {nil, 1, true},
		"one is being dialled":              {[]Conn{{Phase: Dialling}}, 64, false},
		"more than it is expected to carry": {[]Conn{{Phase: Dialling}}, 101, true},
		"room":                              {[]Conn{{Phase: Open, Limit: 100, Active: 60}}, 4, false},
		"full":                              {[]Conn{{Phase: Open, Limit: 10, Active: 10}}, 1, true},
		"above the threshold":               {[]Conn{{Phase: Open, Limit: 100, Active: 91}}, 0, true},
		"above the threshold, one is being dialled": {[]Conn{{Phase: Open, Limit: 100, Active: 91}, {Phase: Dialling}}, 0, false},
		"limit 0 means wait":                        {[]Conn{{Phase: Open, Limit: 0}}, 9, false},
		"maximum reached":                           {[]Conn{{Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}}, 9, false},
		"a draining one does not count":             {[]Conn{{Phase: Draining, Limit: 9, Active: 9}, {Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}}, 1, true},
		"only draining":                             {[]Conn{{Phase: Draining, Limit: 9, Active: 9}}, 1, true},
	} {
		if got := newPool(testSettings, tc.conns...).ShouldDial(tc.waiting); got != tc.want {
			t.Errorf("%s: ShouldDial returned %t, want the opposite", name, got)
		}
	}
}

// Guards against closing a connection that has open streams, is being dialled or has not been idle for IdleTimeout, and
// against keeping one that may be closed.
func TestClosable(t *testing.T) {
	p := newPool(testSettings, Conn{Phase: Open, UsedAt: 100}, Conn{Phase: Open, UsedAt: 100, Active: 1}, Conn{Phase: Draining}, Conn{Phase: Draining, Active: 2}, Conn{Phase: Dialling})
	if list := p.Closable(1099); len(list) != 1 || list[0].ID != 3 {
		t.Errorf("%v", list)
	}
	if list := p.Closable(1100); len(list) != 2 {
		t.Errorf("%v", list)
	}
}

// Checks, under random changes of limits, streams and phases, that no request is placed on a connection that has
// reached its limit, that no more than MaxConns connections are open or dialling, and that a request never waits
// without an open or dialling connection.
func TestNeverOverLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		p, waiting := &Pool{Settings: testSettings}, 0
		for range 500 {
			switch c := p.Get(1 + rng.IntN(p.lastID+1)); rng.IntN(6) {
			case 0, 1:
				waiting++
			case 2:
				if c != nil && c.Phase != Draining {
					c.Phase, c.Limit = Open, rng.IntN(4)
				}
			case 3:
				if c != nil && c.Active > 0 {
					c.Active--
				}
			case 4:
				if c != nil && c.Phase == Open {
					c.Phase = Draining
				}
			case 5:
				if c != nil && rng.IntN(4) == 0 {
					p.Remove(c.ID)
				}
			}
			for waiting > 0 {
				c := p.Pick()
				if c == nil {
					break
				}
				if c.Phase != Open || c.Active >= c.Limit {
					t.Fatalf("request placed on %+v, which is not open or has no free stream", c)
				}
				c.Active++
				waiting--
			}
			for p.ShouldDial(waiting) {
				p.Add()
			}
			open, dialling := p.count()
			if open+dialling > testSettings.MaxConns {
				t.Fatalf("%d connections are open or dialling, more than MaxConns", open+dialling)
			}
			if waiting > 0 && open+dialling == 0 {
				t.Fatal("a request waits without an open or dialling connection")
			}
		}
	}
}
