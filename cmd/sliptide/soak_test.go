package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	soakSeedsInCI      = 3
	soakSubmitDuration = 22 * time.Second // during which clients submit messages
	soakMaxExpiry      = 6 * time.Second  // longest time to deadline of a message
	clientTimeout      = 400 * time.Millisecond
	killDelay          = 3700 * time.Millisecond // from SIGTERM to SIGKILL during a restart
	startDelay         = 600 * time.Millisecond  // from the end of a process to the next start
	soakReadyTimeout   = 10 * time.Second
	maxIdleConns       = 150 // open connections without a request
)

// TestSoakOfFaults runs senders against faulty partners, discovery agents, clients, signals, disks and clocks, and
// checks the delivery guarantees against what all of them observed: each accepted message ends in time, no refused one
// is called, none of a class that forbids it takes effect twice, no two attempts of a message overlap, and no call is
// made during a requested wait. Each sender must answer on new connections, be ready in time after a restart and exit
// with status 0 on SIGTERM. SLIPTIDE_SOAK_SEEDS sets the number of seeds, SLIPTIDE_SOAK_FIRST the first one; CI runs
// three.
func TestSoakOfFaults(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("SLIPTIDE_SOAK_SEEDS"))
	if err != nil {
		seeds = soakSeedsInCI
	}
	first, _ := strconv.Atoi(os.Getenv("SLIPTIDE_SOAK_FIRST"))
	binaries := []string{buildWithClockShift(t, 0), buildWithClockShift(t, time.Hour), buildWithClockShift(t, -time.Hour), buildWithClockShift(t, -3*time.Second)}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, uint64(seed), binaries)
		})
	}
}

