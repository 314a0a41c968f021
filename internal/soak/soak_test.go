package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// freePorts returns the first of count consecutive TCP ports that are free on loopback. It holds the last one, which no VM uses, until the
// test ends, so that a test run beside this one doesn't choose the same ports while a process is being restarted.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	for first := 23000; first < 30000; first += count {
		last, err := listenOn(first + count - 1)
		if err != nil {
			continue
		}
		ok := true
		for p := first; p < first+count-1 && ok; p++ {
			l, err := listenOn(p)
			if ok = err == nil; ok {
				_ = l.Close()
			}
		}
		if ok {
			t.Cleanup(func() { _ = last.Close() })
			return first
		}
		_ = last.Close()
	}
	t.Fatal("no free ports")
	return 0
}

func listenOn(port int) (net.Listener, error) {
	return net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
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
