package discovery

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// renewalsPerLease is how often a lease is renewed during its TTL, so that it
	// survives one or two lost renewals.
	renewalsPerLease = 3
	// publishInterval is how often a Publisher checks its entry.
	publishInterval = time.Second
)

// PublisherConfig holds the dependencies of a Publisher.
type PublisherConfig struct {
	Store   kv.Store
	Health  *Health
	Replica *Replica
	Log     zerolog.Logger
	Key     kv.Key
	TTL     time.Duration // of the lease of the entry; 0 if the entry is permanent
	// MinInterval is the shortest time between two writes of a changed value.
	MinInterval time.Duration
	// IsPublisher reports whether this host maintains the entry for all hosts.
	IsPublisher func() bool
	// Value returns the value that the entry should have in place of the present one,
	// which is nil if there is none. If it returns nil, a present entry is left to expire.
	Value func(present []byte) ([]byte, error)
}

// Publisher maintains an entry of the store, under a lease unless it is permanent, while
// this host is the one that does so for all hosts. Several hosts may be for a time: the
// entry then belongs to the latest writer.
type Publisher struct {
	config  PublisherConfig
	lease   kv.LeaseID // 0 if there is none
	renewAt time.Time  // when the lease has to be renewed
	written kv.Version // of the entry, by this host; 0 if it has not written it under the lease
	wroteAt time.Time
	backoff time.Duration // base of the pause after the next failed call
}

// NewPublisher returns a Publisher; Run starts it.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{
		config:  config,
		backoff: minBackoff,
	}
}

// Run maintains the entry until the context ends. It always returns nil. The entry is
// left to the next publisher, which replaces it, or else it expires.
func (p *Publisher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.config.Replica.Cursor() == 0 || !p.config.IsPublisher() {
			p.lease, p.written = 0, 0
			sleep(ctx, publishInterval)
			continue
		}
		called, err := p.maintain(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			p.recordFailure(ctx, err)
		default:
			if called {
				p.config.Health.RecordSuccess()
			}
			p.backoff = minBackoff
			sleep(ctx, publishInterval)
		}
	}
	return nil
}

// maintain renews the lease and writes the entry if that is due. It reports whether it
// has called the store.
func (p *Publisher) maintain(ctx context.Context) (called bool, err error) {
	present := p.config.Replica.Entry(p.config.Key)
	value, err := p.config.Value(present.Value)
	if err != nil {
		return false, err
	}
	if value == nil {
		p.lease, p.written = 0, 0
		return false, nil
	}
	if p.lease != 0 && !time.Now().Before(p.renewAt) {
		called = true
		if err := p.renew(ctx); err != nil {
			return called, err
		}
	}
	if present.Version != 0 && present.Version < p.written {
		return called, nil // the replica has not received the latest write yet
	}
	changed := !bytes.Equal(value, present.Value)
	if p.config.TTL == 0 && !changed {
		return called, nil
	}
	if p.written != 0 && (!changed || time.Since(p.wroteAt) < p.config.MinInterval) {
		return called, nil
	}
	return true, p.write(ctx, value, present.Version)
}

// renew renews the lease. If it has expired, the entry has to be written again.
func (p *Publisher) renew(ctx context.Context) error {
	err := p.config.Store.Renew(ctx, p.lease)
	if errors.Is(err, kv.ErrLeaseLost) {
		p.config.Log.Info().Str("key", string(p.config.Key)).Uint64("lease", uint64(p.lease)).Msg("store: lease of entry expired; creating a new one")
		p.lease, p.written = 0, 0
		return nil
	}
	if err == nil {
		p.renewAt = time.Now().Add(p.config.TTL / renewalsPerLease)
	}
	return err
}

// write writes the entry in place of the version expect, under the lease of this host
// unless the entry is permanent.
func (p *Publisher) write(ctx context.Context, value []byte, expect kv.Version) error {
	if p.lease == 0 && p.config.TTL > 0 {
		lease, err := p.config.Store.Grant(ctx, p.config.TTL)
		if err != nil {
			return err
		}
		p.lease = lease
		p.renewAt = time.Now().Add(p.config.TTL / renewalsPerLease)
	}
	version, err := p.config.Store.Put(ctx, kv.Put{
		Key:    p.config.Key,
		Value:  value,
		Expect: expect,
		Lease:  p.lease,
	})
	if err != nil {
		return err
	}
	p.config.Log.Info().Str("key", string(p.config.Key)).Int("bytes", len(value)).Uint64("revision", uint64(version)).Msg("store: entry written")
	p.written, p.wroteAt = version, time.Now()
	return nil
}

// recordFailure pauses after a failed call.
func (p *Publisher) recordFailure(ctx context.Context, err error) {
	p.config.Log.Debug().Err(err).Str("key", string(p.config.Key)).Msg("store: failed to maintain entry; retrying")
	switch {
	case errors.Is(err, kv.ErrConflict):
		// Another host has written the entry; the replica is about to receive that.
		sleep(ctx, publishInterval)
		return
	case errors.Is(err, kv.ErrLeaseLost):
		p.lease, p.written = 0, 0
		sleep(ctx, retryDelay)
		return
	}
	p.config.Health.RecordFailure(err)
	p.config.Health.WaitBeforeRetry(ctx, p, p.backoff/2+rand.N(p.backoff))
	p.backoff = min(2*p.backoff, maxBackoff)
}
