package quickstart

import (
	"context"
	"sync"
	"time"
)

const (
	// watchInterval is the pause between two reads of one key.
	watchInterval = 100 * time.Millisecond
	// keysPerOwner is how many keys of each target are watched.
	keysPerOwner = 2
)

// watch reads keys all the time and counts the reads without an answer.
type watch struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	reads      int
	unanswered int
	example    string
}

// watch begins to read the keys.
func (p *prober) watch(ctx context.Context, keys []string) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel}
	for _, key := range keys {
		w.done.Go(func() { w.read(ctx, p, key) })
	}
	return w
}

func (w *watch) read(ctx context.Context, p *prober, key string) {
	for ctx.Err() == nil {
		_, err := p.owner(key)
		w.note(key, err)
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

func (w *watch) note(key string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	if err != nil {
		w.unanswered++
		w.example = key + ": " + err.Error()
	}
}

// stop ends the reads, each of which lasts at most probeTimeout.
func (w *watch) stop() {
	w.cancel()
	w.done.Wait()
}

// someOf returns up to keysPerOwner keys of each owner but the excluded one.
func someOf(byOwner map[string][]string, excluded string) []string {
	var keys []string
	for owner, owned := range byOwner {
		if owner != excluded {
			keys = append(keys, owned[:min(len(owned), keysPerOwner)]...)
		}
	}
	return keys
}
