package standin

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
)

// CPUSeconds returns the CPU time that all threads of a process have used, in seconds, to 10 ms, or NaN if there is
// no such process.
func CPUSeconds(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return math.NaN()
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100 // the kernel counts in ticks of 10 ms
}

// ResidentMB returns the resident memory of a process, in units of 2^20 bytes, or NaN if there is no such process.
func ResidentMB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return math.NaN()
}
