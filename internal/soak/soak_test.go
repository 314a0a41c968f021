package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// freePorts returns the first of count consecutive TCP ports that are free on loopback.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	for first := 23000; first < 30000; first += count {
		ok := true
		for p := first; p < first+count && ok; p++ {
			l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: p})
			if err != nil {
				ok = false
				continue
			}
			_ = l.Close()
		}
		if ok {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// Guards against violations by the real entry program under kills, pauses, stops, store outages and lost targets. The fixed seed injects
// the same faults each time.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "blentry")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/blentry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	violations, err := Run(t.Context(), Options{
		Binary: binary, Seed: 1, VMs: 3, Targets: 4, Faults: 6 * time.Second, FirstPort: freePorts(t, 30), LogDir: dir, Out: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range violations {
		t.Error(text)
	}
}
