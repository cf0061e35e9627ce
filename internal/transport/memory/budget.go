package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrExhausted means that no memory is left for a message.
	ErrExhausted = errors.ConstError("no memory is left for messages")
	// ErrTooLarge means that a message exceeds its bound.
	ErrTooLarge = errors.ConstError("message exceeds its bound")
)

// SmallBytes is the size in bytes up to which a message never waits, and TinyBytes that up
// to which it may use the last part of the budget: most requests are no larger, and pass
// while larger ones of callers that do not finish them hold the rest.
const (
	SmallBytes = 64 << 10
	TinyBytes  = 8 << 10
)

const (
	// smallShare is the part of the budget that messages of more than TinyBytes may take,
	// largeShare the part that those of more than SmallBytes may take, and holderShare the
	// part of the latter for one holder.
	smallShare  = 15.0 / 16
	largeShare  = 7.0 / 8
	holderShare = 1.0 / 2
	// maxWait is the longest time that a message waits for its length, and maxWaiting the
	// number of messages that wait at a time.
	maxWait    = time.Second
	maxWaiting = 256
)

// Holder is a party whose messages are held: the callers or an upstream.
type Holder string

// Callers is the holder of the requests of all callers.
const Callers Holder = "callers"

// Budget bounds the bytes of messages. It is safe for concurrent use.
type Budget struct {
	limit int64 // in bytes

	mu       sync.Mutex
	used     int64
	rejected uint64           // messages for which there was no room
	large    map[Holder]int64 // bytes of the messages of more than SmallBytes
	waiting  []*waiter        // the longest wait first
}

// waiter is a message that waits for its length.
type waiter struct {
	lease   *Lease
	size    int64
	granted chan struct{} // closed when the lease has the size
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit,
		large: make(map[Holder]int64),
	}
}

// Used returns the number of bytes that are leased.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Rejected returns the number of messages for which there was no room.
func (b *Budget) Rejected() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected
}

// Lease returns a lease of no bytes for a message of a holder.
func (b *Budget) Lease(holder Holder) *Lease {
	return &Lease{
		budget: b,
		holder: holder,
	}
}

// Lease is the memory of one message.
type Lease struct {
	budget *Budget
	holder Holder
	size   int64 // in bytes; guarded by the mutex of the budget
}

// Resize changes the size of the lease. If the message becomes a large one and there is no
// room for it, Resize waits. It returns ErrExhausted, and leaves the lease as it was, if
// that takes too long or the context ends.
func (l *Lease) Resize(ctx context.Context, size int64) error {
	b := l.budget
	b.mu.Lock()
	if b.fits(l, size) && (size <= SmallBytes || size <= l.size || !b.hasWaiting(l.holder)) {
		b.resize(l, size)
		b.mu.Unlock()
		return nil
	}
	if size <= SmallBytes || size > b.holderLimit() || len(b.waiting) >= maxWaiting {
		b.rejected++
		b.mu.Unlock()
		return ErrExhausted
	}
	w := &waiter{
		lease:   l,
		size:    size,
		granted: make(chan struct{}),
	}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return b.stopWaiting(w)
}

// Release returns the memory of the message. It may be called more than once.
func (l *Lease) Release() {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resize(l, 0)
}

// largeLimit returns the number of bytes that large messages may take.
func (b *Budget) largeLimit() int64 { return int64(largeShare * float64(b.limit)) }

// holderLimit returns the number of bytes that the large messages of one holder may take.
func (b *Budget) holderLimit() int64 { return int64(holderShare * largeShare * float64(b.limit)) }

// hasWaiting reports whether a message of a holder waits.
func (b *Budget) hasWaiting(holder Holder) bool {
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return w.lease.holder == holder })
}

// fits reports whether a lease may have a size now. The caller holds the mutex.
func (b *Budget) fits(l *Lease, size int64) bool {
	switch {
	case size <= l.size:
		return true
	case size <= TinyBytes:
		return b.used+size-l.size <= b.limit
	case size <= SmallBytes:
		return b.used+size-l.size <= int64(smallShare*float64(b.limit))
	}
	return b.used+size-l.size <= b.largeLimit() && b.large[l.holder]+size-largeSize(l.size) <= b.holderLimit()
}

// resize changes the size of a lease and grants what now fits to those that wait. The
// caller holds the mutex.
func (b *Budget) resize(l *Lease, size int64) {
	shrinks := size < l.size
	b.used += size - l.size
	b.large[l.holder] += largeSize(size) - largeSize(l.size)
	if b.large[l.holder] == 0 {
		delete(b.large, l.holder)
	}
	l.size = size
	if !shrinks {
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if !b.fits(w.lease, w.size) {
			return false
		}
		b.resize(w.lease, w.size)
		close(w.granted)
		return true
	})
}

// stopWaiting removes a waiter. It returns nil if the waiter has been granted meanwhile.
func (b *Budget) stopWaiting(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.rejected++
	return ErrExhausted
}

// largeSize returns the size of a message if it is a large one, and otherwise 0.
func largeSize(size int64) int64 {
	if size <= SmallBytes {
		return 0
	}
	return size
}
