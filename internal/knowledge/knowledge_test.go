package knowledge

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"sliptide/internal/operator"
	"sliptide/policy"
)

const now = 1.8e12

var halves = operator.Default().Knowledge.HalfLives

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

func TestWeight(t *testing.T) {
	for age, want := range map[float64]float64{0: 1, 60e3: 0.5, 120e3: 0.25, 7 * 86400e3: 0, -50: 1, -maxClockSkew - 1: 0.5} {
		if got := Weight(age, time.Minute); !near(got, want) {
			t.Errorf("age %v: %v, want %v", age, got, want)
		}
	}
}

// A wait never shortens another, and no clock that was set back makes one longer than it was told.
func TestWaits(t *testing.T) {
	b := New("n0")
	r := Route{Dest: 3}
	told := func(at, until int64) Wait { return Wait{Route: r, ReceivedAt: now + at, Until: now + until} }
	if !b.AddWait(told(0, 500)) || b.AddWait(told(10, 400)) || b.AddWait(told(20, 20)) || !b.AddWait(told(30, 900)) {
		t.Error("which waits bind")
	}
	for clock, left := range map[float64]float64{now + 30: 870, now + 899: 1, now + 901: -1, now - 3600e3: 870} {
		if got := b.Waits[r].End(clock) - clock; got != left {
			t.Errorf("at %v: %v left, want %v", clock-now, got, left)
		}
	}
	b.Expire(now+900, halves)
	if len(b.Waits) != 0 {
		t.Error("a wait that is over is kept")
	}
}

func dest(n int, at float64, eps ...Endpoint) *Destination {
	return &Destination{
		Dest: n, LearnedAt: at, Admission: policy.InitialAdmission(), Endpoints: eps,
		SharedRoute: &policy.RouteFacts{AdvertisedLimit: 10, LimitReported: true, Pace: 8, LastOK: at, CallRate: 4},
		Latency:     policy.LatencyFacts{Mean: 300, Dev: 50, N: 40},
	}
}

func endpoint(name string, at float64, h policy.Health) Endpoint {
	return Endpoint{Name: name, LearnedAt: at, EndpointFacts: policy.EndpointFacts{
		Health: h, Failures: 4, LastFailure: at - 100, OpenedAt: at - 2000, NextTrial: at + 700, RampStart: at - 1000, RateBeforeOutage: 2, LastOK: at - 3000}}
}

// What is learned replaces what was known; an endpoint that is not named again stays for a while.
func TestLearnMerges(t *testing.T) {
	b := New("n0")
	b.MergeDestination(dest(1, now, endpoint("a", now, policy.Broken), endpoint("b", now, policy.Healthy)))
	b.MergeDestination(dest(1, now+10, endpoint("b", now+10, policy.Ramping), endpoint("c", now+10, policy.Healthy)))
	b.MergeDestination(dest(1, now+5, endpoint("c", now+5, policy.Broken))) // comes late
	d := b.Dests[1]
	got := ""
	for _, e := range d.Endpoints {
		got += fmt.Sprint(e.Name, e.Health, e.LearnedAt-now, " ")
	}
	if got != "a1 0 b2 10 c0 10 " || d.LearnedAt != now+10 {
		t.Errorf("%s at %v", got, d.LearnedAt-now)
	}
	c := b.Clone()
	if !reflect.DeepEqual(b, c) {
		t.Error("a clone differs")
	}
}

// A limit fades towards the list's rating, in proportion.
func TestLimitFades(t *testing.T) {
	b := New("n0")
	b.MergeDestination(dest(1, now))
	half := float64(halves.Limit) / 1e6
	for _, row := range []struct {
		age, rating, told float64
		sure              bool
	}{{0, 40, 10, true}, {half, 40, 20, true}, {10 * half, 40, 39.9, false}, {half, 0, 10, true}, {2 * half, 0, 10, false}, {4 * half, 0, 0, false}} {
		d, ok := b.AgedDestination(1, now+row.age, halves, Prior{Rating: row.rating})
		if !ok || math.Abs(d.SharedRoute.AdvertisedLimit-row.told) > 0.1 || d.SharedRoute.LimitReported != row.sure {
			t.Errorf("%+v: %+v", row, d.SharedRoute)
		}
		if d.SharedRoute.Pace > 0 && d.SharedRoute.Pace > math.Max(d.SharedRoute.AdvertisedLimit, 10) {
			t.Errorf("%+v: pace %v", row, d.SharedRoute.Pace)
		}
	}
}

