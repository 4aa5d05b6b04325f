// Command disk is the case of an upgrade during which both processes fill the state folder.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sliptide.review/harness/lab"
)

const (
	diskMB    = 3
	bodyBytes = 60 << 10 // a body may have 64 KiB
	clump     = 20       // messages for one partner that come at once
)

func main() {
	l := lab.New()
	lodge := l.NewEndpoint("lodge", "")
	platform := l.NewPlatform(lab.Listed{ID: "s-1", Addr: lodge.Addr, Zone: "a", Kind: "partner", Cell: 7, State: "up", Weight: 50})
	config := lab.Config{
		Name: "n0", Listen: l.FreeAddr(), Admin: l.FreeAddr(), State: filepath.Join(l.Dir, "state"), Platform: platform,
		Settings: lab.DefaultSettings(lab.Class("booking-msg", "keyed", 4000, 20000)),
	}
	folder := l.WatchFolder(config.State)
	old := l.Start(config, "")
	old.Up()
	n := 0
	body := strings.Repeat("b", bodyBytes)
	submit := func() int {
		n++
		trace := fmt.Sprintf("m-%04d", n)
		return l.Submit(config.Listen, &lab.Message{Trace: trace, Class: "booking-msg", Key: "k-" + trace, Body: body, Dest: 7, Expires: 20 * time.Second})
	}
	lodge.Answer(func(string) lab.Answer { return lab.Answer{After: 400 * time.Millisecond, Status: 200} })
	// An ordinary stretch of work: ten messages a second, each delivered at once. The journal grows and is compacted now
	// and then; the new version comes while it is large.
	for range 600 {
		submit()
		time.Sleep(100 * time.Millisecond)
		if total, _ := lab.FolderBytes(config.State); total > 2300<<10 {
			break
		}
	}
	total, sizes := lab.FolderBytes(config.State)
	l.Note("folder before the new version: %d bytes, %v", total, sizes)
	if l.Trouble {
		next := config
		next.Admin = l.FreeAddr()
		fresh := l.Start(next, "")
		fresh.Ready()
		old.Signal(syscall.SIGTERM)
		time.Sleep(20 * time.Millisecond)
		defer func() {
			if fresh.Exited() {
				l.Break("the new process has ended")
			}
		}()
	}
	for range clump {
		submit()
	}
	time.Sleep(8 * time.Second)
	total, sizes, at := folder.Most()
	l.Note("the folder held at most %d bytes, at %.1f ms: %v; allowed are %d", total, at, sizes, diskMB<<20)
	if total > diskMB<<20 {
		l.Break("the state folder held %d bytes (%v); disk_mb allows %d", total, sizes, diskMB<<20)
	}
	l.End()
}
