package resumption

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// Prefix is the prefix of the keys of records.
	Prefix kv.Key = "streams/"
	// recordInterval is the mean time between two writes of a record. Streams that were noted
	// since the last one cannot be taken up if their host ends.
	recordInterval = 400 * time.Millisecond
	// idleInterval is the mean time between two looks for services with several releases.
	idleInterval = time.Second
	// minRecordInterval is the shortest time between two writes for urgent notes. Many streams
	// may break off at the same time.
	minRecordInterval = 100 * time.Millisecond
	// storePatience is how long the store may take for a write before other hosts are asked to
	// make it, and storeRetry the time after which it is tried again that they have made one.
	storePatience = 150 * time.Millisecond
	storeRetry    = time.Second
	// maxRecordBackoff bounds the pause after a failed write.
	maxRecordBackoff = 4 * time.Second
	// A record gets no more notes after recordAge, or when it has recordNotes: each write
	// repeats its notes.
	recordAge   = 5 * time.Second
	recordNotes = 1024
	// recordTTL is the time to live of a record, whose lease is not renewed.
	recordTTL = streamLife + 2*recordAge
)

// RecorderConfig holds the dependencies of a Recorder.
type RecorderConfig struct {
	Store    kv.Store
	Host     ident.HostID
	Started  time.Time // of this host
	Releases *Releases
	Streams  *Streams
	Epoch    func() kv.Epoch // returns the epoch of the store, as far as known here
	// Share returns nil once another host has written a record, which it does with Streams.Adopt.
	Share func(ctx context.Context, record []byte) error
	Log   zerolog.Logger
}

// Recorder writes the notes of a host to the store while their service has several
// releases. If the store does not serve the host, other hosts write them.
type Recorder struct {
	config RecorderConfig
	idle   bool                       // no service had several releases at the latest look
	mixed  map[ident.ServiceName]bool // services that had
	last   int                        // number of the latest record
	open   *openRecord                // gets the next notes; nil if there is none
	next   uint64                     // number of the first note that is in no record of this host
	shared uint64                     // number of the first note that other hosts have not recorded
	tryAt  time.Time                  // before which the store is not tried, since other hosts write
	epoch  kv.Epoch                   // of the records; a later one may have lost some
	wrote  time.Time                  // when the latest attempt to write began
}

// openRecord is a record that may get more notes.
type openRecord struct {
	number  int
	lease   kv.LeaseID
	version kv.Version // 0 before the first write
	opened  time.Time
	notes   []note
}

// NewRecorder returns a Recorder; Run starts it.
func NewRecorder(config RecorderConfig) *Recorder {
	return &Recorder{
		config: config,
	}
}

// Run writes records until the context ends. It always returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	backoff := time.Duration(0) // after a failed write; 0 if the latest one was not
	for ctx.Err() == nil {
		r.wait(ctx, backoff)
		err := r.update(ctx)
		if err == nil || ctx.Err() != nil {
			backoff = 0
			continue
		}
		r.config.Log.Debug().Err(err).Msg("resumption: streams were not recorded; retrying")
		backoff = min(2*max(backoff, recordInterval), maxRecordBackoff)
	}
	return nil
}