// runSoak runs one seed.
func runSoak(t *testing.T, seed uint64, binaries []string) {
	rng := rand.New(rand.NewPCG(seed, 35))
	senders, idleConns := 1+rng.IntN(3), rng.IntN(3) == 0
	s := newSoak(seed)
	stop := make(chan struct{})
	var background sync.WaitGroup // runs until the senders have stopped
	var load sync.WaitGroup       // ends when the clients stop
	nodes := make([]*soakNode, senders)
	done := make(chan struct{})
	for i := range nodes {
		n := newSoakNode(t, s, i, senders, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		nodes[i] = n
		background.Go(func() { n.consumeReports(done) })
		n.rig.binary = binaries[0]
		n.rig.start()
		s.startedAt = time.Now()
		for c := range 4 {
			client := &soakClient{node: n, rng: rand.New(rand.NewPCG(seed, 1000+uint64(10*i+c))), name: fmt.Sprintf("%d-%d", i, c)}
			load.Go(func() { client.run(stop) })
		}
		if idleConns {
			load.Go(func() { n.openIdleConns(stop) })
		}
		load.Go(func() { n.injectFaults(stop, binaries) })
	}
	time.AfterFunc(soakSubmitDuration, func() { close(stop) })
	load.Wait()
	time.Sleep(soakMaxExpiry + restartSlack + endTolerance) // every message is past its deadline
	accepted, repeated := s.judge()
	halts := 0
	for _, n := range nodes {
		halts += strings.Count(n.rig.logs.String(), "the journal can't be written")
		n.rig.kill(syscall.SIGTERM)
		n.checkExitStatus()
	}
	close(done)
	background.Wait()
	t.Logf("seed %d: %d senders, idle connections %v: %d messages accepted, %d calls, %d took effect repeatedly, %d halts by the disk, %d violations", seed, senders, idleConns, accepted, s.calls, repeated, halts, len(s.violations))
	if accepted == 0 {
		t.Error("no message was accepted")
	}
	for _, violation := range s.violations[:min(len(s.violations), 20)] {
		t.Error(violation)
	}
}

// soakNode is one sender with the discovery agent, endpoints and clients around it.
type soakNode struct {
	*soak
	t     *testing.T
	index int
	rig   *rig
	rng   *rand.Rand // draws its faults
}

// newSoakNode makes a sender with six endpoints, two for each of three destinations. It does not start the program.
func newSoakNode(t *testing.T, s *soak, index, senderCount int, rng *rand.Rand) *soakNode {
	n := &soakNode{soak: s, t: t, index: index, rng: rng}
	n.rig = newUnstartedRig(t, `<log records="true"/><knowledge enabled="true" write-every="1s"/><storms enabled="true"/>`, func(settings, limits map[string]any) {
		settings["balancers"] = senderCount
		settings["services"] = append(settings["services"].([]any),
			map[string]any{"name": "pay", "aim": 2000, "deadline": 20000, "effect": "unsafe", "worth": 2, "late_worth": 0.4})
		limits["sockets"] = 256
	})
	for dest := 20; dest < 23; dest++ {
		for k := range 2 {
			e := newSoakEndpoint(t, s, index, dest)
			n.rig.endpoints = append(n.rig.endpoints, endpoint{ID: fmt.Sprintf("s-%d-%d", dest, k), Addr: e.ln.Addr().String(), Zone: "a", Kind: "one", Cell: dest, State: "up"})
		}
	}
	n.rig.config["known"] = map[string]any{"version": 1, "full": true, "servers": n.rig.endpoints}
	n.rig.config["name"] = fmt.Sprint("n", index)
	return n
}

// consumeReports records the sender's notices and discards its requests for the endpoint list until done is closed.
func (n *soakNode) consumeReports(done <-chan struct{}) {
	for {
		select {
		case notice := <-n.rig.notices:
			n.noticeReceived(notice.Message)
		case <-n.rig.watches:
		case <-done:
			return
		}
	}
}

// injectFaults injects random faults one after the other until stop is closed.
func (n *soakNode) injectFaults(stop <-chan struct{}, binaries []string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+n.rng.IntN(2500)) * time.Millisecond):
		}
		switch n.rng.IntN(8) {
		case 0, 1:
			n.restart(binaries, true)
		case 2:
			n.restart(binaries, false)
		case 3:
			for range 1 + n.rng.IntN(5) {
				n.rig.proc.Process.Signal(syscall.SIGHUP)
			}
		case 4:
			n.rig.proc.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(50+n.rng.IntN(100)) * time.Millisecond)
			n.rig.proc.Process.Signal(syscall.SIGCONT)
		case 5:
			n.exhaustDescriptors(time.Duration(100+n.rng.IntN(300)) * time.Millisecond)
		case 6:
			n.rig.updateList(func() { n.rig.discoverySilent = true })
			time.Sleep(time.Duration(500+n.rng.IntN(2000)) * time.Millisecond)
			n.rig.updateList(func() { n.rig.discoverySilent = false })
		case 7:
			n.failDisk(time.Duration(50+n.rng.IntN(1500)) * time.Millisecond)
		}
	}
}

// restart stops the sender, with a series of signals if planned or else with SIGKILL alone, and starts it again with a
// binary drawn at random: some of them have a shifted wall clock.
func (n *soakNode) restart(binaries []string, planned bool) {
	n.senderStopping(n.index)
	var disk sync.WaitGroup // disk writes fail from before the stop until after the start
	defer disk.Wait()
	if n.rng.IntN(3) == 0 {
		disk.Go(func() { n.failDisk(2 * time.Second) })
	}
	if planned {
		for _, sig := range [][]syscall.Signal{{syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, {syscall.SIGTERM, syscall.SIGTERM}}[n.rng.IntN(3)] {
			n.rig.proc.Process.Signal(sig)
		}
		select {
		case <-n.rig.exited:
			n.checkExitStatus()
		case <-time.After(killDelay):
		}
	}
	n.rig.kill(syscall.SIGKILL)
	time.Sleep(startDelay)
	n.rig.binary = binaries[n.rng.IntN(len(binaries))]
	launched := time.Now()
	n.rig.launch()
	for n.rig.upStatus() != http.StatusOK {
		if time.Since(launched) > soakReadyTimeout {
			n.violation("n%d is not ready within %v of its start", n.index, soakReadyTimeout)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.senderReady(n.index)
}

// checkExitStatus records a violation if the process did not exit with status 0 after a SIGTERM.
func (n *soakNode) checkExitStatus() {
	if status := n.rig.proc.ProcessState; !status.Success() {
		n.violation("n%d exited with an error: %v", n.index, status)
	}
}

// exhaustDescriptors lowers the sender's limit of open files for a while: accept, socket and open fail with EMFILE.
func (n *soakNode) exhaustDescriptors(d time.Duration) {
	pid := n.rig.proc.Process.Pid
	var original unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return // the process has just exited
	}
	lowered := unix.Rlimit{Cur: 8, Max: original.Max}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil)
	time.Sleep(d)
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil)
}

