package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sliptide/internal/fleet/shard"
)

// changeTimeout is the time within which a change must take effect at every reachable sender.
const changeTimeout = 20 * time.Second

// controlRegion is the three control members of one region, as processes.
type controlRegion struct {
	t         *testing.T
	discovery string
	replicas  int
	members   []*controlMember
}

// controlMember is one control member with its process.
type controlMember struct {
	name, addr, directory, path string
	proc                        *exec.Cmd
	logs                        logBuffer
	exited                      chan struct{}
}

// newControlRegion starts three control members, which are killed at the end of the test.
func newControlRegion(t *testing.T, discovery string, replicas int) *controlRegion {
	c := &controlRegion{t: t, discovery: discovery, replicas: replicas}
	for i := range 3 {
		m := &controlMember{name: fmt.Sprintf("control-%d", i), addr: reserveAddr(t), directory: reserveAddr(t)}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		dir := t.TempDir()
		m.path = filepath.Join(dir, "control.xml")
		var text strings.Builder
		fmt.Fprintf(&text, `<control version="1" name=%q state="state" discovery=%q replicas="%d">`, m.name, discovery, replicas)
		for _, other := range c.members {
			fmt.Fprintf(&text, `<member name=%q addr=%q directory=%q region="r" voter="true"/>`, other.name, other.addr, other.directory)
		}
		text.WriteString(`<duties lease="1s" election="300ms"/></control>`)
		if err := os.WriteFile(m.path, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
		c.start(m)
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.kill(m)
			if s := m.logs.String(); t.Failed() || strings.Contains(s, "DATA RACE") || strings.Contains(s, "panic") {
				t.Errorf("log of %s:\n%s", m.name, s)
			}
		}
	})
	return c
}

func (c *controlRegion) start(m *controlMember) {
	m.proc = exec.Command(binary, "control", "run", m.path)
	m.proc.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	m.proc.Stderr = &m.logs
	if err := m.proc.Start(); err != nil {
		c.t.Fatal(err)
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(proc *exec.Cmd) { proc.Wait(); close(exited) }(m.proc)
}

func (c *controlRegion) kill(m *controlMember) {
	if m.proc != nil {
		m.proc.Process.Signal(syscall.SIGKILL)
		<-m.exited
		m.proc = nil
	}
}

// leader returns the running control member whose last logged change of leadership is that it became leader.
func (c *controlRegion) leader() *controlMember {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range c.members {
			if s := m.logs.String(); m.proc != nil && strings.LastIndex(s, "directory: became leader\"") > strings.LastIndex(s, "no longer leads\"") {
				return m
			}
		}
	}
	c.t.Fatal("no control member leads")
	return nil
}

// operatorXML returns the content of a sender's operators' file.
func (c *controlRegion) operatorXML(zone string) string {
	var text strings.Builder
	fmt.Fprintf(&text, `<fleet><shards enabled="true" region="r" zone=%q replicas="%d">`, zone, c.replicas)
	for _, m := range c.members {
		fmt.Fprintf(&text, `<control name=%q addr=%q region="r"/>`, m.name, m.directory)
	}
	return text.String() + `</shards></fleet>`
}

// shardedFleet is the senders of one sharded fleet. They share the discovery of the first one, whose list has the
// destinations, all of one partner.
type shardedFleet struct {
	t            *testing.T
	control      *controlRegion
	rigs         []*rig
	mu           sync.Mutex
	calls        map[string]int // received by the partner, by message ID
	blockedCalls map[string]chan struct{}
}

// newShardedFleet starts the control members and makes the senders, without starting them. The partner requests a wait
// of 2 s at the first call of the message "held", and answers a message in blockedCalls once its channel is closed.
func newShardedFleet(t *testing.T, senders, destinations, replicas int) *shardedFleet {
	t.Parallel()
	s := &shardedFleet{t: t, calls: map[string]int{}, blockedCalls: map[string]chan struct{}{}}
	first := makeShardRig(t, "")
	partner := first.endpointWithHandler("partner", 0, func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Trace-Id")
		s.mu.Lock()
		s.calls[id]++
		wait := s.blockedCalls[id]
		s.mu.Unlock()
		if id == "held" && s.callCount(id) == 1 {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if wait != nil {
			<-wait
		}
	})
	first.updateList(func() {
		first.endpoints = nil
		for d := range destinations {
			e := partner
			e.ID, e.Cell = fmt.Sprintf("e-%d", d), d
			first.endpoints = append(first.endpoints, e)
		}
	})
	s.control = newControlRegion(t, first.config["discovery"].(string), replicas)
	s.rigs = append(s.rigs, first)
	for len(s.rigs) < senders {
		s.rigs = append(s.rigs, makeShardRig(t, ""))
	}
	for i, r := range s.rigs {
		s.configureRig(i, r)
	}
	return s
}

