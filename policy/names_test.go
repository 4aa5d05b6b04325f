package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Names in the settings must not influence decisions: two deployments whose settings differ in names alone decide
// alike.
func TestNamesDecideNothing(t *testing.T) {
	named := testSettings()
	if len(named.Tenants) == 0 {
		named.Tenants = []Tenant{{Name: "one", Quota: 5}, {Name: "two", Quota: 7}}
	}
	other := named
	other.Zones, other.Classes = slices.Clone(named.Zones), slices.Clone(named.Classes)
	other.Tenants, other.Kinds = slices.Clone(named.Tenants), slices.Clone(named.Kinds)
	for i := range other.Zones {
		other.Zones[i] = fmt.Sprint("zz-", len(other.Zones)-i)
	}
	for i := range other.Classes {
		other.Classes[i].Name = fmt.Sprint("zz-class-", len(other.Classes)-i)
	}
	for i := range other.Tenants {
		other.Tenants[i].Name = fmt.Sprint("zz-tenant-", len(other.Tenants)-i)
	}
	for i := range other.Kinds {
		other.Kinds[i].Name = fmt.Sprint("zz-kind-", len(other.Kinds)-i)
	}
	for seed := range uint64(50) {
		run := func(set Settings) (all []string) {
			simulateWith(t, set, seed, 400, func(actions []Action) {
				for _, a := range actions {
					all = append(all, fmt.Sprintf("%+v", a))
				}
			})
			return all
		}
		one, two := run(named), run(other)
		if len(one) == 0 {
			t.Fatal("no action was taken")
		}
		if !slices.Equal(one, two) {
			t.Fatalf("seed %d: settings that differ in names alone lead to different actions", seed)
		}
	}
}
