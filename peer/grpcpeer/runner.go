package grpcpeer

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// retainTicks is how often connections to unknown addresses are closed.
const retainTicks = 50

// Runner sends the messages of a Gossip.
type Runner struct {
	gossip *peer.Gossip
	table  *peer.Table
	client *Client
	now    func() time.Time
}

// NewRunner returns a runner; Run starts it.
func NewRunner(gossip *peer.Gossip, table *peer.Table, client *Client, now func() time.Time) *Runner {
	return &Runner{
		gossip: gossip,
		table:  table,
		client: client,
		now:    now,
	}
}

// Run ticks until the context ends and all calls have returned.
func (r *Runner) Run(ctx context.Context) error {
	ended := make(chan struct{})
	running := 0
	ticker := time.NewTicker(peer.Interval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-ended:
			running--
			continue
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}
			return nil
		case <-ticker.C:
			tick++
		}
		for _, out := range r.gossip.Tick(r.now()) {
			running++
			go func(ctx context.Context) {
				r.exchange(ctx, out)
				ended <- struct{}{}
			}(ctx)
		}
		if tick%retainTicks == 0 {
			r.retain()
		}
	}
}

// retain closes the connections to addresses that no host has any more.
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
		return // a call ended by the stop says nothing about the peer
	}
	if err != nil {
		r.gossip.Failed(r.now(), out.To)
		return
	}
	r.gossip.Answered(r.now(), out.To, reply)
}
