// Package capacity works out how large a fleet the program carries: it measures what each part's state, messages and
// processor time grow by (slopes), multiplies the slopes by the quantities of a stated target, holds the products
// against the target's budgets and the bounds in the code, and writes the tables of docs/CAPACITY.md.
//
// Measurements are recorded as JSON, and the page's tables are made from the record alone.
package capacity

import (
	"strconv"
	"time"

	"sliptide/internal/strictxml"
)

// Target is the fleet that the operators plan.
type Target struct {
	Senders            float64
	Regions            float64
	Zones              float64
	EventsPerSecond    float64 // of the whole fleet
	EventBytes         float64 // of a body, assumed
	Destinations       float64
	DownPercent        float64 // of destinations, at any time
	Backlog            float64 // events, of the whole fleet
	ChangesPerDay      float64 // of the configuration
	InForceWithin      time.Duration
	CorePercent        float64 // of a core, a sender, for control
	MemoryMB           float64 // a sender, for control
	LinkKBPerSecond    float64 // a sender, for control
	ControlMachines    float64
	MachinesLostPerDay float64 // machines
	RestartsPerDay     float64 // processes
	ReadyWithin        time.Duration
}

// EventsOfSender is what one sender takes, in events a second.
func (t *Target) EventsPerSecondPerSender() float64 { return t.EventsPerSecond / t.Senders }

// BacklogOfSender is what one sender may hold, in events.
func (t *Target) BacklogPerSender() float64 { return t.Backlog / t.Senders }

// Down is how many destinations are down at any time.
func (t *Target) DownDestinations() float64 { return t.Destinations * t.DownPercent / 100 }

// Scaled is the target with senders, destinations, events and changes at a share of their number. What one sender
// takes and holds stays.
func (t *Target) Scaled(share float64) *Target {
	scaled := *t
	for _, quantity := range []*float64{&scaled.Senders, &scaled.EventsPerSecond, &scaled.Destinations, &scaled.Backlog, &scaled.ChangesPerDay, &scaled.MachinesLostPerDay, &scaled.RestartsPerDay} {
		*quantity *= share
	}
	return &scaled
}

// number is an attribute that holds a decimal number.
func numberAttribute(name, doc string, put func(*Target, float64)) strictxml.Attribute[Target] {
	return strictxml.Attribute[Target]{Name: name, Required: true, Doc: doc,
		Values: strictxml.Text(`[0-9]{1,15}(\.[0-9]{1,6})?`, "a decimal number"),
		SetText: func(t *Target, text string) {
			value, _ := strconv.ParseFloat(text, 64) // the pattern has let nothing else through
			put(t, value)
		}}
}

func targetSpec() *strictxml.Element[Target] {
	type attribute = strictxml.Attribute[Target]
	type element = strictxml.Element[Target]
	return &element{
		Name: "capacity-target", Doc: "The fleet that the operators plan: quantities and budgets.",
		Attrs: []attribute{{Name: "version", Required: true, Doc: "The form of this file.", Values: strictxml.OneOf("1")}},
		Children: []element{{
			Name: "fleet", Doc: "The senders and what they take.", Attrs: []attribute{
				numberAttribute("senders", "Senders in all regions.", func(t *Target, v float64) { t.Senders = v }),
				numberAttribute("regions", "Regions.", func(t *Target, v float64) { t.Regions = v }),
				numberAttribute("zones", "Zones of all regions.", func(t *Target, v float64) { t.Zones = v }),
				numberAttribute("events-per-second", "Events that the fleet takes.", func(t *Target, v float64) { t.EventsPerSecond = v }),
				numberAttribute("event-bytes", "Bytes of an event's body.", func(t *Target, v float64) { t.EventBytes = v }),
			},
		}, {
			Name: "destinations", Doc: "Whom events go to.", Attrs: []attribute{
				numberAttribute("count", "Destinations.", func(t *Target, v float64) { t.Destinations = v }),
				numberAttribute("down-percent", "Of these, down at any time.", func(t *Target, v float64) { t.DownPercent = v }),
			},
		}, {
			Name: "backlog", Doc: "What waits at most.", Attrs: []attribute{
				numberAttribute("events", "Events, in all senders.", func(t *Target, v float64) { t.Backlog = v }),
			},
		}, {
			Name: "configuration", Doc: "Changes that all senders take.", Attrs: []attribute{
				numberAttribute("changes-per-day", "Changes.", func(t *Target, v float64) { t.ChangesPerDay = v }),
				{Name: "in-force-within", Required: true, Doc: "At every sender.", Values: strictxml.Duration(time.Second, time.Hour),
					SetNumber: func(t *Target, v int64) { t.InForceWithin = time.Duration(v) }},
			},
		}, {
			Name: "control-budget", Doc: "What one sender may spend on control, and the machines set aside for it.", Attrs: []attribute{
				numberAttribute("core-percent", "Of a core.", func(t *Target, v float64) { t.CorePercent = v }),
				numberAttribute("memory-mb", "Memory, in 10^6 bytes.", func(t *Target, v float64) { t.MemoryMB = v }),
				numberAttribute("link-kb-per-second", "On links, in 10^3 bytes.", func(t *Target, v float64) { t.LinkKBPerSecond = v }),
				numberAttribute("machines", "Machines for control.", func(t *Target, v float64) { t.ControlMachines = v }),
			},
		}, {
			Name: "failures", Doc: "What goes wrong.", Attrs: []attribute{
				numberAttribute("machines-per-day", "Machines lost.", func(t *Target, v float64) { t.MachinesLostPerDay = v }),
				numberAttribute("restarts-per-day", "Processes restarted or replaced.", func(t *Target, v float64) { t.RestartsPerDay = v }),
				{Name: "ready-within", Required: true, Doc: "Of a restarted process.", Values: strictxml.Duration(time.Second, time.Hour),
					SetNumber: func(t *Target, v int64) { t.ReadyWithin = time.Duration(v) }},
			},
		}},
	}
}

// LoadTarget reads a target file. Every element must be there: a quantity of zero would make any budget hold.
func LoadTarget(path string) (*Target, error) {
	t, err := strictxml.Open(path, targetSpec())
	if err != nil {
		return nil, err
	}
	for _, part := range []struct {
		name  string
		value float64
	}{{"fleet", t.Senders}, {"destinations", t.Destinations}, {"backlog", t.Backlog}, {"configuration", t.ChangesPerDay},
		{"control-budget", t.MemoryMB}, {"failures", t.RestartsPerDay}} {
		if part.value == 0 {
			return nil, &strictxml.Error{File: path, What: "<" + part.name + "> is missing or states 0", Allowed: "quantities over 0"}
		}
	}
	return t, nil
}
