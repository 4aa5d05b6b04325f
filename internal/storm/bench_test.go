package storm

import (
	"runtime"
	"testing"

	"sliptide/policy"
)

// The cost of a refusal during a storm: first while there are free slots, then when none is left in the whole horizon.
func BenchmarkRefused(b *testing.B) {
	for name, horizon := range map[string]float64{"5s": 5000, "60s": 60000} {
		b.Run(name, func(b *testing.B) {
			r := &rig{New(Settings{Senders: 3, MaxRetryAfter: horizon, LimitIndex: 0}, 7), 1000}
			r.UpdateEndpoints(r.now, []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 7}}, true)
			for range 5 {
				r.now += 600
				r.endCall(1, policy.ConnectFailed, 0)
			}
			b.ReportAllocs()
			for i := range b.N {
				r.RetryAfter(r.now, 7, uint64(i), 1e6, 200)
			}
		})
	}
}

// The cost of a call without a storm.
func BenchmarkCalmCall(b *testing.B) {
	r := newRig(3)
	b.ReportAllocs()
	for range b.N {
		r.now++
		r.RecordArrival(r.now, 7, 0, false)
		r.endCall(1, policy.OK, 0)
		r.Throttles(r.now)
	}
}

// The memory of a destination without a storm.
func BenchmarkDestination(b *testing.B) {
	var before, after runtime.MemStats
	g := New(Settings{Senders: 3}, 1)
	list := make([]policy.Endpoint, b.N)
	for i := range list {
		list[i] = policy.Endpoint{ID: uint32(i + 1), State: policy.Ready, Dest: i}
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	g.UpdateEndpoints(0, list, false)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/destination")
	runtime.KeepAlive(g)
}
