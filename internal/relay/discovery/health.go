package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Health remembers whether the store answers this host.
type Health struct {
	log zerolog.Logger
	now func() time.Time

	mu       sync.Mutex
	lost     time.Time // since when calls fail; zero while they succeed
	prober   any       // the one that calls the store while it is lost
	regained chan struct{}
}

// NewHealth returns the health of a store that has not been called.
func NewHealth(log zerolog.Logger, now func() time.Time) *Health {
	return &Health{
		log:      log,
		now:      now,
		regained: make(chan struct{}),
	}
}

// Failed notes a call that the store did not answer.
func (h *Health) Failed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost.IsZero() {
		h.lost = h.now()
		h.prober = nil
		h.log.Warn().Err(err).Msg("store: lost")
	}
}

// Succeeded notes an answer of the store.
func (h *Health) Succeeded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost.IsZero() {
		return
	}
	h.log.Info().Dur("away", h.now().Sub(h.lost)).Msg("store: regained")
	h.lost = time.Time{}
	h.prober = nil
	close(h.regained)
	h.regained = make(chan struct{})
}

// Pause waits before the next try of a caller. While the store is lost only one
// caller tries, since every call counts against its limits; the others wait
// until it is back.
func (h *Health) Pause(ctx context.Context, caller any, pause time.Duration) {
	sleep(ctx, pause)
	h.mu.Lock()
	if h.lost.IsZero() {
		h.mu.Unlock()
		return
	}
	if h.prober == nil || h.prober == caller {
		h.prober = caller
		h.mu.Unlock()
		return
	}
	regained := h.regained
	h.mu.Unlock()
	select {
	case <-regained:
	case <-ctx.Done():
	}
}

// Lost reports since when the store does not answer, and whether that is so.
func (h *Health) Lost() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost, !h.lost.IsZero()
}
