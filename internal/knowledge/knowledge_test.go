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

var halfLives = operator.Default().Knowledge.HalfLives

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }

// The weight halves with each half-life. A fact dated further in the future than maxClockSkew weighs as after one.
func TestWeight(t *testing.T) {
	for age, want := range map[float64]float64{
		0: 1, 60e3: 0.5, 120e3: 0.25, 7 * 86400e3: 0, -50: 1, -maxClockSkew - 1: 0.5,
	} {
		if got := Weight(age, time.Minute); !nearlyEqual(got, want) {
			t.Errorf("weight at age %v ms: %v, want %v", age, got, want)
		}
	}
}

// A wait never shortens another, and a clock that was set back does not prolong one.
func TestWaits(t *testing.T) {
	facts := New("n0")
	route := Route{Dest: 3}
	newWait := func(at, until int64) Wait { return Wait{Route: route, ReceivedAt: now + at, Until: now + until} }
	if !facts.AddWait(newWait(0, 500)) || facts.AddWait(newWait(10, 400)) ||
		facts.AddWait(newWait(20, 20)) || !facts.AddWait(newWait(30, 900)) {
		t.Error("AddWait must accept exactly the waits that end later than the known one")
	}
	for clock, remaining := range map[float64]float64{now + 30: 870, now + 899: 1, now + 901: -1, now - 3600e3: 870} {
		if got := facts.Waits[route].End(clock) - clock; got != remaining {
			t.Errorf("at %v: %v ms left, want %v", clock-now, got, remaining)
		}
	}
	facts.Expire(now+900, halfLives)
	if len(facts.Waits) != 0 {
		t.Error("a wait that has ended was not removed")
	}
}

func newDestination(n int, learnedAt float64, endpoints ...Endpoint) *Destination {
	return &Destination{
		Dest: n, LearnedAt: learnedAt, Admission: policy.InitialAdmission(), Endpoints: endpoints,
		SharedRoute: &policy.RouteFacts{AdvertisedLimit: 10, LimitReported: true, Pace: 8, LastOK: learnedAt, CallRate: 4},
		Latency:     policy.LatencyFacts{Mean: 300, Dev: 50, N: 40},
	}
}

func newEndpoint(name string, learnedAt float64, health policy.Health) Endpoint {
	return Endpoint{Name: name, LearnedAt: learnedAt, EndpointFacts: policy.EndpointFacts{
		Health: health, Failures: 4, LastFailure: learnedAt - 100, OpenedAt: learnedAt - 2000, NextTrial: learnedAt + 700,
		RampStart: learnedAt - 1000, RateBeforeOutage: 2, LastOK: learnedAt - 3000}}
}

// Later facts replace earlier ones, also if they are merged first. Endpoints that the later facts do not contain are
// kept. A clone equals the original.
func TestMergeDestination(t *testing.T) {
	facts := New("n0")
	facts.MergeDestination(newDestination(1, now,
		newEndpoint("a", now, policy.Broken), newEndpoint("b", now, policy.Healthy)))
	facts.MergeDestination(newDestination(1, now+10,
		newEndpoint("b", now+10, policy.Ramping), newEndpoint("c", now+10, policy.Healthy)))
	facts.MergeDestination(newDestination(1, now+5, newEndpoint("c", now+5, policy.Broken))) // merged after later facts
	d := facts.Dests[1]
	got := ""
	for _, e := range d.Endpoints {
		got += fmt.Sprint(e.Name, e.Health, e.LearnedAt-now, " ")
	}
	if got != "a1 0 b2 10 c0 10 " || d.LearnedAt != now+10 {
		t.Errorf("merged endpoints (name, health, time): %s, want a1 0 b2 10 c0 10; learned at %v, want 10",
			got, d.LearnedAt-now)
	}
	clone := facts.Clone()
	if !reflect.DeepEqual(facts, clone) {
		t.Error("the clone differs from the original")
	}
}

// A limit converges on the list's rating, by the geometric mean. Without a rating it is kept down to minLimitWeight and
// then dropped. After two half-lives it no longer counts as reported by the partner.
func TestLimitAges(t *testing.T) {
	facts := New("n0")
	facts.MergeDestination(newDestination(1, now))
	halfLifeMS := float64(halfLives.Limit) / 1e6
	for _, row := range []struct {
		age, rating, limit float64
		reported           bool
	}{
		{0, 40, 10, true}, {halfLifeMS, 40, 20, true}, {10 * halfLifeMS, 40, 39.9, false},
		{halfLifeMS, 0, 10, true}, {2 * halfLifeMS, 0, 10, false}, {4 * halfLifeMS, 0, 0, false},
	} {
		d, ok := facts.AgedDestination(1, now+row.age, halfLives, Prior{Rating: row.rating})
		if !ok || math.Abs(d.SharedRoute.AdvertisedLimit-row.limit) > 0.1 || d.SharedRoute.LimitReported != row.reported {
			t.Errorf("case %+v: shared route %+v", row, d.SharedRoute)
		}
		if d.SharedRoute.Pace > 0 && d.SharedRoute.Pace > math.Max(d.SharedRoute.AdvertisedLimit, 10) {
			t.Errorf("case %+v: pace %v exceeds the limit", row, d.SharedRoute.Pace)
		}
	}
}

