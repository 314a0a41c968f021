package router

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// patternReader generates a body of n bytes without a buffer.
type patternReader struct {
	n, pos int64
}

func (p *patternReader) Read(b []byte) (int, error) {
	if p.pos == p.n {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.n-p.pos))
	for i := range n {
		at := p.pos + int64(i)
		b[i] = byte(at ^ at>>8 ^ at>>16)
	}
	p.pos += int64(n)
	return n, nil
}

// memoryInUse returns the bytes in use by heap spans and stacks. Objects that haven't been collected yet count, except under
// the race detector; make unit also runs the test without it.
func memoryInUse() uint64 {
	if raceEnabled {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// Guards against buffering of whole bodies: 64 MB are sent in each direction through a router with a remote and one with a
// local gateway. Caller, both routers, controller and target share the test's process, so that the bound is stricter than for
// one router.
func TestLargeBodyMemory(t *testing.T) {
	const size = 64 << 20
	const bound = 4 << 20
	tc := newTestCluster(t, 2, echo)
	// The transfer takes several seconds on a busy machine under the race detector.
	next := *tc.cfg
	next.Version++
	next.Pools = slices.Clone(tc.cfg.Pools)
	next.Routes = slices.Clone(tc.cfg.Routes)
	next.Pools[0].MaxDeadline, next.Routes[0].Deadline = 60_000, 60_000
	tc.applyConfig(&next)
	tc.eventually("the longer deadline is in force", func() bool {
		for _, n := range tc.routers {
			if n.Agent().View().Config.Version != next.Version {
				return false
			}
		}
		return true
	})
	// If a group moves while a body is in flight, its requests are refused for as long as that body may take. That is
	// correct, but not what this test measures.
	tc.eventually("every group has its gateway in its own domain", tc.gatewaysInOwnDomain)
	entry := tc.routers[1-tc.gatewayOf("archivio/catania-a/0")]
	for _, n := range []*node{entry, tc.routers[tc.gatewayOf("archivio/catania-a/0")]} {
		runtime.GC()
		before := memoryInUse()
		var peak atomic.Uint64
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
					peak.Store(max(peak.Load(), memoryInUse()))
				}
			}
		}()
		r, err := http.NewRequest("POST", n.url("/archivio/large"), &patternReader{n: size})
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = size
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusOK {
			body, err := io.ReadAll(response.Body)
			t.Fatalf("status %d, %s, %v", response.StatusCode, body, err)
		}
		got, want := sha256.New(), sha256.New()
		count, err := io.Copy(got, response.Body)
		_ = response.Body.Close()
		close(stop)
		<-stopped
		_, _ = io.Copy(want, &patternReader{n: size})
		if err != nil || count != size || fmt.Sprintf("%x", got.Sum(nil)) != fmt.Sprintf("%x", want.Sum(nil)) {
			t.Fatalf("%d bytes arrived, %v", count, err)
		}
		increase := int64(peak.Load()) - int64(before)
		t.Logf("64 MB both ways raise the memory use of all components together by %d KiB", increase>>10)
		if increase > bound {
			t.Errorf("memory use rises by %d KiB; the bound is %d KiB", increase>>10, bound>>10)
		}
	}
}
