package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	"sliptide/internal/fsys"
	"sliptide/internal/knowledge"
	"sliptide/internal/knowledge/pb"
	"sliptide/internal/statedir"
	"sliptide/policy"
)

var update = flag.Bool("update", false, "write the golden files again")

const (
	now  = 1.8e12
	room = 64 << 10
)

// sample is a book with one of everything; n tells several apart.
func sample(n int) *knowledge.Facts {
	b := knowledge.New("n0")
	b.WrittenAt = now + int64(n)
	b.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: 1}, ReceivedAt: now, Until: now + 900 + int64(n)})
	b.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: 2, Endpoint: "s-9"}, ReceivedAt: now, Until: now + 500})
	b.MergeDestination(destination(1, 2))
	b.ClassLatency["note"] = knowledge.ClassLatency{LearnedAt: now, LatencyFacts: policy.LatencyFacts{Mean: 300, Dev: 40, N: 12}}
	b.Dials["one"] = knowledge.Dials{LearnedAt: now, DialFacts: policy.DialFacts{FailureShare: 0.25, ScarceUntil: now + 60000}}
	b.Staleness = knowledge.Staleness{LearnedAt: now, StaleShare: 0.5, MinStaleIdle: 2500}
	return b
}

func destination(n, endpoints int) *knowledge.Destination {
	d := &knowledge.Destination{
		Dest: n, LearnedAt: now, SharedRoute: &policy.RouteFacts{AdvertisedLimit: 10, LimitReported: true, Pace: 8, LastOK: now - 50, CallRate: 4, AcceptedRate: 3, DeliveredRate: 2.5},
		Latency:   policy.LatencyFacts{Mean: 300, Dev: 50, N: 40},
		Admission: policy.AdmissionFacts{LastArrival: now - 10, Lambda: 0.0078125, EX: 120, Theta: [2]float64{1.5, 0.5}, P: [2][2]float64{{1, 0.25}, {0.25, 1}}, Pam: 0.75, Pa: 0.5},
	}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, knowledge.Endpoint{Name: fmt.Sprintf("s-%08x", n*10+i), LearnedAt: now - 100, EndpointFacts: policy.EndpointFacts{
			Health: policy.Health(i % 3), Failures: i, LastFailure: now - 300, FailureShare: 0.25, Unresponsive: i == 1, Unanswered: true, AnsweredError: i == 0, FailedTrials: 2,
			OpenedAt: now - 2000, NextTrial: now + 700, RampStart: now - 1000, RateBeforeOutage: 2, LastOK: math.Inf(-1),
		}})
	}
	return d
}

func openIn(t *testing.T, files fsys.FS) (*Store, *knowledge.Facts, []Problem) {
	t.Helper()
	return Open(Options{FS: files, Account: statedir.NewSpace(1 << 20).Account(), MaxBytes: room, Sync: true}, "n0")
}

func TestRoundTrip(t *testing.T) {
	want := sample(0)
	text, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
	if again, _ := Encode(got); !bytes.Equal(again, text) {
		t.Error("the same book gives other bytes")
	}
	if n, size := len(text)-headerSize, EncodedSize(want.Dests[1]); size > n || size < n/2 {
		t.Errorf("a destination is said to take %d of %d bytes", size, n)
	}
}

// A file cut off at any byte, and one with any bit flipped, is set aside, and the sender starts with what
// the generation before knew. The offset that the log names lies in the file.
func TestDamage(t *testing.T) {
	text, _ := Encode(sample(0))
	before, _ := Encode(sample(-1))
	check := func(what string, damaged []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, SnapshotName), damaged, 0o600)
		os.WriteFile(filepath.Join(dir, PreviousName), before, 0o600)
		_, b, problems := openIn(t, fsys.OS{Dir: dir})
		var d *DamageError
		if len(problems) != 1 || !problems[0].SetAside || !errors.As(problems[0].Err, &d) || d.Offset > len(text) {
			t.Fatalf("%s: %+v", what, problems)
		}
		if b.WrittenAt != now-1 || len(b.Dests) != 1 {
			t.Fatalf("%s: the generation before is not taken: %+v", what, b)
		}
		if aside, _ := os.ReadFile(filepath.Join(dir, setAsideName)); !bytes.Equal(aside, damaged) {
			t.Fatalf("%s: not set aside", what)
		}
	}
	for n := range len(text) {
		check(fmt.Sprint("cut at ", n), text[:n])
		flipped := bytes.Clone(text)
		flipped[n] ^= 1 << (n % 8)
		check(fmt.Sprint("flipped at ", n), flipped)
	}
	check("longer", append(bytes.Clone(text), 0))
}

