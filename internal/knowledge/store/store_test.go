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

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	now      = 1.8e12
	maxBytes = 64 << 10
)

// sample returns facts of every type. Different n give different facts.
func sample(n int) *knowledge.Facts {
	facts := knowledge.New("n0")
	facts.WrittenAt = now + int64(n)
	facts.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: 1}, ReceivedAt: now, Until: now + 900 + int64(n)})
	facts.AddWait(knowledge.Wait{Route: knowledge.Route{Dest: 2, Endpoint: "s-9"}, ReceivedAt: now, Until: now + 500})
	facts.MergeDestination(newDestination(1, 2))
	facts.ClassLatency["note"] = knowledge.ClassLatency{
		LearnedAt: now, LatencyFacts: policy.LatencyFacts{Mean: 300, Dev: 40, N: 12},
	}
	facts.Dials["one"] = knowledge.Dials{
		LearnedAt: now, DialFacts: policy.DialFacts{FailureShare: 0.25, ScarceUntil: now + 60000},
	}
	facts.Staleness = knowledge.Staleness{LearnedAt: now, StaleShare: 0.5, MinStaleIdle: 2500}
	return facts
}

// newDestination returns facts of all kinds about destination n, with a number of endpoints of various health.
func newDestination(n, endpoints int) *knowledge.Destination {
	d := &knowledge.Destination{
		Dest: n, LearnedAt: now,
		SharedRoute: &policy.RouteFacts{
			AdvertisedLimit: 10, LimitReported: true, Pace: 8, LastOK: now - 50,
			CallRate: 4, AcceptedRate: 3, DeliveredRate: 2.5,
		},
		Latency: policy.LatencyFacts{Mean: 300, Dev: 50, N: 40},
		Admission: policy.AdmissionFacts{
			LastArrival: now - 10, Lambda: 0.0078125, EX: 120, Theta: [2]float64{1.5, 0.5},
			P: [2][2]float64{{1, 0.25}, {0.25, 1}}, Pam: 0.75, Pa: 0.5,
		},
	}
	for i := range endpoints {
		d.Endpoints = append(d.Endpoints, knowledge.Endpoint{
			Name: fmt.Sprintf("s-%08x", n*10+i), LearnedAt: now - 100,
			EndpointFacts: policy.EndpointFacts{
				Health: policy.Health(i % 3), Failures: i, LastFailure: now - 300, FailureShare: 0.25,
				Unresponsive: i == 1, Unanswered: true, AnsweredError: i == 0, FailedTrials: 2,
				OpenedAt: now - 2000, NextTrial: now + 700, RampStart: now - 1000, RateBeforeOutage: 2, LastOK: math.Inf(-1),
			},
		})
	}
	return d
}

func openIn(t *testing.T, files fsys.FS) (*Store, *knowledge.Facts, []Problem) {
	t.Helper()
	return Open(Options{FS: files, Account: statedir.NewSpace(1 << 20).Account(), MaxBytes: maxBytes, Sync: true}, "n0")
}

// Decoded facts equal the encoded ones, and are encoded to the same bytes again. EncodedSize of the only destination is
// between half of the payload and all of it.
func TestRoundTrip(t *testing.T) {
	want := sample(0)
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
	if again, _ := Encode(got); !bytes.Equal(again, data) {
		t.Error("encoding the decoded facts gives different bytes")
	}
	if n, size := len(data)-headerSize, EncodedSize(want.Dests[1]); size > n || size < n/2 {
		t.Errorf("EncodedSize returns %d for a destination in a payload of %d bytes", size, n)
	}
}

