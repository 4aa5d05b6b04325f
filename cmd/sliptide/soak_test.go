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
	soakSubmitDuration = 22 * time.Second // that clients hand messages in
	soakMaxExpiry      = 6 * time.Second  // the longest that a message may be delivered
	clientTimeout      = 400 * time.Millisecond
	killDelay          = 3700 * time.Millisecond // from the SIGTERM of a restart, at the earliest
	startDelay         = 600 * time.Millisecond  // from its end to the next start
	readyTimeout       = 10 * time.Second
	maxIdleConns       = 150 // connections that say nothing
)

// TestSoakOfFaults plays senders with faulty partners, agents, clients, signals and clocks, and judges what all saw.
// SLIPTIDE_SOAK_SEEDS says how many seeds, SLIPTIDE_SOAK_FIRST the first; CI plays a few.
func TestSoakOfFaults(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("SLIPTIDE_SOAK_SEEDS"))
	if err != nil {
		seeds = soakSeedsInCI
	}
	first, _ := strconv.Atoi(os.Getenv("SLIPTIDE_SOAK_FIRST"))
	binaries := []string{shifted(t, 0), shifted(t, time.Hour), shifted(t, -time.Hour), shifted(t, -3*time.Second)}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, uint64(seed), binaries)
		})
	}
}

// soakOnce plays one seed.
func runSoak(t *testing.T, seed uint64, binaries []string) {
	rng := rand.New(rand.NewPCG(seed, 35))
	senders, idleConns := 1+rng.IntN(3), rng.IntN(3) == 0
	s := newSoak(seed)
	stop := make(chan struct{})
	var background sync.WaitGroup // what goes on until all is over
	var load sync.WaitGroup       // what ends with the clients
	nodes := make([]*soakNode, senders)
	done := make(chan struct{})
	for i := range nodes {
		n := newSoakNode(t, s, i, senders, rand.New(rand.NewPCG(seed, 100+uint64(i))))
		nodes[i] = n
		background.Go(func() { n.discardReports(done) })
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
	time.Sleep(soakMaxExpiry + restartSlack + endTolerance) // the time of every message is up then
	accepted, repeated := s.judge()
	halts := 0
	for _, n := range nodes {
		halts += strings.Count(n.rig.logs.String(), "the journal can't be written")
		n.rig.kill(syscall.SIGTERM)
		n.checkExitStatus()
	}
	close(done)
	background.Wait()
	t.Logf("seed %d: %d senders, crowd %v: %d messages taken on, %d calls, %d ran again, %d halts by the disk, %d breaches", seed, senders, idleConns, accepted, s.calls, repeated, halts, len(s.violations))
	if accepted == 0 {
		t.Error("nothing was taken on")
	}
	for _, b := range s.violations[:min(len(s.violations), 20)] {
		t.Error(b)
	}
}

// soakNode is one sender with its platform.
type soakNode struct {
	*soak
	t     *testing.T
	index int
	rig   *rig
	rng   *rand.Rand // of its faults
}

func newSoakNode(t *testing.T, s *soak, index, senderCount int, rng *rand.Rand) *soakNode {
	n := &soakNode{soak: s, t: t, index: index, rng: rng}
	n.rig = makeRig(t, `<log records="true"/><knowledge enabled="true" write-every="1s"/><storms enabled="true"/>`, func(settings, limits map[string]any) {
		settings["balancers"] = senderCount
		settings["services"] = append(settings["services"].([]any),
			map[string]any{"name": "pay", "aim": 2000, "deadline": 20000, "effect": "unsafe", "worth": 2, "late_worth": 0.4})
		limits["sockets"] = 256
	})
	for dest := 20; dest < 23; dest++ {
		for k := range 2 {
			e := newSoakEndpoint(t, s, index, dest)
			n.rig.list = append(n.rig.list, endpoint{ID: fmt.Sprintf("s-%d-%d", dest, k), Addr: e.ln.Addr().String(), Zone: "a", Kind: "one", Cell: dest, State: "up"})
		}
	}
	n.rig.config["known"] = map[string]any{"version": 1, "full": true, "servers": n.rig.list}
	n.rig.config["name"] = fmt.Sprint("n", index)
	return n
}

// drain takes what the sender tells the platform.
func (n *soakNode) discardReports(done <-chan struct{}) {
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

// faults plays one after the other what the seed draws.
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
			n.rig.change(func() { n.rig.silent = true })
			time.Sleep(time.Duration(500+n.rng.IntN(2000)) * time.Millisecond)
			n.rig.change(func() { n.rig.silent = false })
		case 7:
			n.failDisk(time.Duration(50+n.rng.IntN(1500)) * time.Millisecond)
		}
	}
}

// restart ends the sender, by a series of signals or by SIGKILL alone, and starts it again, now and then on a wall clock
// that was stepped.
func (n *soakNode) restart(binaries []string, planned bool) {
	n.senderStopping(n.index)
	var disk sync.WaitGroup // a disk that fails through the end and the start
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
	for n.rig.up() != http.StatusOK {
		if time.Since(launched) > readyTimeout {
			n.violation("n%d is not ready %v after its start", n.index, readyTimeout)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.senderReady(n.index)
}

// wantClean looks at how the process has ended after a SIGTERM.
func (n *soakNode) checkExitStatus() {
	if status := n.rig.proc.ProcessState; !status.Success() {
		n.violation("n%d ended by itself: %v", n.index, status)
	}
}

// fewFiles takes all free descriptors from the sender for a while: accept, socket and open fail with EMFILE.
func (n *soakNode) exhaustDescriptors(d time.Duration) {
	pid := n.rig.proc.Process.Pid
	var original unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return // it has just ended
	}
	lowered := unix.Rlimit{Cur: 8, Max: original.Max}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil)
	time.Sleep(d)
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil)
}

// failDisk makes all that the sender writes in its folder fail for a while.
func (n *soakNode) failDisk(d time.Duration) {
	path := n.rig.state + failWhile
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		n.t.Error(err)
	}
	time.Sleep(d)
	os.Remove(path)
}

// crowd holds connections that say nothing.
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

// soakClient hands messages in, one at a time, on a connection that it keeps as long as that stays open.
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

// errUnanswered is a connection's end without an answer.
var errUnanswered = errors.New("the connection ended without an answer")

// hand hands one message in; on a kept connection that ends without an answer once more, on a new one.
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
		case reused && errors.Is(err, errUnanswered): // it may have crossed the close of a connection that rested
			continue
		case errors.Is(err, errUnanswered) && !c.node.wasUnavailable(sentAt):
			c.node.violation("%s: read on a new connection, which ended without an answer", id)
		}
		return
	}
}

// try writes a request and reads its answer.
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
			return 0, err // the client goes: nothing was promised
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

// isAway reports whether the sender is away, or was after a moment.
func (n *soakNode) wasUnavailable(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.outages[n.index], func(o outage) bool { return o.to.IsZero() || o.to.After(since) })
}
