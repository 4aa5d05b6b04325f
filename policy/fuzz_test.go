package policy

import (
	"math/rand/v2"
	"sort"
	"testing"
)

// simulate drives a Sender with a random valid stream of events and checks the rules that can be checked for a single
// sender.
func simulate(t *testing.T, seed uint64, steps int, observe func([]Action)) {
	t.Helper()
	simulateWith(t, testSettings(), seed, steps, observe)
}

// simulateWith is simulate with other settings, in which seed decides CallSlots, MaxHeld and MayProbe. observe gets the
// actions of each step.
func simulateWith(t *testing.T, set Settings, seed uint64, steps int, observe func([]Action)) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	set.CallSlots = 1 + rng.IntN(8)
	set.MaxHeld = 20 + rng.IntN(80)
	set.MayProbe = rng.IntN(2) == 0
	s := New(set, seed)
	now := rng.Float64() * 1e6
	var list []Endpoint
	for i := range 2 + rng.IntN(8) {
		dest := i / 2
		list = append(list, ready(uint32(i+1), dest, dest%3))
	}
	dests := list[len(list)-1].Dest + 1
	type msg struct { // a message as its client and the endpoints see it
		class                   int
		dest                    int
		deadline                float64
		attempts                int
		endpoint                uint32 // of the attempt in flight
		inFlight, ended         bool
		mayHaveRun              bool
		mayHaveRunAt, timeoutAt float64
	}
	msgs := map[uint64]*msg{}
	ids := []uint64{}
	var timers []struct {
		at    float64
		token uint32
	}
	notReady := map[uint32]bool{}
	waitUntil := map[int]float64{}
	endpointByID := map[uint32]Endpoint{}
	for _, e := range list {
		endpointByID[e.ID] = e
	}
	route := func(ep uint32) int {
		e := endpointByID[ep]
		if set.Kinds[e.Kind].OwnLimits {
			return 1000 + int(ep)
		}
		return e.Dest
	}
	probes := []uint32{}
	events := []Event{{Kind: EvList, FullList: true, List: list}}
	for range steps {
		actions := s.Step(now, events, nil)
		observe(actions)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				m := msgs[a.ID]
				switch {
				case m == nil || m.ended:
					t.Fatalf("seed %d: message %d sent after its end", seed, a.ID)
				case m.inFlight:
					t.Fatalf("seed %d: two attempts of message %d in flight", seed, a.ID)
				case notReady[a.Endpoint]:
					t.Fatalf("seed %d: message sent to endpoint %d, which is not ready", seed, a.Endpoint)
				case endpointByID[a.Endpoint].Dest != m.dest:
					t.Fatalf("seed %d: message sent to an endpoint of another destination", seed)
				case waitUntil[route(a.Endpoint)] > now:
					t.Fatalf("seed %d: message sent during a requested wait", seed)
				case m.mayHaveRun && set.Classes[m.class].Effect == Unsafe:
					t.Fatalf("seed %d: unsafe message sent again after it may have run", seed)
				case m.mayHaveRun && set.Classes[m.class].Effect == Keyed && now > m.mayHaveRunAt+set.Classes[m.class].DedupWindow:
					t.Fatalf("seed %d: keyed message sent again after its dedup window", seed)
				}
				m.inFlight, m.endpoint, m.timeoutAt = true, a.Endpoint, now+a.After
				if !m.mayHaveRun {
					m.mayHaveRunAt = now
				}
				m.attempts++
			case ActRefuse, ActFail:
				m := msgs[a.ID]
				if m == nil || m.ended {
					t.Fatalf("seed %d: second final answer to message %d", seed, a.ID)
				}
				if a.Kind == ActRefuse && m.mayHaveRun && set.Classes[m.class].Effect == Unsafe {
					t.Fatalf("seed %d: refusal of an unsafe message that may have run", seed)
				}
				if now > m.deadline+set.AnswerSlack+25 { // the answer's timer fires up to 21 ms late
					t.Fatalf("seed %d: final answer %v ms late", seed, now-m.deadline)
				}
				m.ended = true
			case ActTimer:
				timers = append(timers, struct {
					at    float64
					token uint32
				}{now + a.After, a.Token})
			case ActProbe:
				if waitUntil[route(a.Endpoint)] > now {
					t.Fatalf("seed %d: probe during a requested wait", seed)
				}
				probes = append(probes, a.Endpoint)
			}
		}
		now += 1 + rng.Float64()*20
		events = nil
		for i := 0; i < len(timers); {
			if timers[i].at <= now {
				events = append(events, Event{Kind: EvTimer, Token: timers[i].token})
				timers = append(timers[:i], timers[i+1:]...)
				continue
			}
			i++
		}
		for _, ep := range probes {
			events = append(events, Event{Kind: EvProbe, Endpoint: ep, Outcome: []Outcome{OK, Timeout}[rng.IntN(2)]})
		}
		probes = nil
		sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
		for _, id := range ids {
			m := msgs[id]
			if !m.ended && now > m.deadline+40 {
				t.Fatalf("seed %d: no final answer to message %d", seed, id)
			}
			if m.inFlight && (now >= m.timeoutAt || rng.IntN(8) == 0) {
				o := Outcome(rng.IntN(7))
				if now >= m.timeoutAt {
					o = Timeout
				}
				e := Event{Kind: EvOutcome, ID: id, Endpoint: m.endpoint, Attempt: m.attempts - 1, Outcome: o,
					Latency: rng.Float64() * 500, Final: o == OK || m.ended}
				if o == Full && rng.IntN(2) == 0 {
					e.RequestedWait = 1 + rng.Float64()*1000
					rt := route(m.endpoint)
					waitUntil[rt] = max(waitUntil[rt], now+e.RequestedWait)
				}
				m.inFlight = false
				if !o.NeverRan() && o != OK {
					m.mayHaveRun = true
				}
				m.ended = m.ended || o == OK
				events = append(events, e)
			}
		}
		if rng.IntN(3) == 0 {
			id := uint64(len(ids) + 1)
			class := rng.IntN(4)
			left := rng.Float64() * 8000
			msgs[id] = &msg{class: class, dest: rng.IntN(dests), deadline: now + left}
			ids = append(ids, id)
			events = append(events, Event{Kind: EvMessage, ID: id, Class: class, Dest: msgs[id].dest, Remaining: left,
				Key: uint64(rng.IntN(3))})
		}
		if rng.IntN(60) == 0 {
			e := list[rng.IntN(len(list))]
			e.State = []EndpointState{Draining, Gone, Ready}[rng.IntN(3)]
			notReady[e.ID] = e.State != Ready
			events = append(events, Event{Kind: EvList, List: []Endpoint{e}})
		}
		if rng.IntN(40) == 0 && len(ids) > 0 {
			id := ids[rng.IntN(len(ids))]
			if id == uint64(len(ids)) {
				continue // its message event may be in this batch
			}
			msgs[id].ended = true
			events = append([]Event{{Kind: EvWithdrawn, ID: id}}, events...)
		}
	}
}

// Random valid events of 60 seeds break none of the rules that simulate checks.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(60) {
		simulate(t, seed, 1500, func([]Action) {})
	}
}

// FuzzStep looks for a seed whose random events break a rule that simulate checks.
func FuzzStep(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { simulate(t, seed, 500, func([]Action) {}) })
}
