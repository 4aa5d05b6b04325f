// Command adapter runs instances of the decision module for the simulator. It reads batches in the simulator's wire
// format from standard input and writes a reply for each to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"sliptide/internal/wire"
	"sliptide/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// instance is a sender and the events that the current batch holds for it. sender is nil once it has been stopped.
type instance struct {
	id      uint32
	sender  *policy.Sender
	events  []policy.Event
	pending bool // the current batch holds a record for it
}

// serve replies to every batch from in until the input ends. A start record begins a new sender; other records of an
// instance that has none are ignored. A panic of the decision module becomes a fault in the reply.
func serve(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	writer := bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*instance{}
	var pending []*instance
	var actions []policy.Action
	var reply wire.Reply
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		pending = pending[:0]
		for i := range batch.Records {
			record := &batch.Records[i]
			inst := instances[record.Instance]
			switch {
			case record.Kind == wire.KindStart:
				if inst == nil {
					inst = &instance{id: record.Instance}
					instances[record.Instance] = inst
				}
				inst.sender, inst.events = policy.New(record.Settings, record.Seed), inst.events[:0]
			case inst == nil || inst.sender == nil:
				continue
			case record.Kind == wire.KindStop:
				inst.sender, inst.events = nil, inst.events[:0]
				continue
			default:
				inst.events = append(inst.events, record.Event)
			}
			if !inst.pending {
				inst.pending = true
				pending = append(pending, inst)
			}
		}
		reply.Reset()
		for _, inst := range pending {
			inst.pending = false
			if inst.sender == nil {
				continue
			}
			if actions, err = step(inst, batch.Now, actions[:0]); err != nil {
				reply.Fault(inst.id, err.Error())
			} else {
				reply.Add(inst.id, actions)
			}
			inst.events = inst.events[:0]
		}
		if err := reply.Write(writer, batch.Seq); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// step passes a batch of events to an instance and converts a panic to an error.
func step(inst *instance, now float64, actions []policy.Action) (out []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decision module: %v", p)
		}
	}()
	return inst.sender.Step(now, inst.events, actions), nil
}
