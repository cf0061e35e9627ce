package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Health tracks whether the store responds to this host. It is safe for concurrent
// use.
type Health struct {
	log zerolog.Logger
	now func() time.Time

	mu               sync.Mutex
	unavailableSince time.Time     // time of the first failed call; zero while calls succeed
	prober           any           // the only caller that retries while the store is unavailable; nil if there is none
	recovered        chan struct{} // closed and replaced when the store recovers
}

// NewHealth returns the Health of a store that has not been called and counts as
// available.
func NewHealth(log zerolog.Logger, now func() time.Time) *Health {
	return &Health{
		log:       log,
		now:       now,
		recovered: make(chan struct{}),
	}
}

// RecordFailure records a failed call, after which the store counts as unavailable.
func (h *Health) RecordFailure(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailableSince.IsZero() {
		h.unavailableSince = h.now()
		h.prober = nil
		h.log.Warn().Err(err).Msg("store: lost")
	}
}

// RecordSuccess records a response of the store.
func (h *Health) RecordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailableSince.IsZero() {
		return
	}
	h.log.Info().Dur("away", h.now().Sub(h.unavailableSince)).Msg("store: regained")
	h.unavailableSince = time.Time{}
	h.prober = nil
	close(h.recovered)
	h.recovered = make(chan struct{})
}

// WaitBeforeRetry waits for a pause before the next attempt of a caller, which may
// be any comparable value. While the store is unavailable only one caller retries,
// since every call counts against the store's limits; the others wait until the
// store has recovered. It returns early when the context ends.
func (h *Health) WaitBeforeRetry(ctx context.Context, caller any, pause time.Duration) {
	sleep(ctx, pause)
	h.mu.Lock()
	if h.unavailableSince.IsZero() {
		h.mu.Unlock()
		return
	}
	if h.prober == nil || h.prober == caller {
		h.prober = caller
		h.mu.Unlock()
		return
	}
	recovered := h.recovered
	h.mu.Unlock()
	select {
	case <-recovered:
	case <-ctx.Done():
	}
}

// UnavailableSince returns the time of the first failed call of an outage, and
// whether the store is unavailable.
func (h *Health) UnavailableSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unavailableSince, !h.unavailableSince.IsZero()
}
