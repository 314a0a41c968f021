package sharedrate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Guards the claims of docs/CAPACITY.md about 1,000 VMs and 10,000 organisations, and buckets that are kept after they are full again.
func TestManyOrganisationsAndVMs(t *testing.T) {
	const organisations, vms = 10_000, 1_000
	now := clock.Instant(time.Hour)
	before := heapBytes()
	g := NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance}, now)
	for i := range vms {
		g.Answer(fmt.Sprint("vm", i), Answer{Process: 1, Stamp: 1, Coordinator: 1, Echo: int64(now)}, now)
	}
	g.SetAuthority(now.Add(time.Hour), g.Holders(now), now)
	now = now.Add(time.Second)
	limit := Limit{Rate: 1, Burst: 2}
	for i := range organisations {
		g.Admit(fmt.Sprint("organisation", i), limit, false, now)
		g.Send(fmt.Sprint("organisation", i), limit, false, now)
	}
	bytes := heapBytes() - before
	t.Logf("%d organisations and %d VMs take %d KB", organisations, vms, bytes>>10)
	if bytes > 4<<20 {
		t.Errorf("%d organisations and %d VMs take %d bytes, want 4 MB at most", organisations, vms, bytes)
	}
	started := time.Now()
	for range 4 {
		for i := range vms {
			name := fmt.Sprint("vm", i)
			o := g.Offer(name, now)
			g.Answer(name, Answer{Process: 1, Stamp: int64(now), Coordinator: 1, Echo: o.Stamp, GrantedBy: 1, Serial: o.Serial, Fraction: o.Fraction, LeftMs: 1}, now)
			now = now.Add(250 * time.Microsecond)
		}
	}
	t.Logf("a second of messages with %d VMs takes %v, while all get their first shares", vms, time.Since(started))
	now = now.Add(time.Minute)
	for i := range 2 * organisations {
		g.Admit(fmt.Sprint("later", i), limit, false, now.Add(time.Duration(i)*time.Millisecond))
	}
	if kept := len(g.admitted.entries); kept > organisations {
		t.Errorf("%d buckets are kept, most of them full", kept)
	}
	runtime.KeepAlive(g)
}

func heapBytes() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