// A file that is truncated at any byte, and one with a flipped bit in any byte, is set aside, and Open returns the
// previous snapshot. The offset of the damage lies in the file.
func TestDamage(t *testing.T) {
	data, _ := Encode(sample(0))
	previous, _ := Encode(sample(-1))
	check := func(what string, damaged []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, SnapshotName), damaged, 0o600)
		os.WriteFile(filepath.Join(dir, PreviousName), previous, 0o600)
		_, facts, problems := openIn(t, fsys.OS{Dir: dir})
		var d *DamageError
		if len(problems) != 1 || !problems[0].SetAside || !errors.As(problems[0].Err, &d) || d.Offset > len(data) {
			t.Fatalf("%s: problems %+v, want one damaged file that was set aside", what, problems)
		}
		if facts.WrittenAt != now-1 || len(facts.Dests) != 1 {
			t.Fatalf("%s: the previous snapshot was not used: %+v", what, facts)
		}
		if setAside, _ := os.ReadFile(filepath.Join(dir, setAsideName)); !bytes.Equal(setAside, damaged) {
			t.Fatalf("%s: the damaged file was not set aside", what)
		}
	}
	for n := range len(data) {
		check(fmt.Sprint("truncated at ", n), data[:n])
		flipped := bytes.Clone(data)
		flipped[n] ^= 1 << (n % 8)
		check(fmt.Sprint("flipped at ", n), flipped)
	}
	check("longer", append(bytes.Clone(data), 0))
}

// Each file operation of Open and two rounds of writes in turn crashes the process or fails, before or after it
// takes effect, and writes also stop part-way, at every 37th byte. Open then finds no damaged file, and the facts of
// the last write that succeeded or of a later one.
func TestCrashAtEveryOperation(t *testing.T) {
	run := func(files fsys.FS) (reported int) {
		s, _, problems := openIn(t, files)
		for i := 1; i <= 2; i++ {
			if s.SaveWaits(sample(10*i)) == nil {
				reported = 10 * i
			}
			if s.SaveSnapshot(sample(10*i+1)) == nil {
				reported = 10*i + 1
			}
		}
		_ = problems
		return reported
	}
	counter := &fsys.Faulty{Inject: func(int, string, string) fsys.Fault { return fsys.Fault{} }}
	counter.FS = fsys.OS{Dir: t.TempDir()}
	run(counter)
	data, _ := Encode(sample(11))
	tried := 0
	for _, err := range []error{fsys.ErrCrash, syscall.ENOSPC, syscall.EIO} {
		for at := range counter.Ops() {
			faults := []fsys.Fault{{Err: err, BytesWritten: -1}, {Err: err, Applied: true}}
			for n := 0; n < len(data); n += 37 {
				faults = append(faults, fsys.Fault{Err: err, BytesWritten: n})
			}
			for _, fault := range faults {
				files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}}
				op := ""
				files.Inject = func(n int, name, file string) fsys.Fault {
					if n != at {
						return fsys.Fault{}
					}
					op = name + " " + file
					return fault
				}
				reported := run(files)
				tried++
				_, facts, problems := openIn(t, files.FS)
				got := 0
				if w, ok := facts.Waits[knowledge.Route{Dest: 1}]; ok { // its end tells the argument of sample
					got = int(w.Until - now - 900)
				}
				if len(problems) > 0 || got < reported || facts.WrittenAt != 0 && int(facts.WrittenAt-now) > got {
					t.Fatalf("%v at operation %d, %s, %+v: last successful write %d, read %d, %+v",
						err, at, op, fault, reported, got, problems)
				}
				if got >= 11 && got%10 == 1 && len(facts.Dests) != 1 {
					t.Fatalf("%v at operation %d, %s: the snapshot has lost its destinations", err, at, op)
				}
			}
		}
	}
	t.Logf("%d faults at %d operations", tried, counter.Ops())
}

// The check of TestCrashAtEveryOperation detects a file that a crash has left incomplete because it was written in
// place, without a rename.
func TestCrashCheckDetectsWriteInPlace(t *testing.T) {
	dir := t.TempDir()
	data, _ := Encode(sample(0))
	files := &fsys.Faulty{FS: fsys.OS{Dir: dir}, Inject: func(n int, _, _ string) fsys.Fault {
		if n == 1 {
			return fsys.Fault{Err: fsys.ErrCrash, BytesWritten: len(data) / 2}
		}
		return fsys.Fault{}
	}}
	files.Write(SnapshotName, data, false)
	files.Write(SnapshotName, data, false)
	if _, facts, problems := openIn(t, fsys.OS{Dir: dir}); len(problems) == 0 || len(facts.Dests) > 0 {
		t.Error("an incomplete file was not detected")
	}
}

