package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// active is the table of requests in progress. It is safe for concurrent use.
type active struct {
	mu       sync.Mutex
	requests map[ident.RequestID]bool
	finished uint64
	stopping bool
	until    time.Time // requests that begin are refused if their deadline is later; zero before the host drains
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

// refuseBeyond refuses the requests that begin from now on if their deadline is after end.
func (a *active) refuseBeyond(end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until = end
}

// refuses reports whether a request with a deadline might be interrupted by the end of the
// host.
func (a *active) refuses(deadline time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.until.IsZero() && deadline.After(a.until)
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