// An outage, a trial and a ramp go on where they were; one that is long past is over.
func TestHealthGoesOn(t *testing.T) {
	b := New("n0")
	b.MergeDestination(dest(1, now, endpoint("a", now, policy.Broken), endpoint("b", now, policy.Ramping)))
	d, _ := b.AgedDestination(1, now+600, halves, Prior{})
	a, r := d.Endpoints[0], d.Endpoints[1]
	if a.Health != policy.Broken || a.NextTrial != now+700 || a.OpenedAt != now-2000 || a.RateBeforeOutage > 2 || a.RateBeforeOutage < 1.9 {
		t.Errorf("broken: %+v", a)
	}
	if r.Health != policy.Ramping || r.RampStart != now-1000 {
		t.Errorf("ramping: %+v", r)
	}
	d, _ = b.AgedDestination(1, now+7*86400e3, halves, Prior{})
	if e := d.Endpoints[0]; e.Health != policy.Healthy || e.Failures != 0 {
		t.Errorf("after a week: %+v", e)
	}
	if b.Expire(now+7*86400e3, halves); len(b.Dests) != 0 {
		t.Error("a week later all is still there")
	}
}

// By a clock set back an hour, what was learned lies in the future: no time is later than it was short.
func TestFromTheFuture(t *testing.T) {
	b := New("n0")
	b.MergeDestination(dest(1, now, endpoint("a", now, policy.Broken), endpoint("b", now, policy.Ramping)))
	clock := now - 3600e3
	d, _ := b.AgedDestination(1, clock, halves, Prior{Rating: 40})
	if a := d.Endpoints[0]; a.NextTrial > clock+700 || a.OpenedAt > clock || a.LastFailure > clock {
		t.Errorf("broken: %+v", a)
	}
	if r := d.Endpoints[1]; r.RampStart > clock || r.LastOK > clock {
		t.Errorf("ramping: %+v", r)
	}
	if !near(d.SharedRoute.AdvertisedLimit, 20) {
		t.Errorf("limit %v, want half-way to the rating", d.SharedRoute.AdvertisedLimit)
	}
}

// Endpoints under new names, one at an old address, get nothing of the old ones; what belongs to the
// destination stays.
func TestReplacedEndpoints(t *testing.T) {
	b := New("n0")
	b.MergeDestination(dest(1, now, endpoint("old", now, policy.Broken)))
	b.AddWait(Wait{Route: Route{Dest: 1}, ReceivedAt: now, Until: now + 900})
	d, _ := b.AgedDestination(1, now, halves, Prior{})
	if len(d.Endpoints) != 1 || d.Endpoints[0].Name != "old" || d.SharedRoute.WaitUntil != now+900 || d.Latency.N != 40 {
		t.Errorf("%+v", d)
	}
}

