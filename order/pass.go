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

// pass reconciles the engines of one tick.
type pass struct {
	config Config
	until  time.Time
	fence  ident.FencingNumber
	loads  *rate.Limiter
	mu     sync.Mutex
	report Report
	// deferred holds the engines with a load that the weight store's rate left
	// for a later tick.
	deferred []ident.UpstreamID
}

// run hands the rows to the workers and waits for them. It returns
// ErrNotHolder if one of them found that the tenure is over.
func (p *pass) run(ctx context.Context, rows []row) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work := make(chan row, len(rows))
	for _, row := range rows {
		work <- row
	}
	close(work)
	workers := min(p.config.Workers, len(rows))
	ended := make(chan error, workers)
	for range workers {
		go func() { ended <- p.work(ctx, work) }()
	}
	var over error
	for range workers {
		if err := <-ended; err != nil && over == nil {
			over = err
			cancel()
		}
	}
	return over
}

func (p *pass) work(ctx context.Context, work <-chan row) error {
	for row := range work {
		if ctx.Err() != nil {
			return nil
		}
		err := p.reconcile(ctx, row)
		if errors.Is(err, ErrNotHolder) {
			return err
		}
		if err != nil {
			p.mu.Lock()
			p.report.Faults = append(p.report.Faults, Fault{
				Engine: row.engine,
				Err:    err,
			})
			p.mu.Unlock()
		}
	}
	return nil
}

// reconcile removes the difference at one engine, up to the first order that fails.
func (p *pass) reconcile(ctx context.Context, row row) error {
	if row.err != nil {
		return row.err
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.Limit)
	defer cancel()
	actual, err := p.config.Engines.Actual(ctx, row.engine)
	if err != nil {
		return errors.Annotatef(err, "read state of engine %q", row.engine)
	}
	for _, order := range difference(row.wanted, actual) {
		now := p.config.Now()
		if !now.Before(p.until) {
			return errors.Annotatef(ErrNotHolder, "lease ended before an order to engine %q", row.engine)
		}
		if _, load := order.(Load); load && !p.loads.AllowN(now, 1) {
			p.putOff(row.engine)
			continue
		}
		err := p.config.Engines.Send(ctx, row.engine, p.fence, order)
		if errors.Is(err, ErrStale) && !p.current(ctx) {
			return errors.Annotatef(ErrNotHolder, "order to engine %q: %v", row.engine, err)
		}
		if err != nil {
			return errors.Annotatef(err, "send order to engine %q", row.engine)
		}
		p.sent()
	}
	return nil
}

// current reports whether the store still names this tenure. One engine with a
// wrong fencing number must not keep the others from their orders.
func (p *pass) current(ctx context.Context) bool {
	entry, err := p.config.Store.Get(ctx, holderKey)
	return err == nil && ident.FencingNumber(entry.Version) == p.fence
}

func (p *pass) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Sent++
}

// putOff records a deferred load. One worker handles all orders to an engine.
func (p *pass) putOff(engine ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Deferred++
	if !slices.Contains(p.deferred, engine) {
		p.deferred = append(p.deferred, engine)
	}
}