// Anything else under the name of the snapshot is set aside, or ignored if that is not possible, and an unfinished
// write is ignored. Writes then succeed, and Open reads what they wrote.
func TestUnusableFiles(t *testing.T) {
	for name, create := range map[string]func(dir string){
		"empty":            func(dir string) { os.WriteFile(filepath.Join(dir, SnapshotName), nil, 0o600) },
		"a directory":      func(dir string) { os.Mkdir(filepath.Join(dir, SnapshotName), 0o700) },
		"a full directory": func(dir string) { os.MkdirAll(filepath.Join(dir, SnapshotName, "x"), 0o700) },
		"dangling link":    func(dir string) { os.Symlink("/nowhere/at/all", filepath.Join(dir, SnapshotName)) },
		"unfinished":       func(dir string) { os.WriteFile(filepath.Join(dir, SnapshotName+newSuffix), []byte("x"), 0o600) },
	} {
		dir := t.TempDir()
		create(dir)
		s, facts, _ := openIn(t, fsys.OS{Dir: dir})
		if len(facts.Dests) != 0 {
			t.Errorf("%s: %+v, want no facts", name, facts)
		}
		if err := s.SaveSnapshot(sample(0)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, facts, problems := openIn(t, fsys.OS{Dir: dir}); len(facts.Dests) != 1 || len(problems) > 0 {
			t.Errorf("%s: after a write, problems %+v, want none and the facts of the write", name, problems)
		}
	}
	// Injected permission errors, because a test that runs as root may read every file.
	files := &fsys.Faulty{FS: fsys.OS{Dir: t.TempDir()}, Inject: func(_ int, op, name string) fsys.Fault {
		if op == "read" && name == SnapshotName || op == "rename" && name == setAsideName {
			return fsys.Fault{Err: fs.ErrPermission}
		}
		return fsys.Fault{}
	}}
	if _, facts, problems := openIn(t, files); len(problems) != 1 || problems[0].SetAside || len(facts.Dests) != 0 {
		t.Errorf("no permission: problems %+v, want one whose file is not set aside", problems)
	}
}

// Guards against requested waits that are lost since their file could not be opened for a moment.
func TestTransientReadErrorLosesNoFacts(t *testing.T) {
	files := fsys.OS{Dir: t.TempDir()}
	s, _, _ := openIn(t, files)
	if err := errors.Join(s.SaveSnapshot(sample(0)), s.SaveWaits(sample(1))); err != nil {
		t.Fatal(err)
	}
	for _, failure := range []error{syscall.EMFILE, syscall.EIO, syscall.EINTR} {
		failed := map[string]bool{}
		once := &fsys.Faulty{FS: files, Inject: func(_ int, op, name string) fsys.Fault {
			if op != "read" || failed[name] {
				return fsys.Fault{}
			}
			failed[name] = true
			return fsys.Fault{Err: failure}
		}}
		if _, facts, problems := openIn(t, once); len(facts.Waits) != 2 || len(facts.Dests) != 1 || len(problems) > 0 {
			t.Errorf("%v once: %d waits, %d destinations, problems %+v; want all of them and no problem", failure, len(facts.Waits), len(facts.Dests), problems)
		}
		always := &fsys.Faulty{FS: files, Inject: func(_ int, op, name string) fsys.Fault {
			if op == "read" && name == WaitsName {
				return fsys.Fault{Err: failure}
			}
			return fsys.Fault{}
		}}
		if _, _, problems := openIn(t, always); len(problems) != 1 || !problems[0].LeftUntouched {
			t.Errorf("%v always: problems %+v, want one whose file is left untouched", failure, problems)
		}
	}
	if _, facts, _ := openIn(t, files); len(facts.Waits) != 2 {
		t.Errorf("%d waits once the file can be read again, want 2", len(facts.Waits))
	}
}

// A file of a newer format is never changed or removed, whatever is saved meanwhile.
func TestNewerFormat(t *testing.T) {
	dir := t.TempDir()
	data, _ := Encode(sample(0))
	writeHeader(data, Version+1)
	os.WriteFile(filepath.Join(dir, SnapshotName), data, 0o600)
	s, facts, problems := openIn(t, fsys.OS{Dir: dir})
	if len(problems) != 1 || !problems[0].LeftUntouched || !errors.Is(problems[0].Err, ErrNewerFormat) ||
		len(facts.Dests) != 0 {
		t.Errorf("%+v", problems)
	}
	if err := s.SaveSnapshot(sample(1)); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("SaveSnapshot over a snapshot of a newer format: error %v, want ErrNewerFormat", err)
	}
	if err := s.SaveWaits(sample(1)); err != nil { // waits have a file of their own
		t.Error(err)
	}
	s.RemoveOldFiles()
	s.RemoveSnapshot()
	if got, _ := os.ReadFile(filepath.Join(dir, SnapshotName)); !bytes.Equal(got, data) {
		t.Error("the snapshot of a newer format was changed")
	}
	prevDir := t.TempDir() // the same for the previous snapshot
	os.WriteFile(filepath.Join(prevDir, PreviousName), data, 0o600)
	s, _, _ = openIn(t, fsys.OS{Dir: prevDir})
	for range 2 {
		if err := s.SaveSnapshot(sample(2)); err != nil {
			t.Error(err)
		}
	}
	s.RemoveOldFiles()
	if got, _ := os.ReadFile(filepath.Join(prevDir, PreviousName)); !bytes.Equal(got, data) {
		t.Error("the previous snapshot of a newer format was changed")
	}
	if _, facts, _ := openIn(t, fsys.OS{Dir: dir}); len(facts.Waits) != 2 {
		t.Errorf("waits %+v, want the two from their own file", facts.Waits)
	}
	writeHeader(data, 0)
	if _, err := Decode(data); err == nil || errors.Is(err, ErrNewerFormat) {
		t.Errorf("version 0: error %v, want one other than ErrNewerFormat", err)
	}
}

