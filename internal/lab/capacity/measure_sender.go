package capacity

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/discovery"
	"sliptide/internal/journal"
	"sliptide/internal/operator"
	"sliptide/internal/statedir"
	"sliptide/internal/telemetry"
	"sliptide/policy"
)

// Values of the role column in the tables of the page.
const (
	roleSender       = "sender"
	roleHolder       = "holder of copies"
	roleVoter        = "voter"
	roleDistribution = "distribution of lists and configuration"
	roleTelemetry    = "telemetry"
	roleOperator     = "operators' commands"
	roleControl      = "control member, shards on"
)

// eventBytes is the size of the body of each event that the measurements use.
const eventBytes = 500

// Measurements returns all measurements.
func Measurements() []Measurement {
	list := processMeasurements()
	list = append(list, moduleMeasurements()...)
	list = append(list, journalMeasurements()...)
	list = append(list, listMeasurements()...)
	list = append(list, fleetMeasurements()...)
	return append(list, controlMeasurements()...)
}

// moduleSettings returns settings with one class of long-lived messages and space for the given number of held events.
func moduleSettings(held int) policy.Settings {
	return policy.Settings{
		Senders: 1, CallSlots: 8, MaxAttempts: 6, MaxHeld: held, StreamsPerConn: 1, KeepAlive: 15000, DialTimeout: 1500,
		DrainGrace: 500, WarmUpDuration: 9000, ColdCapacity: 0.25, OverloadMultiple: 1.5, OverloadWindow: 3000,
		AllowanceIndex: -1, LimitIndex: -1,
		Kinds: []policy.DestKind{{Name: "partner", Batch: 1}},
		Classes: []policy.Class{{Name: "note", Aim: 4000, Deadline: 8.64e7, Worth: 1, LateWorth: 0.4,
			Effect: policy.Safe}},
	}
}

// moduleEndpoints returns n endpoints, each of a different destination.
func moduleEndpoints(n int) []policy.Endpoint {
	list := make([]policy.Endpoint, n)
	for i := range list {
		list[i] = policy.Endpoint{ID: uint32(i + 1), State: policy.Ready, Dest: i}
	}
	return list
}

// moduleMeasurements returns the measurements of the decision module and of telemetry, in this process.
func moduleMeasurements() []Measurement {
	return []Measurement{{
		Name: "module-destination-memory", Role: roleSender,
		Description: "memory of the decision module for a known destination with one endpoint, idle",
		Unit:        "KB", Per: "destination", Sizes: []int{1000, 3000, 10000, 30000, 100000, 300000},
		Run: func(_ *Env, size int) (float64, error) {
			return heapGrowthBytes(func() any {
				s := policy.New(moduleSettings(1000), 1)
				s.Step(1000, []policy.Event{{Kind: policy.EvList, FullList: true, List: moduleEndpoints(size)}}, nil)
				return s
			}) / 1e3, nil
		},
	}, {
		Name: "module-event-memory", Role: roleSender, Description: "memory of the decision module for a held event",
		Unit: "KB", Per: "held event", Sizes: []int{1000, 3000, 10000, 30000, 100000, 300000},
		Run: func(_ *Env, size int) (float64, error) {
			return heapGrowthBytes(func() any { return moduleWithBacklog(size) }) / 1e3, nil
		},
	}, {
		Name: "module-send", Role: roleSender,
		Description: "processor time of a step that sends the next of one destination's held events",
		Unit:        "us", Per: "held event", Sizes: []int{100, 300, 1000, 3000, 10000, 30000}, Repeats: 3,
		Run: sendStepCPU,
	}, {
		Name: "telemetry-event", Role: roleTelemetry,
		Description: "processor time to assemble an event's records into a trace",
		Unit:        "ms", Per: "event", Sizes: []int{1000, 3000, 10000, 30000, 100000}, Repeats: 3,
		Run: telemetryCPU,
	}}
}

// moduleWithBacklog returns a module that holds the given number of events for one destination, which has no endpoint.
func moduleWithBacklog(events int) *policy.Sender {
	s := policy.New(moduleSettings(2*events), 1)
	batch := make([]policy.Event, events)
	for i := range batch {
		batch[i] = policy.Event{Kind: policy.EvMessage, ID: uint64(i + 1), Dest: 1, Remaining: 8e7, Restored: true}
	}
	s.Step(1000, batch, nil)
	return s
}

