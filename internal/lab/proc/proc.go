// Package proc measures processes of this machine and finds loopback addresses for them, for the lab's tools that run the
// real program.
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

// Resident is a process's resident memory in bytes, 0 if it is gone.
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

// ProcessorTime is what the threads of a process have taken so far, in seconds. Threads that have ended are not in it.
func CPUSeconds(pid int) (float64, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, errors.New("the process is gone")
	}
	total := 0.0
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue // a thread that has ended
		}
		nanoseconds, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
		if err != nil {
			return 0, err
		}
		total += nanoseconds / 1e9
	}
	return total, nil
}

// Load is the mean number of runnable processes over the last minute, 0 where the system does not tell.
func LoadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}

// addrs counts the addresses that FreeAddr has given.
var addrCount atomic.Int32

// FreeAddr is a loopback address of its own, for a process that is yet to start: with a port under those that the system
// gives to connections, which could else take it meanwhile. It is safe for concurrent use.
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
	return "", errors.New("no free loopback address")
}
