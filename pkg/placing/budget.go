package placing

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// RetryBudget limits retries with a token bucket for each pool, which is refilled by first attempts and over time. Each bucket
// starts nearly empty, so that restarts of VMs and changes of the broker while many targets fail don't multiply the limit by the
// number of budgets. It is safe for concurrent use.
type RetryBudget struct {
	perRequest float64

	mu sync.Mutex
	// perSecond, capacity and initial are the refill rate, size and initial tokens of each bucket.
	perSecond, capacity, initial float64
	// sharedExtra is the number of retries in a window that all VMs together may make regardless of the number of requests; 0 if
	// the budget isn't divided among VMs.
	sharedExtra float64
	window      time.Duration
	pools       map[string]*tokenBucket
}

type tokenBucket struct {
	tokens float64
	at     clock.Instant
}

const (
	// brokerRatioShare is the broker's part of the ratio. brokerExtraShare is its part of the extra, which counts twice in a
	// window: once as saved tokens and once as the refill over time.
	brokerRatioShare = 0.75
	brokerExtraShare = 0.15
	// brokerFirstShare is the part of the extra that a new broker starts with. The broker changes at most six times in a window,
	// since a takeover takes 1.5 s.
	brokerFirstShare = 0.02
	// localRatioShare is a VM's part of the ratio, for requests that it places without the broker.
	localRatioShare = 0.15
	// localExtraShare is the part of the extra that all VMs together may use for such requests.
	localExtraShare = 0.25
	// assumedVMs is the number of VMs among which localExtraShare is divided until the actual number is known.
	assumedVMs = 12
)

// NewBrokerBudget returns the budget of the broker. In any window, the retries allowed by it and by the budgets of all VMs are at
// most ratio times the number of requests plus extra.
func NewBrokerBudget(ratio, extra float64, window time.Duration) *RetryBudget {
	return &RetryBudget{
		perRequest: ratio * brokerRatioShare, perSecond: extra * brokerExtraShare / window.Seconds(),
		capacity: max(1, extra*brokerExtraShare), initial: extra * brokerFirstShare, window: window, pools: map[string]*tokenBucket{},
	}
}

// NewLocalBudget returns the budget of one VM for requests that it places without the broker.
func NewLocalBudget(ratio, extra float64, window time.Duration) *RetryBudget {
	b := &RetryBudget{perRequest: ratio * localRatioShare, sharedExtra: extra * localExtraShare, window: window, pools: map[string]*tokenBucket{}}
	b.SetVMCount(assumedVMs)
	return b
}

// SetVMCount sets the number of VMs among which a local budget is divided.
func (b *RetryBudget) SetVMCount(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms <= 0 || b.sharedExtra <= 0 {
		return
	}
	half := b.sharedExtra / float64(vms) / 2
	b.perSecond, b.capacity, b.initial = half/b.window.Seconds(), max(1, half), min(1, half)
}

// Reset restarts all buckets with their initial tokens, because another VM has used its own budget in the meantime.
func (b *RetryBudget) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.pools)
}

func (b *RetryBudget) bucket(pool string, now clock.Instant) *tokenBucket {
	t := b.pools[pool]
	if t == nil {
		t = &tokenBucket{tokens: b.initial, at: now}
		b.pools[pool] = t
	}
	t.tokens = min(b.capacity, t.tokens+b.perSecond*now.Sub(t.at).Seconds())
	t.at = now
	return t
}

// AddAttempt adds tokens for a first attempt.
func (b *RetryBudget) AddAttempt(pool string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(pool, now)
	t.tokens = min(b.capacity, t.tokens+b.perRequest)
}

// permitsRetry reports whether TakeRetry would take a token.
func (b *RetryBudget) permitsRetry(pool string, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(pool, now).tokens >= 1
}

// TakeRetry takes a token for a retry. It returns false if there is none left.
func (b *RetryBudget) TakeRetry(pool string, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(pool, now)
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
