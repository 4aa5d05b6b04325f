package main

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-memory"] = playUpgradeMemory }

// folderSize returns the bytes that the files of a folder take, each in whole blocks of 512 bytes. A file
// that is renamed meanwhile counts once.
func folderSize(dir string) (total int64) {
	seen := map[uint64]bool{}
	filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		info, err := d.Info()
		if err != nil {
			return nil
		}
		if st, ok := info.Sys().(*syscall.Stat_t); ok {
			if seen[st.Ino] {
				return nil
			}
			seen[st.Ino] = true
		}
		total += (info.Size() + 511) / 512 * 512
		return nil
	})
	return total
}

// anonymousBytes returns the anonymous resident memory of a process: what the system can't take back.
func anonymousBytes(pid int) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(f[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// badClient sends a large request with a class that does not exist, at full speed, and the same again when it is turned
// away. It reads what it is sent.
func badClient(addr string, number int, stop <-chan struct{}) {
	const bodyBytes = 60000
	request := fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: bad%d\r\nX-Qos: none\r\nX-Customer: acme\r\n"+
		"X-Expires-In: 20\r\nIdempotency-Key: bad\r\nX-Route-To: dest=0\r\nContent-Length: %d\r\n\r\n", number, bodyBytes)
	request = append(request, bytes.Repeat([]byte("x"), bodyBytes)...)
	answer := make([]byte, 4096)
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for !stopped() {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		nc.SetDeadline(time.Now().Add(4 * time.Second))
		for !stopped() {
			if _, err := nc.Write(request); err != nil {
				break
			}
			if n, err := nc.Read(answer); err != nil || bytes.Contains(answer[:n], []byte("Connection: close")) {
				break
			}
		}
		nc.Close()
	}
}

// playUpgradeMemory: a new version is started beside the running one, under load with bad clients among the usual ones.
func playUpgradeMemory(w *world) (verdict, error) {
	const (
		destinations = 6
		bodyBytes    = 48 << 10
		interval     = 33 * time.Millisecond // between two messages of the usual clients: 30 a second
		badClients   = 150
		memoryMB     = 48
		sockets      = 512
	)
	service := [destinations]time.Duration{0: 2200 * time.Millisecond} // one partner is slower than the others
	for d := range destinations - 1 {
		service[d+1] = 350 * time.Millisecond
	}
	for d := range destinations {
		for i := range 2 {
			w.partners.start(fmt.Sprintf("s-%d-%d", d, i), "partner", d, service[d])
		}
	}
	w.platform.update(func([]server) []server { return w.partners.servers() })
	l := limits()
	l["memory_mb"], l["sockets"] = memoryMB, sockets
	if err := w.site.writeConfig(settings(nil), l); err != nil {
		return cannotRun, err
	}
	old, err := w.site.start("old")
	if err != nil {
		return cannotRun, err
	}
	if err := old.awaitReady(10 * time.Second); err != nil {
		return cannotRun, err
	}
	body := make([]byte, bodyBytes)
	rand.Read(body)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var largest int64
	var overFor time.Duration
	var what string
	tasks.Add(2)
	go func() {
		defer tasks.Done()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				w.clients.sendAsync("note", i%destinations, 20*time.Second, body)
			}
		}
	}()
	go func() { // measures the sender: the memory of its processes, and the files of its folder
		defer tasks.Done()
		for last := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			files := folderSize(w.site.state)
			total, parts := files, fmt.Sprintf("files %d", files)
			for _, p := range w.site.running() {
				n := anonymousBytes(p.cmd.Process.Pid)
				total += n
				parts += fmt.Sprintf(", %s %d", p.name, n)
			}
			now := time.Now()
			if total > memoryMB<<20 {
				overFor += now.Sub(last)
				w.printf("the sender holds %d bytes: %s", total, parts)
			}
			if last = now; total > largest {
				largest, what = total, parts
			}
		}
	}()
	for i := range badClients {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			badClient(w.site.listen, i, stop)
		}()
	}
	time.Sleep(8 * time.Second)
	w.show("before the upgrade the sender held %d bytes at most, of %d allowed (%s)", largest, memoryMB<<20, what)
	if w.trouble {
		next, err := w.site.start("new")
		if err != nil {
			return cannotRun, err
		}
		if err := next.awaitReady(6 * time.Second); err != nil {
			return cannotRun, err
		}
		w.printf("the new version says yes: SIGTERM to the old one")
		old.signal(syscall.SIGTERM)
		if !old.awaitEnd(3700 * time.Millisecond) {
			w.printf("SIGKILL to the old version")
			old.signal(syscall.SIGKILL)
		}
		w.printf("the old version has ended")
	}
	time.Sleep(5 * time.Second)
	close(stop)
	tasks.Wait()
	w.show("messages of the usual clients by answer: %v", counts(w.clients.messages()))
	w.show("in all it held %d bytes at most, of %d allowed (%s); over the limit for %v", largest, memoryMB<<20, what,
		overFor.Round(time.Millisecond))
	if largest > memoryMB<<20 {
		return broken, nil
	}
	return held, nil
}
