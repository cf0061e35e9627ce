package pipeline

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// budgetRatio is the number of retries and hedged requests that each first
	// attempt earns.
	budgetRatio = 0.1
	// budgetMaxTokens bounds the retries saved up while no attempts fail, so that
	// a pool that starts to fail does not receive them all at once.
	budgetMaxTokens = 20
	// budgetFloor, in tokens, and budgetFloorRefill, in tokens per second, permit
	// retries when there are too few first attempts to earn them.
	budgetFloor       = 2
	budgetFloorRefill = 0.2
)

// Budget limits the retries and hedged requests of one service. Each stage has
// its own token bucket: with one bucket per service, a slow stage would receive
// the retries earned by all stages. It is safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	stages map[ident.StageName]*bucket
}

// bucket holds the tokens of one stage; a retry or hedged request costs one token.
type bucket struct {
	tokens     float64
	lastRefill time.Time // by Take, or when the bucket was added
}

// NewBudget returns a Budget that initially permits two retries for each stage.
// It reads the time from now.
func NewBudget(now func() time.Time) *Budget {
	return &Budget{
		now:    now,
		stages: make(map[ident.StageName]*bucket),
	}
}

// bucketOf returns the bucket of a stage, and adds it if there is none. The caller
// holds b.mu.
func (b *Budget) bucketOf(name ident.StageName) *bucket {
	s := b.stages[name]
	if s == nil {
		if len(b.stages) >= maxStages {
			b.evictOldest()
		}
		s = &bucket{
			tokens:     budgetFloor,
			lastRefill: b.now(),
		}
		b.stages[name] = s
	}
	return s
}

// evictOldest removes the stage with the earliest refill. The caller holds b.mu.
func (b *Budget) evictOldest() {
	var oldest ident.StageName
	var at time.Time
	for name, s := range b.stages {
		if at.IsZero() || s.lastRefill.Before(at) {
			oldest = name
			at = s.lastRefill
		}
	}
	delete(b.stages, oldest)
}

// First records the first attempt of a request at the stage, which earns a tenth
// of a retry.
func (b *Budget) First(stage ident.StageName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.bucketOf(stage)
	s.tokens = min(budgetMaxTokens, s.tokens+budgetRatio)
}

// Take reports whether a retry or hedged request of the stage may be sent, and if
// so subtracts it from the budget.
func (b *Budget) Take(stage ident.StageName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := b.bucketOf(stage)
	if s.tokens < budgetFloor {
		s.tokens = min(budgetFloor, s.tokens+max(0, now.Sub(s.lastRefill).Seconds())*budgetFloorRefill)
	}
	s.lastRefill = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Return gives back one retry obtained from Take for a request that was not sent.
func (b *Budget) Return(stage ident.StageName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.bucketOf(stage)
	s.tokens = min(budgetMaxTokens, s.tokens+1)
}
