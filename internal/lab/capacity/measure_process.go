package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sliptide/internal/lab/proc"
)

const (
	startTimeout      = 2 * time.Minute       // longest wait for a start, and for an event to be accepted or delivered
	pollInterval      = 20 * time.Millisecond // between readings of memory, and between submissions of a refused event
	settledPolls      = 10                    // consecutive polls without growth of memory
	settleTimeout     = 10 * time.Second      // longest wait for memory to stop growing
	submitConnections = 16                    // concurrent connections that submit events
)

// restartResult holds the measurements of one restart.
type restartResult struct {
	readyMS  float64 // from the start of the process until it was ready
	memoryMB float64 // resident memory once ready
}

// processMeasurements returns the measurements of separate sender processes.
func processMeasurements() []Measurement {
	held := []int{300, 1000, 3000, 10000, 30000}
	return []Measurement{{
		Name: "destination-memory", Role: roleSender,
		Description: "resident memory of an idle sender that knows the given number of destinations, one endpoint each",
		Unit:        "MB", Per: "destination", RealProcess: true, Sizes: []int{40, 130, 400, 1300, 4000}, Repeats: 2,
		Run: destinationMemory,
	}, {
		Name: "restart-memory", Role: roleSender,
		Description: "resident memory of a sender that restarted with the given number of events of 500 bytes in its journal",
		Unit:        "MB", Per: "held event", RealProcess: true, Sizes: held, Repeats: 3,
		Run: func(e *Env, size int) (float64, error) { r, err := e.restart(size); return r.memoryMB, err },
	}, {
		Name: "restart-ready", Role: roleSender,
		Description: "time from the start until /up answers 200, with the given number of events in the journal",
		Unit:        "ms", Per: "held event", RealProcess: true, Sizes: held, Repeats: 3,
		Run: func(e *Env, size int) (float64, error) { r, err := e.restart(size); return r.readyMS, err },
	}, {
		Name: "held-memory", Role: roleSender,
		Description: "resident memory of a sender that holds the given number of events of 500 bytes for a destination that is down",
		Unit:        "MB", Per: "held event", RealProcess: true, Sizes: []int{300, 1000, 3000, 10000, 30000}, Run: heldMemory,
	}, {
		Name: "event-cpu", Role: roleSender,
		Description: "processor time of a sender to accept and deliver the given number of events of 500 bytes",
		Unit:        "ms", Per: "event", RealProcess: true, Sizes: []int{300, 1000, 3000, 10000, 30000}, Repeats: 2,
		Run: eventCPU,
	}}
}

// senderProcess is a running sender.
type senderProcess struct {
	cmd    *exec.Cmd
	addr   string
	dir    string
	stderr bytes.Buffer
	exited chan struct{} // closed when the process has exited
}

// listJSON returns a full endpoint list with one endpoint per destination, all at addr.
func listJSON(destinations int, addr string) string {
	var b strings.Builder
	b.WriteString(`{"version":1,"full":true,"servers":[`)
	for i := range destinations {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":"endpoint-%07d","addr":%q,"zone":"a","kind":"partner","cell":%d,"state":"up","weight":1}`, i, addr, i)
	}
	b.WriteString("]}")
	return b.String()
}

// writeConfig writes the configuration of a sender, with limits above what the measurements need, and returns its path.
func writeConfig(dir, addr, endpointList string) (string, error) {
	text, err := json.Marshal(map[string]any{
		"name": "capacity", "listen": addr, "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 4096, "sockets": 1024, "disk_mb": 1024},
		"known":  json.RawMessage(endpointList),
		"settings": map[string]any{
			"areas": []string{"a"}, "kinds": []string{"partner"}, "balancers": 1, "round": 1,
			"family_info": map[string]any{"call_slots": 32, "kind_batch": []int{1}, "own_limits": []bool{false}},
			"limits": map[string]any{"max_attempts": 6, "most_held": 1 << 20, "keepalive": 15000,
				"dial_timeout": 1500, "retry_after": true, "max_retry_after": 2000},
			"contract": map[string]any{"answer_slack": 20, "stop_sending_within": 500, "cold": 9000,
				"cold_from": 0.25, "tip_multiple": 1.5, "tip_after": 3000},
			"reporting": map[string]any{"fields": []string{"x0", "x1"}},
			"services": []any{map[string]any{"name": "note", "aim": 4000, "deadline": 86400000, "effect": "safe",
				"worth": 1, "late_worth": 0.4}},
			"tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1e6}},
		},
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a sender in a directory, which may already hold a journal, and waits until it is ready: until /up
// answers with 200. It returns the time from the start until then.
func (e *Env) start(dir, endpointList string) (*senderProcess, time.Duration, error) {
	addr, err := proc.FreeAddr()
	if err != nil {
		return nil, 0, err
	}
	config, err := writeConfig(dir, addr, endpointList)
	if err != nil {
		return nil, 0, err
	}
	p := &senderProcess{addr: addr, dir: dir, exited: make(chan struct{})}
	p.cmd = exec.CommandContext(e.Ctx, e.Binary, "run")
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config, "RELAY_STATE="+filepath.Join(dir, "state"))
	p.cmd.Stderr = &p.stderr
	began := time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, 0, err
	}
	go func() { p.cmd.Wait(); close(p.exited) }()
	for time.Since(began) < startTimeout {
		response, err := http.Get("http://" + addr + "/up")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return p, time.Since(began), nil
			}
		}
		select {
		case <-p.exited:
			return nil, 0, fmt.Errorf("sender exited before it was ready: %s", p.stderr.String())
		case <-time.After(pollInterval / 10):
		}
	}
	p.stop()
	return nil, 0, fmt.Errorf("sender was not ready within %v", startTimeout)
}

