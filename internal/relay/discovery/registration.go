package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/kv"
)

// renewals is how often a lease is renewed during its life, so that one or two
// lost renewals do not end it.
const renewals = 3

// Registration keeps one entry in the store while its host runs.
type Registration struct {
	store  kv.Store
	health *Health
	known  *Replica
	log    zerolog.Logger
	key    kv.Key
	value  []byte
	life   time.Duration
	lease  kv.LeaseID // 0 while there is none
}

// NewRegistration returns a registration that Run makes and keeps. The replica
// tells what an earlier life of this host has left.
func NewRegistration(store kv.Store, health *Health, known *Replica, log zerolog.Logger, key kv.Key, value []byte, life time.Duration) *Registration {
	return &Registration{
		store:  store,
		health: health,
		known:  known,
		log:    log,
		key:    key,
		value:  value,
		life:   life,
	}
}

// Run keeps the entry until the host leaves, then deletes it and waits for the
// end of the context.
func (r *Registration) Run(ctx context.Context, leaves <-chan struct{}) error {
	kept, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		r.hold(ctx)
	}(kept)
	select {
	case <-leaves:
	case <-ctx.Done():
	}
	cancel()
	<-ended
	r.end(context.WithoutCancel(ctx))
	<-ctx.Done()
	return nil
}

// hold makes the entry and renews its lease until the context ends.
func (r *Registration) hold(ctx context.Context) {
	for ctx.Err() == nil && r.known.Cursor() == 0 {
		sleep(ctx, lookInterval)
	}
	pause := firstPause
	for ctx.Err() == nil {
		err := r.keep(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pause = firstPause
			r.health.Succeeded()
			sleep(ctx, r.life/renewals)
			continue
		}
		r.log.Debug().Err(err).Str("key", string(r.key)).Msg("store: own entry not written")
		if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrLeaseLost) {
			sleep(ctx, againPause)
			continue
		}
		r.health.Failed(err)
		r.health.Pause(ctx, r, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
}

// keep renews the lease, or makes a new one with the entry.
func (r *Registration) keep(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseLost) {
			return err
		}
		r.log.Info().Uint64("lease", uint64(r.lease)).Msg("store: lease of own entry has ended")
		r.lease = 0
	}
	lease, err := r.store.Grant(ctx, r.life)
	if err != nil {
		return err
	}
	if err := r.put(ctx, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// put replaces the entry, which an earlier life of this host may have left.
func (r *Registration) put(ctx context.Context, lease kv.LeaseID) error {
	put := kv.Put{
		Key:    r.key,
		Value:  r.value,
		Expect: r.known.Version(r.key),
		Lease:  lease,
	}
	_, err := r.store.Put(ctx, put)
	if !errors.Is(err, kv.ErrConflict) {
		return err
	}
	held, err := r.store.Get(ctx, r.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	put.Expect = held.Version
	_, err = r.store.Put(ctx, put)
	return err
}

// end deletes the entry. If the store does not answer, it goes with its lease.
func (r *Registration) end(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Info().Err(err).Dur("life", r.life).Msg("store: own entry is left to lapse")
	}
}