// wait waits for the next write. An urgent note ends the wait soon.
func (r *Recorder) wait(ctx context.Context, backoff time.Duration) {
	soon := minRecordInterval
	if backoff > 0 {
		soon = recordInterval
	}
	pause := max(backoff, recordInterval)
	if r.idle {
		pause = max(backoff, idleInterval)
	}
	timer := time.NewTimer(pause/2 + rand.N(pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.config.Streams.urgent:
		timer.Reset(soon - time.Since(r.wrote))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// update writes the notes that are in no record. If that fails or takes long, other hosts write
// those of this host; it writes them too once it can.
func (r *Recorder) update(ctx context.Context) error {
	if epoch := r.config.Epoch(); epoch != r.epoch {
		r.epoch = epoch
		r.restart()
	}
	r.updateMixed()
	notes, next := r.config.Streams.notesFrom(r.next, r.needs)
	if len(notes) == 0 {
		r.setStored(next)
		return nil
	}
	r.wrote = time.Now()
	if r.wrote.Before(r.tryAt) {
		return r.share(ctx, notes, next)
	}
	return r.store(ctx, notes, next)
}

// store writes notes, and makes other hosts write them if that fails or takes long. All of them
// have numbers below next.
func (r *Recorder) store(ctx context.Context, notes []note, next uint64) error {
	writeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan error, 1)
	go func(ctx context.Context) { written <- r.writeAll(ctx, notes) }(writeCtx)
	ended, err := awaitWrite(written)
	if ended && err == nil {
		r.setStored(next)
		return nil
	}
	shareErr := r.share(ctx, notes, next)
	if !ended {
		if shareErr == nil {
			cancel()
		}
		err = <-written
	}
	if err == nil {
		r.setStored(next)
		return nil
	}
	r.config.Streams.setFailing(true)
	if shareErr == nil {
		r.tryAt = time.Now().Add(storeRetry)
	}
	return shareErr
}

// awaitWrite waits for the end of a write, for storePatience at most.
func awaitWrite(written <-chan error) (ended bool, err error) {
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	select {
	case err := <-written:
		return true, err
	case <-patience.C:
		return false, nil
	}
}

// setStored records that this host has written all notes before a number.
func (r *Recorder) setStored(next uint64) {
	r.next = next
	r.config.Streams.setStored(next)
}

// share makes other hosts write the notes of this host that they have not yet. Those that this
// host writes for others stay here. All of them have numbers below next.
func (r *Recorder) share(ctx context.Context, notes []note, next uint64) error {
	own := slices.DeleteFunc(slices.Clone(notes), func(n note) bool { return n.adopted || n.number < r.shared })
	for chunk := range slices.Chunk(own, recordNotes) {
		record, err := encodeRecord(chunk)
		if err != nil {
			return err
		}
		if err := r.config.Share(ctx, record); err != nil {
			return err
		}
	}
	r.shared = next
	r.config.Streams.recorded.advance(next)
	return nil
}

// restart makes all notes be written again.
func (r *Recorder) restart() {
	r.open, r.next, r.shared = nil, 0, 0
}

// updateMixed finds out which services have several releases. Notes of a service that had one
// release were not written, so all are written again.
func (r *Recorder) updateMixed() {
	mixed := r.config.Releases.Mixed()
	for service := range mixed {
		if !r.mixed[service] {
			r.restart()
		}
	}
	r.mixed, r.idle = mixed, len(mixed) == 0
}

// needs reports whether other hosts need a note now. A move names another release than one that
// a coordinator may have recorded, also if this host knows only one, and another host has found
// that its notes are needed.
func (r *Recorder) needs(n note) bool {
	return r.mixed[n.Service] || n.certainty == moved || n.adopted
}

// writeAll writes notes to one or more records.
func (r *Recorder) writeAll(ctx context.Context, notes []note) error {
	for len(notes) > 0 {
		if err := r.openRecord(ctx); err != nil {
			return err
		}
		count := min(len(notes), recordNotes-len(r.open.notes))
		if err := r.write(ctx, notes[:count]); err != nil {
			return err
		}
		notes = notes[count:]
	}
	return nil
}

// write adds notes to the open record.
func (r *Recorder) write(ctx context.Context, notes []note) error {
	value, err := encodeRecord(slices.Concat(r.open.notes, notes))
	if err != nil {
		return err
	}
	version, err := r.config.Store.Put(ctx, kv.Put{
		Key:    r.key(),
		Value:  value,
		Expect: r.open.version,
		Lease:  r.open.lease,
	})
	switch {
	case errors.Is(err, kv.ErrUnavailable):
		return err // not written
	case errors.Is(err, kv.ErrUncertain):
		r.open = nil // its version is not known
		return err
	case err != nil:
		r.open, r.next = nil, 0 // its lease has ended, and that of others may have
		return err
	}
	r.open.version = version
	r.open.notes = append(r.open.notes, notes...)
	r.next = notes[len(notes)-1].number + 1
	return nil
}

// openRecord makes sure that a record gets the next notes.
func (r *Recorder) openRecord(ctx context.Context) error {
	if r.open != nil && time.Since(r.open.opened) < recordAge && len(r.open.notes) < recordNotes {
		return nil
	}
	r.open = nil
	lease, err := r.config.Store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	r.last++
	r.open = &openRecord{
		number: r.last,
		lease:  lease,
		opened: time.Now(),
	}
	return nil
}

// key returns the key of the open record. Those of a host that starts again are others.
func (r *Recorder) key() kv.Key {
	return Prefix + kv.Key(string(r.config.Host)+"/"+strconv.FormatInt(r.config.Started.UnixMilli(), 36)+"/"+strconv.Itoa(r.open.number))
}
