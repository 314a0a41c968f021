package router

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	latencyRate     = 1000
	latencyRequests = 5000
)

// path is one of the network paths to the same target.
type path struct {
	name string
	url  string
}

// paths returns the URLs of a key that the target stato-1 owns: direct, through its gateway, and through the other router.
func (tc *testCluster) paths() []path {
	gateway := tc.gatewayOf("stato/catania-a/0")
	target := ""
	for _, p := range tc.cfg.Pools {
		if p.Name == "stato" {
			target = p.Targets[0].Address
		}
	}
	key := 0
	for tc.owner(fmt.Sprint(key)) != "stato-1" {
		key++
	}
	suffix := fmt.Sprintf("/stato/%d", key)
	return []path{
		{"direct", "http://" + target + suffix},
		{"local", tc.routers[gateway].url(suffix)},
		{"remote", tc.routers[1-gateway].url(suffix)},
	}
}

// measureLatencies sends requests at a fixed rate and returns the sorted latencies.
func measureLatencies(t testing.TB, client *http.Client, url string) []time.Duration {
	t.Helper()
	latencies := make([]time.Duration, latencyRequests)
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Second / latencyRate)
	defer ticker.Stop()
	for i := range latencies {
		<-ticker.C
		wait.Go(func() {
			began := time.Now()
			response, err := client.Get(url)
			if err != nil || discardBody(response) != http.StatusOK {
				t.Errorf("request failed: %v", err)
			}
			latencies[i] = time.Since(began)
		})
	}
	wait.Wait()
	slices.Sort(latencies)
	return latencies
}

func p50(l []time.Duration) time.Duration { return l[len(l)/2] }
func p99(l []time.Duration) time.Duration { return l[len(l)*99/100] }

// Guards against a router that adds more than 300 us at p50 at 1,000 requests/s, or more than doubles a direct call. The
// direct calls are measured in the same run. It needs a quiet machine and runs only if BL_LATENCY is set.
func TestAddedLatency(t *testing.T) {
	if os.Getenv("BL_LATENCY") == "" {
		t.Skip("set BL_LATENCY=1 on a quiet machine")
	}
	const work = time.Millisecond
	tc := newTestCluster(t, 2, func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		_, _ = fmt.Fprint(rw, "answer")
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	medians := map[string][]time.Duration{}
	const rounds = 3
	for range rounds {
		for _, path := range tc.paths() {
			l := measureLatencies(t, client, path.url)
			medians[path.name] = append(medians[path.name], p50(l))
			t.Logf("%-6s p50 %v p99 %v", path.name, p50(l), p99(l))
		}
	}
	for _, m := range medians {
		slices.Sort(m)
	}
	direct := medians["direct"][rounds/2]
	for _, name := range []string{"local", "remote"} {
		through := medians[name][rounds/2]
		t.Logf("%s gateway adds %v to %v", name, through-direct, direct)
		if through-direct > 300*time.Microsecond || through > 2*direct {
			t.Errorf("%s gateway: %v against %v", name, through, direct)
		}
	}
}

// BenchmarkPath compares the latency of sequential requests: direct, through a local and through a remote gateway.
func BenchmarkPath(b *testing.B) {
	tc := newTestCluster(b, 2, func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(rw, "answer")
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	for _, path := range tc.paths() {
		b.Run(path.name, func(b *testing.B) {
			for b.Loop() {
				response, err := client.Get(path.url)
				if err != nil || discardBody(response) != http.StatusOK {
					b.Fatalf("request failed: %v", err)
				}
			}
		})
	}
}