// failDisk makes all writes to the sender's state directory fail for a while.
func (n *soakNode) failDisk(d time.Duration) {
	path := n.rig.stateDir + diskFailSuffix
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		n.t.Error(err)
	}
	time.Sleep(d)
	os.Remove(path)
}

// openIdleConns keeps opening connections that carry no request, and closes the oldest above maxIdleConns.
func (n *soakNode) openIdleConns(stop <-chan struct{}) {
	var held []net.Conn
	defer func() {
		for _, nc := range held {
			nc.Close()
		}
	}()
	for {
		if nc, err := net.Dial("tcp", n.rig.addr); err == nil {
			held = append(held, nc)
		}
		if len(held) > maxIdleConns {
			held[0].Close()
			held = held[1:]
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// soakClient submits messages, one at a time, on a connection that it reuses as long as it stays open.
type soakClient struct {
	node *soakNode
	rng  *rand.Rand
	name string
	nc   net.Conn
	rd   *bufio.Reader
	used bool // the connection has carried a request
}

func (c *soakClient) run(stop <-chan struct{}) {
	defer c.close()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+c.rng.IntN(150)) * time.Millisecond):
		}
		c.submit(fmt.Sprintf("m-%s-%d", c.name, k))
	}
}

func (c *soakClient) close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// errUnanswered reports a connection that was closed without an answer.
var errUnanswered = errors.New("connection closed without an answer")

// submit submits one message. If a reused connection closes without an answer, it submits once more on a new one.
func (c *soakClient) submit(id string) {
	class := []string{"note", "pay"}[c.rng.IntN(2)]
	expiresIn := time.Duration(700+c.rng.IntN(int(soakMaxExpiry/time.Millisecond)-700)) * time.Millisecond
	sentAt := time.Now()
	c.node.submitted(id, class, c.node.index, sentAt.Add(expiresIn))
	request := strings.Join([]string{"POST /api HTTP/1.1", "Host: app.svc", "X-Trace-Id: " + id, "X-Qos: " + class, "X-Customer: acme",
		fmt.Sprintf("X-Expires-In: %.3f", expiresIn.Seconds()), "Idempotency-Key: key-" + id, "Content-Length: 4",
		fmt.Sprintf("X-Route-To: dest=%d", 20+c.rng.IntN(3)), "", "body"}, "\r\n")
	for {
		reused := c.nc != nil && c.used
		status, err := c.send(request)
		switch {
		case err == nil:
			c.node.submissionAnswered(id, status)
			return
		case reused && errors.Is(err, errUnanswered): // the request may have crossed the sender's close of an idle connection
			continue
		case errors.Is(err, errUnanswered) && !c.node.wasUnavailable(sentAt):
			c.node.violation("%s: sent on a new connection, which was closed without an answer", id)
		}
		return
	}
}

// send writes a request and reads the status of its answer.
func (c *soakClient) send(request string) (int, error) {
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.node.rig.addr, clientTimeout)
		if err != nil {
			return 0, err
		}
		c.nc, c.rd, c.used = nc, bufio.NewReader(nc), false
	}
	c.nc.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.nc.Write([]byte(request)); err != nil {
		c.close()
		return 0, errUnanswered
	}
	resp, err := http.ReadResponse(c.rd, nil)
	if err != nil {
		c.close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err // the client gives up; it has received no 202
		}
		return 0, errUnanswered
	}
	resp.Body.Close()
	c.used = true
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}

// wasUnavailable reports whether the sender is unavailable, or was at any time after since.
func (n *soakNode) wasUnavailable(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.outages[n.index], func(o outage) bool { return o.to.IsZero() || o.to.After(since) })
}
