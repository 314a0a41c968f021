package check

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Collector gathers the records of targets piece by piece, so that more executions are kept than a target holds, and that
// those of a target that is killed later aren't lost as a whole.
type Collector struct {
	client *http.Client
	// urls are the control addresses of the targets, for example http://127.0.0.1:9001.
	urls []string

	mu      sync.Mutex
	records map[process]*target.Record
	current map[string]process
}

// process identifies one run of a target.
type process struct {
	url     string
	started clock.Instant
}

// NewCollector returns a collector for targets at the given base URLs.
func NewCollector(client *http.Client, urls ...string) *Collector {
	return &Collector{
		client:  client,
		urls:    urls,
		records: map[process]*target.Record{},
		current: map[string]process{},
	}
}

// Collect fetches what is new on all targets. It returns the targets that couldn't be reached; what they had told before
// is kept.
func (c *Collector) Collect(ctx context.Context) map[string]error {
	failed := map[string]error{}
	for _, url := range c.urls {
		if err := c.collectOne(ctx, url); err != nil {
			failed[url] = err
		}
	}
	return failed
}

// Records returns what has been collected, one record per process.
func (c *Collector) Records() []target.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]target.Record, 0, len(c.records))
	for _, r := range c.records {
		copied := *r
		copied.Executions = append([]target.Execution(nil), r.Executions...)
		out = append(out, copied)
	}
	return out
}

func (c *Collector) collectOne(ctx context.Context, url string) error {
	record, err := c.fetch(ctx, url, c.next(url))
	if err != nil {
		return err
	}
	p := process{url: url, started: record.Summary.Started}
	if known := c.processOf(url); known != p && known.url != "" {
		// The target was restarted: its sequence numbers began again.
		if record, err = c.fetch(ctx, url, 0); err != nil {
			return err
		}
		p.started = record.Summary.Started
	}
	c.merge(p, record)
	return nil
}

func (c *Collector) processOf(url string) process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current[url]
}

// next returns the sequence number of the first execution that isn't known yet.
func (c *Collector) next(url string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[c.current[url]]
	if !ok || len(record.Executions) == 0 {
		return 0
	}
	return record.Executions[len(record.Executions)-1].Sequence + 1
}

func (c *Collector) merge(p process, record target.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current[p.url] = p
	known, ok := c.records[p]
	if !ok {
		c.records[p] = &record
		return
	}
	known.Summary = record.Summary
	known.Executions = append(known.Executions, record.Executions...)
}

func (c *Collector) fetch(ctx context.Context, url string, since uint64) (target.Record, error) {
	var record target.Record
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/record?since=%d", url, since), nil)
	if err != nil {
		return record, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return record, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return record, fmt.Errorf("%s answered %s", url, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&record)
	return record, err
}
