package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/nutmegshift/nutmegshift/ident"
)

// pass is the reconciliation of the engines of one tick.
type pass struct {
	config      Config
	validUntil  time.Time // end of the lease validity; no orders are sent from then on
	fence       ident.FencingNumber
	loadLimiter *rate.Limiter
	mu          sync.Mutex
	report      Report
	// deferred holds the engines with a load that the rate limit of the weight
	// store deferred to a later tick.
	deferred []ident.UpstreamID
}

// run distributes the targets to the workers and waits for them to finish. It
// returns ErrNotHolder if a worker found that this host is no longer the holder.
func (p *pass) run(ctx context.Context, targets []target) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan target, len(targets))
	for _, t := range targets {
		queue <- t
	}
	close(queue)
	workers := min(p.config.Workers, len(targets))
	errs := make(chan error, workers)
	for range workers {
		go func() { errs <- p.worker(ctx, queue) }()
	}
	var firstErr error
	for range workers {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
			cancel()
		}
	}
	return firstErr
}

func (p *pass) worker(ctx context.Context, queue <-chan target) error {
	for t := range queue {
		if ctx.Err() != nil {
			return nil
		}
		err := p.reconcile(ctx, t)
		if errors.Is(err, ErrNotHolder) {
			return err
		}
		if err != nil {
			p.mu.Lock()
			p.report.Faults = append(p.report.Faults, Fault{
				Engine: t.engine,
				Err:    err,
			})
			p.mu.Unlock()
		}
	}
	return nil
}

// reconcile sends the orders that one engine needs and stops at the first that fails.
func (p *pass) reconcile(ctx context.Context, t target) error {
	if t.err != nil {
		return t.err
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.Limit)
	defer cancel()
	actual, err := p.config.Engines.Actual(ctx, t.engine)
	if err != nil {
		return errors.Annotatef(err, "read state of engine %q", t.engine)
	}
	for _, order := range difference(t.wanted, actual) {
		now := p.config.Now()
		if !now.Before(p.validUntil) {
			return errors.Annotatef(ErrNotHolder, "lease expired before an order to engine %q", t.engine)
		}
		if _, load := order.(Load); load && !p.loadLimiter.AllowN(now, 1) {
			p.deferLoad(t.engine)
			continue
		}
		err := p.config.Engines.Send(ctx, t.engine, p.fence, order)
		if errors.Is(err, ErrStale) && !p.stillHolder(ctx) {
			return errors.Annotatef(ErrNotHolder, "order to engine %q: %v", t.engine, err)
		}
		if err != nil {
			return errors.Annotatef(err, "send order to engine %q", t.engine)
		}
		p.countSent()
	}
	return nil
}

// stillHolder reports whether the holder key still has the version of this pass.
// ErrStale from a single engine does not prove a change of holder: an engine with
// a wrong fencing number must not stop the orders to the others.
func (p *pass) stillHolder(ctx context.Context) bool {
	entry, err := p.config.Store.Get(ctx, holderKey)
	return err == nil && ident.FencingNumber(entry.Version) == p.fence
}

func (p *pass) countSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Sent++
}

// deferLoad records a load that the rate limit deferred. All orders to an engine
// are sent by one worker, which may defer several loads of it.
func (p *pass) deferLoad(engine ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Deferred++
	if !slices.Contains(p.deferred, engine) {
		p.deferred = append(p.deferred, engine)
	}
}