// sendStepCPU returns the processor time, in microseconds, of a step that handles an outcome and sends the next event,
// as the mean over 20 steps.
func sendStepCPU(_ *Env, held int) (float64, error) {
	const steps = 20
	s := moduleWithBacklog(held + steps + 8)
	actions := s.Step(1001, []policy.Event{{Kind: policy.EvList, FullList: true,
		List: []policy.Endpoint{{ID: 1, State: policy.Ready, Dest: 1}}}}, nil)
	now, sent := 1001.0, 0
	cpuMillis := threadCPUMillis(func() {
		for range steps {
			var outcomes []policy.Event
			for _, a := range actions {
				if a.Kind == policy.ActSend && len(outcomes) == 0 {
					outcomes = append(outcomes,
						policy.Event{Kind: policy.EvOutcome, ID: a.ID, Endpoint: 1, Outcome: policy.OK, Latency: 5,
							Final: true})
				}
			}
			now += 5
			sent += len(outcomes)
			actions = s.Step(now, outcomes, nil)
		}
	})
	if sent < steps/2 {
		return 0, fmt.Errorf("module sent an event in only %d of %d steps", sent, steps)
	}
	return cpuMillis * 1e3 / steps, nil
}

// telemetryCPU returns the processor time, in milliseconds, to record events and assemble their records into traces.
func telemetryCPU(_ *Env, events int) (float64, error) {
	a := telemetry.NewAssembler(telemetry.Settings{SampledShare: 1, Classes: moduleSettings(1).Classes,
		Export: func(*telemetry.Trace) {}})
	q := telemetry.NewRecorder(1 << 30)
	return threadCPUMillis(func() {
		for i := range events {
			at := float64(i)
			q.Push(telemetry.Record{Kind: telemetry.KindAccepted, Num: uint64(i), At: at, Until: at + 1e4,
				Text: "9b1f03aa5c7e2d41"})
			q.Push(telemetry.Record{Kind: telemetry.KindCallStarted, Num: uint64(i), At: at})
			q.Push(telemetry.Record{Kind: telemetry.KindCallEnded, Num: uint64(i), At: at + 20, Until: at,
				Text: "127.0.0.1:9000"})
			q.Push(telemetry.Record{Kind: telemetry.KindMessageEnded, Num: uint64(i), At: at + 20})
			if i%64 == 63 {
				q.Drain(a.Process)
			}
		}
	}), nil
}

// journalEntry returns the journal entry of an event.
func journalEntry(num uint64, deadline time.Time) *journal.Entry {
	return &journal.Entry{Num: num, Trace: fmt.Sprintf("trace-%016x", num), Key: fmt.Sprintf("key-%016x", num),
		Class: "note", Tenant: "acme", Dest: 1,
		Deadline: deadline.UnixMilli(), Body: bytes.Repeat([]byte("x"), eventBytes)}
}

// fillJournal writes a journal with the given number of accepted events into a directory, which it creates if needed.
func fillJournal(dir string, events int) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	j, _, err := journal.Open(dir, statedir.NewSpace(1<<40).Account())
	if err != nil {
		return err
	}
	deadline := time.Now().Add(23 * time.Hour)
	for i := range events {
		j.Accept(journalEntry(j.NextNumber(), deadline))
		if i%1000 == 999 {
			if err := j.Flush(); err != nil {
				return err
			}
		}
	}
	return j.Close()
}

// withJournal calls measure with a new directory that holds a journal with the given number of events, and removes the
// directory afterwards.
func withJournal(e *Env, events int, measure func(dir string) (float64, error)) (float64, error) {
	dir, err := os.MkdirTemp(e.ScratchDir, "journal-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if err := fillJournal(dir, events); err != nil {
		return 0, err
	}
	return measure(dir)
}

// journalMeasurements returns the measurements of the journal and of the records that holders of copies receive.
func journalMeasurements() []Measurement {
	sizes := []int{300, 1000, 3000, 10000, 30000, 100000}
	return []Measurement{{
		Name: "journal-bytes", Role: roleSender, Description: "size of the journal of held events of 500 bytes", Unit: "KB",
		Per: "held event", Sizes: sizes,
		Run: func(e *Env, size int) (float64, error) {
			return withJournal(e, size, func(dir string) (float64, error) {
				info, err := os.Stat(filepath.Join(dir, "journal"))
				if err != nil {
					return 0, err
				}
				return float64(info.Size()) / 1e3, nil
			})
		},
	}, {
		Name: "journal-replay", Role: roleSender, Description: "processor time to replay the journal", Unit: "ms",
		Per: "held event", Sizes: sizes, Repeats: 3,
		Run: func(e *Env, size int) (float64, error) {
			return withJournal(e, size, func(dir string) (float64, error) {
				var opened *journal.Journal
				var err error
				cpuMillis := threadCPUMillis(func() {
					opened, _, err = journal.Open(dir, statedir.NewSpace(1<<40).Account())
				})
				if err != nil {
					return 0, err
				}
				return cpuMillis, opened.Close()
			})
		},
	}, {
		Name: "copy-bytes", Role: roleHolder,
		Description: "size of all journal records of an event, which are sent to each holder of copies", Unit: "KB", Per: "event",
		Sizes: []int{10, 100, 1000, 10000, 100000},
		Run: func(e *Env, size int) (float64, error) {
			return withJournal(e, 0, func(dir string) (float64, error) { return lifecycleRecordsKB(dir, size) })
		},
	}}
}

