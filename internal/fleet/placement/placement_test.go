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

// TestChoose: copies lie in other zones than the owner, evenly over members, and one that goes moves its own alone.
func TestChoose(t *testing.T) {
	const n, count = 30, 2
	all := members(n)
	load := map[string]int{}
	moved := 0
	for _, o := range all {
		got := Choose(o.Name, o.Zone, count, all)
		if len(got) != count || slices.Contains(got, o.Name) {
			t.Fatalf("%s: %v", o.Name, got)
		}
		zones := map[string]bool{o.Zone: true}
		for _, name := range got {
			load[name]++
			zones[all[slices.IndexFunc(all, func(m Member) bool { return m.Name == name })].Zone] = true
		}
		if len(zones) != 3 {
			t.Errorf("%s in zone %s: copies at %v", o.Name, o.Zone, got)
		}
		without := Choose(o.Name, o.Zone, count, all[1:])
		for _, name := range got {
			if name != all[0].Name && !slices.Contains(without, name) {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d copies moved that the member that went did not have", moved)
	}
	maxLoad := 0
	for _, v := range load {
		maxLoad = max(maxLoad, v)
	}
	if maxLoad > 4*count {
		t.Errorf("one member keeps copies of %d owners, %d are even", maxLoad, count)
	}
	full := slices.Clone(all)
	for i := range full {
		full[i].Full = i > 1
	}
	if got := Choose("m0", "a", count, full); !slices.Equal(got, []string{"m1"}) {
		t.Errorf("all others are full: %v", got)
	}
}

// TestNext: one step at a time, and never fewer whole copies than before.
func TestNext(t *testing.T) {
	synced := map[string]bool{"a": true, "b": true}
	isSynced := func(n string) bool { return synced[n] }
	present := map[string]bool{"a": true, "b": true, "c": true}
	isPresent := func(n string) bool { return present[n] }
	current := []string{"a", "b"}
	current = NextStep(current, []string{"b", "c"}, isSynced, isPresent)
	if !slices.Equal(current, []string{"a", "b", "c"}) {
		t.Fatalf("c is added first: %v", current)
	}
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, current) {
		t.Errorf("a goes before c has everything: %v", got)
	}
	synced["c"] = true
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("a is not needed any more: %v", got)
	}
	delete(synced, "b")
	delete(synced, "c")
	if got := NextStep(current, []string{"b", "c"}, isSynced, isPresent); !slices.Equal(got, current) {
		t.Errorf("nobody that is wanted has everything: %v", got)
	}
}
