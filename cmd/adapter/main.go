// Command adapter hosts instances of the decision module on the simulator's
// wire: batches on standard input, replies on standard output.
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

// instance is one sender and what the current batch holds for it.
type instance struct {
	id      uint32
	sender  *policy.Sender
	events  []policy.Event
	touched bool
}

// serve answers every batch of in until it ends.
func serve(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	instances := map[uint32]*instance{}
	var order []*instance
	var actions []policy.Action
	var reply wire.Reply
	for {
		b, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		order = order[:0]
		for i := range b.Records {
			r := &b.Records[i]
			it := instances[r.Instance]
			switch {
			case r.Kind == wire.KindStart:
				if it == nil {
					it = &instance{id: r.Instance}
					instances[r.Instance] = it
				}
				it.sender, it.events = policy.New(r.Settings, r.Seed), it.events[:0]
			case it == nil || it.sender == nil:
				continue
			case r.Kind == wire.KindStop:
				it.sender, it.events = nil, it.events[:0]
				continue
			default:
				it.events = append(it.events, r.Event)
			}
			if !it.touched {
				it.touched = true
				order = append(order, it)
			}
		}
		reply.Reset()
		for _, it := range order {
			it.touched = false
			if it.sender == nil {
				continue
			}
			if actions, err = step(it, b.Now, actions[:0]); err != nil {
				reply.Fault(it.id, err.Error())
			} else {
				reply.Add(it.id, actions)
			}
			it.events = it.events[:0]
		}
		if err := reply.Write(w, b.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", b.Seq, err)
		}
	}
}

// step runs one batch of an instance and turns a panic into an error.
func step(it *instance, now float64, actions []policy.Action) (out []policy.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decision module: %v", p)
		}
	}()
	return it.sender.Step(now, it.events, actions), nil
}
