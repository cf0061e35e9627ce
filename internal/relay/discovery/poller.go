package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// pollInterval and pollGrace bound the time after which a change is known
	// although the watch does not report it. Together they are well under the two
	// seconds in which a routing table has to be in force.
	pollInterval = 1100 * time.Millisecond
	pollGrace    = 250 * time.Millisecond
)

// Poller reads one entry from time to time. A watch may be silent for seconds
// although it is open, for example while the store drops its history; the
// answer to a read tells of changes that the watch has not reported.
type Poller struct {
	store    kv.Store
	health   *Health
	follower *Follower
	key      kv.Key
	sink     Sink
}

// NewPoller returns a poller of the entry at a key; Run starts it.
func NewPoller(store kv.Store, health *Health, follower *Follower, key kv.Key, sink Sink) *Poller {
	return &Poller{
		store:    store,
		health:   health,
		follower: follower,
		key:      key,
		sink:     sink,
	}
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	// Hosts that start together poll at different times.
	sleep(ctx, rand.N(pollInterval))
	for ctx.Err() == nil {
		began := time.Now()
		if err := p.poll(ctx); err != nil && ctx.Err() == nil {
			p.health.Failed(err)
			p.health.Pause(ctx, p, longestPause)
			continue
		}
		sleep(ctx, pollInterval-time.Since(began))
	}
	return nil
}

func (p *Poller) poll(ctx context.Context) error {
	page, err := p.store.List(ctx, p.key, "", 1)
	if err != nil {
		return err
	}
	p.health.Succeeded()
	for _, entry := range page.Entries {
		p.sink.Changed(kv.Change{
			Entry: entry,
		}, time.Time{})
	}
	if p.follower.Cursor() >= page.Cursor {
		return nil
	}
	sleep(ctx, pollGrace)
	if p.follower.Cursor() < page.Cursor {
		p.follower.Again()
	}
	return nil
}
