package resumption

import (
	"context"
	"sync"
	"time"
)

// progress tells how far the notes of a host have come. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex
	next     uint64        // number of the first note that has not come so far
	advanced chan struct{} // closed when next rises
}

func newProgress() *progress {
	return &progress{
		advanced: make(chan struct{}),
	}
}

// advance raises next, unless it is higher already.
func (p *progress) advance(next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next <= p.next {
		return
	}
	p.next = next
	close(p.advanced)
	p.advanced = make(chan struct{})
}

// await waits until a note has come so far. It returns ErrUnrecorded if that takes longer than a
// timeout.
func (p *progress) await(ctx context.Context, number uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		next, advanced := p.get()
		if number < next {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ErrUnrecorded
		}
	}
}

// get returns next, and a channel that is closed when it rises.
func (p *progress) get() (next uint64, advanced <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next, p.advanced
}
