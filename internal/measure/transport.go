package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// delayedTransport adds the one-way network delay in each direction of requests to
// upstreams in other failure domains.
type delayedTransport struct {
	pipeline.Transport
	domain  ident.FailureDomain
	domains map[ident.Address]ident.FailureDomain
	oneWay  time.Duration
}

func (d delayedTransport) crossesDomain(to ident.Address) bool {
	return d.oneWay > 0 && d.domains[to] != d.domain
}

// Call implements pipeline.Transport.
func (d delayedTransport) Call(ctx context.Context, to ident.Address, c pipeline.Call) (pipeline.Reply, error) {
	if !d.crossesDomain(to) {
		return d.Transport.Call(ctx, to, c)
	}
	if err := sleep(ctx, d.oneWay); err != nil {
		return pipeline.Reply{}, fmt.Errorf("%w: %w", pipeline.ErrNotSent, err)
	}
	reply, err := d.Transport.Call(ctx, to, c)
	if err == nil && sleep(ctx, d.oneWay) != nil {
		err = fmt.Errorf("%w: %w", pipeline.ErrLost, ctx.Err())
	}
	return reply, err
}

// Generate implements pipeline.Transport. It delays the first token by a round
// trip; the gaps between tokens are unchanged.
func (d delayedTransport) Generate(ctx context.Context, to ident.Address, g pipeline.Generation) (pipeline.Tokens, error) {
	if !d.crossesDomain(to) {
		return d.Transport.Generate(ctx, to, g)
	}
	if err := sleep(ctx, 2*d.oneWay); err != nil {
		return nil, fmt.Errorf("%w: %w", pipeline.ErrNotSent, err)
	}
	return d.Transport.Generate(ctx, to, g)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prefixIgnorer removes the prompt prefix from the queries of a selector, to
// measure selection without prefix affinity.
type prefixIgnorer struct {
	pipeline.Selector
}

// Choose implements pipeline.Selector.
func (s prefixIgnorer) Choose(now time.Time, query upstream.Query) (upstream.Lease, error) {
	query.Prefix = 0
	return s.Selector.Choose(now, query)
}