// makeShardRig makes a rig with one class whose deadline outlasts a change of shards. It does not start the program.
func makeShardRig(t *testing.T, operatorXML string) *rig {
	return newUnstartedRig(t, operatorXML, func(settings, _ map[string]any) {
		settings["services"] = []any{map[string]any{"name": "note", "aim": 4000, "deadline": 60000, "effect": "keyed", "key_scope": "all", "memory_span": 60000, "worth": 1, "late_worth": 0.4}}
	})
}

func (s *shardedFleet) configureRig(i int, r *rig) {
	r.config["name"] = fmt.Sprintf("sender-%d", i)
	r.config["known"] = map[string]any{"version": 0, "full": true, "servers": []any{}}
	r.writeOperatorFile(s.control.operatorXML(fmt.Sprintf("z%d", i)))
}

// submit submits a message and returns the status, and the senders that serve its destination if the answer names them.
func (s *shardedFleet) submit(i int, id string, dest int) (status int, servers []string) {
	s.t.Helper()
	response, err := s.rigs[i].trySubmit(id, dest, 50, "x")
	if err != nil {
		return 0, nil
	}
	if text := response.Header.Get("X-Belongs-To"); text != "" {
		servers = strings.Split(text, ", ")
	}
	return response.StatusCode, servers
}

// awaitServed waits until the messages of each destination are accepted by as many senders as are to serve it, and the
// others refuse them and name these senders.
func (s *shardedFleet) awaitServed(round string, running []int, destinations, replicas int) {
	s.t.Helper()
	mismatch := ""
	for end := time.Now().Add(changeTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		mismatch = ""
		for d := range destinations {
			var accepting, named []string
			for _, i := range running {
				status, servers := s.submit(i, fmt.Sprintf("%s-%d-%d-%d", round, d, i, time.Now().UnixNano()), d)
				switch status {
				case 202:
					accepting = append(accepting, fmt.Sprintf("sender-%d", i))
				case 421:
					named = servers
				default:
					mismatch = fmt.Sprintf("destination %d: sender-%d answers unexpected status %d", d, i, status)
				}
			}
			slices.Sort(named)
			if len(accepting) != min(replicas, len(running)) || len(running) > replicas && !slices.Equal(accepting, named) {
				mismatch = fmt.Sprintf("destination %d: accepted by %v, others name %v", d, accepting, named)
			}
			if mismatch != "" {
				break
			}
		}
		if mismatch == "" {
			return
		}
	}
	s.t.Fatalf("%s: still %s, %v after the change", round, mismatch, changeTimeout)
}

// TestShards checks that senders of a sharded fleet accept messages for destinations of their own shards only, and
// answer others with 421 and the names of the senders that serve them. That must hold again within 20 s after the
// leader of the control members is killed and a destination is added, and after a sender is killed and restarted.
func TestShards(t *testing.T) {
	const destinations, replicas = 12, 2
	s := newShardedFleet(t, 3, destinations, replicas)
	for _, r := range s.rigs {
		r.start()
	}
	s.awaitServed("first", []int{0, 1, 2}, destinations, replicas)

	s.control.kill(s.control.leader())
	first := s.rigs[0]
	first.updateList(func() { // adds a destination with the same endpoint
		e := first.endpoints[0]
		e.ID, e.Cell = "e-new", destinations
		first.endpoints = append(first.endpoints, e)
	})
	s.awaitServed("a further destination", []int{0, 1, 2}, destinations+1, replicas)

	s.rigs[2].kill(syscall.SIGKILL)
	s.awaitServed("two are left", []int{0, 1}, destinations+1, replicas)
	s.rigs[2].start()
	s.awaitServed("back", []int{0, 1, 2}, destinations+1, replicas)
}

