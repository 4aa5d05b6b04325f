package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
)

// child is a process of a run. The kernel kills it when this process dies.
type child struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// spawn starts a program. Its standard error is appended to a file in the run's directory.
func spawn(ctx context.Context, dir, name string, env []string, in io.Reader, out io.Writer, program string, args ...string) (*child, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := &child{name: name, cmd: exec.CommandContext(ctx, program, args...), exited: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.Stdin, c.cmd.Stdout, c.cmd.Stderr = in, out, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() { c.cmd.Wait(); close(c.exited) }()
	return c, nil
}

// kill kills the process and waits until it has exited. It does nothing for nil.
func (c *child) kill() {
	if c != nil {
		c.cmd.Process.Signal(syscall.SIGKILL)
		<-c.exited
	}
}

// hollowProcess is a process that runs hollow members of one zone.
type hollowProcess struct {
	name        string
	zone        string
	settings    HollowSettings
	child       atomic.Pointer[child]
	mu          sync.Mutex // held while the process is started, killed or sent a command
	commandPipe io.WriteCloser
	encoder     *json.Encoder // of commandPipe; nil while the process is killed
}

// observationLog collects the members' observations in the order of arrival.
type observationLog struct {
	mu             sync.Mutex // guards the fields below
	entries        []Observation
	servingMembers map[int]bool // members that have been assigned a shard since they started
}

func newObservationLog() *observationLog { return &observationLog{servingMembers: map[int]bool{}} }

// add adds an observation, and updates servingMembers. Withdrawn shards do not count: the start of a run only needs to
// know that each member has had one.
func (l *observationLog) add(o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, o)
	switch {
	case len(o.Assigned) > 0:
		l.servingMembers[o.Member] = true
	case o.Kind == Up || o.Kind == Down:
		delete(l.servingMembers, o.Member)
	}
}

// servingCount returns the number of members that have been assigned a shard since they started.
func (l *observationLog) servingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servingMembers)
}

// start starts the process, sends it the settings, and adds its observations to the log until the process exits.
func (h *hollowProcess) start(ctx context.Context, lab, dir string, observations *observationLog) error {
	commandReader, commandWriter, err := os.Pipe()
	if err != nil {
		return err
	}
	observationReader, observationWriter, err := os.Pipe()
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	started, err := spawn(ctx, dir, h.name, []string{"GOMAXPROCS=2"}, commandReader, observationWriter, lab, "scale-members")
	commandReader.Close()
	observationWriter.Close()
	if err != nil {
		return err
	}
	h.child.Store(started)
	h.commandPipe, h.encoder = commandWriter, json.NewEncoder(commandWriter)
	go func() {
		defer observationReader.Close()
		decoder := json.NewDecoder(bufio.NewReaderSize(observationReader, 64<<10))
		for {
			var o Observation
			if decoder.Decode(&o) != nil {
				return
			}
			observations.add(o)
		}
	}()
	return h.encoder.Encode(h.settings)
}

// send sends the process a command. It does nothing for a process that another fault has killed: all its members are
// down, and all of them start when the process is started again.
func (h *hollowProcess) send(command Command) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.encoder == nil {
		return nil
	}
	return h.encoder.Encode(command)
}

// kill kills the process, and records all its members as down.
func (h *hollowProcess) kill(now func() int64, observations *observationLog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.child.Load().kill()
	h.commandPipe.Close()
	h.encoder = nil
	at := now()
	for _, m := range h.settings.Members {
		observations.add(Observation{At: at, Kind: Down, Member: m.Number})
	}
}
