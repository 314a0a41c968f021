package interregion

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

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

// failingConn is a connection whose writes fail after a call of during.
type failingConn struct {
	net.Conn
	during func()
}

func (c failingConn) Write([]byte) (int, error) {
	c.during()
	return 0, errors.New("connection reset")
}

// Guards against a metric that falls when a write fails which was counted before: the Prometheus client panics if a counter decreases,
// which would end the process.
func TestMetricsNeverDecrease(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var c Counter
	m := NewMetrics(scope, &c)
	value := func() int64 {
		return scope.Snapshot().Counters()["inter_region.bytes+direction=sent,kind=store"].Value()
	}
	dial := c.Flow(Store).Dialer(func(context.Context, string, string) (net.Conn, error) {
		return failingConn{during: m.Record}, nil
	})
	failing, err := dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := failing.Write(make([]byte, 10)); err == nil {
		t.Fatal("the write succeeded")
	}
	m.Record()
	if got := value(); got != 10 {
		t.Errorf("the metric is %d after a failed write, want 10 as before", got)
	}
	c.AddSent(Store, 25)
	m.Record()
	if got := value(); got != 25 {
		t.Errorf("the metric is %d, want 25, the bytes of the writes that succeeded", got)
	}
}

// Guards against bytes that are lost if they are added while the regions become known.
func TestPeerCountsEachByteOnce(t *testing.T) {
	const senders = 4
	for range 400 {
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
