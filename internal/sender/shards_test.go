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

func endpointsAt(addr string, destinations ...int) (list []discovery.Endpoint) {
	for _, d := range destinations {
		e := discovery.Endpoint{Name: fmt.Sprintf("endpoint-%d", d), Addr: addr}
		e.ID, e.Dest, e.State = uint32(d+1), d, policy.Ready
		list = append(list, e)
	}
	return list
}

// submitTo submits a message for a destination, runs a step and returns the verdict.
func (b *testSender) submitTo(trace string, dest int) Verdict {
	b.t.Helper()
	sub := &submission{msg: &Message{Trace: []byte(trace), Class: 0, Dest: dest, Remaining: 20 * time.Second, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)}
	b.handleSubmission(sub)
	b.runStep()
	return verdictOf(b.t, sub.verdict)
}

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

// A message for a destination that others serve is refused with their names and leaves no state behind; before the members
// are known it is refused without names. An assigned shard is served from that step on.
func TestMisdirectedMessageIsRefused(t *testing.T) {
	b := newTestSender(t, t.TempDir(), "", testSettings())
	b.EnableSharding(2, func([]shard.ID) {})
	if v := b.submitTo("early", 3); !v.NoRoute || v.RetryAfter == 0 {
		t.Errorf("before the members are known: %+v", v)
	}
	members := []shard.Member{{Name: "a", Zone: "1", Weight: 1}, {Name: "b", Zone: "2", Weight: 1}, {Name: "c", Zone: "3", Weight: 1}}
	b.handleShardUpdate(&sharding.Update{AllMembers: true, Joined: members, Endpoints: endpointsAt("127.0.0.1:9", 3), Assigned: shardsOf(3)})
	table := shard.NewTable(2)
	table.Update(members, nil)
	if v := b.submitTo("foreign", 4); !v.Misdirected || !slices.Equal(v.ServedBy, table.Replicas(shard.Of(4))) {
		t.Errorf("for a destination of other members: %+v, want the replicas %v", v, table.Replicas(shard.Of(4)))
	}
	if len(b.messages) != 0 || b.Sender.journal.LastNumber() != 0 {
		t.Errorf("a refused message is held, or in the journal")
	}
	if v := b.submitTo("own", 3); !v.Accepted {
		t.Errorf("for an assigned destination: %+v", v)
	}
	b.handleShardUpdate(&sharding.Update{Unassigned: shardsOf(3)})
	if v := b.submitTo("late", 3); !v.Misdirected {
		t.Errorf("after it was unassigned: %+v", v)
	}
}

// The state of destinations is dropped with their shards and its memory is freed. A shard of which a message is held stays
// until the message has ended.
func TestMemoryIsFreedWhenShardsLeave(t *testing.T) {
	const destinations = 3000
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	b := newTestSender(t, t.TempDir(), "", testSettings())
	var released []shard.ID
	b.EnableSharding(1, func(ids []shard.ID) { released = append(released, ids...) })
	all := make([]int, destinations)
	for d := range all {
		all[d] = d
	}
	b.runStep()
	before := heap()
	ids := shardsOf(all...)
	b.handleShardUpdate(&sharding.Update{Endpoints: endpointsAt("127.0.0.1:9", all...), Assigned: ids})
	b.runStep()
	full := heap()
	if v := b.submitTo("held", 7); !v.Accepted {
		t.Fatalf("%+v", v)
	}
	b.handleShardUpdate(&sharding.Update{Unassigned: ids})
	b.runStep()
	if slices.Contains(released, shard.Of(7)) || len(released) != len(ids)-1 {
		t.Errorf("%d of %d shards were released, want all but the one whose message is held", len(released), len(ids))
	}
	if len(b.endpoints) == 0 || len(b.endpoints) > 3 {
		t.Errorf("%d endpoints are known, want those of the shard whose message is held", len(b.endpoints))
	}
	for _, m := range b.messages { // its client did not receive the answer
		b.handleInput(input{withdrawn: m.Num})
	}
	b.await("the last shard is not released", func() bool { return slices.Contains(released, shard.Of(7)) })
	if n := len(b.endpoints) + len(b.endpointIDs) + len(b.listedDests) + len(b.shards.dests) + len(b.shards.leaving) + len(b.shards.assigned); n != 0 {
		t.Errorf("%d entries of released shards are left", n)
	}
	b.module.Step(b.now+61e3, nil, nil) // the module remembers a removed endpoint for a minute
	after := heap()
	runtime.KeepAlive(b)
	t.Logf("heap before %d KB, with %d destinations %d KB, after they left %d KB", before>>10, destinations, full>>10, after>>10)
	if after-before > (full-before)/5 {
		t.Errorf("of the %d KB that %d destinations used, %d KB are still in use", (full-before)>>10, destinations, (after-before)>>10)
	}
}
