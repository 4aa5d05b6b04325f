package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	soakSeedsInCI      = 3
	soakSubmitDuration = 22 * time.Second // during which clients submit messages
	soakMaxExpiry      = 6 * time.Second  // longest time to deadline of a message
)

// TestSoakOfFaults runs senders against faulty partners, discovery agents, clients, signals, disks and clocks, and
// checks the delivery guarantees against what all of them observed: each accepted message ends in time, no refused one
// is called, no ID is accepted twice, none of a class that forbids it takes effect twice, no two attempts of a message overlap, and no call is
// made during a requested wait. Each sender must answer on new connections, be ready in time after a restart or an
// upgrade and exit with status 0 on SIGTERM. SLIPTIDE_SOAK_SEEDS sets the number of seeds, SLIPTIDE_SOAK_FIRST the first one; CI runs
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
	senders, idleConns, crowd := 1+rng.IntN(3), rng.IntN(3) == 0, rng.IntN(3) == 0
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
		clients := steadyClients
		if crowd {
			clients += crowdSize
		}
		for c := range clients {
			client := &soakClient{node: n, rng: rand.New(rand.NewPCG(seed, 1000+uint64(100*i+c))), name: fmt.Sprintf("%d-%d", i, c), pause: steadyPause}
			if c >= steadyClients {
				client.pause = crowdPause
			}
			load.Go(func() { client.run(stop) })
		}
		if idleConns {
			load.Go(func() { n.openIdleConns(stop) })
		}
		load.Go(func() { n.injectFaults(stop, binaries) })
		load.Go(func() { n.submitTakenIDs(rand.New(rand.NewPCG(seed, 2000+uint64(i))), stop) })
	}
	time.AfterFunc(soakSubmitDuration, func() { close(stop) })
	load.Wait()
	time.Sleep(soakMaxExpiry + restartSlack + endTolerance) // every message is past its deadline
	accepted, repeated := s.judge()
	halts := 0
	for _, n := range nodes {
		halts += strings.Count(n.rig.logs.String(), "the journal can't be written")
		n.rig.kill(syscall.SIGTERM)
		n.checkExitStatus(n.rig.proc)
	}
	close(done)
	background.Wait()
	t.Logf("seed %d: %d senders, idle connections %v, crowd %v: %d messages accepted, %d calls, %d took effect repeatedly, %d halts by the disk, %d upgrades, %d unanswered in them, %d violations", seed, senders, idleConns, crowd, accepted, s.calls, repeated, halts, s.upgrades, s.unansweredInUpgrades, len(s.violations))
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

	endpoints []*soakEndpoint
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
			n.endpoints = append(n.endpoints, e)
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
