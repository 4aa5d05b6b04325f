package proc

import (
	"net"
	"os"
	"testing"
	"time"
)

// What this very process takes is seen: memory, and processor time that grows with work.
func TestOwnProcess(t *testing.T) {
	if n := ResidentBytes(os.Getpid()); n < 1<<20 {
		t.Errorf("resident: %d bytes", n)
	}
	before, err := CPUSeconds(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	after, err := CPUSeconds(os.Getpid())
	if err != nil || after <= before {
		t.Errorf("processor time %g, then %g: %v", before, after, err)
	}
}

func TestMissingProcess(t *testing.T) {
	const missingPID = 1 << 30
	if n := ResidentBytes(missingPID); n != 0 {
		t.Errorf("resident: %d bytes", n)
	}
	if _, err := CPUSeconds(missingPID); err == nil {
		t.Error("processor time of a process that is not there")
	}
}

func TestFreeAddr(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		addr, err := FreeAddr()
		if err != nil || seen[addr] {
			t.Fatalf("%q again, or %v", addr, err)
		}
		seen[addr] = true
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
	}
}
