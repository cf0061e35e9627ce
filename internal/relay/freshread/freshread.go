package freshread

import (
	"context"
	"sync"
	"time"
)

// Reader makes one read for all callers that wait for it. It is safe for concurrent use.
type Reader struct {
	read     func(ctx context.Context) error
	interval time.Duration
	timeout  time.Duration

	mu      sync.Mutex
	next    *round    // has not begun; nil if no caller waits for it
	running bool      // rounds are being made
	beganAt time.Time // when the latest round began; zero before the first
}

// round is one read.
type round struct {
	done chan struct{} // closed at its end
	err  error         // valid once done is closed
}

// New returns a Reader whose reads begin at least an interval apart and end after a timeout.
func New(read func(ctx context.Context) error, interval, timeout time.Duration) *Reader {
	return &Reader{
		read:     read,
		interval: interval,
		timeout:  timeout,
	}
}

// Await waits for a read that begins after the call, and returns its error. It returns the
// error of the context if that ends before.
func (r *Reader) Await(ctx context.Context) error {
	awaited := r.join(ctx)
	select {
	case <-awaited.done:
		return awaited.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the round that begins next, and makes sure that it will.
func (r *Reader) join(ctx context.Context) *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &round{
			done: make(chan struct{}),
		}
	}
	if !r.running {
		r.running = true
		go r.run(context.WithoutCancel(ctx)) // other callers wait for it too
	}
	return r.next
}

// run makes rounds until no caller waits for another one.
func (r *Reader) run(ctx context.Context) {
	for {
		time.Sleep(r.pause())
		current := r.begin()
		if current == nil {
			return
		}
		current.err = r.readOnce(ctx)
		close(current.done)
	}
}

// pause returns the time until the next round may begin; 0 if no caller waits for it.
func (r *Reader) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil || r.beganAt.IsZero() {
		return 0
	}
	return r.interval - time.Since(r.beganAt)
}

// begin returns the next round, which begins now; nil if no caller waits for it.
func (r *Reader) begin() *round {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.next
	r.next = nil
	r.running = current != nil
	r.beganAt = time.Now()
	return current
}

func (r *Reader) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.read(ctx)
}
