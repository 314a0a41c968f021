package load

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// skipTime is how long a URL that refused a connection gets no new requests.
	skipTime = 500 * time.Millisecond
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// idlePerURL is the number of idle connections kept per URL.
	idlePerURL = 512
)

// balancer spreads requests over the URLs that accept connections.
type balancer struct {
	urls []string

	mu      sync.Mutex
	skipped map[int]time.Time
}

func newBalancer(urls []string) *balancer {
	return &balancer{urls: urls, skipped: map[int]time.Time{}}
}

// order returns the URLs to try, beginning with the preferred one; those that refused a connection recently come last.
func (b *balancer) order(preferred int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var good, bad []int
	for i := range b.urls {
		n := (preferred + i) % len(b.urls)
		if now.Before(b.skipped[n]) {
			bad = append(bad, n)
		} else {
			good = append(good, n)
		}
	}
	return append(good, bad...)
}

func (b *balancer) skip(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.skipped[n] = time.Now().Add(skipTime)
}

// newClient returns a client that behaves like callers' clients: package net/http sends a read or an order with an
// Idempotency-Key again if a reused connection breaks before the first byte of the answer.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerURL,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
