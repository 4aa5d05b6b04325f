// Package capacity estimates how large a fleet the program supports. It measures how the state, messages and processor
// time of each component grow with size (slopes), multiplies the slopes by the quantities of a target fleet, compares
// the products with the target's budgets and with the bounds in the code, and writes the tables of docs/CAPACITY.md.
//
// Measurements are recorded as JSON; the tables use only this record, the target and the bounds.
package capacity

import (
	"strconv"
	"time"

	"sliptide/internal/strictxml"
)

// Target describes the fleet that the operators plan: its quantities and its budgets.
type Target struct {
	Senders            float64
	Regions            float64
	Zones              float64
	EventsPerSecond    float64 // of the whole fleet
	EventBytes         float64 // assumed size of an event's body
	Destinations       float64
	DownPercent        float64       // of destinations, at any time
	Backlog            float64       // events, of the whole fleet
	ChangesPerDay      float64       // to the configuration
	InForceWithin      time.Duration // time within which a change must be in force at every sender
	CorePercent        float64       // per sender, of one core, for control
	MemoryMB           float64       // per sender, for control, in 10^6 bytes
	LinkKBPerSecond    float64       // per sender, for control, in 10^3 bytes per second
	ControlMachines    float64       // set aside for control, for the whole fleet
	MachinesLostPerDay float64
	RestartsPerDay     float64       // restarted or replaced processes
	ReadyWithin        time.Duration // time within which a restarted process must be ready
}

// EventsPerSecondPerSender returns the rate at which one sender accepts events.
func (t *Target) EventsPerSecondPerSender() float64 { return t.EventsPerSecond / t.Senders }

// BacklogPerSender returns the maximum number of events that one sender holds.
func (t *Target) BacklogPerSender() float64 { return t.Backlog / t.Senders }

// DownDestinations returns the number of destinations that are down at any time.
func (t *Target) DownDestinations() float64 { return t.Destinations * t.DownPercent / 100 }

// Scaled returns the target with its fleet-wide quantities (senders, destinations, events, changes, failures)
// multiplied by share. The load and backlog of one sender are unchanged.
func (t *Target) Scaled(share float64) *Target {
	scaled := *t
	for _, quantity := range []*float64{&scaled.Senders, &scaled.EventsPerSecond, &scaled.Destinations, &scaled.Backlog,
		&scaled.ChangesPerDay, &scaled.MachinesLostPerDay, &scaled.RestartsPerDay} {
		*quantity *= share
	}
	return &scaled
}

// numberAttribute returns a required attribute that holds a decimal number.
func numberAttribute(name, doc string, set func(*Target, float64)) strictxml.Attribute[Target] {
	return strictxml.Attribute[Target]{Name: name, Required: true, Doc: doc,
		Values: strictxml.Text(`[0-9]{1,15}(\.[0-9]{1,6})?`, "a decimal number"),
		SetText: func(t *Target, text string) {
			value, _ := strconv.ParseFloat(text, 64) // cannot fail: the pattern admits decimal numbers only
			set(t, value)
		}}
}

// targetSpec returns the elements and attributes of target files.
func targetSpec() *strictxml.Element[Target] {
	type attribute = strictxml.Attribute[Target]
	type element = strictxml.Element[Target]
	return &element{
		Name: "capacity-target", Doc: "The fleet that the operators plan: quantities and budgets.",
		Attrs: []attribute{{Name: "version", Required: true, Doc: "The version of the file format.",
			Values: strictxml.OneOf("1")}},
		Children: []element{{
			Name: "fleet", Doc: "The senders and their load.", Attrs: []attribute{
				numberAttribute("senders", "Number of senders in all regions.", func(t *Target, v float64) { t.Senders = v }),
				numberAttribute("regions", "Regions.", func(t *Target, v float64) { t.Regions = v }),
				numberAttribute("zones", "Number of zones in all regions together.", func(t *Target, v float64) { t.Zones = v }),
				numberAttribute("events-per-second", "Events per second that the fleet accepts.",
					func(t *Target, v float64) { t.EventsPerSecond = v }),
				numberAttribute("event-bytes", "Size of an event's body, in bytes.",
					func(t *Target, v float64) { t.EventBytes = v }),
			},
		}, {
			Name: "destinations", Doc: "The destinations of events.", Attrs: []attribute{
				numberAttribute("count", "Destinations.", func(t *Target, v float64) { t.Destinations = v }),
				numberAttribute("down-percent", "Percentage of the destinations that are down at any time.",
					func(t *Target, v float64) { t.DownPercent = v }),
			},
		}, {
			Name: "backlog", Doc: "The largest backlog.", Attrs: []attribute{
				numberAttribute("events", "Events held by all senders together.", func(t *Target, v float64) { t.Backlog = v }),
			},
		}, {
			Name: "configuration", Doc: "Configuration changes, which apply to all senders.", Attrs: []attribute{
				numberAttribute("changes-per-day", "Changes.", func(t *Target, v float64) { t.ChangesPerDay = v }),
				{Name: "in-force-within", Required: true, Doc: "Time within which a change must be in force at every sender.",
					Values:    strictxml.Duration(time.Second, time.Hour),
					SetNumber: func(t *Target, v int64) { t.InForceWithin = time.Duration(v) }},
			},
		}, {
			Name: "control-budget", Doc: "What one sender may spend on control, and the machines set aside for it.",
			Attrs: []attribute{
				numberAttribute("core-percent", "Processor time, in percent of one core.", func(t *Target, v float64) { t.CorePercent = v }),
				numberAttribute("memory-mb", "Memory, in 10^6 bytes.", func(t *Target, v float64) { t.MemoryMB = v }),
				numberAttribute("link-kb-per-second", "Traffic on links, in 10^3 bytes per second.",
					func(t *Target, v float64) { t.LinkKBPerSecond = v }),
				numberAttribute("machines", "Number of machines set aside for control.",
					func(t *Target, v float64) { t.ControlMachines = v }),
			},
		}, {
			Name: "failures", Doc: "Failures and restarts.", Attrs: []attribute{
				numberAttribute("machines-per-day", "Machines lost per day.",
					func(t *Target, v float64) { t.MachinesLostPerDay = v }),
				numberAttribute("restarts-per-day", "Processes restarted or replaced per day.",
					func(t *Target, v float64) { t.RestartsPerDay = v }),
				{Name: "ready-within", Required: true, Doc: "Time within which a restarted process must be ready.",
					Values:    strictxml.Duration(time.Second, time.Hour),
					SetNumber: func(t *Target, v int64) { t.ReadyWithin = time.Duration(v) }},
			},
		}},
	}
}

// LoadTarget reads a target file. Every element is required, since any budget would hold for a quantity of zero. Errors
// are of type *strictxml.Error.
func LoadTarget(path string) (*Target, error) {
	t, err := strictxml.Open(path, targetSpec())
	if err != nil {
		return nil, err
	}
	for _, element := range []struct {
		name  string
		value float64
	}{{"fleet", t.Senders}, {"destinations", t.Destinations}, {"backlog", t.Backlog},
		{"configuration", t.ChangesPerDay},
		{"control-budget", t.MemoryMB}, {"failures", t.RestartsPerDay}} {
		if element.value == 0 {
			return nil, &strictxml.Error{File: path, What: "<" + element.name + "> is missing or states 0",
				Allowed: "quantities over 0"}
		}
	}
	return t, nil
}
