package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config holds what a case sets in a sender's configuration; Settings returns the rest.
type Config struct {
	Name, Listen, Admin, State string
	Platform                   *Platform
	Limits                     map[string]any
	Settings                   map[string]any
}

// DefaultLimits returns the limits of the project's example.
func DefaultLimits() map[string]any {
	return map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
}

// Class returns a class of messages. effect is safe, keyed or unsafe.
func Class(name, effect string, aimMS, deadlineMS int) map[string]any {
	c := map[string]any{"name": name, "aim": aimMS, "deadline": deadlineMS, "worth": 1, "late_worth": 0.4, "effect": effect}
	if effect == "keyed" {
		c["key_scope"], c["memory_span"] = "all", 20000
	}
	return c
}

// DefaultSettings returns settings like those of a small deployment, with the given classes.
func DefaultSettings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"areas": []string{"a"}, "kinds": []string{"partner"}, "balancers": 1, "round": 5,
		"family_info": map[string]any{"call_slots": 8, "kind_batch": []int{1}, "own_limits": []bool{false}, "loses_worth": "halves"},
		"limits": map[string]any{
			"max_attempts": 6, "most_held": 177, "keepalive": 15000, "dial_timeout": 1500, "retry_after": true, "max_retry_after": 2000,
		},
		"contract": map[string]any{
			"answer_slack": 20, "stop_sending_within": 500, "cold": 9100, "cold_from": 0.23, "tip_multiple": 1.5, "tip_after": 3000,
		},
		"reporting": map[string]any{"fields": []string{"x0", "x1"}},
		"services":  classes,
		"tenants":   []map[string]any{{"name": "savanna-trails", "quota_per_s": 10}},
	}
}

// Sender is a running sender.
type Sender struct {
	Config Config

	lab     *Lab
	cmd     *exec.Cmd
	mu      sync.Mutex
	exited  bool
	ended   chan struct{}
	logFile string
}

// RunCommand returns the command of the deploy file that starts a sender.
func (l *Lab) RunCommand() string {
	f, err := os.Open(filepath.Join(l.Root, "deploy", "balancer.toml"))
	if err != nil {
		l.Fail("deploy file: %v", err)
	}
	defer f.Close()
	pattern := regexp.MustCompile(`^run\s*=\s*"((?:[^"\\]|\\.)*)"`)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if m := pattern.FindStringSubmatch(lines.Text()); m != nil {
			return m[1]
		}
	}
	l.Fail("deploy file: no run command")
	return ""
}

// Start starts a sender by the command of the deploy file, or by command if that is not empty.
func (l *Lab) Start(c Config, command string) *Sender {
	if command == "" {
		command = l.RunCommand()
	}
	if err := os.MkdirAll(c.State, 0o755); err != nil {
		l.Fail("state folder: %v", err)
	}
	if c.Limits == nil {
		c.Limits = DefaultLimits()
	}
	file := map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Platform.Addr, "admin": c.Admin, "seed": "8c1f30d27a5be964",
		"limits": c.Limits, "known": map[string]any{"version": 0, "full": true, "servers": []any{}}, "settings": c.Settings,
	}
	text, _ := json.MarshalIndent(file, "", " ")
	n := strconv.FormatInt(time.Now().UnixNano(), 36)
	configFile := filepath.Join(l.Dir, c.Name+"-"+n+".json")
	if err := os.WriteFile(configFile, text, 0o644); err != nil {
		l.Fail("configuration: %v", err)
	}
	s := &Sender{Config: c, lab: l, ended: make(chan struct{}), logFile: filepath.Join(l.Dir, c.Name+"-"+n+".log")}
	out, err := os.Create(s.logFile)
	if err != nil {
		l.Fail("log: %v", err)
	}
	s.cmd = exec.Command("/bin/sh", "-c", command)
	s.cmd.Dir = l.Root
	s.cmd.Stdout, s.cmd.Stderr = out, out
	s.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configFile, "RELAY_NAME="+c.Name, "RELAY_LISTEN="+c.Listen,
		"RELAY_DISCOVERY="+c.Platform.Addr, "RELAY_STATE="+c.State, "RELAY_ADMIN="+c.Admin)
	if err := s.cmd.Start(); err != nil {
		l.Fail("sender: %v", err)
	}
	l.Note("sender %s: started as process %d, clients at %s, operators at %s", c.Name, s.cmd.Process.Pid, c.Listen, c.Admin)
	go func() {
		err := s.cmd.Wait()
		out.Close()
		s.mu.Lock()
		s.exited = true
		s.mu.Unlock()
		l.Note("sender %s: process %d has ended: %v", c.Name, s.cmd.Process.Pid, err)
		close(s.ended)
	}()
	l.AtEnd(func() {
		if !s.Exited() {
			s.cmd.Process.Signal(syscall.SIGCONT)
			s.cmd.Process.Kill()
			<-s.ended
		}
		s.copyLog()
	})
	return s
}