// lifecycleRecordsKB returns the size, in 10^3 bytes, of all records of the given number of events, from acceptance to
// the end.
func lifecycleRecordsKB(dir string, events int) (float64, error) {
	j, _, err := journal.Open(dir, statedir.NewSpace(1<<40).Account())
	if err != nil {
		return 0, err
	}
	j.EnableCopies()
	total := 0
	for range events {
		accepted := journalEntry(j.NextNumber(), time.Now().Add(time.Hour))
		j.Accept(accepted)
		j.StartAttempt(accepted, time.Now().UnixMilli(), 0)
		j.EndAttempt(accepted, false)
		j.End(accepted, time.Now().UnixMilli())
		total += len(j.RecordsToCopy())
	}
	return float64(total) / 1e3, j.Close()
}

// listMeasurements returns the measurements of endpoint lists and of operators' files.
func listMeasurements() []Measurement {
	return []Measurement{{
		Name: "list-bytes", Role: roleDistribution, Description: "size of the endpoint list, one endpoint per destination",
		Unit: "KB", Per: "destination",
		Sizes: []int{100, 300, 1000, 3000, 10000, 100000},
		Run: func(_ *Env, size int) (float64, error) {
			return float64(len(listJSON(size, "127.0.0.1:9"))) / 1e3, nil
		},
	}, {
		Name: "list-take", Role: roleDistribution,
		Description: "processor time to parse the whole list and apply it to the decision module", Unit: "ms",
		Per:   "destination",
		Sizes: []int{100, 300, 1000, 3000, 10000, discovery.MaxEndpoints}, Repeats: 9,
		Run: func(_ *Env, size int) (float64, error) {
			text := []byte(listJSON(size, "127.0.0.1:9"))
			policySettings := moduleSettings(1000)
			module := policy.New(policySettings, 1)
			watch := discovery.NewWatch("127.0.0.1:9", &policySettings, 1, zerolog.Nop(), func(l discovery.List) {
				event := policy.Event{Kind: policy.EvList, FullList: l.Full}
				for _, listed := range l.Endpoints {
					event.List = append(event.List, listed.Endpoint)
				}
				module.Step(1000, []policy.Event{event}, nil)
			})
			var err error
			return threadCPUMillis(func() { err = watch.Restore(text) }), err
		},
	}, {
		Name: "member-file", Role: roleDistribution,
		Description: "processor time to read an operators' file that lists the members", Unit: "ms", Per: "sender",
		Sizes: []int{10, 30, 100, 300, operator.MaxMembers}, Repeats: 25,
		Run: func(_ *Env, size int) (float64, error) {
			text := memberFile(size)
			var err error
			return threadCPUMillis(func() { _, err = operator.Read("members.xml", bytes.NewReader(text)) }), err
		},
	}, {
		Name: "member-file-bytes", Role: roleDistribution, Description: "size of an operators' file that lists the members",
		Unit: "KB", Per: "sender",
		Sizes: []int{10, 30, 100, 300, operator.MaxMembers},
		Run:   func(_ *Env, size int) (float64, error) { return float64(len(memberFile(size))) / 1e3, nil },
	}}
}

// memberFile returns an operators' file with the given number of fleet members.
func memberFile(members int) []byte {
	var b bytes.Buffer
	b.WriteString("<sliptide version=\"1\">\n <fleet enabled=\"true\">\n")
	for i := range members {
		fmt.Fprintf(&b, "  <member name=\"sender-%05d\" addr=\"10.%d.%d.%d:7100\" zone=\"zone-%d\" voter=\"%t\"/>\n", i,
			i>>16, i>>8&0xff, i&0xff, i%13, i < 3)
	}
	b.WriteString(" </fleet>\n</sliptide>\n")
	return b.Bytes()
}
