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
	found   map[Stream]*recorded // of the latest reading that has succeeded
	foundAt time.Time            // when that one began
	readAt  time.Time            // when the latest reading began
	reading *reading             // in progress; nil if none is
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

// Find implements Finder. It waits for a reading that begins after the call, unless an
// earlier one has the stream.
func (r *Records) Find(ctx context.Context, stream Stream) (fleet.Release, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := r.now()
	var err error
	for {
		release, ok, final := r.lookUp(stream, asked)
		if ok {
			return release, nil
		}
		if final {
			return "", ErrUnknown
		}
		if current, pause := r.read(ctx); current != nil {
			err = current.wait(ctx)
		} else {
			sleep(ctx, pause)
		}
		if ctx.Err() != nil {
			return "", errors.Annotatef(ErrUnknown, "records were not read in time: %v", err)
		}
	}
}

// lookUp returns the release of a stream, if only one may have begun it. Final means that a
// later reading will hardly tell more. A stream that has only been sent may have been sent
// to another release since.
func (r *Records) lookUp(stream Stream, asked time.Time) (release fleet.Release, ok, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	final = !r.foundAt.Before(asked)
	entry, noted := r.found[stream]
	if !noted || len(entry.begun) == 0 && r.foundAt.Before(asked.Add(-readInterval)) {
		return "", false, final
	}
	release, ok = entry.release()
	return release, ok, final
}

// read returns the reading in progress, or begins one. If the latest one began a short time
// ago, it returns how long to wait instead.
func (r *Records) read(ctx context.Context) (current *reading, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading, 0
	}
	if since := r.now().Sub(r.readAt); since < readInterval {
		return nil, readInterval - since
	}
	r.readAt = r.now()
	current = &reading{
		done: make(chan struct{}),
	}
	r.reading = current
	go func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		found, err := r.list(ctx)
		r.finish(current, found, err)
	}(context.WithoutCancel(ctx)) // other requests wait for it too
	return current, 0
}

// wait waits for the end of the reading and returns its error.
func (r *reading) wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Records) finish(current *reading, found map[Stream]*recorded, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.found, r.foundAt = found, r.readAt
	}
	r.reading = nil
	current.err = err
	close(current.done)
	r.log.Info().Err(err).Int("streams", len(found)).Msg("resumption: records of streams read")
}

// list reads the records page by page.
func (r *Records) list(ctx context.Context) (map[Stream]*recorded, error) {
	found := make(map[Stream]*recorded)
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

// sleep returns after the pause, or when the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
