package dispatch

import "sync"

const (
	// budgetShare is the extra load that hedges and retries together may cause, as a fraction of the requests.
	budgetShare = 0.05
	// budgetBurst limits the tokens that accumulate while no hedges or retries are needed.
	budgetBurst = 20
)

// budget is a token bucket for hedges and retries. Each request adds a fraction of a token.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{}
}

// deposit adds the share of one request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// tryWithdraw takes a token and reports whether one was available.
func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
