package resumption

import (
	"context"
	"math/rand/v2"
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
	// recordInterval is the mean time between two writes of a record. Streams that were sent
	// to an upstream since the last one cannot be taken up if their host ends.
	recordInterval = 400 * time.Millisecond
	// maxRecordBackoff bounds the pause after a failed write.
	maxRecordBackoff = 4 * time.Second
	// recordTTL is the time to live of a record after the last renewal of its lease. It is
	// longer than callers wait for a stream.
	recordTTL       = time.Minute
	renewalsPerTTL  = 3
	renewalInterval = recordTTL / renewalsPerTTL
)

// RecorderConfig holds the dependencies of a Recorder.
type RecorderConfig struct {
	Store    kv.Store
	Host     ident.HostID
	Started  time.Time // of this host
	Releases *Releases
	Streams  *Streams
	Log      zerolog.Logger
}

// Recorder writes the recent streams of a host to the store while a service has several
// releases.
type Recorder struct {
	config  RecorderConfig
	lease   kv.LeaseID // 0 if there is none
	renewAt time.Time
	record  int        // number of the key of the record
	version kv.Version // of the record; 0 if it has not been written
	written uint64     // number of the change of the streams that the record includes
}

// NewRecorder returns a Recorder; Run starts it.
func NewRecorder(config RecorderConfig) *Recorder {
	return &Recorder{
		config: config,
	}
}

// Run writes records until the context ends. It always returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	pause := recordInterval
	for ctx.Err() == nil {
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.config.Streams.urgent:
		}
		timer.Stop()
		err := r.update(ctx)
		if err == nil || ctx.Err() != nil {
			pause = recordInterval
			continue
		}
		r.config.Log.Debug().Err(err).Msg("resumption: streams were not recorded; retrying")
		pause = min(2*pause, maxRecordBackoff)
	}
	return nil
}

// update writes the record if it lacks a stream. Without several releases, it lets the
// record expire.
func (r *Recorder) update(ctx context.Context) error {
	if !r.config.Releases.Mixed() {
		r.forget()
		return nil
	}
	if r.lease != 0 && time.Now().After(r.renewAt) {
		if err := r.renew(ctx); err != nil {
			return err
		}
	}
	streams, changes := r.config.Streams.recent()
	if len(streams) == 0 || changes == r.written && r.version != 0 {
		return nil
	}
	value, err := encodeRecord(streams)
	if err != nil {
		return err
	}
	if err := r.write(ctx, value); err != nil {
		r.replace(err)
		return err
	}
	r.written = changes
	return nil
}

func (r *Recorder) renew(ctx context.Context) error {
	err := r.config.Store.Renew(ctx, r.lease)
	if errors.Is(err, kv.ErrLeaseLost) {
		r.forget()
		return nil
	}
	if err == nil {
		r.renewAt = time.Now().Add(renewalInterval)
	}
	return err
}

func (r *Recorder) write(ctx context.Context, value []byte) error {
	if r.lease == 0 {
		lease, err := r.config.Store.Grant(ctx, recordTTL)
		if err != nil {
			return err
		}
		r.lease = lease
		r.renewAt = time.Now().Add(renewalInterval)
	}
	version, err := r.config.Store.Put(ctx, kv.Put{
		Key:    r.key(),
		Value:  value,
		Expect: r.version,
		Lease:  r.lease,
	})
	if err == nil {
		r.version = version
	}
	return err
}

// key returns the key of the record. A host that starts again has another one.
func (r *Recorder) key() kv.Key {
	return Prefix + kv.Key(string(r.config.Host)+"/"+strconv.FormatInt(r.config.Started.UnixMilli(), 36)+"/"+strconv.Itoa(r.record))
}

// replace makes the next write create another record after a failed one, if the version of
// this one is no longer known.
func (r *Recorder) replace(err error) {
	switch {
	case errors.Is(err, kv.ErrLeaseLost):
		r.forget()
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrUncertain):
		r.record++
		r.version = 0
	}
}

// forget leaves the record to expire with its lease.
func (r *Recorder) forget() {
	if r.lease == 0 {
		return
	}
	r.lease, r.version = 0, 0
	r.record++
}
