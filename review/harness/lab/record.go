// Package lab holds what the cases of the review share: a record, the sender as a process, and stand-ins for the
// clients, the endpoints and the platform. The stand-ins follow the protocol page; what it leaves open they do as a
// sound party would.
package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Lab is the surroundings of one case: its record, its temporary folder, and everything to be ended with it.
type Lab struct {
	Root    string // of the repository
	Dir     string // temporary folder
	Host    string // loopback address of this run alone: no connection of another one can take its ports
	Trouble bool   // false: the same without the disruption

	start    time.Time
	mu       sync.Mutex
	lastPort int // that FreeAddr has tried
	record   *os.File
	broken   []string
	ends     []func()
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// New returns the Lab of a case. The first argument of the program is the file that the record is written to.
func New() *Lab {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: program RECORD-FILE")
		os.Exit(NotRun)
	}
	recordFile, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	root := filepath.Dir(recordFile)
	for !exists(filepath.Join(root, "deploy", "balancer.toml")) && root != filepath.Dir(root) {
		root = filepath.Dir(root)
	}
	l := &Lab{Root: root, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(),
		Host: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250)), lastPort: firstPort}
	if l.record, err = os.Create(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if l.Dir, err = os.MkdirTemp("", "sliptide-review-"); err != nil {
		l.Fail("temporary folder: %v", err)
	}
	l.AtEnd(func() { os.RemoveAll(l.Dir) })
	go func() {
		time.Sleep(110 * time.Second)
		l.Fail("the case took too long")
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() { l.Fail("ended by %v", <-interrupted) }()
	l.Note("disruption: %v", l.Trouble)
	return l
}

// Since returns the milliseconds since the start of the case.
func (l *Lab) Since() float64 { return float64(time.Since(l.start)) / 1e6 }

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	line := fmt.Sprintf("%9.1f ms  ", l.Since()) + strings.TrimRight(fmt.Sprintf(format, args...), "\n") + "\n"
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.WriteString(line)
}

// Break records that the rule was broken.
func (l *Lab) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Note("BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, text)
}

// AtEnd registers a function that End and Fail call, the last one first.
func (l *Lab) AtEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, f)
}

func (l *Lab) close() {
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// Fail ends the case as one that could not run.
func (l *Lab) Fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Note("could not run: %s", text)
	fmt.Fprintln(os.Stderr, "could not run:", text)
	l.close()
	os.Exit(NotRun)
}

// End ends the case with its result.
func (l *Lab) End() {
	l.close()
	if len(l.broken) > 0 {
		l.Note("result: the rule was broken (%d)", len(l.broken))
		fmt.Println("broken:", l.broken[0])
		os.Exit(Broken)
	}
	l.Note("result: the rule held")
	fmt.Println("held")
	os.Exit(Held)
}

// WaitFor waits until ok returns true, at most limit, and reports whether it did.
func WaitFor(limit time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// firstPort is the first port that FreeAddr tries. The ports that the system gives to connections and to listeners without
// a port of their own begin above lastPort, so that none of them is taken before its sender listens.
const (
	firstPort = 20000
	lastPort  = 30000
)

// FreeAddr returns an address of this run with a port that nobody else uses.
func (l *Lab) FreeAddr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.lastPort++; l.lastPort <= lastPort; l.lastPort++ {
		addr := fmt.Sprintf("%s:%d", l.Host, l.lastPort)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	fmt.Fprintln(os.Stderr, "could not run: no free port")
	os.Exit(NotRun)
	return ""
}
