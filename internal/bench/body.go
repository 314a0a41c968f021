package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/pkg/config"
)

const (
	bodyBytes  = 64 << 20
	bodyRounds = 3
	// memoryInterval is short against a transfer of some 100 ms.
	memoryInterval = 5 * time.Millisecond

	maxGrowthMB = 4
)

func bodyConfig() *config.Config {
	cfg := oneRegion()
	pool := poolOf(cfg, "photos", 0, 1)
	pool.MaxDeadline = 10_000
	cfg.Pools = []config.Pool{pool}
	up := downloads(&pool, 1)
	up.Name = "photos-upload"
	up.Methods = []string{"POST"}
	up.MaxBodyBytes = bodyBytes
	cfg.Routes = []config.Route{downloads(&pool, 1), up}
	return cfg
}

// body measures how far the resident memory of the routers grows while a body passes.
func (r *runner) body(ctx context.Context) error {
	p, err := r.deployPair(ctx, bodyConfig(), "--service-ms", "1")
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.close()
	client := newClient(4)
	client.Timeout = 20 * time.Second
	defer client.CloseIdleConnections()
	directions := []struct {
		name string
		send func(base string, size int64) error
	}{
		{"upload", func(base string, size int64) error { return upload(client, base, size) }},
		{"download", func(base string, size int64) error {
			return get(client, fmt.Sprintf("%s/photos/p?bytes=%d", base, size))
		}},
	}
	for _, direction := range directions {
		times := map[string][]time.Duration{}
		var gatewayGrowth, entryGrowth int64
		for _, w := range p.ways() {
			// Small bodies first, so that growth doesn't include connections and buffers that any request needs.
			for range 5 {
				if err := direction.send(w.url, 1<<20); err != nil {
					return trace.Wrap(err, "%s, %s", direction.name, w.name)
				}
			}
			for range bodyRounds {
				stop := p.watchMemory()
				began := time.Now()
				err := direction.send(w.url, bodyBytes)
				took := time.Since(began)
				gateway, other := stop()
				if err != nil {
					return trace.Wrap(err, "%s, %s", direction.name, w.name)
				}
				times[w.name] = append(times[w.name], took)
				if w.name != "direct" {
					gatewayGrowth = max(gatewayGrowth, gateway)
				}
				if w.name == "remote gateway" {
					entryGrowth = max(entryGrowth, other)
				}
			}
		}
		r.report.atMost(direction.name+": largest growth of a gateway", megabytes(gatewayGrowth), maxGrowthMB, "MB")
		r.report.atMost(direction.name+": largest growth of an entry router", megabytes(entryGrowth), maxGrowthMB, "MB")
		for _, w := range p.ways()[1:] {
			r.report.note(direction.name+", "+w.name+": time against direct", "%.2f times",
				float64(median(times[w.name]))/float64(median(times["direct"])))
		}
	}
	return nil
}

func megabytes(n int64) float64 {
	return float64(n) / 1e6
}

// watchMemory samples the resident memory of both routers until the returned function is called, which returns the growths.
func (p *pair) watchMemory() func() (gateway, other int64) {
	stop := make(chan struct{})
	done := make(chan [2]int64)
	processes := [2]*child.Process{p.gatewayVM.router, p.otherVM.router}
	before := [2]int64{processes[0].ResidentBytes(), processes[1].ResidentBytes()}
	go func() {
		var growth [2]int64
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for {
			for i, process := range processes {
				growth[i] = max(growth[i], process.ResidentBytes()-before[i])
			}
			select {
			case <-stop:
				done <- growth
				return
			case <-ticker.C:
			}
		}
	}()
	return func() (int64, int64) {
		close(stop)
		growth := <-done
		return growth[0], growth[1]
	}
}

func upload(client *http.Client, base string, size int64) error {
	request, err := http.NewRequest(http.MethodPost, base+"/photos", io.LimitReader(zeros{}, size))
	if err != nil {
		return err
	}
	request.ContentLength = size
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