// copyLog writes the sender's log into the record.
func (s *Sender) copyLog() {
	text, _ := os.ReadFile(s.logFile)
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		s.lab.Note("log of process %d: %s", s.cmd.Process.Pid, line)
	}
}

// Log returns what the sender has logged.
func (s *Sender) Log() string {
	text, _ := os.ReadFile(s.logFile)
	return string(text)
}

// PID returns the number of the sender's process.
func (s *Sender) PID() int { return s.cmd.Process.Pid }

// Exited reports whether the sender's process has ended.
func (s *Sender) Exited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exited
}

// Signal sends a signal to the sender's process.
func (s *Sender) Signal(sig syscall.Signal) {
	s.lab.Note("sender %s: %v to process %d", s.Config.Name, sig, s.cmd.Process.Pid)
	s.cmd.Process.Signal(sig)
}

// WaitExit waits for the end of the process, at most limit, and reports whether it has ended.
func (s *Sender) WaitExit(limit time.Duration) bool {
	select {
	case <-s.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Up waits until the sender answers GET /up with 200.
func (s *Sender) Up() {
	if !WaitFor(30*time.Second, func() bool {
		status, _ := call("GET", s.Config.Listen, "/up", "")
		return status == 200
	}) {
		s.lab.Fail("sender %s is not up", s.Config.Name)
	}
	s.lab.Note("sender %s: up", s.Config.Name)
}

// Ready waits until the operators' address answers GET /ready with yes.
func (s *Sender) Ready() {
	if !WaitFor(30*time.Second, func() bool {
		status, _ := call("GET", s.Config.Admin, "/ready", "")
		return status/100 == 2
	}) {
		s.lab.Fail("sender %s is not ready", s.Config.Name)
	}
	s.lab.Note("sender %s: process %d ready", s.Config.Name, s.PID())
}

// Operate makes a call at the operators' address and fails the case unless the answer is yes.
func (s *Sender) Operate(path, body string) {
	status, text := call("POST", s.Config.Admin, path, body)
	s.lab.Note("operator: POST %s %s: %d %s", path, body, status, strings.TrimSpace(text))
	if status/100 != 2 {
		s.lab.Fail("operators' call %s %s: %d %s", path, body, status, text)
	}
}

var plainClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, addr, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// Message is a message that a client hands in.
type Message struct {
	Trace, Class, Key, Body string
	Dest                    int
	Expires                 time.Duration
	SecondTry               string // X-Second-Try; empty: none
}

func (m *Message) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: savanna-trails\r\nX-Expires-In: %.3f\r\n",
		m.Trace, m.Class, m.Expires.Seconds())
	if m.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Key)
	}
	if m.SecondTry != "" {
		fmt.Fprintf(&b, "X-Second-Try: %s\r\n", m.SecondTry)
	}
	fmt.Fprintf(&b, "X-Route-To: dest=%d\r\nContent-Length: %d\r\n\r\n%s", m.Dest, len(m.Body), m.Body)
	return []byte(b.String())
}

// ClientTimeout is how long a client waits for the answer.
const ClientTimeout = 400 * time.Millisecond

// Client is a connection of a client.
type Client struct {
	lab *Lab
	nc  net.Conn
	r   *bufio.Reader
}

// Dial connects a client to a sender.
func (l *Lab) Dial(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{lab: l, nc: nc, r: bufio.NewReader(nc)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.nc.Close() }

// Submit hands in a message and returns the status of the answer; 0 if none came in time.
func (c *Client) Submit(m *Message) int {
	c.nc.SetDeadline(time.Now().Add(ClientTimeout))
	sent := time.Now()
	if _, err := c.nc.Write(m.bytes()); err != nil {
		c.lab.Note("client: %s could not be written: %v", m.Trace, err)
		return 0
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.lab.Note("client: %s for destination %d got no answer: %v", m.Trace, m.Dest, err)
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	c.lab.Note("client: %s for destination %d answered %d after %.1f ms", m.Trace, m.Dest, resp.StatusCode, float64(time.Since(sent))/1e6)
	return resp.StatusCode
}

// Submit hands in a message on a new connection and returns the status of the answer; 0 if none came in time.
func (l *Lab) Submit(addr string, m *Message) int {
	c, err := l.Dial(addr)
	if err != nil {
		l.Note("client: %s: %v", m.Trace, err)
		return 0
	}
	defer c.Close()
	return c.Submit(m)
}

// MustSubmit is Submit, but fails the case unless the message is taken on.
func (l *Lab) MustSubmit(addr string, m *Message) {
	if status := l.Submit(addr, m); status != 202 && status != 200 {
		l.Fail("message %s was answered %d, not taken on", m.Trace, status)
	}
}
