package entry

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
)

// active is the table of requests in progress. It is safe for concurrent use.
type active struct {
	mu       sync.Mutex
	requests map[ident.RequestID]bool
	finished uint64
	stopping bool
}

func newActive() *active {
	return &active{
		requests: make(map[ident.RequestID]bool),
	}
}

func (a *active) begin(id ident.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = true
}

func (a *active) end(id ident.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requests, id)
	a.finished++
}

// markStopping makes the host not ready and returns the number of requests
// finished so far.
func (a *active) markStopping() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	return a.finished
}

func (a *active) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

func (a *active) finishedCount() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished
}

// list returns the ids of the requests in progress.
func (a *active) list() []ident.RequestID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]ident.RequestID, 0, len(a.requests))
	for id := range a.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
