package main

import (
	"crypto/rand"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-disk"] = playUpgradeDisk }

// folderSize returns the bytes that the files of a folder take, each in whole blocks of 512 bytes, and their names with
// their sizes. A file that is renamed meanwhile counts once.
func folderSize(dir string) (total int64, files string) {
	seen := map[uint64]bool{}
	var list []string
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
		size := (info.Size() + 511) / 512 * 512
		total += size
		list = append(list, fmt.Sprintf("%s=%d", d.Name(), size))
		return nil
	})
	return total, strings.Join(list, " ")
}

// playUpgradeDisk: a new version is started beside the running one, under load with large messages.
func playUpgradeDisk(w *world) (verdict, error) {
	const (
		destinations = 6
		bodyBytes    = 48 << 10
		interval     = 33 * time.Millisecond // between two messages: 30 a second
		diskLimit    = 3 << 20               // limits.disk_mb
	)
	// Full load is 12 calls at once. One partner is slower than the others, and what comes for it is more than it takes.
	service := [destinations]time.Duration{0: 2200 * time.Millisecond}
	for d := range destinations - 1 {
		service[d+1] = 350 * time.Millisecond
	}
	for d := range destinations {
		for i := range 2 {
			w.partners.start(fmt.Sprintf("s-%d-%d", d, i), "partner", d, service[d])
		}
	}
	w.platform.update(func([]server) []server { return w.partners.servers() })
	if err := w.site.writeConfig(settings(nil), limits()); err != nil {
		return cannotRun, err
	}
	sender, err := w.site.start("old")
	if err != nil {
		return cannotRun, err
	}
	if err := sender.awaitReady(10 * time.Second); err != nil {
		return cannotRun, err
	}
	body := make([]byte, bodyBytes)
	rand.Read(body)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var largest int64
	var largestFiles string
	overFor := time.Duration(0)
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
	go func() {
		defer tasks.Done()
		last := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Microsecond):
			}
			size, files := folderSize(w.site.state)
			now := time.Now()
			if os.Getenv("DEBUG") != "" {
				w.printf("size %d %s", size, files)
			}
			if size > diskLimit {
				overFor += now.Sub(last)
				w.printf("the folder holds %d bytes: %s", size, files)
			}
			if last = now; size > largest {
				largest, largestFiles = size, files
			}
		}
	}()
	time.Sleep(10 * time.Second)
	before := largest
	if w.trouble {
		next, err := w.site.start("new")
		if err != nil {
			return cannotRun, err
		}
		if err := next.awaitReady(6 * time.Second); err != nil {
			return cannotRun, err
		}
		w.printf("the new version says yes: SIGTERM to the old one")
		sender.signal(syscall.SIGTERM)
		if !sender.awaitEnd(3700 * time.Millisecond) {
			w.printf("SIGKILL to the old version")
			sender.signal(syscall.SIGKILL)
		}
		w.printf("the old version has ended")
	}
	time.Sleep(6 * time.Second)
	close(stop)
	tasks.Wait()
	w.show("messages by answer: %v", counts(w.clients.messages()))
	w.show("before the upgrade the folder held %d bytes at most", before)
	w.show("in all it held %d bytes at most, of %d allowed (%s); over the limit for %v", largest, diskLimit, largestFiles,
		overFor.Round(time.Millisecond))
	if os.Getenv("DEBUG") != "" {
		fmt.Println(sender.logTail(3000))
	}
	if largest > diskLimit {
		return broken, nil
	}
	return held, nil
}