// stop kills the process and waits for its exit.
func (p *senderProcess) stop() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// residentMB returns the maximum resident memory, in 10^6 bytes, once it has not grown for settledPolls polls or
// settleTimeout has passed.
func (p *senderProcess) residentMB() (float64, error) {
	maxBytes, unchangedPolls := int64(0), 0
	for deadline := time.Now().Add(settleTimeout); unchangedPolls < settledPolls && time.Now().Before(deadline); unchangedPolls++ {
		resident := proc.ResidentBytes(p.cmd.Process.Pid)
		if resident == 0 {
			return 0, errors.New("read resident memory: sender process is not running")
		}
		if resident > maxBytes {
			maxBytes, unchangedPolls = resident, 0
		}
		time.Sleep(pollInterval)
	}
	return float64(maxBytes) / 1e6, nil
}

// cpuMillis returns the processor time that the process has used so far, in milliseconds.
func (p *senderProcess) cpuMillis() (float64, error) {
	seconds, err := proc.CPUSeconds(p.cmd.Process.Pid)
	return seconds * 1e3, err
}

// newScratchDir creates a directory for one process, with its state directory in it.
func (e *Env) newScratchDir() (string, error) {
	dir, err := os.MkdirTemp(e.ScratchDir, "sender-")
	if err != nil {
		return "", err
	}
	return dir, os.MkdirAll(filepath.Join(dir, "state"), 0o700)
}

// destinationMemory returns the resident memory, in MB, of an idle sender with the given number of destinations.
func destinationMemory(e *Env, size int) (float64, error) {
	dir, err := e.newScratchDir()
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	p, _, err := e.start(dir, listJSON(size, "127.0.0.1:9"))
	if err != nil {
		return 0, err
	}
	defer p.stop()
	return p.residentMB()
}

// restart starts a sender with a journal of the given number of events and measures its time to become ready and its
// memory.
func (e *Env) restart(size int) (restartResult, error) {
	dir, err := e.newScratchDir()
	if err != nil {
		return restartResult{}, err
	}
	defer os.RemoveAll(dir)
	if err := fillJournal(filepath.Join(dir, "state"), size); err != nil {
		return restartResult{}, err
	}
	p, startDuration, err := e.start(dir, listJSON(2, "127.0.0.1:9"))
	if err != nil {
		return restartResult{}, err
	}
	defer p.stop()
	memory, err := p.residentMB()
	return restartResult{readyMS: float64(startDuration) / 1e6, memoryMB: memory}, err
}

// heldMemory returns the resident memory, in MB, of a sender that holds the given number of events.
func heldMemory(e *Env, size int) (float64, error) {
	dir, err := e.newScratchDir()
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	p, _, err := e.start(dir, listJSON(2, "127.0.0.1:9")) // no listener: the destination is down
	if err != nil {
		return 0, err
	}
	defer p.stop()
	if err := p.submit(size); err != nil {
		return 0, err
	}
	return p.residentMB()
}

// eventCPU returns the processor time, in milliseconds, in which a sender accepts and delivers the given number of
// events.
func eventCPU(e *Env, size int) (float64, error) {
	dir, err := e.newScratchDir()
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	delivered := make(chan struct{}, size)
	partner := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
		delivered <- struct{}{}
	})}
	go partner.Serve(ln)
	defer partner.Close()
	p, _, err := e.start(dir, listJSON(2, ln.Addr().String()))
	if err != nil {
		return 0, err
	}
	defer p.stop()
	before, err := p.cpuMillis()
	if err != nil {
		return 0, err
	}
	if err := p.submit(size); err != nil {
		return 0, err
	}
	for range size {
		select {
		case <-delivered:
		case <-time.After(startTimeout):
			return 0, errors.New("wait for deliveries: partner did not receive all events in time")
		}
	}
	after, err := p.cpuMillis()
	return after - before, err
}

// submit submits the given number of events for destination 1, over submitConnections connections, and returns once all
// are accepted. An event that gets 429 or 503 is resubmitted for up to startTimeout.
func (p *senderProcess) submit(events int) error {
	body := strings.Repeat("x", eventBytes)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: submitConnections},
		Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	errs := make(chan error, submitConnections)
	for worker := range submitConnections {
		wait.Go(func() {
			for i := worker; i < events; i += submitConnections {
				if err := p.submitOne(client, i, body); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wait.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// submitOne submits the i-th event until it is accepted.
func (p *senderProcess) submitOne(client *http.Client, i int, body string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		request, err := http.NewRequest("POST", "http://"+p.addr+"/api", strings.NewReader(body))
		if err != nil {
			return err
		}
		for name, value := range map[string]string{"X-Trace-Id": fmt.Sprintf("trace-%08d", i), "X-Qos": "note",
			"X-Customer":   "acme",
			"X-Expires-In": "80000", "X-Route-To": "dest=1"} {
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		switch response.StatusCode {
		case http.StatusAccepted:
			return nil
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			return fmt.Errorf("submit event %d: unexpected status %s", i, response.Status)
		}
	}
	return fmt.Errorf("submit event %d: not accepted within %v", i, startTimeout)
}
