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

// shardsOf are the shards of destinations, each once.
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

// handTo hands a message for a destination in and makes a step.
func (b *testSender) submitTo(trace string, dest int) Verdict {
	b.t.Helper()
	o := &submission{msg: &Message{Trace: []byte(trace), Class: 0, Dest: dest, Remaining: 20 * time.Second, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)}
	b.handleSubmission(o)
	b.nextStep()
	return verdictOf(b.t, o.verdict)
}

func verdictOf(t *testing.T, verdicts chan Verdict) Verdict {
	t.Helper()
	select {
	case v := <-verdicts:
		return v
	default:
		t.Fatal("a step without a verdict")
		return Verdict{}
	}
}

// A message for another's destination is refused with word of who serves it and leaves nothing behind, before anything
// is known with none; what is assigned is served from that step on.
func TestMisdirectedMessageIsRefused(t *testing.T) {
	b := newTestSender(t, t.TempDir(), "", testSettings())
	b.EnableSharding(2, func([]shard.ID) {})
	if v := b.submitTo("early", 3); !v.NoRoute || v.RetryAfter == 0 {
		t.Errorf("before anything is known: %+v", v)
	}
	members := []shard.Member{{Name: "a", Zone: "1", Weight: 1}, {Name: "b", Zone: "2", Weight: 1}, {Name: "c", Zone: "3", Weight: 1}}
	b.handleShardUpdate(&sharding.Update{AllMembers: true, Joined: members, Entries: endpointsAt("127.0.0.1:9", 3), Assigned: shardsOf(3)})
	table := shard.NewTable(2)
	table.Update(members, nil)
	if v := b.submitTo("foreign", 4); !v.Misdirected || !slices.Equal(v.ServedBy, table.Replicas(shard.Of(4))) {
		t.Errorf("for another's destination: %+v, want the replicas %v", v, table.Replicas(shard.Of(4)))
	}
	if len(b.messages) != 0 || b.Sender.journal.LastNumber() != 0 {
		t.Errorf("a message that was refused is held, or in the journal")
	}
	if v := b.submitTo("own", 3); !v.Accepted {
		t.Errorf("for an own destination: %+v", v)
	}
	b.handleShardUpdate(&sharding.Update{Unassigned: shardsOf(3)})
	if v := b.submitTo("late", 3); !v.Misdirected {
		t.Errorf("once it is unassigned: %+v", v)
	}
}

// What is known of a destination goes with its shard: the sender's books are empty of it, and memory falls back, once
// nothing of it is held. A shard of which a message is held stays until that has ended.
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
	b.nextStep()
	before := heap()
	ids := shardsOf(all...)
	b.handleShardUpdate(&sharding.Update{Entries: endpointsAt("127.0.0.1:9", all...), Assigned: ids})
	b.nextStep()
	full := heap()
	if v := b.submitTo("held", 7); !v.Accepted {
		t.Fatalf("%+v", v)
	}
	b.handleShardUpdate(&sharding.Update{Unassigned: ids})
	b.nextStep()
	if slices.Contains(released, shard.Of(7)) || len(released) != len(ids)-1 {
		t.Errorf("%d of %d shards were released, with a message of one of them held", len(released), len(ids))
	}
	if len(b.endpoints) == 0 || len(b.endpoints) > 3 {
		t.Errorf("%d endpoints are known, want those of the shard whose message is held", len(b.endpoints))
	}
	for _, m := range b.messages { // its client was never told
		b.handleInput(input{withdrawn: m.Num})
	}
	b.await("the last shard is not released", func() bool { return slices.Contains(released, shard.Of(7)) })
	if n := len(b.endpoints) + len(b.endpointIDs) + len(b.listedDests) + len(b.shards.dests) + len(b.shards.leaving) + len(b.shards.assigned); n != 0 {
		t.Errorf("%d entries of shards that left", n)
	}
	b.module.Step(b.now+61e3, nil, nil) // the module remembers an endpoint that left for a minute
	after := heap()
	runtime.KeepAlive(b)
	t.Logf("heap before %d KB, with %d destinations %d KB, after they left %d KB", before>>10, destinations, full>>10, after>>10)
	if after-before > (full-before)/5 {
		t.Errorf("of %d KB that %d destinations took %d KB are left", (full-before)>>10, destinations, (after-before)>>10)
	}
}