// Every operation of a start and two writes, in turn, ends the process or fails, before or after it takes
// effect, and writes stop at any part of the text. What the next life reads is one of the books, whole: the
// last that was written if its write was reported done, and never a file set aside.
func TestCrashAtEveryOperation(t *testing.T) {
	steps := func(files fsys.FS) (done int) {
		s, _, problems := openIn(t, files)
		for i := 1; i <= 2; i++ {
			if s.SaveWaits(sample(10*i)) == nil {
				done = 10 * i
			}
			if s.SaveSnapshot(sample(10*i+1)) == nil {
				done = 10*i + 1
			}
		}
		_ = problems
		return done
	}
	count := &fsys.Faulty{Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} }}
	count.FS = fsys.OS{Dir: t.TempDir()}
	steps(count)
	text, _ := Encode(sample(11))
	tried := 0
	for _, err := range []error{fsys.ErrCrash, syscall.ENOSPC, syscall.EIO} {
		for at := range count.Ops() {
			cuts := []fsys.Fault{{Err: err, BytesWritten: -1}, {Err: err, Applied: true}}
			for n := 0; n < len(text); n += 37 {
				cuts = append(cuts, fsys.Fault{Err: err, BytesWritten: n})
			}
			for _, fault := range cuts {
				files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}}
				op := ""
				files.Inject = func(n int, name, file string) fsys.Fault {
					if n != at {
						return fsys.Fault{}
					}
					op = name + " " + file
					return fault
				}
				done := steps(files)
				tried++
				_, b, problems := openIn(t, files.FS)
				got := 0
				if w, ok := b.Waits[knowledge.Route{Dest: 1}]; ok {
					got = int(w.Until - now - 900)
				}
				if len(problems) > 0 || got < done || b.WrittenAt != 0 && int(b.WrittenAt-now) > got {
					t.Fatalf("%v at operation %d, %s, %+v: wrote %d, read %d, %+v", err, at, op, fault, done, got, problems)
				}
				if got >= 11 && got%10 == 1 && len(b.Dests) != 1 {
					t.Fatalf("%v at operation %d, %s: a snapshot without its destinations", err, at, op)
				}
			}
		}
	}
	t.Logf("%d faults at %d operations", tried, count.Ops())
}

// The checker above can fail: without the rename, a file written in place is torn by a crash.
func TestCrashCheckFindsWritesInPlace(t *testing.T) {
	dir := t.TempDir()
	text, _ := Encode(sample(0))
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(n int, _, _ string) fsys.Fault {
		if n == 1 {
			return fsys.Fault{Err: fsys.ErrCrash, BytesWritten: len(text) / 2}
		}
		return fsys.Fault{}
	}}
	files.Write(SnapshotName, text, false)
	files.Write(SnapshotName, text, false)
	if _, b, problems := openIn(t, fsys.OS{Dir: dir}); len(problems) == 0 || len(b.Dests) > 0 {
		t.Error("a torn file passes")
	}
}

// What lies in the file's place and is no knowledge file is set aside, or passed over if it can't be; the
// store writes again if it can.
func TestOddFiles(t *testing.T) {
	for name, lay := range map[string]func(dir string){
		"empty":         func(dir string) { os.WriteFile(filepath.Join(dir, SnapshotName), nil, 0o600) },
		"a folder":      func(dir string) { os.Mkdir(filepath.Join(dir, SnapshotName), 0o700) },
		"a full folder": func(dir string) { os.MkdirAll(filepath.Join(dir, SnapshotName, "x"), 0o700) },
		"dangling link": func(dir string) { os.Symlink("/nowhere/at/all", filepath.Join(dir, SnapshotName)) },
		"unfinished":    func(dir string) { os.WriteFile(filepath.Join(dir, SnapshotName+newSuffix), []byte("x"), 0o600) },
	} {
		dir := t.TempDir()
		lay(dir)
		s, b, _ := openIn(t, fsys.OS{Dir: dir})
		if len(b.Dests) != 0 {
			t.Errorf("%s: %+v", name, b)
		}
		if err := s.SaveSnapshot(sample(0)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, b, problems := openIn(t, fsys.OS{Dir: dir}); len(b.Dests) != 1 || len(problems) > 0 {
			t.Errorf("%s: then %+v", name, problems)
		}
	}
	// Not allowed to read it (a test as root is allowed everything).
	files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(_ int, op, name string) fsys.Fault {
		if op == "read" && name == SnapshotName || op == "rename" && name == setAsideName {
			return fsys.Fault{Err: fs.ErrPermission}
		}
		return fsys.Fault{}
	}}
	if _, b, problems := openIn(t, files); len(problems) != 1 || problems[0].SetAside || len(b.Dests) != 0 {
		t.Errorf("no permission: %+v", problems)
	}
}

