package load

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// skipDuration is how long a URL gets no new requests after it has refused a connection.
	skipDuration = 500 * time.Millisecond
	// dialTimeout limits the time to establish a connection.
	dialTimeout = time.Second
	// idlePerURL is the number of idle connections kept per URL.
	idlePerURL = 512
)

// balancer distributes requests over the URLs that accept connections.
type balancer struct {
	urls []string

	mu           sync.Mutex
	skippedUntil map[int]time.Time
}

func newBalancer(urls []string) *balancer {
	return &balancer{urls: urls, skippedUntil: map[int]time.Time{}}
}

// candidates returns the indices of the URLs in the order in which they are tried, beginning with the preferred one. URLs that refused
// a connection recently come last.
func (b *balancer) candidates(preferred int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var available, refusing []int
	for i := range b.urls {
		n := (preferred + i) % len(b.urls)
		if now.Before(b.skippedUntil[n]) {
			refusing = append(refusing, n)
		} else {
			available = append(available, n)
		}
	}
	return append(available, refusing...)
}

func (b *balancer) skip(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.skippedUntil[n] = time.Now().Add(skipDuration)
}

// newClient returns an HTTP client with the retries of a typical caller: package net/http resends a read, or an order with an
// Idempotency-Key, if a reused connection breaks before the first byte of the response.
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
