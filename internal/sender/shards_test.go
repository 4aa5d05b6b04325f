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

func listedAt(addr string, destinations ...int) (list []discovery.Endpoint) {
	for _, d := range destinations {
		e := discovery.Endpoint{Name: fmt.Sprintf("endpoint-%d", d), Addr: addr}
		e.ID, e.Dest, e.State = uint32(d+1), d, policy.Ready
		list = append(list, e)
	}
	return list
}

// handTo hands a message for a destination in and makes a step.
func (b *bench) handTo(trace string, dest int) Verdict {
	b.t.Helper()
	o := &order{msg: &Message{Trace: []byte(trace), Class: 0, Dest: dest, Remaining: 20 * time.Second, Body: []byte(trace)}, received: time.Now(), verdict: make(chan Verdict, 1)}
	b.takeOrder(o)
	b.next()
	return next(b.t, o.verdict)
}

func next(t *testing.T, verdicts chan Verdict) Verdict {
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
func TestMisdirected(t *testing.T) {
	b := newBench(t, t.TempDir(), "", benchSettings())
	b.EnableSharding(2, func([]shard.ID) {})
	if v := b.handTo("early", 3); !v.NoRoute || v.RetryAfter == 0 {
		t.Errorf("before anything is known: %+v", v)
	}
	members := []shard.Member{{Name: "a", Zone: "1", Weight: 1}, {Name: "b", Zone: "2", Weight: 1}, {Name: "c", Zone: "3", Weight: 1}}
	b.takeSharded(&sharding.Update{AllMembers: true, Joined: members, Entries: listedAt("127.0.0.1:9", 3), Assigned: shardsOf(3)})
	table := shard.NewTable(2)
	table.Update(members, nil)
	if v := b.handTo("foreign", 4); !v.Misdirected || !slices.Equal(v.ServedBy, table.Replicas(shard.Of(4))) {
		t.Errorf("for another's destination: %+v, want the replicas %v", v, table.Replicas(shard.Of(4)))
	}
	if len(b.msgs) != 0 || b.Sender.journal.LastNumber() != 0 {
		t.Errorf("a message that was refused is held, or in the journal")
	}
	if v := b.handTo("own", 3); !v.Accepted {
		t.Errorf("for an own destination: %+v", v)
	}
	b.takeSharded(&sharding.Update{Unassigned: shardsOf(3)})
	if v := b.handTo("late", 3); !v.Misdirected {
		t.Errorf("once it is unassigned: %+v", v)
	}
}

// What is known of a destination goes with its shard: the sender's books are empty of it, and memory falls back, once
// nothing of it is held. A shard of which a message is held stays until that has ended.
func TestMemoryFallsBackWhenShardsLeave(t *testing.T) {
	const destinations = 3000
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	b := newBench(t, t.TempDir(), "", benchSettings())
	var released []shard.ID
	b.EnableSharding(1, func(ids []shard.ID) { released = append(released, ids...) })
	all := make([]int, destinations)
	for d := range all {
		all[d] = d
	}
	b.next()
	before := heap()
	ids := shardsOf(all...)
	b.takeSharded(&sharding.Update{Entries: listedAt("127.0.0.1:9", all...), Assigned: ids})
	b.next()
	full := heap()
	if v := b.handTo("held", 7); !v.Accepted {
		t.Fatalf("%+v", v)
	}
	b.takeSharded(&sharding.Update{Unassigned: ids})
	b.next()
	if slices.Contains(released, shard.Of(7)) || len(released) != len(ids)-1 {
		t.Errorf("%d of %d shards were released, with a message of one of them held", len(released), len(ids))
	}
	if len(b.addrs) == 0 || len(b.addrs) > 3 {
		t.Errorf("%d endpoints are known, want those of the shard whose message is held", len(b.addrs))
	}
	for _, m := range b.msgs { // its client was never told
		b.take(input{gone: m.Num})
	}
	b.await("the last shard is not released", func() bool { return slices.Contains(released, shard.Of(7)) })
	if n := len(b.addrs) + len(b.names) + len(b.dests) + len(b.shards.dests) + len(b.shards.leaving) + len(b.shards.serves); n != 0 {
		t.Errorf("%d entries of shards that left", n)
	}
	b.mod.Step(b.now+61e3, nil, nil) // the module remembers an endpoint that left for a minute
	after := heap()
	runtime.KeepAlive(b)
	t.Logf("heap before %d KB, with %d destinations %d KB, after they left %d KB", before>>10, destinations, full>>10, after>>10)
	if after-before > (full-before)/5 {
		t.Errorf("of %d KB that %d destinations took %d KB are left", (full-before)>>10, destinations, (after-before)>>10)
	}
}
