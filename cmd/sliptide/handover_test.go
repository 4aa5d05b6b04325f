package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sliptide/internal/statedir"
)

// upgrade runs a sender's old process and, beside it, its successor.
type upgrade struct {
	*rig
	successor     *exec.Cmd
	successorLogs logBuffer
	conn          net.Conn // to the old process, unless a test opens another
	reader        *bufio.Reader
}

// newUpgrade starts a sender, connects to it, and then starts its successor.
func newUpgrade(t *testing.T, kinds ...string) *upgrade {
	t.Helper()
	return newUpgradeOf(t, binary, `<log records="true"/>`, kinds...)
}

// newUpgradeOf is newUpgrade with the given program and operators' file.
func newUpgradeOf(t *testing.T, program, operator string, kinds ...string) *upgrade {
	t.Helper()
	t.Parallel()
	u := &upgrade{rig: newUnstartedRig(t, operator, nil, kinds...)}
	u.binary = program
	u.start()
	conn, err := net.Dial("tcp", u.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	u.conn, u.reader = conn, bufio.NewReader(conn)
	u.submitAccepted("first", 0, 10) // the connection stays with the old process from here on
	u.expectCallFor("first").respond(200)
	u.successor, _ = u.startSuccessor(&u.successorLogs)
	return u
}

// startSuccessor starts a further process of the sender and waits until it has started. ended is closed when it has
// ended.
func (r *rig) startSuccessor(logs *logBuffer) (successor *exec.Cmd, ended <-chan struct{}) {
	r.t.Helper()
	successor, ended = r.launchSuccessor(logs)
	logs.await(r.t, `"started"`)
	return successor, ended
}

// launchSuccessor is startSuccessor without the wait.
func (r *rig) launchSuccessor(logs *logBuffer) (successor *exec.Cmd, ended <-chan struct{}) {
	r.t.Helper()
	successor = exec.Command(r.proc.Path, r.proc.Args[1:]...)
	successor.Env = r.proc.Env
	successor.Stderr = logs
	if err := successor.Start(); err != nil {
		r.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() { successor.Wait(); close(exited) }()
	r.t.Cleanup(func() { successor.Process.Kill(); <-exited })
	return successor, exited
}

// submitAccepted submits a message on the connection, which must be accepted, and returns its deadline.
func (u *upgrade) submitAccepted(id string, dest int, expiresIn float64) (deadline time.Time) {
	u.t.Helper()
	deadline = time.Now().Add(time.Duration(expiresIn * float64(time.Second)))
	u.conn.SetDeadline(time.Now().Add(testTimeout))
	if err := u.submitOn(id, dest, expiresIn); err != nil {
		u.t.Fatalf("message %s: %v", id, err)
	}
	return deadline
}

// submitOn submits a message on the connection. It returns an error if the message is not accepted.
func (u *upgrade) submitOn(id string, dest int, expiresIn float64) error {
	fmt.Fprintf(u.conn, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: note\r\nX-Customer: acme\r\nX-Expires-In: %.3f\r\n"+
		"Idempotency-Key: key-%s\r\nX-Route-To: dest=%d\r\nContent-Length: 0\r\n\r\n", id, expiresIn, id, dest)
	resp, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != 202 {
		return errors.New(resp.Status)
	}
	return nil
}

// expectNoticeBy waits for the notice of the message and fails the test if it comes later than endTolerance past the
// deadline.
func (r *rig) expectNoticeBy(id string, deadline time.Time) {
	r.t.Helper()
	n := r.nextNotice()
	if late := time.Since(deadline); n.Message != id || late > endTolerance {
		r.t.Errorf("notice %+v %v after the deadline of %s, want its notice within %v", n, late, id, endTolerance)
	}
}

// Guards against messages that end too late since the process that holds them is handing over.
func TestMessageDueDuringHandOverEndsInTime(t *testing.T) {
	u := newUpgrade(t, "one", "one")
	u.submitAccepted("hangs", 0, 15) // its call keeps the old process from exiting
	u.expectCallFor("hangs")
	due := u.submitAccepted("due", 1, 1.8)
	attempt := u.expectCallFor("due")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`)
	attempt.respond(500) // the module orders the next attempt during the hand-over
	u.expectNoticeBy("due", due)
	select {
	case <-u.exited:
		t.Error("the old process exited before the notice")
	default:
	}
}

// Guards against messages that end too late since a successor accepted them before it took over.
func TestMessageDueBeforeTakeOverEndsInTime(t *testing.T) {
	u := newUpgrade(t, "one", "one")
	u.submitAccepted("hangs", 0, 15)
	u.expectCallFor("hangs")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`) // its listener is closed: new connections go to the successor
	due := time.Now().Add(time.Second)
	u.mustSubmit("due", 1, 1, "")
	u.expectNoticeBy("due", due)
}

// Guards against an old process that is killed before it has written its last outcomes, since a client delayed its stop.
func TestHandOverEndsBeforeKill(t *testing.T) {
	u := newUpgrade(t, "one", "one")
	u.submitAccepted("slow", 1, 10)
	slow := u.expectCallFor("slow")
	time.AfterFunc(time.Second, func() { slow.respond(200) }) // so slow that the next call may take longer than killDelay
	u.awaitLog(`"end":"delivered","num":2,`)
	u.submitAccepted("hangs", 1, 15)
	u.expectCallFor("hangs")
	fmt.Fprint(u.conn, "POST /api HTTP/1.1\r\n") // half a request
	u.proc.Process.Signal(syscall.SIGTERM)
	select {
	case <-u.exited:
	case <-time.After(killDelay):
		t.Errorf("the old process runs %v after SIGTERM", killDelay)
	}
}

// Guards against a takeover that waits for clients of the old process that never close their connections.
func TestTakeOverDoesNotWaitForClients(t *testing.T) {
	u := newUpgrade(t, "one")
	u.submitAccepted("hangs", 0, 15)
	hangs := u.expectCallFor("hangs")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`)
	hangs.respond(200) // u.conn stays open
	u.successorLogs.await(t, "took over from the previous version")
	select {
	case <-u.exited:
		t.Error("the old process did not wait for its clients, so that the test shows nothing")
	default:
	}
}

// Guards against a successor that gives up the old process's messages, or stands still, since a file cannot be opened.
func TestTakeOverWithoutDescriptors(t *testing.T) {
	u := newUpgrade(t, "one", "one")
	u.submitAccepted("hangs", 0, 15)
	hangs := u.expectCallFor("hangs")
	u.submitAccepted("held", 1, 15)
	held := u.expectCallFor("held")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`)
	held.respond(500) // the successor has to try it again
	u.conn.Close()
	conn, err := net.Dial("tcp", u.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	u.conn, u.reader = conn, bufio.NewReader(conn) // to the successor
	u.submitAccepted("before", 0, 15)
	restore := limitDescriptors(t, u.successor, 3)
	hangs.respond(200)
	u.successorLogs.await(t, "taking over from the old process failed")
	for _, id := range []string{"during", "meanwhile"} {
		conn.SetDeadline(time.Now().Add(clientTimeout))
		if err := u.submitOn(id, 0, 15); err != nil {
			t.Errorf("%s, while the successor cannot open files: %v", id, err)
		}
	}
	restore()
	waiting := map[string]bool{"held": true, "before": true, "during": true, "meanwhile": true}
	for len(waiting) > 0 {
		c := u.nextCall()
		delete(waiting, c.id())
		c.respond(200)
	}
}

// Guards against a process that cannot start, or takes the directory, while another one is about to take over.
func TestStartDuringTakeOver(t *testing.T) {
	u := newUpgrade(t, "one")
	u.submitAccepted("hangs", 0, 15)
	hangs := u.expectCallFor("hangs")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`)
	var logs logBuffer
	_, ended := u.launchSuccessor(&logs)
	logs.await(t, "another process is about to take over")
	hangs.respond(200)
	u.successorLogs.await(t, "took over from the previous version")
	logs.await(t, `"started"`)
	u.successor.Process.Signal(syscall.SIGTERM)
	logs.await(t, "took over from the previous version")
	select {
	case <-ended:
		t.Errorf("the third process has ended: %s", logs.String())
	default:
	}
}

// Guards against a start that takes the state directory from a successor which waits for it.
func TestFreeStateDirIsLeftToWaitingSuccessor(t *testing.T) {
	dir, log := t.TempDir(), zerolog.Nop()
	successorLock, err := statedir.LockSuccessor(dir)
	if err != nil {
		t.Fatal(err)
	}
	if locks, err := tryLockStateDir(dir, "127.0.0.1:1", log); !errors.Is(err, statedir.ErrSuccessorWaiting) {
		t.Fatalf("locks %+v, error %v while a successor waits, want ErrSuccessorWaiting", locks, err)
	}
	lock, err := statedir.Lock(dir, 0)
	if err != nil {
		t.Fatalf("the directory is not free for the successor: %v", err)
	}
	lock.Unlock()
	successorLock.Unlock()
	if locks, err := tryLockStateDir(dir, "127.0.0.1:1", log); err != nil || locks.waiting() {
		t.Errorf("locks %+v, error %v without a successor, want the directory", locks, err)
	}
}

// Guards against messages that a successor accepted and that nobody has after it died before it took over.
func TestSuccessorDiesBeforeTakeOver(t *testing.T) {
	u := newUpgrade(t, "one")
	called := map[string]int{}
	for i := range 20 {
		id := fmt.Sprint("m-", i)
		u.mustSubmitOnNewConn(id, 0, 15)
		called[id] = 0
	}
	u.successor.Process.Kill()
	var logs logBuffer
	u.startSuccessor(&logs)
	u.proc.Process.Signal(syscall.SIGTERM)
	for left := len(called); left > 0; left-- {
		c := u.nextCall()
		called[c.id()]++
		c.respond(200)
	}
	u.await(u.exited, "the old process exits")
	for id, n := range called {
		if n != 1 {
			t.Errorf("%s called %d times, want once", id, n)
		}
	}
	if !strings.Contains(logs.String(), `"restored":`) || strings.Contains(logs.String(), `"restored":0,"listen"`) {
		t.Error("the dead successor had accepted nothing, so that the test shows nothing")
	}
}

// Guards against calls during a requested wait that the old process could not write down before it handed over.
func TestRequestedWaitOutlastsHandOverOnFailingDisk(t *testing.T) {
	const wait = 1500 * time.Millisecond
	u := newUpgradeOf(t, buildWithClockShift(t, 0), `<knowledge enabled="true" write-every="1s"/>`, "one")
	u.submitAccepted("waits", 0, 15)
	call := u.expectCallFor("waits")
	u.proc.Process.Signal(syscall.SIGTERM)
	u.awaitLog(`"handing_over":true`)
	disk := u.stateDir + diskFailSuffix
	if err := os.WriteFile(disk, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	call.respond(503, "Retry-After", fmt.Sprint(wait.Seconds()))
	requestedAt := time.Now()
	u.awaitLog("state directory released")
	if err := os.Remove(disk); err != nil { // so that the successor can send
		t.Fatal(err)
	}
	if early := wait - u.expectCallFor("waits").at.Sub(requestedAt); early > 0 {
		t.Errorf("called %v before the end of the wait", early)
	}
}