// A wait binds where nothing else is known, and where settings have made routes of a destination's endpoints.
func TestWaitAlone(t *testing.T) {
	b := New("n0")
	b.AddWait(Wait{Route: Route{Dest: 1}, ReceivedAt: now, Until: now + 900})
	b.AddWait(Wait{Route: Route{Dest: 2, Endpoint: "x"}, ReceivedAt: now, Until: now + 500})
	d, ok := b.AgedDestination(1, now, halves, Prior{})
	if !ok || d.SharedRoute.WaitUntil != now+900 || d.SharedRoute.AdvertisedLimit != 0 {
		t.Errorf("%+v", d)
	}
	d, ok = b.AgedDestination(2, now, halves, Prior{})
	if !ok || len(d.Endpoints) != 1 || d.Endpoints[0].OwnRoute.WaitUntil != now+500 || d.SharedRoute.WaitUntil != 0 {
		t.Errorf("%+v", d)
	}
	if _, ok = b.AgedDestination(3, now, halves, Prior{}); ok {
		t.Error("something is known of nothing")
	}
	b.MergeDestination(dest(1, now, endpoint("a", now, policy.Healthy)))
	if d, _ = b.AgedDestination(1, now, halves, Prior{}); d.Endpoints[0].OwnRoute.WaitUntil != now+900 {
		t.Error("the destination's wait does not bind its endpoint")
	}
}

// Where room is short, those matter most that are told to wait, are in an outage, or have traffic.
func TestFit(t *testing.T) {
	b := New("n0")
	for i := range 100 {
		d := dest(i, now-float64(i))
		d.SharedRoute.CallRate = float64(i % 50)
		if i == 7 {
			d.Endpoints = []Endpoint{endpoint("a", now, policy.Ramping)}
		}
		b.MergeDestination(d)
	}
	b.AddWait(Wait{Route: Route{Dest: 3}, ReceivedAt: now, Until: now + 900})
	dropped := b.EvictToFit(10, func(*Destination) int { return 2 })
	if dropped != 95 || fmt.Sprint(b.DestNumbers()) != "[3 7 48 49 99]" || len(b.Waits) != 1 {
		t.Errorf("%d dropped, kept %v", dropped, b.DestNumbers())
	}
	if b.EvictToFit(10, func(*Destination) int { return 2 }) != 0 {
		t.Error("what fits is dropped")
	}
}

// Classes, kinds and numbers that make no sense are passed over.
func TestNonsense(t *testing.T) {
	b := New("n0")
	b.ClassLatency["gone"] = ClassLatency{now, policy.LatencyFacts{Mean: 100, N: 5}}
	b.ClassLatency["note"] = ClassLatency{now, policy.LatencyFacts{Mean: 200, N: 5}}
	b.Dials["gone"] = Dials{now, policy.DialFacts{FailureShare: 1}}
	set := &policy.Settings{Classes: []policy.Class{{Name: "new"}, {Name: "note"}}, Kinds: []policy.DestKind{{Name: "k"}}}
	g := b.AgedGeneral(now, halves, set)
	if g.ClassLatency[0].N != 0 || g.ClassLatency[1].Mean != 200 || g.Dials[0].FailureShare != 0 {
		t.Errorf("%+v", g)
	}
	bad := dest(1, now, endpoint("a", now, 77))
	bad.SharedRoute.AdvertisedLimit, bad.SharedRoute.Pace, bad.Latency.Mean = math.NaN(), math.Inf(1), -4
	bad.Admission.Theta[1], bad.Admission.Pa = math.NaN(), math.Inf(-1)
	b.MergeDestination(bad)
	d, _ := b.AgedDestination(1, now, halves, Prior{})
	if d.SharedRoute.AdvertisedLimit != 0 || d.SharedRoute.Pace != 0 || d.Latency.N != 0 || d.Admission != d.Admission || d.Endpoints[0].Health != policy.Healthy {
		t.Errorf("%+v %+v", d, d.SharedRoute)
	}
}

// A controller fades towards a fresh one.
func TestControlFades(t *testing.T) {
	f := policy.InitialAdmission()
	d := dest(1, now)
	d.Admission.Theta, d.Admission.Pa, d.Admission.EX = [2]float64{2, 1.5}, 0.2, 800
	b := New("n0")
	b.MergeDestination(d)
	r, _ := b.AgedDestination(1, now+float64(halves.Control)/1e6, halves, Prior{})
	if !near(r.Admission.Theta[0], (2+f.Theta[0])/2) || !near(r.Admission.Pa, 0.6) || !near(r.Admission.EX, 400) {
		t.Errorf("%+v", r.Admission)
	}
}
