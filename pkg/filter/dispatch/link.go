package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Cause is the reason why bytes cross regions.
type Cause string

const (
	// CauseKeyed means that the key is assigned to another region.
	CauseKeyed Cause = "keyed"
	// CauseOrder means that the home group of the order is in another region.
	CauseOrder Cause = "order"
	// CauseSpill means that no group in the router's region could take the request.
	CauseSpill Cause = "spill"
)

var causes = []Cause{CauseKeyed, CauseOrder, CauseSpill}

const (
	// linkBurst is the bucket size, expressed as the time that it takes to fill at the configured rate.
	linkBurst = 250 * time.Millisecond
	// minLinkBurstBytes is the minimum bucket size, so that single small requests pass under any cap.
	minLinkBurstBytes = 2 * filter.PrefixBytes
	// linkRetryAfter is the time that it takes to recover from an overdraft of a full burst.
	linkRetryAfter = linkBurst
)

// Link limits the rate of bytes that cross regions, in both directions, with a token bucket. Small requests may overdraw the
// bucket by one burst; large bodies wait until at least half a burst is available, so that small requests take precedence.
type Link struct {
	clock clock.Clock
	bytes map[Cause]tally.Counter

	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt clock.Instant
}

// NewLink returns a Link without a cap.
func NewLink(clk clock.Clock, scope tally.Scope) *Link {
	l := &Link{clock: clk, bytes: map[Cause]tally.Counter{}}
	for _, c := range causes {
		l.bytes[c] = scope.Tagged(map[string]string{"cause": string(c)}).Counter("link_bytes")
	}
	return l
}

// burst returns the bucket size in bytes. The caller must hold mu.
func (l *Link) burst() float64 {
	return max(l.rate*linkBurst.Seconds(), minLinkBurstBytes)
}

// refill adds the tokens accumulated since the last call and resets the bucket if the rate has changed. The caller must
// hold mu.
func (l *Link) refill(bytesPerSecond int64) {
	now := l.clock.Now()
	if l.rate != float64(bytesPerSecond) {
		l.rate = float64(bytesPerSecond)
		l.tokens = l.burst()
		l.refilledAt = now
	}
	l.tokens = min(l.tokens+l.rate*now.Sub(l.refilledAt).Seconds(), l.burst())
	l.refilledAt = now
}

// Admit returns an error if the bucket is overdrawn by a full burst. bytesPerSecond is the cap in the current configuration;
// 0 means no cap.
func (l *Link) Admit(bytesPerSecond int64) *problem.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(bytesPerSecond)
	if l.rate <= 0 || l.tokens > -l.burst() {
		return nil
	}
	detail := "the budget for bytes to other regions is used up"
	e := problem.New(http.StatusServiceUnavailable, problem.CodeLinkBudget, problem.NotRun, detail)
	return e.After(jitter(linkRetryAfter))
}

// consume counts n bytes and removes them from the bucket. It returns how long a large body must wait before its next chunk.
func (l *Link) consume(cause Cause, n int) time.Duration {
	l.bytes[cause].Inc(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	l.refill(int64(l.rate))
	l.tokens -= float64(n)
	missing := l.burst()/2 - l.tokens
	return max(0, time.Duration(missing/l.rate*float64(time.Second)))
}

// linkReader counts the bytes of a body that crosses regions and throttles it after filter.PrefixBytes.
type linkReader struct {
	ctx   context.Context
	link  *Link
	cause Cause
	src   io.Reader
	total int64
}

func (l *Link) reader(ctx context.Context, cause Cause, src io.Reader) io.Reader {
	return &linkReader{ctx: ctx, link: l, cause: cause, src: src}
}

// Read implements io.Reader.
func (r *linkReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if n == 0 {
		return n, err
	}
	r.total += int64(n)
	wait := r.link.consume(r.cause, n)
	if r.total <= filter.PrefixBytes || wait == 0 {
		return n, err
	}
	select {
	case <-r.link.clock.After(wait):
		return n, err
	case <-r.ctx.Done():
		return n, r.ctx.Err()
	}
}

// linkBody is the body of a response that crosses regions.
type linkBody struct {
	io.Reader
	io.Closer
}
