package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/internal/standin/target"
)

const (
	probeTimeout  = time.Second
	probeInterval = 20 * time.Millisecond
	// watchedPerTarget bounds the keys per target that are polled until they are served again. With all 400 keys, 100 lost
	// ones were asked for 5,000 times per second, more than the five targets of a group bear.
	watchedPerTarget = 4
	// pollTimeout ends the wait for a key that is never served again.
	pollTimeout = 15 * time.Second
	probeKeys   = 400
)

// prober sends keyed reads and reads back which target answered.
type prober struct {
	base   string
	keys   int
	client *http.Client
}

func newProber(base string, keys int) *prober {
	return &prober{base: base, keys: keys, client: &http.Client{
		Timeout: probeTimeout,
		// Fresh connections see the balancer's present choice of entry VMs.
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// owner returns the target that answers for a key.
func (p *prober) owner(key string) (string, error) {
	response, err := p.client.Get(p.base + "/status/" + key)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	var answer target.StatusAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", err
	}
	return answer.Target, nil
}

// keysByOwner looks up a fixed set of keys.
func (p *prober) keysByOwner() map[string][]string {
	owners := map[string][]string{}
	for i := range p.keys {
		key := fmt.Sprintf("probe-%d", i)
		if owner, err := p.owner(key); err == nil {
			owners[owner] = append(owners[owner], key)
		}
	}
	return owners
}

// watched returns some keys of every owner.
func watched(owners map[string][]string) []string {
	var keys []string
	for _, owned := range owners {
		keys = append(keys, owned[:min(len(owned), watchedPerTarget)]...)
	}
	return keys
}

// servedAgain polls the keys until each has been answered and returns the longest time from now until its first answer.
func (p *prober) servedAgain(ctx context.Context, keys []string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	start := time.Now()
	var mu sync.Mutex
	var longest time.Duration
	var wg sync.WaitGroup
	for _, key := range keys {
		wg.Go(func() {
			p.poll(ctx, key)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(start))
		})
	}
	wg.Wait()
	return longest
}

func (p *prober) poll(ctx context.Context, key string) {
	for ctx.Err() == nil {
		if _, err := p.owner(key); err == nil {
			return
		}
		time.Sleep(probeInterval)
	}
}
