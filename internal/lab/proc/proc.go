// Package proc measures processes of this machine and finds loopback addresses for them. The lab's tools that run the
// real program use it.
package proc

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
)

// ResidentBytes returns the resident memory of a process in bytes, or 0 if there is no such process.
func ResidentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// CPUSeconds returns the CPU time, in seconds, that the present threads of a process have used. Threads that have ended
// are not included. It fails if there is no such process.
func CPUSeconds(pid int) (float64, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, errors.New("no threads found in /proc: the process has ended")
	}
	total := 0.0
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		nanoseconds, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
		if err != nil {
			return 0, err
		}
		total += nanoseconds / 1e9
	}
	return total, nil
}

// LoadAverage returns the system's load average over the last minute, or 0 where the system does not report it.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}

// addrCount is the number of addresses that FreeAddr has tried.
var addrCount atomic.Int32

// FreeAddr returns an unused loopback address for a process that is not started yet. Its port is below the range of
// ephemeral ports, so that no outgoing connection can take it before the process listens. FreeAddr is safe for
// concurrent use.
func FreeAddr() (string, error) {
	for range 100 {
		n := int(addrCount.Add(1))
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 80+os.Getpid()%100, n>>8&0xff, n&0xff, 20000+os.Getpid()%10000)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", errors.New("no free loopback address in 100 attempts")
}
