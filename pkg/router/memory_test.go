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

// pattern is a body of n bytes without a buffer.
type pattern struct {
	n, pos int64
}

func (p *pattern) Read(b []byte) (int, error) {
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

// heapInUse returns the memory that live and not yet collected objects occupy. Under the race detector only live objects
// count; make unit also runs the test without it.
func heapInUse() uint64 {
	if raceEnabled {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// Guards against bodies that are buffered on their way: 64 MB in each direction through a router and a remote gateway.
// Caller, both routers, controller and target share the test's process, so that the bound is stricter than for one router.
func TestLargeBodyMemory(t *testing.T) {
	const size = 64 << 20
	const bound = 4 << 20
	w := newWorld(t, 2, echo)
	// The transfer takes several seconds on a busy machine under the race detector.
	next := *w.cfg
	next.Version++
	next.Pools = slices.Clone(w.cfg.Pools)
	next.Routes = slices.Clone(w.cfg.Routes)
	next.Pools[0].MaxDeadline, next.Routes[0].Deadline = 60_000, 60_000
	w.apply(&next)
	w.eventually("the longer deadline is in force", func() bool {
		for _, n := range w.routers {
			if n.Agent().View().Config.Version != next.Version {
				return false
			}
		}
		return true
	})
	// A group that moves while a body is in flight is refused for as long as that body may take, which is true and not what is
	// measured here.
	w.eventually("every group is held in its own domain", w.placed)
	entry := w.routers[1-w.gatewayOf("archivio/catania-a/0")]
	for _, n := range []*node{entry, w.routers[w.gatewayOf("archivio/catania-a/0")]} {
		runtime.GC()
		before := heapInUse()
		var peak atomic.Uint64
		stop, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(stopped)
			for {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Millisecond):
					peak.Store(max(peak.Load(), heapInUse()))
				}
			}
		}()
		r, err := http.NewRequest("POST", n.url("/archivio/large"), &pattern{n: size})
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
		_, _ = io.Copy(want, &pattern{n: size})
		if err != nil || count != size || fmt.Sprintf("%x", got.Sum(nil)) != fmt.Sprintf("%x", want.Sum(nil)) {
			t.Fatalf("%d bytes arrived, %v", count, err)
		}
		raised := int64(peak.Load()) - int64(before)
		t.Logf("64 MB both ways raise the memory of all processes together by %d KiB", raised>>10)
		if raised > bound {
			t.Errorf("memory rises by %d KiB; the bound is %d KiB", raised>>10, bound>>10)
		}
	}
}
