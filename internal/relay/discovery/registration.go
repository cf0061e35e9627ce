package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/kv"
)

// renewalsPerLease is how often a lease is renewed during its TTL, so that it
// survives one or two lost renewals.
const renewalsPerLease = 3

// Registration maintains the entry of this host in the store, under a lease, while the
// host runs.
type Registration struct {
	store   kv.Store
	health  *Health
	replica *Replica
	log     zerolog.Logger
	key     kv.Key
	value   []byte
	ttl     time.Duration
	lease   kv.LeaseID // 0 if there is none
}

// NewRegistration returns a Registration; Run writes its entry. The lease has the
// given TTL. The replica gives the version of an entry that an earlier process of
// this host has left.
func NewRegistration(store kv.Store, health *Health, replica *Replica, log zerolog.Logger, key kv.Key, value []byte, ttl time.Duration) *Registration {
	return &Registration{
		store:   store,
		health:  health,
		replica: replica,
		log:     log,
		key:     key,
		value:   value,
		ttl:     ttl,
	}
}

// Run maintains the entry until leaving is closed or the context ends, then deletes
// it. It returns nil when the context has ended.
func (r *Registration) Run(ctx context.Context, leaving <-chan struct{}) error {
	maintainCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func(ctx context.Context) {
		defer close(done)
		r.maintain(ctx)
	}(maintainCtx)
	select {
	case <-leaving:
	case <-ctx.Done():
	}
	cancel()
	<-done
	r.revoke(context.WithoutCancel(ctx))
	<-ctx.Done()
	return nil
}

// maintain writes the entry and renews its lease until the context ends. It waits
// for the first listing of the replica, which has the version of an existing entry.
func (r *Registration) maintain(ctx context.Context) {
	for ctx.Err() == nil && r.replica.Cursor() == 0 {
		sleep(ctx, checkInterval)
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		err := r.renewOrCreate(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = minBackoff
			r.health.RecordSuccess()
			sleep(ctx, r.ttl/renewalsPerLease)
			continue
		}
		r.log.Debug().Err(err).Str("key", string(r.key)).Msg("store: failed to write or renew own entry; retrying")
		if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrLeaseLost) {
			sleep(ctx, retryDelay)
			continue
		}
		r.health.RecordFailure(err)
		r.health.WaitBeforeRetry(ctx, r, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// renewOrCreate renews the lease, or writes the entry under a new lease if there is
// none.
func (r *Registration) renewOrCreate(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("store: lease of own entry expired; creating a new one")
		r.lease = 0
	}
	lease, err := r.store.Grant(ctx, r.ttl)
	if err != nil {
		return err
	}
	if err := r.put(ctx, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// put writes the entry. It overwrites one that an earlier process of this host has
// left, whose version it reads from the store if the replica's is out of date.
func (r *Registration) put(ctx context.Context, lease kv.LeaseID) error {
	put := kv.Put{
		Key:    r.key,
		Value:  r.value,
		Expect: r.replica.Version(r.key),
		Lease:  lease,
	}
	_, err := r.store.Put(ctx, put)
	if !errors.Is(err, kv.ErrConflict) {
		return err
	}
	current, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	put.Expect = current.Version
	_, err = r.store.Put(ctx, put)
	return err
}

// revoke deletes the entry by revoking its lease. If the call fails, the entry
// expires with the lease.
func (r *Registration) revoke(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Info().Err(err).Dur("life", r.ttl).Msg("store: failed to delete own entry; it expires with its lease")
	}
}
