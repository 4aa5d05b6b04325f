package fsys

import (
	"errors"
	"sync"
)

// ErrCrash is what every operation returns after a simulated end of the process.
var ErrCrash = errors.New("the process has ended")

// Fault says what becomes of one operation.
type Fault struct {
	Err          error // nil: it succeeds. ErrCrash: it and all later ones fail
	BytesWritten int   // of a write that fails: how many bytes are written first
	Applied      bool  // it takes effect, and fails all the same
}

// Faulty is an FS for tests: On is asked before each operation that changes something.
type Faulty struct {
	FS
	// On is given the number of the operation, from 0, its name and the file that it changes.
	Inject func(n int, op, name string) Fault

	mu      sync.Mutex
	n       int
	crashed bool
}

// Ops is how many operations have been asked for.
func (f *Faulty) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

func (f *Faulty) next(op, name string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return Fault{Err: ErrCrash}
	}
	fault := f.Inject(f.n, op, name)
	f.n++
	f.crashed = errors.Is(fault.Err, ErrCrash)
	return fault
}

func (f *Faulty) do(op, name string, act func() error) error {
	fault := f.next(op, name)
	if fault.Err == nil {
		return act()
	}
	if fault.Applied {
		act()
	}
	return fault.Err
}

// Read implements FS.
func (f *Faulty) Read(name string) ([]byte, error) {
	if fault := f.next("read", name); fault.Err != nil {
		return nil, fault.Err
	}
	return f.FS.Read(name)
}

// Write implements FS.
func (f *Faulty) Write(name string, data []byte, sync bool) error {
	fault := f.next("write", name)
	switch {
	case fault.Err == nil:
		return f.FS.Write(name, data, sync)
	case fault.Applied:
		f.FS.Write(name, data, sync)
	case fault.BytesWritten >= 0:
		f.FS.Write(name, data[:min(fault.BytesWritten, len(data))], false)
	}
	return fault.Err
}

// Append implements FS.
func (f *Faulty) Append(name string, data []byte, sync bool) error {
	fault := f.next("append", name)
	switch {
	case fault.Err == nil:
		return f.FS.Append(name, data, sync)
	case fault.Applied:
		f.FS.Append(name, data, sync)
	case fault.BytesWritten >= 0:
		f.FS.Append(name, data[:min(fault.BytesWritten, len(data))], false)
	}
	return fault.Err
}

// Rename implements FS.
func (f *Faulty) Rename(from, to string) error {
	return f.do("rename", to, func() error { return f.FS.Rename(from, to) })
}

// Link implements FS.
func (f *Faulty) Link(from, to string) error {
	return f.do("link", to, func() error { return f.FS.Link(from, to) })
}

// Remove implements FS.
func (f *Faulty) Remove(name string) error {
	return f.do("remove", name, func() error { return f.FS.Remove(name) })
}

// SyncDir implements FS.
func (f *Faulty) SyncDir() error { return f.do("syncdir", "", f.FS.SyncDir) }

// Open implements Opener, where the FS does.
func (f *Faulty) Open(name string, fresh bool) (File, error) {
	var opened File
	err := f.do("open", name, func() (err error) {
		opened, err = f.FS.(Opener).Open(name, fresh)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: opened, fs: f, name: name}, nil
}

// faultyFile is a File whose operations are asked for one by one.
type faultyFile struct {
	File
	fs   *Faulty
	name string
}

// Write implements File.
func (f *faultyFile) Write(data []byte) (int, error) {
	fault := f.fs.next("append", f.name)
	switch {
	case fault.Err == nil:
		return f.File.Write(data)
	case fault.Applied:
		n, _ := f.File.Write(data)
		return n, fault.Err
	}
	n, _ := f.File.Write(data[:min(max(fault.BytesWritten, 0), len(data))])
	return n, fault.Err
}

// Truncate implements File.
func (f *faultyFile) Truncate(size int64) error {
	return f.fs.do("truncate", f.name, func() error { return f.File.Truncate(size) })
}