// Files of all format versions that were ever written are readable, and the next write converts them to the present
// version. Version 1 contained only waits.
func TestGoldenFiles(t *testing.T) {
	if *update {
		m := &pb.BookV1{Sender: "n0", WrittenMs: now, Waits: []*pb.WaitV1{
			{Dest: 1, UntilMs: now + 900}, {Dest: 2, Endpoint: "s-9", UntilMs: now + 500},
		}}
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
		data, err := os.ReadFile("testdata/" + file + ".knowledge")
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\n got %+v\nwant %+v", file, err, got, want)
		}
		dir := t.TempDir() // the next write converts the file to the present version
		os.WriteFile(filepath.Join(dir, SnapshotName), data, 0o600)
		s, facts, problems := openIn(t, fsys.OS{Dir: dir})
		if err := s.SaveSnapshot(facts); err != nil || len(problems) > 0 {
			t.Errorf("%s: %v %+v", file, err, problems)
		}
		rewritten, _ := os.ReadFile(filepath.Join(dir, SnapshotName))
		if v := binary.BigEndian.Uint32(rewritten[8:]); v != Version {
			t.Errorf("%s is rewritten as version %d, want the present one", file, v)
		}
	}
}

// The files never exceed their maximum size or the claimed space, and the journal's claims have priority.
func TestSpace(t *testing.T) {
	dir := t.TempDir()
	space := statedir.NewSpace(100 << 10)
	journal, account := space.Account(), space.Account()
	account.YieldTo(journal)
	account.Reserve(maxBytes)
	s, _, _ := Open(Options{FS: fsys.OS{Dir: dir}, Account: account, MaxBytes: maxBytes}, "n0")
	big := knowledge.New("n0")
	for i := range 500 {
		big.MergeDestination(newDestination(i, 2))
	}
	usedBytes := func() (sum int64) {
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
				t.Fatalf("step %d: no space for the journal's %d bytes", i, need)
			}
		}
		for range 3 {
			facts := big.Clone()
			facts.EvictToFit(s.MaxSnapshotSize(), EncodedSize)
			err := s.SaveSnapshot(facts)
			if err != nil && !errors.Is(err, ErrNoSpace) {
				t.Fatal(err)
			}
			if used := usedBytes(); used > account.Claimed() || used+need > 100<<10 || used > maxBytes {
				t.Fatalf("step %d: %d bytes used, %d claimed, %d for the journal; want no more than claimed, maxBytes and the rest",
					i, used, account.Claimed(), need)
			}
			if need == 0 && (err != nil || len(facts.Dests) < 50) {
				t.Errorf("step %d: %d destinations, want 50 at least; error %v", i, len(facts.Dests), err)
			}
		}
	}
	if err := s.SaveSnapshot(big); !errors.Is(err, ErrNoSpace) || !strings.Contains(err.Error(), SnapshotName) {
		t.Errorf("SaveSnapshot without enough space: error %v, want ErrNoSpace with the name of the file", err)
	}
}

