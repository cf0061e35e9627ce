package upstreams

import (
	"context"
	"slices"
	"sync"

	"github.com/juju/errors"
)

const errQueueFull = errors.ConstError("queue is full")

type waiter struct {
	priority int
	ready    chan struct{} // closed when the waiter has a slot
}

// slots limits the number of concurrent requests and queues others by priority.
type slots struct {
	limit int
	queue int

	mu      sync.Mutex
	running int
	waiting []*waiter // in the order in which they get a slot
}

// acquire waits for a slot; waiters with a higher priority get one first. It
// returns errQueueFull if too many wait already, or the error of ctx.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{
		priority: priority,
		ready:    make(chan struct{}),
	}
	i := slices.IndexFunc(s.waiting, func(other *waiter) bool { return other.priority < priority })
	if i < 0 {
		i = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	i = slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.release() // the slot was granted concurrently
	}
	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0].ready)
	s.waiting = slices.Delete(s.waiting, 0, 1)
}

func (s *slots) counts() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