// TestLeavingShardEndsItsMessagesHere moves a shard away from a sender that has a call in flight and holds a message:
// both end at this sender, while new messages are refused with the name of the sender that serves the destination now.
func TestLeavingShardEndsItsMessagesHere(t *testing.T) {
	const destinations, replicas = 40, 1
	s := newShardedFleet(t, 3, destinations, replicas)
	table := shard.NewTable(replicas)
	table.Update([]shard.Member{{Name: "sender-0", Zone: "z0", Weight: 1}, {Name: "sender-1", Zone: "z1", Weight: 1}}, nil)
	before := map[int]string{}
	for d := range destinations {
		before[d] = table.Replicas(shard.Of(uint64(d)))[0]
	}
	table.Update([]shard.Member{{Name: "sender-2", Zone: "z2", Weight: 1}}, nil)
	movingDest, owner := -1, 0
	for d := range destinations {
		if table.Replicas(shard.Of(uint64(d)))[0] == "sender-2" {
			movingDest = d
			owner = int(before[d][len("sender-")] - '0')
		}
	}
	if movingDest < 0 {
		t.Fatal("no destination moves to the new sender")
	}
	s.rigs[0].start()
	s.rigs[1].start()
	s.awaitServed("two", []int{0, 1}, destinations, replicas)

	release := make(chan struct{})
	s.mu.Lock()
	s.blockedCalls["out"] = release
	s.mu.Unlock()
	if status, _ := s.submit(owner, "out", movingDest); status != 202 {
		t.Fatalf("message \"out\": status %d, want 202", status)
	}
	if status, _ := s.submit(owner, "held", movingDest); status != 202 {
		t.Fatalf("message \"held\": status %d, want 202", status)
	}
	s.await("one call is in flight, and a wait is requested for the other message", func() bool { return s.calls["out"] == 1 && s.calls["held"] == 1 })
	s.rigs[2].start()
	for end := time.Now().Add(changeTimeout); ; time.Sleep(50 * time.Millisecond) {
		status, servers := s.submit(owner, fmt.Sprintf("new-%d", time.Now().UnixNano()), movingDest)
		if status == 421 && slices.Equal(servers, []string{"sender-2"}) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("destination %d moves from sender-%d to sender-2: a new message is answered %d, %v", movingDest, owner, status, servers)
		}
	}
	close(release)
	s.await("the held message is called again after its wait", func() bool { return s.calls["held"] == 2 })
	s.awaitServed("three", []int{0, 1, 2}, destinations, replicas)
	// Both have ended at their sender, by delivery: it knows them as accepted, and no sender gave a notice of return or
	// abandonment. A call in flight for over 2.5 s, as it may be here, is abandoned and repeated.
	for _, id := range []string{"out", "held"} {
		if status, _ := s.submit(owner, id, movingDest); status != 409 {
			t.Errorf("message %q resubmitted to its sender: status %d, want 409", id, status)
		}
	}
	for i, r := range s.rigs {
		select {
		case n := <-r.notices:
			t.Errorf("sender-%d: notice %+v, want none", i, n)
		default:
		}
	}
}

// callCount returns the number of calls of a message that the partner received.
func (s *shardedFleet) callCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[id]
}

// TestSenderStoppedPastSubscription stops a sender for longer than its subscription lasts, and resumes it: the others
// serve its destinations meanwhile, and it accepts no messages by its outdated table once it has the new one. Its own
// timers cannot show it that it was stopped, since its process did not run.
func TestSenderStoppedPastSubscription(t *testing.T) {
	const destinations, replicas = 12, 2
	s := newShardedFleet(t, 3, destinations, replicas)
	for _, r := range s.rigs {
		r.start()
	}
	s.awaitServed("first", []int{0, 1, 2}, destinations, replicas)
	s.rigs[1].proc.Process.Signal(syscall.SIGSTOP)
	s.awaitServed("one is stopped", []int{0, 2}, destinations, replicas)
	s.rigs[1].proc.Process.Signal(syscall.SIGCONT)
	s.awaitServed("woken", []int{0, 1, 2}, destinations, replicas)
}

// await polls until holds, called with the lock held, returns true, or fails the test.
func (s *shardedFleet) await(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s", what)
		}
	}
}
