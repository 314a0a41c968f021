package placing

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Budget bounds the repeats of requests by tokens: first attempts add some, and so does time. It answers the load in which many
// targets fail while VMs restart and the broker changes: each budget begins nearly empty, so that their number doesn't multiply the
// bound. It is safe for concurrent use.
type Budget struct {
	perRequest float64

	mu sync.Mutex
	// perSecond, capacity and initial are tokens of each pool.
	perSecond, capacity, initial float64
	// shared is what all VMs together spend in a window beside the ratio; 0 if the budget isn't divided.
	shared float64
	window time.Duration
	pools  map[string]*allowance
}

type allowance struct {
	tokens float64
	at     clock.Instant
}

const (
	// brokerRatioShare and brokerExtraShare are the parts of the bound that the broker spends: the ratio, and the extra once as what has
	// been saved and once as what a window adds.
	brokerRatioShare = 0.75
	brokerExtraShare = 0.15
	// brokerFirstShare is the part of the extra that a new broker begins with. It changes at most six times in a window: a takeover takes
	// 1.5 s.
	brokerFirstShare = 0.02
	// localRatioShare is the part of the ratio that a VM spends for requests that it places by itself.
	localRatioShare = 0.15
	// localExtraShare is the part of the extra that all VMs together spend for such requests.
	localExtraShare = 0.25
	// assumedVMs divides localExtraShare until the number of VMs is known.
	assumedVMs = 12
)

// NewBrokerBudget returns the budget of the broker: within any window, repeats are at most ratio times the requests plus
// extra, with the budgets of the VMs together.
func NewBrokerBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{
		perRequest: ratio * brokerRatioShare, perSecond: extra * brokerExtraShare / window.Seconds(),
		capacity: max(1, extra*brokerExtraShare), initial: extra * brokerFirstShare, window: window, pools: map[string]*allowance{},
	}
}

// NewLocalBudget returns the budget of one VM.
func NewLocalBudget(ratio, extra float64, window time.Duration) *Budget {
	b := &Budget{perRequest: ratio * localRatioShare, shared: extra * localExtraShare, window: window, pools: map[string]*allowance{}}
	b.Divide(assumedVMs)
	return b
}

// Divide tells among how many VMs a local budget is divided.
func (b *Budget) Divide(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms <= 0 || b.shared <= 0 {
		return
	}
	half := b.shared / float64(vms) / 2
	b.perSecond, b.capacity, b.initial = half/b.window.Seconds(), max(1, half), min(1, half)
}

// Reset makes the budget begin anew: another VM has spent from its own meanwhile.
func (b *Budget) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.pools)
}

func (b *Budget) of(pool string, now clock.Instant) *allowance {
	a := b.pools[pool]
	if a == nil {
		a = &allowance{tokens: b.initial, at: now}
		b.pools[pool] = a
	}
	a.tokens = min(b.capacity, a.tokens+b.perSecond*now.Sub(a.at).Seconds())
	a.at = now
	return a
}

// First notes a first attempt.
func (b *Budget) First(pool string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(pool, now)
	a.tokens = min(b.capacity, a.tokens+b.perRequest)
}

// Repeat takes a repeat out of the budget. It returns false if there is none left.
func (b *Budget) Repeat(pool string, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(pool, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
