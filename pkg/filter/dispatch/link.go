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

// Cause tells why bytes cross regions.
type Cause string

const (
	// CauseKeyed: the key lives in the other region.
	CauseKeyed Cause = "keyed"
	// CauseOrder: the home group of the order is in the other region.
	CauseOrder Cause = "order"
	// CauseSpill: no group of the own region could take the request.
	CauseSpill Cause = "spill"
)

var causes = []Cause{CauseKeyed, CauseOrder, CauseSpill}

const (
	// linkBurst is how much unused capacity accumulates.
	linkBurst = 250 * time.Millisecond
	// minLinkBurstBytes lets single small requests pass under any cap.
	minLinkBurstBytes = 2 * filter.PrefixBytes
	// linkRetryAfter is when the debt of a full burst is paid.
	linkRetryAfter = linkBurst
)

// Link caps the bytes that cross regions, in both directions. Small requests may overdraw the budget by one burst; large
// bodies wait until at least half a burst is left, so that they yield to small requests.
type Link struct {
	clock clock.Clock
	bytes map[Cause]tally.Counter

	mu     sync.Mutex
	rate   float64
	tokens float64
	filled clock.Instant
}

// NewLink returns a link without a cap.
func NewLink(clk clock.Clock, scope tally.Scope) *Link {
	l := &Link{clock: clk, bytes: map[Cause]tally.Counter{}}
	for _, c := range causes {
		l.bytes[c] = scope.Tagged(map[string]string{"cause": string(c)}).Counter("link_bytes")
	}
	return l
}

// burst returns the size of the bucket. The caller holds mu.
func (l *Link) burst() float64 {
	return max(l.rate*linkBurst.Seconds(), minLinkBurstBytes)
}

// fill adds what has accumulated. The caller holds mu.
func (l *Link) fill(bytesPerSecond int64) {
	now := l.clock.Now()
	if l.rate != float64(bytesPerSecond) {
		l.rate = float64(bytesPerSecond)
		l.tokens = l.burst()
		l.filled = now
	}
	l.tokens = min(l.tokens+l.rate*now.Sub(l.filled).Seconds(), l.burst())
	l.filled = now
}

// Admit refuses a request while the budget is overdrawn. The cap is that of the current configuration; 0 means no cap.
func (l *Link) Admit(bytesPerSecond int64) *problem.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(bytesPerSecond)
	if l.rate <= 0 || l.tokens > -l.burst() {
		return nil
	}
	detail := "the budget for bytes to other regions is used up"
	e := problem.New(http.StatusServiceUnavailable, problem.CodeLinkBudget, problem.NotRun, detail)
	return e.After(spread(linkRetryAfter))
}

// take counts n bytes. It returns how long a large body has to wait before its next chunk.
func (l *Link) take(cause Cause, n int) time.Duration {
	l.bytes[cause].Inc(int64(n))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return 0
	}
	l.fill(int64(l.rate))
	l.tokens -= float64(n)
	missing := l.burst()/2 - l.tokens
	return max(0, time.Duration(missing/l.rate*float64(time.Second)))
}

// linkReader counts a body that crosses regions and slows it down once it has proved to be large.
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
	wait := r.link.take(r.cause, n)
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

// linkBody is the body of an answer that crosses regions.
type linkBody struct {
	io.Reader
	io.Closer
}