// A destination takes at most 400 bytes on average in a file of ten thousand.
func TestTenThousandDestinations(t *testing.T) {
	facts := knowledge.New("n0")
	for i := range 10000 {
		facts.MergeDestination(newDestination(i, 2))
	}
	data, err := Encode(facts)
	if err != nil || len(data) > 10000*400 {
		t.Errorf("10000 destinations take %d bytes, want at most 400 each; error %v", len(data), err)
	}
	got, err := Decode(data)
	if err != nil || len(got.Dests) != 10000 {
		t.Errorf("%v", err)
	}
}

// Decode returns either facts or an error for any contents of a file. The facts can be encoded again, unless a text in
// them is not UTF-8.
func FuzzDecode(f *testing.F) {
	for _, v := range []string{"v1", "v2"} {
		if data, err := os.ReadFile("testdata/" + v + ".knowledge"); err == nil {
			f.Add(data, uint8(0))
			f.Add(data[headerSize:], uint8(1))
			f.Add(data[headerSize:], uint8(2))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, version uint8) {
		if version > 0 { // a valid header before any payload
			data = append(make([]byte, headerSize), data...)
			writeHeader(data, uint32(version))
		}
		facts, err := Decode(data)
		if (facts == nil) == (err == nil) {
			t.Fatalf("Decode must return either facts or an error: %v, %v", facts, err)
		}
		if facts == nil {
			return
		}
		if _, err := Encode(facts); err != nil && !strings.Contains(err.Error(), "UTF-8") {
			t.Fatal(err)
		}
	})
}

// benchFacts returns the facts of n destinations with two endpoints each.
func benchFacts(n int) *knowledge.Facts {
	facts := knowledge.New("n0")
	for i := range n {
		facts.MergeDestination(newDestination(i, 2))
	}
	return facts
}

// The cost of encoding a snapshot, and its size, by number of destinations.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		facts := benchFacts(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var text []byte
			for range b.N {
				text, _ = Encode(facts)
			}
			b.ReportMetric(float64(len(text)), "bytes/file")
		})
	}
}

// The cost of decoding a snapshot, by number of destinations.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		data, _ := Encode(benchFacts(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// The cost of saving a snapshot to a file, with and without fsync, by number of destinations.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{20, 1000, 10000} {
		for _, sync := range []bool{false, true} {
			facts := benchFacts(n)
			b.Run(fmt.Sprintf("%d/sync=%t", n, sync), func(b *testing.B) {
				s, _, _ := Open(Options{
					FS: fsys.OS{Dir: b.TempDir()}, Account: statedir.NewSpace(1 << 30).Account(), MaxBytes: 1 << 30, Sync: sync,
				}, "n0")
				for range b.N {
					if err := s.SaveSnapshot(facts); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
