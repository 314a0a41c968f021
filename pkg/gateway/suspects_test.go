package gateway

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
)

// Guards against fingerprints of bound requests that leave their home regions, and against a request that takes down two
// targets in each region because the other regions never hear of it.
func TestSuspectsCrossOnlyToPermittedRegions(t *testing.T) {
	f := newFixture(t, defaultPool(1))
	f.gateway.view.Store(&exchange.View{
		Cell:   "home",
		Config: &config.Config{Regions: []config.Region{{Name: "home"}, {Name: "away"}, {Name: "far"}}},
	})
	report := newCrashReport(testPool, false)
	report.found = []exposed{
		{fingerprint: 1},
		{fingerprint: 2, homeRegions: []string{"home"}},
		{fingerprint: 3, homeRegions: []string{"home", "away"}},
	}
	f.gateway.crashed(report, nil)
	want := map[string][]uint64{"away": {1, 3}, "far": {1}}
	for region, fingerprints := range want {
		got := f.cell.crossed[region]
		slices.Sort(got)
		if !slices.Equal(got, fingerprints) {
			t.Errorf("region %s got %v, want %v", region, got, fingerprints)
		}
	}
	if len(f.cell.suspects) != 1 || len(f.cell.suspects[0].Suspects) != 3 {
		t.Errorf("the own cell got %v", f.cell.suspects)
	}
}

// Guards against an answer to the caller of a crashed request before the other routers know it. A crash breaks several
// connections at once; the exchange that noticed it second found nothing left to report and answered its caller at once.
func TestCallersOfACrashWaitForItsReport(t *testing.T) {
	o := defaultPool(1)
	o.settings[0].ServiceMillis, o.settings[0].Spread = 60_000, 0
	f := newFixture(t, o)
	f.apply()
	f.warm()
	f.cell.hold = make(chan struct{})
	answered := make(chan error, 2)
	var wg sync.WaitGroup
	for _, fingerprint := range []uint64{1, 2} {
		wg.Go(func() {
			r := newRequest(http.MethodGet, "/status/slow")
			r.Fingerprint = fingerprint
			_, _, err := f.do(within(t, 10*time.Second), r, "")
			answered <- err
		})
	}
	eventually(t, "both requests are at the target", func() bool { return f.backends[0].load() == `{"in_flight":2,"slots":2}` })
	_ = f.backends[0].server.Close()
	eventually(t, "the cell is told", func() bool { return f.cell.told(1) > 0 && f.cell.told(2) > 0 })
	select {
	case err := <-answered:
		t.Errorf("a caller was answered with %v before the other routers had confirmed", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(f.cell.hold)
	wg.Wait()
}
