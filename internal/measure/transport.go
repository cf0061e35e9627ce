package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// distance delays exchanges with upstreams in other failure domains.
type distance struct {
	pipeline.Transport
	domain  ident.FailureDomain
	domains map[ident.Address]ident.FailureDomain
	oneWay  time.Duration
}

func (d distance) far(to ident.Address) bool { return d.oneWay > 0 && d.domains[to] != d.domain }

// Call implements pipeline.Transport.
func (d distance) Call(ctx context.Context, to ident.Address, c pipeline.Call) (pipeline.Reply, error) {
	if !d.far(to) {
		return d.Transport.Call(ctx, to, c)
	}
	if err := pause(ctx, d.oneWay); err != nil {
		return pipeline.Reply{}, fmt.Errorf("%w: %w", pipeline.ErrNotSent, err)
	}
	reply, err := d.Transport.Call(ctx, to, c)
	if err == nil && pause(ctx, d.oneWay) != nil {
		err = fmt.Errorf("%w: %w", pipeline.ErrLost, ctx.Err())
	}
	return reply, err
}

// Generate implements pipeline.Transport. The first token arrives later by both
// ways; those behind it keep their distance from each other.
func (d distance) Generate(ctx context.Context, to ident.Address, g pipeline.Generation) (pipeline.Tokens, error) {
	if !d.far(to) {
		return d.Transport.Generate(ctx, to, g)
	}
	if err := pause(ctx, 2*d.oneWay); err != nil {
		return nil, fmt.Errorf("%w: %w", pipeline.ErrNotSent, err)
	}
	return d.Transport.Generate(ctx, to, g)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unprefixed hides prompt prefixes from a selector.
type unprefixed struct {
	pipeline.Selector
}

// Choose implements pipeline.Selector.
func (s unprefixed) Choose(now time.Time, query upstream.Query) (upstream.Lease, error) {
	query.Prefix = 0
	return s.Selector.Choose(now, query)
}
