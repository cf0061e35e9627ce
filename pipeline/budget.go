package pipeline

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
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
// bucket for each stage: with one for the service, a slow stage would receive
// the retries that all of them have earned. It is safe for concurrent use; one
// mutex guards its state.
type Budget struct {
	now func() time.Time

	mu     sync.Mutex
	stages map[ident.StageName]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time // of the last refill
}

// NewBudget returns a budget that holds its floor for each stage.
func NewBudget(now func() time.Time) *Budget {
	return &Budget{
		now:    now,
		stages: make(map[ident.StageName]*bucket),
	}
}

// stage returns the bucket of a stage; b.mu is held.
func (b *Budget) stage(name ident.StageName) *bucket {
	s := b.stages[name]
	if s == nil {
		if len(b.stages) >= estimateStages {
			b.forget()
		}
		s = &bucket{
			tokens: budgetFloor,
			at:     b.now(),
		}
		b.stages[name] = s
	}
	return s
}

// forget removes the stage that was refilled longest ago.
func (b *Budget) forget() {
	var oldest ident.StageName
	var at time.Time
	for name, s := range b.stages {
		if at.IsZero() || s.at.Before(at) {
			oldest = name
			at = s.at
		}
	}
	delete(b.stages, oldest)
}

// First records a first try at the stage, which earns a part of a retry.
func (b *Budget) First(stage ident.StageName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stage(stage)
	s.tokens = min(budgetMost, s.tokens+budgetRatio)
}

// Take reports whether a retry or hedged request of the stage may be sent, and
// takes it from the budget.
func (b *Budget) Take(stage ident.StageName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := b.stage(stage)
	if s.tokens < budgetFloor {
		s.tokens = min(budgetFloor, s.tokens+max(0, now.Sub(s.at).Seconds())*budgetFloorRate)
	}
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Return gives back what Take took if the request was not sent.
func (b *Budget) Return(stage ident.StageName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stage(stage)
	s.tokens = min(budgetMost, s.tokens+1)
}
