package capacity

import (
	"fmt"

	"sliptide/internal/fleet/directory"
	"sliptide/internal/fleet/pb"
	"sliptide/internal/fleet/shard"
)

const shardReplicas = 2 // replicas of a shard in each region, in the measurements and the rows

// controlMeasurements returns the measurements of control members.
func controlMeasurements() []Measurement {
	return []Measurement{{
		Name: "directory-memory", Role: roleControl, Description: "memory of the directory, one endpoint per destination",
		Unit: "KB", Per: "destination",
		Sizes: []int{3000, 10000, 30000, 100000, 300000, 1000000},
		Run: func(_ *Env, size int) (float64, error) {
			return heapGrowthBytes(func() any { return newDirectory(size) }) / 1e3, nil
		},
	}, {
		Name: "shard-join", Role: roleControl,
		Description: "processor time of the assignment when a member of a region joins and leaves again",
		Unit:        "ms", Per: "member of the region",
		Sizes: []int{30, 100, 300, 1000, 2800}, Repeats: 5,
		Run: func(_ *Env, size int) (float64, error) {
			table := shard.NewTable(shardReplicas)
			var list []shard.Member
			for i := range size {
				list = append(list, shard.Member{Name: fmt.Sprintf("sender-%05d", i), Zone: fmt.Sprintf("zone-%d", i%3),
					Weight: 1})
			}
			table.Update(list, nil)
			extra := shard.Member{Name: "extra", Zone: "zone-1", Weight: 1}
			return threadCPUMillis(func() {
				table.Update([]shard.Member{extra}, nil)
				table.Update(nil, []string{extra.Name})
			}), nil
		},
	}}
}

// newDirectory returns a directory with one endpoint for each of the given number of destinations.
func newDirectory(destinations int) *directory.Directory {
	const batch = 1000
	d := directory.New()
	list := make([]directory.Endpoint, 0, batch)
	for next := 0; next < destinations; {
		for list = list[:0]; len(list) < batch && next < destinations; next++ {
			list = append(list, directory.Endpoint{ID: fmt.Sprintf("endpoint-%08d", next), Destination: uint64(next),
				Addr: fmt.Sprintf("10.%d.%d.%d:9000", next>>16, next>>8&255, next&255),
				Zone: "zone-1", Kind: "partner", Weight: 1, State: pb.EndpointState_UP})
		}
		d.Publish(directory.FirstVersion(1), 1, list, nil, nil)
	}
	return d
}
