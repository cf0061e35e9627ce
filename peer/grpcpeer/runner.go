package grpcpeer

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// retainTicks is the number of ticks after which connections to addresses that are
// no longer in the table are closed.
const retainTicks = 50

// Runner sends the messages of a Gossip and reports the results to it.
type Runner struct {
	gossip *peer.Gossip
	table  *peer.Table
	client *Client
	now    func() time.Time
}

// NewRunner returns a runner that does nothing until Run is called. The table is that
// of gossip.
func NewRunner(gossip *peer.Gossip, table *peer.Table, client *Client, now func() time.Time) *Runner {
	return &Runner{
		gossip: gossip,
		table:  table,
		client: client,
		now:    now,
	}
}

// Run calls gossip.Tick until ctx ends, with the pauses that gossip.Pause returns, and
// returns nil once all calls have returned.
func (r *Runner) Run(ctx context.Context) error {
	done := make(chan struct{})
	running := 0
	timer := time.NewTimer(peer.Interval)
	defer timer.Stop()
	ticked := r.now()
	for tick := 0; ; {
		select {
		case <-done:
			running--
			continue
		case <-r.gossip.Urgent():
			timer.Reset(max(0, r.gossip.Pause()-r.now().Sub(ticked)))
			continue
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return nil
		case <-timer.C:
			tick++
		}
		ticked = r.now()
		for _, out := range r.gossip.Tick(r.now()) {
			running++
			go func(ctx context.Context) {
				r.exchange(ctx, out)
				done <- struct{}{}
			}(ctx)
		}
		if tick%retainTicks == 0 {
			r.retain()
		}
		timer.Reset(r.gossip.Pause())
	}
}

// retain closes the connections to addresses that are no longer in the table.
func (r *Runner) retain() {
	known := make(map[ident.Address]bool)
	for _, row := range r.table.Snapshot().Rows() {
		known[row.Address] = true
	}
	r.client.Retain(known)
}

func (r *Runner) exchange(ctx context.Context, out peer.Outgoing) {
	reply, err := r.client.Exchange(ctx, out.Address, out.Message)
	if ctx.Err() != nil {
		return // cancelled by the shutdown; does not indicate a failure of the peer
	}
	if err != nil {
		r.gossip.Failed(r.now(), out.To)
		return
	}
	r.gossip.Answered(r.now(), out.To, reply)
}
