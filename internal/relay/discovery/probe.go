package discovery

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
)

// probe asks the store for its latest change. It reads an empty page, whose response carries
// the cursor: a page with the table would take longer than the poll interval on a slow link.
type probe struct {
	store   kv.Store
	health  *Health
	replica *Replica
	key     kv.Key // no other key has it as a prefix
}

func newProbe(store kv.Store, health *Health, replica *Replica, key kv.Key) probe {
	return probe{
		store:   store,
		health:  health,
		replica: replica,
		key:     key,
	}
}

// run returns the cursor of the store's latest change, and whether the replica has it, in
// which case the replica is confirmed. The response may have waited to be read, so it is as
// old as the call.
func (p *probe) run(ctx context.Context) (cursor kv.Cursor, complete bool, err error) {
	called := time.Now()
	page, err := p.store.List(ctx, p.key, p.key, 1)
	if err != nil {
		return 0, false, err
	}
	if page.Cursor == 0 {
		return 0, false, errors.Annotate(kv.ErrUnavailable, "poll has no cursor")
	}
	p.recordSuccess()
	return page.Cursor, !p.replica.Confirm(page.Cursor, time.Since(called)), nil
}

// recordSuccess records a response of the store.
func (p *probe) recordSuccess() {
	p.health.RecordSuccess()
	p.replica.RecordResponse()
}
