package main

import (
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	killDelay        = 3700 * time.Millisecond // from SIGTERM to SIGKILL, during a restart and during an upgrade
	startDelay       = 600 * time.Millisecond  // from the end of a process to the next start
	soakReadyTimeout = 10 * time.Second        // from a start to the first yes, during a restart
	upgradeTimeout   = 6 * time.Second         // from the start of a successor to its first yes
	longestHang      = 4500 * time.Millisecond // for which endpoints hang
)

// termSeries are the series of signals that ask a process to stop.
var termSeries = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
}

// injectFaults injects random faults one after the other until stop is closed.
func (n *soakNode) injectFaults(stop <-chan struct{}, binaries []string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+n.rng.IntN(2500)) * time.Millisecond):
		}
		switch n.rng.IntN(11) {
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
			n.exhaustDescriptors(n.rig.proc, time.Duration(100+n.rng.IntN(300))*time.Millisecond)
		case 6:
			n.rig.updateList(func() { n.rig.discoverySilent = true })
			time.Sleep(time.Duration(500+n.rng.IntN(2000)) * time.Millisecond)
			n.rig.updateList(func() { n.rig.discoverySilent = false })
		case 7:
			n.failDisk(time.Duration(50+n.rng.IntN(1500)) * time.Millisecond)
		case 8, 9:
			n.upgrade(binaries)
		case 10:
			for range 2 + n.rng.IntN(2) {
				n.upgrade(binaries)
			}
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
		n.hangSomeEndpoints()
		n.terminate(n.rig.proc, n.rig.exited)
	}
	n.kill(n.index, n.rig.proc, n.rig.exited)
	time.Sleep(startDelay)
	n.rig.binary = n.drawBinary(binaries)
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

// upgrade starts a successor beside the sender, and stops the old process once the successor is ready. Both are one
// sender, so that all guarantees hold meanwhile. In some upgrades the successor or the old process is killed first.
func (n *soakNode) upgrade(binaries []string) {
	var disk sync.WaitGroup // disk writes fail at a random time of the upgrade
	defer disk.Wait()
	if n.rng.IntN(3) == 0 {
		delay := time.Duration(n.rng.IntN(3000)) * time.Millisecond
		disk.Go(func() {
			time.Sleep(delay)
			n.failDisk(time.Second)
		})
	}
	n.hangSomeEndpoints()
	old, oldExited := n.rig.proc, n.rig.exited
	n.launchSuccessor(binaries)
	if n.rng.IntN(5) == 0 { // it dies before it takes over, and another one is started
		n.senderStopping(n.index)
		n.kill(n.index, n.rig.proc, n.rig.exited)
		n.launchSuccessor(binaries)
		n.senderReady(n.index)
	}
	n.upgradeStarting(n.index)
	switch {
	case n.rng.IntN(5) == 0:
		n.killOld(old, oldExited)
	case !n.terminate(old, oldExited):
		n.kill(n.index, old, oldExited)
	}
	select {
	case <-n.rig.exited:
		n.violation("n%d: the successor has ended", n.index)
	default:
	}
}

// launchSuccessor starts a process beside the sender's and waits until it says that it is ready.
func (n *soakNode) launchSuccessor(binaries []string) {
	n.rig.binary = n.drawBinary(binaries)
	admin := n.rig.useFreeAdminAddr()
	launched := time.Now()
	n.rig.launch()
	for !saysReady(admin) {
		if time.Since(launched) > upgradeTimeout {
			n.violation("n%d: the successor is not ready within %v of its start", n.index, upgradeTimeout)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// killOld kills the old process of an upgrade without a warning. What it learnt last is lost, as in a restart.
func (n *soakNode) killOld(old *exec.Cmd, exited <-chan struct{}) {
	n.senderStopping(n.index)
	n.kill(n.index, old, exited)
	n.senderReady(n.index)
}

// terminate sends a process a series of signals to stop, and reports whether it exits before it has to be killed.
func (n *soakNode) terminate(proc *exec.Cmd, exited <-chan struct{}) bool {
	n.aboutToTerminate(n.index)
	for _, sig := range termSeries[n.rng.IntN(len(termSeries))] {
		proc.Process.Signal(sig)
	}
	select {
	case <-exited:
		n.checkExitStatus(proc)
		return true
	case <-time.After(killDelay):
		return false
	}
}

// drawBinary draws the program of the next process.
func (n *soakNode) drawBinary(binaries []string) string { return binaries[n.rng.IntN(len(binaries))] }

// hangSomeEndpoints makes up to half of the endpoints hang for a while.
func (n *soakNode) hangSomeEndpoints() {
	if n.rng.IntN(2) == 0 {
		return
	}
	until := time.Now().Add(time.Duration(n.rng.IntN(int(longestHang/time.Millisecond))) * time.Millisecond)
	for _, k := range n.rng.Perm(len(n.endpoints))[:len(n.endpoints)/2] {
		n.endpoints[k].hangUntil(until)
	}
}

// saysReady reports whether the process with that admin address takes clients.
func saysReady(admin string) bool {
	resp, err := http.Get("http://" + admin + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkExitStatus records a violation if the process did not exit with status 0 after a SIGTERM.
func (n *soakNode) checkExitStatus(proc *exec.Cmd) {
	if status := proc.ProcessState; !status.Success() {
		n.violation("n%d exited with an error: %v", n.index, status)
	}
}

// exhaustDescriptors lowers a process's limit of open files for a while: accept, socket and open fail with EMFILE.
func (n *soakNode) exhaustDescriptors(proc *exec.Cmd, d time.Duration) {
	restore := limitDescriptors(n.t, proc, 8)
	time.Sleep(d)
	restore()
}

// limitDescriptors lowers a process's limit of open files until restore is called. It does nothing if the process has
// ended.
func limitDescriptors(t *testing.T, proc *exec.Cmd, limit uint64) (restore func()) {
	t.Helper()
	pid := proc.Process.Pid
	var original unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
		return func() {}
	}
	lowered := unix.Rlimit{Cur: limit, Max: original.Max}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil)
	return func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &original, nil) }
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