// A newer file is left as it is, byte for byte, whatever is learned meanwhile.
func TestNewerFormat(t *testing.T) {
	dir := t.TempDir()
	text, _ := Encode(sample(0))
	writeHeader(text, Version+1)
	os.WriteFile(filepath.Join(dir, SnapshotName), text, 0o600)
	s, b, problems := openIn(t, fsys.OS{Dir: dir})
	if len(problems) != 1 || !problems[0].LeftUntouched || !errors.Is(problems[0].Err, ErrNewerFormat) || len(b.Dests) != 0 {
		t.Errorf("%+v", problems)
	}
	if err := s.SaveSnapshot(sample(1)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("save: %v", err)
	}
	if err := s.SaveWaits(sample(1)); err != nil { // these are in a file of their own
		t.Error(err)
	}
	s.RemoveOldFiles()
	s.RemoveSnapshot()
	if still, _ := os.ReadFile(filepath.Join(dir, SnapshotName)); !bytes.Equal(still, text) {
		t.Error("the newer file was changed")
	}
	prev := t.TempDir() // the generation before is a file like any other
	os.WriteFile(filepath.Join(prev, PreviousName), text, 0o600)
	s, _, _ = openIn(t, fsys.OS{Dir: prev})
	for range 2 {
		if err := s.SaveSnapshot(sample(2)); err != nil {
			t.Error(err)
		}
	}
	s.RemoveOldFiles()
	if still, _ := os.ReadFile(filepath.Join(prev, PreviousName)); !bytes.Equal(still, text) {
		t.Error("the newer generation before was changed")
	}
	if _, b, _ := openIn(t, fsys.OS{Dir: dir}); len(b.Waits) != 2 {
		t.Errorf("waits: %+v", b.Waits)
	}
	writeHeader(text, 0)
	if _, err := Decode(text); err == nil || errors.Is(err, ErrNewerFormat) {
		t.Errorf("version 0: %v", err)
	}
}

// Files of every version that was ever written are read. Version 1 held waits alone.
func TestGolden(t *testing.T) {
	if *update {
		m := &pb.BookV1{Sender: "n0", WrittenMs: now, Waits: []*pb.WaitV1{{Dest: 1, UntilMs: now + 900}, {Dest: 2, Endpoint: "s-9", UntilMs: now + 500}}}
		payload, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		v1 := append(make([]byte, headerSize), payload...)
		writeHeader(v1, 1)
		os.WriteFile("testdata/v1.knowledge", v1, 0o600)
		v2, _ := Encode(sample(0))
		os.WriteFile("testdata/v2.knowledge", v2, 0o600)
	}
	v1 := knowledge.New("n0")
	v1.WrittenAt, v1.Waits = now, sample(0).Waits
	for file, want := range map[string]*knowledge.Facts{"v1": v1, "v2": sample(0)} {
		text, err := os.ReadFile("testdata/" + file + ".knowledge")
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(text)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", file, err, got, want)
		}
		dir := t.TempDir() // and it is carried over: the next write is of this version
		os.WriteFile(filepath.Join(dir, SnapshotName), text, 0o600)
		s, b, problems := openIn(t, fsys.OS{Dir: dir})
		if err := s.SaveSnapshot(b); err != nil || len(problems) > 0 {
			t.Errorf("%s: %v %+v", file, err, problems)
		}
		now, _ := os.ReadFile(filepath.Join(dir, SnapshotName))
		if v := binary.BigEndian.Uint32(now[8:]); v != Version {
			t.Errorf("%s is written again as version %d", file, v)
		}
	}
}

