package pipeline

import (
	"sync"
	"time"
)

const (
	// budgetRatio is the number of retries and hedged requests for each first try.
	budgetRatio = 0.1
	// budgetMost bounds the retries saved up in quiet times, so that a failing
	// pool does not receive them all at once.
	budgetMost = 20
	// budgetFloor and budgetFloorRate, in tokens and tokens a second, permit
	// retries when there are too few first tries to earn them.
	budgetFloor     = 2
	budgetFloorRate = 0.2
)

// Budget limits the retries and hedged requests of one service with a token
// bucket. It is safe for concurrent use; one mutex guards its state.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	tokens float64
	at     time.Time // of the last refill
}

// NewBudget returns a budget that holds its floor.
func NewBudget(now func() time.Time) *Budget {
	return &Budget{
		now:    now,
		tokens: budgetFloor,
		at:     now(),
	}
}

// First records a first try, which earns a part of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+budgetRatio)
}

// Take reports whether a retry or hedged request may be sent, and takes it from
// the budget.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.tokens < budgetFloor {
		b.tokens = min(budgetFloor, b.tokens+max(0, now.Sub(b.at).Seconds())*budgetFloorRate)
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back what Take took if the request was not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+1)
}
