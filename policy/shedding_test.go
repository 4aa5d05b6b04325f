package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// shedOneByOne returns the messages that shed must choose, worked out one at a time: of the longest queue, or the
// first of several, the message of least worth, or the first of several.
func shedOneByOne(s *Sender) (ids []uint64) {
	queues := make([][]*message, len(s.waiting))
	for i, d := range s.waiting {
		queues[i] = slices.Clone(d.queue)
	}
	for held := s.held; float64(held) > maxHeldShare*float64(s.settings.MaxHeld); held-- {
		longest := 0
		for i := range queues {
			if len(queues[i]) > len(queues[longest]) {
				longest = i
			}
		}
		if len(queues) == 0 || len(queues[longest]) == 0 {
			return ids
		}
		least := slices.MinFunc(queues[longest], func(a, b *message) int { return cmp.Compare(s.worth(a), s.worth(b)) })
		ids = append(ids, least.id)
		queues[longest] = remove(queues[longest], least)
	}
	return ids
}

// Shedding many messages at once chooses the same messages as shedding one by one, for queues of all lengths and also
// when all are shed. No message that was shed stays in a queue.
func TestSheddingMatchesOneByOne(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		set := testSettings()
		set.MaxHeld = 1 << 20
		for i := range set.Classes {
			set.Classes[i].Worth = float64(1 + rng.IntN(3))
		}
		r := newRig(t, set)
		total, destinations := 1+rng.IntN(200), 1+rng.IntN(8)
		for id := range total {
			r.step(Event{Kind: EvMessage, ID: uint64(id + 1), Class: rng.IntN(len(set.Classes)),
				Dest: min(rng.IntN(destinations), rng.IntN(destinations)),
				Key:  uint64(rng.IntN(4)), Remaining: 5000 + 10000*rng.Float64()})
			r.now += 20 * rng.Float64()
		}
		r.s.settings.MaxHeld = 1 + rng.IntN(total)
		r.s.now = r.now
		want := shedOneByOne(r.s)
		slices.Sort(want)
		r.s.actions = nil
		r.s.shed()
		var got []uint64
		for _, a := range r.s.actions {
			got = append(got, a.ID)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: shed %v, one by one %v", seed, got, want)
		}
		queued := 0
		for _, d := range r.s.waiting {
			for _, m := range d.queue {
				if m.ended {
					t.Errorf("seed %d: message %d has ended and is still queued", seed, m.id)
				}
			}
			queued += len(d.queue)
		}
		if queued != r.s.held {
			t.Errorf("seed %d: %d held, %d queued, want equal numbers", seed, r.s.held, queued)
		}
	}
}

// A restart that finds a journal far above the capacity for held messages must shed the surplus in time proportional
// to the journal. With a scan of all messages for each one shed, 100,000 messages delayed a sender's first new
// message by half a minute, and sixteen times as many messages took 256 times as long. The best of three runs is
// used, so that other load on the machine does not decide.
func TestSheddingOfWholeJournal(t *testing.T) {
	const baseCount, growth = 2000, 16
	duration := func(messages int) time.Duration {
		best := time.Hour
		for range 3 {
			set := testSettings()
			set.MaxHeld = 1000
			r := newRig(t, set)
			events := make([]Event, messages)
			for i := range events {
				events[i] = Event{Kind: EvMessage, ID: uint64(i + 1), Class: classSafe, Dest: 1, Remaining: 20000, Restored: true}
			}
			start := time.Now()
			r.step(events...)
			best = min(best, time.Since(start))
			if r.s.held > set.MaxHeld {
				t.Fatalf("%d messages held, maximum %d", r.s.held, set.MaxHeld)
			}
		}
		return best
	}
	short, long := duration(baseCount), duration(growth*baseCount)
	t.Logf("%d messages: %v; %d: %v", baseCount, short, growth*baseCount, long)
	if long > short*growth*4 {
		t.Errorf("%d messages take %v, %d take %v: more than four times the proportional time",
			baseCount, short, growth*baseCount, long)
	}
}
