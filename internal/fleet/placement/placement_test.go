package placement

import (
	"fmt"
	"slices"
	"testing"
)

func members(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("m", i), Zone: string(rune('a' + i%3))})
	}
	return list
}

// TestChoose checks that copies are placed in zones other than the owner's and evenly over the members, and that a
// member that leaves moves only the copies that it had. A full member gets no copies.
func TestChoose(t *testing.T) {
	const n, count = 30, 2
	all := members(n)
	load := map[string]int{}
	moved := 0
	for _, o := range all {
		got := Choose(o.Name, o.Zone, count, all)
		if len(got) != count || slices.Contains(got, o.Name) {
			t.Fatalf("%s: copies at %v, want two other members", o.Name, got)
		}
		zones := map[string]bool{o.Zone: true}
		for _, name := range got {
			load[name]++
			zones[all[slices.IndexFunc(all, func(m Member) bool { return m.Name == name })].Zone] = true
		}
		if len(zones) != 3 {
			t.Errorf("%s in zone %s: copies at %v, want two other zones", o.Name, o.Zone, got)
		}
		without := Choose(o.Name, o.Zone, count, all[1:])
		for _, name := range got {
			if name != all[0].Name && !slices.Contains(without, name) {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d copies moved that the removed member did not have", moved)
	}
	maxLoad := 0
	for _, v := range load {
		maxLoad = max(maxLoad, v)
	}
	if maxLoad > 4*count {
		t.Errorf("one member keeps copies of %d owners, an even share is %d; want at most four times that", maxLoad, count)
	}
	full := slices.Clone(all)
	for i := range full {
		full[i].Full = i > 1
	}
	if got := Choose("m0", "a", count, full); !slices.Equal(got, []string{"m1"}) {
		t.Errorf("copies at %v, want m1: all others are full", got)
	}
}

// TestNextStep checks that holders change one at a time, and that the number of complete copies never falls.
func TestNextStep(t *testing.T) {
	synced := map[string]bool{"a": true, "b": true}
	isSynced := func(n string) bool { return synced[n] }
	present := map[string]bool{"a": true, "b": true, "c": true}
	isPresent := func(n string) bool { return present[n] }
	current := []string{"a", "b"}
	current = NextStep(current, []string{"b", "c"}, isSynced, isPresent)
	if !slices.Equal(current, []string{"a", "b", "c"}) {
		t.Fatalf("holders %v, want c added first", current)
	}
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, current) {
		t.Errorf("a is removed before c is complete: %v", got)
	}
	synced["c"] = true
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("holders %v, want a removed: it is no longer needed", got)
	}
	delete(synced, "b")
	delete(synced, "c")
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, current) {
		t.Errorf("holders %v, want no change: no desired holder is complete", got)
	}
}
