package interregion

import (
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/metric"
)

// Guards against metrics with other names than docs/OPERATIONS.md states, and against bytes that are added twice.
func TestMetricsShowTheCounts(t *testing.T) {
	registry := metric.NewRegistry("bronzelever")
	var c Counter
	m := NewMetrics(registry.Scope(), &c)
	for range 2 {
		c.AddSent(Placement, 3)
		c.AddReceived(Store, 5)
		m.Record()
		m.Record()
	}
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	registry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`bronzelever_inter_region_bytes{direction="sent",kind="placement"} 6`, `bronzelever_inter_region_bytes{direction="received",kind="store"} 10`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("missing %s", want)
		}
	}
}

// Guards against bytes that are lost if they are added while the regions become known.
func TestPeerCountsEachByteOnce(t *testing.T) {
	const senders = 4
	for range 1000 {
		var c Counter
		p := NewPeer(&c)
		var added atomic.Int64
		known := make(chan struct{})
		var started, group sync.WaitGroup
		for range senders {
			started.Add(1)
			group.Go(func() {
				started.Done()
				for open := true; open; {
					select {
					case <-known:
						open = false
					default:
					}
					p.AddSent(Placement, 1)
					added.Add(1)
				}
			})
		}
		started.Wait()
		p.SetRegions("a", "b")
		close(known)
		group.Wait()
		if got := c.Total(Placement).Sent; got != added.Load() {
			t.Fatalf("%d bytes are counted, want %d", got, added.Load())
		}
	}
}
