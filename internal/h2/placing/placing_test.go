package placing

import (
	"math/rand/v2"
	"testing"
)

func pool(set Settings, conns ...Conn) *Pool {
	p := &Pool{Settings: set}
	for _, c := range conns {
		n := p.Add()
		n.Phase, n.Limit, n.Active, n.UsedAt = c.Phase, c.Limit, c.Active, c.UsedAt
	}
	return p
}

var set = Settings{MaxConns: 3, DialThreshold: 0.9, ExpectedStreams: 100, IdleTimeout: 1000}

func TestPlace(t *testing.T) {
	for name, row := range map[string]struct {
		conns []Conn
		want  int // its number; 0: none
	}{
		"nothing":                  {nil, 0},
		"dialling":                 {[]Conn{{Phase: Dialling, Limit: 5}}, 0},
		"the busiest with room":    {[]Conn{{Phase: Open, Limit: 5, Active: 1}, {Phase: Open, Limit: 5, Active: 4}, {Phase: Open, Limit: 5, Active: 5}}, 2},
		"lowered under its use":    {[]Conn{{Phase: Open, Limit: 1, Active: 4}}, 0},
		"lowered to none":          {[]Conn{{Phase: Open, Limit: 0}}, 0},
		"draining takes none":      {[]Conn{{Phase: Draining, Limit: 5}}, 0},
		"another than the drained": {[]Conn{{Phase: Draining, Limit: 5, Active: 3}, {Phase: Open, Limit: 5}}, 2},
	} {
		got := 0
		if c := pool(set, row.conns...).Pick(); c != nil {
			got = c.ID
		}
		if got != row.want {
			t.Errorf("%s: %d, want %d", name, got, row.want)
		}
	}
}

func TestWantsDial(t *testing.T) {
	for name, row := range map[string]struct {
		conns   []Conn
		waiting int
		want    bool
	}{
		"nothing to do":                 {nil, 0, false},
		"the first":                     {nil, 1, true},
		"one is coming":                 {[]Conn{{Phase: Dialling}}, 64, false},
		"more than it will carry":       {[]Conn{{Phase: Dialling}}, 101, true},
		"room":                          {[]Conn{{Phase: Open, Limit: 100, Active: 60}}, 4, false},
		"full":                          {[]Conn{{Phase: Open, Limit: 10, Active: 10}}, 1, true},
		"ahead of the limit":            {[]Conn{{Phase: Open, Limit: 100, Active: 91}}, 0, true},
		"ahead, and one is coming":      {[]Conn{{Phase: Open, Limit: 100, Active: 91}, {Phase: Dialling}}, 0, false},
		"limit 0 asks for patience":     {[]Conn{{Phase: Open, Limit: 0}}, 9, false},
		"as many as there may be":       {[]Conn{{Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}}, 9, false},
		"a draining one does not count": {[]Conn{{Phase: Draining, Limit: 9, Active: 9}, {Phase: Open, Limit: 1, Active: 1}, {Phase: Open, Limit: 1, Active: 1}}, 1, true},
		"only draining":                 {[]Conn{{Phase: Draining, Limit: 9, Active: 9}}, 1, true},
	} {
		if got := pool(set, row.conns...).ShouldDial(row.waiting); got != row.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

func TestIdle(t *testing.T) {
	p := pool(set, Conn{Phase: Open, UsedAt: 100}, Conn{Phase: Open, UsedAt: 100, Active: 1}, Conn{Phase: Draining}, Conn{Phase: Draining, Active: 2}, Conn{Phase: Dialling})
	if list := p.Closable(1099); len(list) != 1 || list[0].ID != 3 {
		t.Errorf("%v", list)
	}
	if list := p.Closable(1100); len(list) != 2 {
		t.Errorf("%v", list)
	}
}

// Whatever peers allow, no connection carries more than that when a request is placed, there are never more
// than there may be, and a request that waits finds its place or a dial, or a reason not to.
func TestNeverOverLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		p, waiting := &Pool{Settings: set}, 0
		for range 500 {
			switch c := p.Get(1 + rng.IntN(p.next+1)); rng.IntN(6) {
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
					t.Fatalf("placed on %+v", c)
				}
				c.Active++
				waiting--
			}
			for p.ShouldDial(waiting) {
				p.Add()
			}
			open, dialling := p.count()
			if open+dialling > set.MaxConns {
				t.Fatalf("%d connections", open+dialling)
			}
			if waiting > 0 && open+dialling == 0 {
				t.Fatal("a request waits for nothing")
			}
		}
	}
}
