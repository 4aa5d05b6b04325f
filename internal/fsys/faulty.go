package fsys

import (
	"errors"
	"sync"
)

// ErrCrash is returned by every operation from a simulated crash of the process on.
var ErrCrash = errors.New("simulated crash of the process")

// Fault is the result that is injected into one operation.
type Fault struct {
	Err          error // nil: the operation runs. ErrCrash: it and all later ones fail
	BytesWritten int   // in a failing write: bytes written before the error; negative: the file is not touched
	Applied      bool  // the operation takes effect although it returns Err
}

// Faulty is an FS for tests that injects faults into the operations of another FS.
type Faulty struct {
	FS
	// Inject is called before each operation except Size and the Close of a file, with the operation's number, from 0,
	// its name ("read", "write", "append", "open" and so on) and its file (for "rename" and "link" the new name). It
	// returns the fault to inject. It is called with a lock held and must not call methods of the Faulty.
	Inject func(n int, op, name string) Fault

	mu      sync.Mutex
	ops     int
	crashed bool
}

// Ops returns the number of operations so far.
func (f *Faulty) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// nextFault counts an operation and returns the fault to inject into it.
func (f *Faulty) nextFault(op, name string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return Fault{Err: ErrCrash}
	}
	fault := f.Inject(f.ops, op, name)
	f.ops++
	f.crashed = errors.Is(fault.Err, ErrCrash)
	return fault
}

// perform runs an operation, or injects a fault into it.
func (f *Faulty) perform(op, name string, operation func() error) error {
	fault := f.nextFault(op, name)
	if fault.Err == nil {
		return operation()
	}
	if fault.Applied {
		operation()
	}
	return fault.Err
}

// Read implements FS.
func (f *Faulty) Read(name string) ([]byte, error) {
	if fault := f.nextFault("read", name); fault.Err != nil {
		return nil, fault.Err
	}
	return f.FS.Read(name)
}

// Write implements FS.
func (f *Faulty) Write(name string, data []byte, sync bool) error {
	fault := f.nextFault("write", name)
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
	fault := f.nextFault("append", name)
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
	return f.perform("rename", to, func() error { return f.FS.Rename(from, to) })
}

// Link implements FS.
func (f *Faulty) Link(from, to string) error {
	return f.perform("link", to, func() error { return f.FS.Link(from, to) })
}

// Remove implements FS.
func (f *Faulty) Remove(name string) error {
	return f.perform("remove", name, func() error { return f.FS.Remove(name) })
}

// SyncDir implements FS.
func (f *Faulty) SyncDir() error { return f.perform("syncdir", "", f.FS.SyncDir) }

// Open implements Opener; the underlying FS must implement it too.
func (f *Faulty) Open(name string, truncate bool) (File, error) {
	var opened File
	err := f.perform("open", name, func() (err error) {
		opened, err = f.FS.(Opener).Open(name, truncate)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: opened, fs: f, name: name}, nil
}

// faultyFile is a File with injected faults.
type faultyFile struct {
	File
	fs   *Faulty
	name string
}

// Write implements File.
func (f *faultyFile) Write(data []byte) (int, error) {
	fault := f.fs.nextFault("append", f.name)
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
	return f.fs.perform("truncate", f.name, func() error { return f.File.Truncate(size) })
}

// OpenTail implements Opener; the underlying FS must implement it too. It counts as a read, and so does ReadFrom.
func (f *Faulty) OpenTail(name string) (Tail, error) {
	if fault := f.nextFault("read", name); fault.Err != nil {
		return nil, fault.Err
	}
	opened, err := f.FS.(Opener).OpenTail(name)
	if err != nil {
		return nil, err
	}
	return &faultyTail{Tail: opened, fs: f, name: name}, nil
}

// faultyTail is a Tail with injected faults.
type faultyTail struct {
	Tail
	fs   *Faulty
	name string
}

// ReadFrom implements Tail.
func (t *faultyTail) ReadFrom(offset int64) ([]byte, error) {
	if fault := t.fs.nextFault("read", t.name); fault.Err != nil {
		return nil, fault.Err
	}
	return t.Tail.ReadFrom(offset)
}
