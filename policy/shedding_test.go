package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// oneByOne is what relieve gives back, worked out one message at a time: of the longest queue, the first of several,
// the message that is worth least, the first of several.
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

// TestReliefAsOneByOne: what is given back at once is what would be given back one after the other, for queues of all
// lengths, also when all is given back; and nothing that was given back stays in a queue.
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
			r.step(Event{Kind: EvMessage, ID: uint64(id + 1), Class: rng.IntN(len(set.Classes)), Dest: min(rng.IntN(destinations), rng.IntN(destinations)),
				Key: uint64(rng.IntN(4)), Remaining: 5000 + 10000*rng.Float64()})
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
			t.Fatalf("seed %d: gives back %v, one by one %v", seed, got, want)
		}
		queued := 0
		for _, d := range r.s.waiting {
			for _, m := range d.queue {
				if m.ended {
					t.Errorf("seed %d: message %d is over and queued", seed, m.id)
				}
			}
			queued += len(d.queue)
		}
		if queued != r.s.held {
			t.Errorf("seed %d: %d held, %d queued", seed, r.s.held, queued)
		}
	}
}

// TestReliefOfAWholeJournal: a restart that finds a journal far over the holding room gives the surplus back in time
// that grows with the journal, not with its square: 100,000 messages kept a sender from its first new one for half a
// minute. The best of three runs each, so that another load does not decide; sixteen times as many take
// 256 times as long where each one given back costs a look at all.
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
				t.Fatalf("holds %d of %d", r.s.held, set.MaxHeld)
			}
		}
		return best
	}
	short, long := duration(baseCount), duration(growth*baseCount)
	t.Logf("%d messages: %v; %d: %v", baseCount, short, growth*baseCount, long)
	if long > short*growth*4 {
		t.Errorf("%d messages take %v, %d take %v: more than four times their share", baseCount, short, growth*baseCount, long)
	}
}
