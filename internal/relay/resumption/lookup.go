package resumption

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/freshread"
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
	store   kv.Store
	settled func() bool
	log     zerolog.Logger
	reader  *freshread.Reader

	mu    sync.Mutex
	found map[Stream]*recorded // of the latest reading that has succeeded
}

var _ Finder = (*Records)(nil)

// NewRecords returns a Records of the given store. The function settled reports whether hosts
// have had time to write again what the store may have lost when it was restored from a backup.
func NewRecords(store kv.Store, settled func() bool, log zerolog.Logger) *Records {
	r := &Records{
		store:   store,
		settled: settled,
		log:     log,
	}
	r.reader = freshread.New(r.read, readInterval, readTimeout)
	return r
}

// Find implements Finder. It waits for a reading that begins after the call, unless an
// earlier one shows that the stream has begun: one that has only been sent may have been sent
// to another release since.
func (r *Records) Find(ctx context.Context, stream Stream) (fleet.Release, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if entry := r.entry(stream); len(entry.begun) == 1 {
		return entry.begun[0], nil
	}
	for {
		err := r.reader.Await(ctx)
		switch {
		case ctx.Err() != nil:
			return "", errors.Annotatef(ErrUnknown, "records were not read in time: %v", err)
		case err != nil:
			continue
		}
		entry := r.entry(stream)
		if len(entry.begun) == 0 && !r.settled() {
			return "", errors.Annotate(ErrUnknown, "the store has been restored from a backup")
		}
		if release, ok := entry.release(); ok {
			return release, nil
		}
		return "", ErrUnknown
	}
}

// entry returns what the latest reading says of a stream.
func (r *Records) entry(stream Stream) recorded {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, ok := r.found[stream]; ok {
		return *entry
	}
	return recorded{}
}

// read reads the records of all hosts.
func (r *Records) read(ctx context.Context) error {
	found, err := r.list(ctx)
	r.log.Info().Err(err).Int("streams", len(found)).Msg("resumption: records of streams read")
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = found
	return nil
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