// An outage, a trial and a ramp continue at their times. A week later they are over.
func TestHealthContinues(t *testing.T) {
	facts := New("n0")
	facts.MergeDestination(newDestination(1, now,
		newEndpoint("a", now, policy.Broken), newEndpoint("b", now, policy.Ramping)))
	d, _ := facts.AgedDestination(1, now+600, halfLives, Prior{})
	broken, ramping := d.Endpoints[0], d.Endpoints[1]
	if broken.Health != policy.Broken || broken.NextTrial != now+700 || broken.OpenedAt != now-2000 ||
		broken.RateBeforeOutage > 2 || broken.RateBeforeOutage < 1.9 {
		t.Errorf("endpoint a: %+v, want the outage, the trial and the rate from before", broken)
	}
	if ramping.Health != policy.Ramping || ramping.RampStart != now-1000 {
		t.Errorf("endpoint b: %+v, want a ramp from the time before", ramping)
	}
	d, _ = facts.AgedDestination(1, now+7*86400e3, halfLives, Prior{})
	if e := d.Endpoints[0]; e.Health != policy.Healthy || e.Failures != 0 {
		t.Errorf("after a week: %+v, want a healthy endpoint without failures", e)
	}
	if facts.Expire(now+7*86400e3, halfLives); len(facts.Dests) != 0 {
		t.Error("a destination was not expired after a week")
	}
}

// After the clock was set back by an hour, all facts are dated in the future: past times are then at most now, and a
// trial is no further ahead than it was.
func TestClockSetBack(t *testing.T) {
	facts := New("n0")
	facts.MergeDestination(newDestination(1, now,
		newEndpoint("a", now, policy.Broken), newEndpoint("b", now, policy.Ramping)))
	clock := now - 3600e3
	d, _ := facts.AgedDestination(1, clock, halfLives, Prior{Rating: 40})
	if broken := d.Endpoints[0]; broken.NextTrial > clock+700 || broken.OpenedAt > clock || broken.LastFailure > clock {
		t.Errorf("endpoint a: %+v, want no past time in the future, and a trial within 700 ms", broken)
	}
	if ramping := d.Endpoints[1]; ramping.RampStart > clock || ramping.LastOK > clock {
		t.Errorf("endpoint b: %+v, want no past time in the future", ramping)
	}
	if !nearlyEqual(d.SharedRoute.AdvertisedLimit, 20) {
		t.Errorf("limit %v, want 20, the geometric mean of 10 and the rating of 40", d.SharedRoute.AdvertisedLimit)
	}
}

// Facts about an endpoint belong to its name only, so that an endpoint that replaces it, even at the same address, gets
// none of them: AgedDestination returns them under the old name alone, with the destination's own facts and its wait.
func TestReplacedEndpoints(t *testing.T) {
	facts := New("n0")
	facts.MergeDestination(newDestination(1, now, newEndpoint("old", now, policy.Broken)))
	facts.AddWait(Wait{Route: Route{Dest: 1}, ReceivedAt: now, Until: now + 900})
	d, _ := facts.AgedDestination(1, now, halfLives, Prior{})
	if len(d.Endpoints) != 1 || d.Endpoints[0].Name != "old" || d.SharedRoute.WaitUntil != now+900 || d.Latency.N != 40 {
		t.Errorf("%+v", d)
	}
}

