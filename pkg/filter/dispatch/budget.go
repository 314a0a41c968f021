package dispatch

import "sync"

const (
	// budgetShare is the extra load that hedges and retries together may cause.
	budgetShare = 0.05
	// budgetBurst bounds what accumulates while nothing goes wrong.
	budgetBurst = 20
)

// budget is a bucket of tokens that fills with the requests and pays for hedges and retries.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{}
}

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// spend takes a token if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
