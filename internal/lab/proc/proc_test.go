package proc

import (
	"net"
	"os"
	"testing"
	"time"
)

// The figures of the test's own process are plausible: resident memory, and CPU time that grows with work.
func TestOwnProcess(t *testing.T) {
	if n := ResidentBytes(os.Getpid()); n < 1<<20 {
		t.Errorf("resident memory is %d bytes, want at least 1 MiB", n)
	}
	before, err := CPUSeconds(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	after, err := CPUSeconds(os.Getpid())
	if err != nil || after <= before {
		t.Errorf("CPU time was %g s, then %g s: %v", before, after, err)
	}
}

// A process that does not exist has no resident memory, and gives an error for its CPU time.
func TestMissingProcess(t *testing.T) {
	const missingPID = 1 << 30
	if n := ResidentBytes(missingPID); n != 0 {
		t.Errorf("resident memory of a missing process is %d bytes, want 0", n)
	}
	if _, err := CPUSeconds(missingPID); err == nil {
		t.Error("no error for the CPU time of a missing process")
	}
}

// FreeAddr returns no address twice, and each one can be listened on.
func TestFreeAddr(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		addr, err := FreeAddr()
		if err != nil || seen[addr] {
			t.Fatalf("address %q was returned before, or error: %v", addr, err)
		}
		seen[addr] = true
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
	}
}