// A wait applies even if nothing else is known about its route. The destination's wait also applies to endpoints that
// have since been given limits of their own.
func TestWaitWithoutFacts(t *testing.T) {
	facts := New("n0")
	facts.AddWait(Wait{Route: Route{Dest: 1}, ReceivedAt: now, Until: now + 900})
	facts.AddWait(Wait{Route: Route{Dest: 2, Endpoint: "x"}, ReceivedAt: now, Until: now + 500})
	d, ok := facts.AgedDestination(1, now, halfLives, Prior{})
	if !ok || d.SharedRoute.WaitUntil != now+900 || d.SharedRoute.AdvertisedLimit != 0 {
		t.Errorf("%+v", d)
	}
	d, ok = facts.AgedDestination(2, now, halfLives, Prior{})
	if !ok || len(d.Endpoints) != 1 || d.Endpoints[0].OwnRoute.WaitUntil != now+500 || d.SharedRoute.WaitUntil != 0 {
		t.Errorf("%+v", d)
	}
	if _, ok = facts.AgedDestination(3, now, halfLives, Prior{}); ok {
		t.Error("AgedDestination returned facts about an unknown destination")
	}
	facts.MergeDestination(newDestination(1, now, newEndpoint("a", now, policy.Healthy)))
	if d, _ = facts.AgedDestination(1, now, halfLives, Prior{}); d.Endpoints[0].OwnRoute.WaitUntil != now+900 {
		t.Error("the destination's wait does not apply to its endpoint")
	}
}

// Destinations with a requested wait, in an outage or with the most traffic are kept when space is short.
func TestEvictToFit(t *testing.T) {
	facts := New("n0")
	for i := range 100 {
		d := newDestination(i, now-float64(i))
		d.SharedRoute.CallRate = float64(i % 50)
		if i == 7 {
			d.Endpoints = []Endpoint{newEndpoint("a", now, policy.Ramping)}
		}
		facts.MergeDestination(d)
	}
	facts.AddWait(Wait{Route: Route{Dest: 3}, ReceivedAt: now, Until: now + 900})
	evicted := facts.EvictToFit(10, func(*Destination) int { return 2 })
	if evicted != 95 || fmt.Sprint(facts.DestNumbers()) != "[3 7 48 49 99]" || len(facts.Waits) != 1 {
		t.Errorf("%d evicted, want 95; kept %v, want 3, 7, 48, 49 and 99", evicted, facts.DestNumbers())
	}
	if facts.EvictToFit(10, func(*Destination) int { return 2 }) != 0 {
		t.Error("destinations were evicted although they fit")
	}
}

// Unknown classes and kinds and invalid numbers are ignored.
func TestInvalidFacts(t *testing.T) {
	facts := New("n0")
	facts.ClassLatency["gone"] = ClassLatency{now, policy.LatencyFacts{Mean: 100, N: 5}}
	facts.ClassLatency["note"] = ClassLatency{now, policy.LatencyFacts{Mean: 200, N: 5}}
	facts.Dials["gone"] = Dials{now, policy.DialFacts{FailureShare: 1}}
	settings := &policy.Settings{
		Classes: []policy.Class{{Name: "new"}, {Name: "note"}}, Kinds: []policy.DestKind{{Name: "k"}},
	}
	general := facts.AgedGeneral(now, halfLives, settings)
	if general.ClassLatency[0].N != 0 || general.ClassLatency[1].Mean != 200 || general.Dials[0].FailureShare != 0 {
		t.Errorf("%+v", general)
	}
	invalid := newDestination(1, now, newEndpoint("a", now, 77))
	invalid.SharedRoute.AdvertisedLimit, invalid.SharedRoute.Pace, invalid.Latency.Mean = math.NaN(), math.Inf(1), -4
	invalid.Admission.Theta[1], invalid.Admission.Pa = math.NaN(), math.Inf(-1)
	facts.MergeDestination(invalid)
	d, _ := facts.AgedDestination(1, now, halfLives, Prior{})
	// A struct that differs from itself contains a NaN.
	if d.SharedRoute.AdvertisedLimit != 0 || d.SharedRoute.Pace != 0 || d.Latency.N != 0 ||
		d.Admission != d.Admission || d.Endpoints[0].Health != policy.Healthy {
		t.Errorf("invalid numbers or an unknown health were kept: %+v, shared route %+v", d, d.SharedRoute)
	}
}

// The state of an admission controller converges on that of a new one: after one half-life it is halfway there.
func TestAdmissionAges(t *testing.T) {
	initial := policy.InitialAdmission()
	d := newDestination(1, now)
	d.Admission.Theta, d.Admission.Pa, d.Admission.EX = [2]float64{2, 1.5}, 0.2, 800
	facts := New("n0")
	facts.MergeDestination(d)
	aged, _ := facts.AgedDestination(1, now+float64(halfLives.Admission)/1e6, halfLives, Prior{})
	if !nearlyEqual(aged.Admission.Theta[0], (2+initial.Theta[0])/2) || !nearlyEqual(aged.Admission.Pa, 0.6) ||
		!nearlyEqual(aged.Admission.EX, 400) {
		t.Errorf("%+v", aged.Admission)
	}
}