// The files never take more than they may, whoever else needs the room, and the journal's need goes first.
func TestRoom(t *testing.T) {
	dir := t.TempDir()
	space := statedir.NewSpace(100 << 10)
	journal, mine := space.Account(), space.Account()
	mine.YieldTo(journal)
	mine.Reserve(room)
	s, _, _ := Open(Options{FS: fsys.OS{Dir: dir}, Account: mine, MaxBytes: room}, "n0")
	big := knowledge.New("n0")
	for i := range 500 {
		big.MergeDestination(destination(i, 2))
	}
	taken := func() (sum int64) {
		list, _ := os.ReadDir(dir)
		for _, f := range list {
			info, _ := f.Info()
			sum += statedir.RoundToBlocks(info.Size())
		}
		return sum
	}
	for i, need := range []int64{0, 50 << 10, 90 << 10, 100 << 10, 60 << 10, 0} {
		if !journal.Claim(need) {
			s.RemoveOldFiles()
			if !journal.Claim(need) {
				s.RemoveSnapshot()
			}
			if !journal.Claim(need) {
				t.Fatalf("step %d: no room for the journal's %d", i, need)
			}
		}
		for range 3 {
			b := big.Clone()
			b.EvictToFit(s.MaxSnapshotSize(), EncodedSize)
			err := s.SaveSnapshot(b)
			if err != nil && !errors.Is(err, ErrNoSpace) {
				t.Fatal(err)
			}
			if used := taken(); used > mine.Claimed() || used+need > 100<<10 || used > room {
				t.Fatalf("step %d: %d bytes taken, %d claimed, journal %d", i, used, mine.Claimed(), need)
			}
			if need == 0 && (err != nil || len(b.Dests) < 50) {
				t.Errorf("step %d: %d destinations, %v", i, len(b.Dests), err)
			}
		}
	}
	if err := s.SaveSnapshot(big); !errors.Is(err, ErrNoSpace) || !strings.Contains(err.Error(), SnapshotName) {
		t.Errorf("more than there is room for: %v", err)
	}
}

// Ten thousand destinations make a bounded file.
func TestTenThousand(t *testing.T) {
	b := knowledge.New("n0")
	for i := range 10000 {
		b.MergeDestination(destination(i, 2))
	}
	text, err := Encode(b)
	if err != nil || len(text) > 10000*400 {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	got, err := Decode(text)
	if err != nil || len(got.Dests) != 10000 {
		t.Errorf("%v", err)
	}
}

// Whatever a file holds, reading it ends in a book or in a reason.
func FuzzDecode(f *testing.F) {
	for _, v := range []string{"v1", "v2"} {
		if text, err := os.ReadFile("testdata/" + v + ".knowledge"); err == nil {
			f.Add(text, uint8(0))
			f.Add(text[headerSize:], uint8(1))
			f.Add(text[headerSize:], uint8(2))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, version uint8) {
		if version > 0 { // a header that is right, round any payload
			text = append(make([]byte, headerSize), text...)
			writeHeader(text, uint32(version))
		}
		b, err := Decode(text)
		if (b == nil) == (err == nil) {
			t.Fatalf("%v, %v", b, err)
		}
		if b == nil {
			return
		}
		if _, err := Encode(b); err != nil && !strings.Contains(err.Error(), "UTF-8") {
			t.Fatal(err)
		}
	})
}

func benchBook(n int) *knowledge.Facts {
	b := knowledge.New("n0")
	for i := range n {
		b.MergeDestination(destination(i, 2))
	}
	return b
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		book := benchBook(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var text []byte
			for range b.N {
				text, _ = Encode(book)
			}
			b.ReportMetric(float64(len(text)), "bytes/file")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		text, _ := Encode(benchBook(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := Decode(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		for _, sync := range []bool{false, true} {
			book := benchBook(n)
			b.Run(fmt.Sprintf("%d/sync=%t", n, sync), func(b *testing.B) {
				s, _, _ := Open(Options{FS: fsys.OS{Dir: b.TempDir()}, Account: statedir.NewSpace(1 << 30).Account(), MaxBytes: 1 << 30, Sync: sync}, "n0")
				for range b.N {
					if err := s.SaveSnapshot(book); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
