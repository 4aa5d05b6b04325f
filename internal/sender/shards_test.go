package sender

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"sliptide/internal/discovery"
	"sliptide/internal/fleet/shard"
	"sliptide/internal/sharding"
	"sliptide/policy"
)

// shardsOf returns the shards of destinations, each once.
func shardsOf(destinations ...int) (ids []shard.ID) {
	for _, d := range destinations {
		if id := shard.Of(uint64(d)); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// endpointsAt returns a ready endpoint at addr for each destination.
func endpointsAt(addr string, destinations ...int) (list []discovery.Endpoint) {
	for _, d := range destinations {
		e := discovery.Endpoint{Name: fmt.Sprintf("endpoint-%d", d), Addr: addr}
		e.ID, e.Dest, e.State = uint32(d+1), d, policy.Ready
		list = append(list, e)
	}
	return list
}

// submitTo submits a message for a destination, runs a step and returns the verdict.
func (s *testSender) submitTo(trace string, dest int) Verdict {
	s.t.Helper()
	sub := &submission{msg: &Message{Trace: []byte(trace), Class: 0, Dest: dest, Remaining: 20 * time.Second, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)}
	s.handleSubmission(sub)
	s.runStep()
	return verdictOf(s.t, sub.verdict)
}

// verdictOf returns a verdict that a step has given.
func verdictOf(t *testing.T, verdicts chan Verdict) Verdict {
	t.Helper()
	select {
	case v := <-verdicts:
		return v
	default:
		t.Fatal("no verdict after a step")
		return Verdict{}
	}
}

// A message for a destination that others serve is refused with their names and leaves no state behind; before the
// members are known it is refused without names. A shard is served from its assignment until it is unassigned.
func TestMisdirectedMessageIsRefused(t *testing.T) {
	s := newTestSender(t, t.TempDir(), "", testSettings())
	s.EnableSharding(2, func([]shard.ID) {})
	if v := s.submitTo("early", 3); !v.NoRoute || v.RetryAfterMS == 0 {
		t.Errorf("before the members are known: %+v, want no route and a Retry-After", v)
	}
	members := []shard.Member{{Name: "a", Zone: "1", Weight: 1}, {Name: "b", Zone: "2", Weight: 1}, {Name: "c", Zone: "3", Weight: 1}}
	s.handleShardUpdate(&sharding.Update{AllMembers: true, Joined: members, Endpoints: endpointsAt("127.0.0.1:9", 3), Assigned: shardsOf(3)})
	table := shard.NewTable(2)
	table.Update(members, nil)
	if v := s.submitTo("foreign", 4); !v.Misdirected || !slices.Equal(v.ServedBy, table.Replicas(shard.Of(4))) {
		t.Errorf("for a destination of other members: %+v, want the replicas %v", v, table.Replicas(shard.Of(4)))
	}
	if len(s.messages) != 0 || s.Sender.journal.LastNumber() != 0 {
		t.Errorf("a refused message is held, or in the journal")
	}
	if v := s.submitTo("own", 3); !v.Accepted {
		t.Errorf("for an assigned destination: %+v, want an acceptance", v)
	}
	s.handleShardUpdate(&sharding.Update{Unassigned: shardsOf(3)})
	if v := s.submitTo("late", 3); !v.Misdirected {
		t.Errorf("after it was unassigned: %+v, want it misdirected", v)
	}
}

// The state of destinations is dropped with their shards and its memory is freed; otherwise the memory of a sender
// would grow with every change of members. A shard of which a message is held stays until the message has ended.
func TestMemoryIsFreedWhenShardsLeave(t *testing.T) {
	const destinations = 3000
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	s := newTestSender(t, t.TempDir(), "", testSettings())
	var released []shard.ID
	s.EnableSharding(1, func(ids []shard.ID) { released = append(released, ids...) })
	all := make([]int, destinations)
	for d := range all {
		all[d] = d
	}
	s.runStep()
	before := heap()
	ids := shardsOf(all...)
	s.handleShardUpdate(&sharding.Update{Endpoints: endpointsAt("127.0.0.1:9", all...), Assigned: ids})
	s.runStep()
	full := heap()
	if v := s.submitTo("held", 7); !v.Accepted {
		t.Fatalf("%+v", v)
	}
	s.handleShardUpdate(&sharding.Update{Unassigned: ids})
	s.runStep()
	if slices.Contains(released, shard.Of(7)) || len(released) != len(ids)-1 {
		t.Errorf("%d of %d shards were released, want all but the one whose message is held", len(released), len(ids))
	}
	if len(s.endpoints) == 0 || len(s.endpoints) > 3 {
		t.Errorf("%d endpoints are known, want those of the shard whose message is held", len(s.endpoints))
	}
	for _, m := range s.messages { // its client did not receive the answer
		s.handleInput(input{withdrawn: m.Num})
	}
	s.await("the last shard is not released", func() bool { return slices.Contains(released, shard.Of(7)) })
	if n := len(s.endpoints) + len(s.endpointIDs) + len(s.listedDests) + len(s.shards.dests) + len(s.shards.leaving) + len(s.shards.assigned); n != 0 {
		t.Errorf("%d entries of released shards are left, want none", n)
	}
	s.module.Step(s.now+61e3, nil, nil) // the module remembers a removed endpoint for a minute
	after := heap()
	runtime.KeepAlive(s)
	t.Logf("heap before %d KB, with %d destinations %d KB, after they left %d KB", before>>10, destinations, full>>10, after>>10)
	if after-before > (full-before)/5 {
		t.Errorf("of the %d KB that %d destinations used, %d KB are still in use, want a fifth at most",
			(full-before)>>10, destinations, (after-before)>>10)
	}
}
