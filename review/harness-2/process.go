package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runCommand returns the run line of the deploy file.
func runCommand(root string) (string, error) {
	f, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		value, found := strings.CutPrefix(lines.Text(), "run = ")
		if !found {
			continue
		}
		if i := strings.LastIndex(value, `"`); i > 0 {
			return strconv.Unquote(value[:i+1])
		}
	}
	return "", errors.New("deploy/balancer.toml has no run line")
}

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// site holds the configuration of one sender and its folders. Its processes are started by start.
type site struct {
	root, command  string
	dir, state     string
	listen, config string
	platform       *platform
	mu             sync.Mutex
	processes      []*process
}

// process is one started process of the sender.
type process struct {
	site    *site
	name    string
	admin   string
	cmd     *exec.Cmd
	log     *os.File
	logPath string
	ended   chan struct{}
}

// newSite prepares the folders of a sender. settings and limits are written into its configuration.
func newSite(root string, p *platform) (*site, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sliptide-review-")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, command: command, dir: dir, state: filepath.Join(dir, "state"), listen: freeAddr(),
		config: filepath.Join(dir, "config.json"), platform: p}
	return s, os.Mkdir(s.state, 0o700)
}

// writeConfig writes the configuration file.
func (s *site) writeConfig(settings, limits map[string]any) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": "n0", "listen": s.listen, "discovery": s.platform.addr(), "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": limits, "known": s.platform.list(), "settings": settings,
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.config+".new", s.config)
}

// start starts the run line of the deploy file as one more process of the sender.
func (s *site) start(name string) (*process, error) {
	temp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(temp, 0o700); err != nil {
		return nil, err
	}
	p := &process{site: s, name: name, admin: freeAddr(), logPath: filepath.Join(s.dir, name+".log"), ended: make(chan struct{})}
	var err error
	if p.log, err = os.Create(p.logPath); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", s.command)
	p.cmd.Dir = s.root
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+s.listen, "RELAY_DISCOVERY="+s.platform.addr(),
		"RELAY_STATE="+s.state, "RELAY_CONFIG="+s.config, "RELAY_ADMIN="+p.admin, "TMPDIR="+temp)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.ended) }()
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// awaitReady waits until the process answers GET /ready with yes.
func (p *process) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.hasEnded() {
			return fmt.Errorf("process %s has ended: %s", p.name, p.logTail(400))
		}
		if status, _ := p.adminCall("GET", "/ready", ""); status == 200 {
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready after %v", p.name, limit)
}

// adminCall makes one call to the operators' address, on a connection of its own.
func (p *process) adminCall(method, path, body string) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+p.admin+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(sig syscall.Signal) {
	if !p.hasEnded() {
		p.cmd.Process.Signal(sig)
	}
}

// awaitEnd waits until the process has ended and reports whether it has.
func (p *process) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// logTail returns the end of the process's log.
func (p *process) logTail(n int) string {
	b, _ := os.ReadFile(p.logPath)
	return string(b[max(0, len(b)-n):])
}

// running returns the processes that have not ended.
func (s *site) running() (list []*process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.hasEnded() {
			list = append(list, p)
		}
	}
	return list
}

// close ends all processes and removes the folders.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
		p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}
