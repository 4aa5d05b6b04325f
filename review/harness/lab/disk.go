package lab

import (
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// FolderBytes returns what a state folder holds, each file counting in whole 512 bytes, and the sizes by file.
func FolderBytes(dir string) (total int64, sizes map[string]int64) {
	sizes = map[string]int64{}
	filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := os.Stat(path); err == nil {
			sizes[filepath.Base(path)] = info.Size()
			total += (info.Size() + 511) / 512 * 512
		}
		return nil
	})
	return total, sizes
}

// FolderWatch measures a state folder, as the platform does.
type FolderWatch struct {
	mu    sync.Mutex
	most  int64
	sizes map[string]int64
	at    float64
}

// WatchFolder measures dir every millisecond until the end of the case.
func (l *Lab) WatchFolder(dir string) *FolderWatch {
	w := &FolderWatch{}
	stop, done := make(chan struct{}), make(chan struct{})
	l.AtEnd(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			total, sizes := FolderBytes(dir)
			w.mu.Lock()
			if total > w.most {
				w.most, w.sizes, w.at = total, sizes, l.Since()
			}
			w.mu.Unlock()
		}
	}()
	return w
}

// Most returns the most that the folder has held, with the sizes of its files then.
func (w *FolderWatch) Most() (total int64, sizes map[string]int64, atMS float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most, w.sizes, w.at
}
