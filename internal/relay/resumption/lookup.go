package resumption

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// readTimeout bounds the time that a request waits for the records.
	readTimeout = time.Second
	// readInterval is the shortest time between two readings of the records. Many streams
	// are taken up at the same time after the end of a host.
	readInterval = 250 * time.Millisecond
	pageSize     = 500
)

// Records finds streams in the records of all hosts. It is safe for concurrent use.
type Records struct {
	store kv.Store
	now   func() time.Time
	log   zerolog.Logger

	mu      sync.Mutex
	found   map[Stream]recorded // of the latest reading
	readAt  time.Time           // when the latest reading began
	reading *reading            // in progress; nil if none is
}

var _ Finder = (*Records)(nil)

// reading is one reading of the records.
type reading struct {
	done chan struct{} // closed at its end
	err  error         // valid once done is closed
}

// NewRecords returns a Records of the given store.
func NewRecords(store kv.Store, now func() time.Time, log zerolog.Logger) *Records {
	return &Records{
		store: store,
		now:   now,
		log:   log,
	}
}

// Find implements Finder. It reads the records again if the latest reading lacks the stream
// and is not recent.
func (r *Records) Find(ctx context.Context, stream Stream) (fleet.Release, error) {
	if release, ok := r.lookUp(stream); ok {
		return release, nil
	}
	current := r.read(ctx)
	if current == nil {
		return "", ErrUnknown
	}
	select {
	case <-current.done:
	case <-ctx.Done():
		return "", errors.Annotatef(ErrUnknown, "read records: %v", ctx.Err())
	}
	if current.err != nil {
		return "", errors.Annotatef(ErrUnknown, "read records: %v", current.err)
	}
	if release, ok := r.lookUp(stream); ok {
		return release, nil
	}
	return "", ErrUnknown
}

// lookUp returns the release of a stream, if only one may have begun it.
func (r *Records) lookUp(stream Stream) (fleet.Release, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found[stream].release()
}

// read returns the reading in progress, or begins one. It returns nil if the latest one was
// a short time ago.
func (r *Records) read(ctx context.Context) *reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading
	}
	if r.now().Sub(r.readAt) < readInterval {
		return nil
	}
	r.readAt = r.now()
	current := &reading{
		done: make(chan struct{}),
	}
	r.reading = current
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		found, err := r.list(ctx)
		r.finish(current, found, err)
	}(context.WithoutCancel(ctx)) // other requests wait for it too
	return current
}

func (r *Records) finish(current *reading, found map[Stream]recorded, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.found = found
	}
	r.reading = nil
	current.err = err
	close(current.done)
	r.log.Info().Err(err).Int("streams", len(found)).Msg("resumption: records of streams read")
}

// list reads the records page by page.
func (r *Records) list(ctx context.Context) (map[Stream]recorded, error) {
	found := make(map[Stream]recorded)
	after := kv.Key("")
	for {
		page, err := r.store.List(ctx, Prefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			if err := decodeRecord(entry.Value, found); err != nil {
				r.log.Warn().Err(err).Str("key", string(entry.Key)).Msg("resumption: record is not readable")
			}
			after = entry.Key
		}
		if !page.More {
			return found, nil
		}
	}
}
