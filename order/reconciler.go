package order

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// defaultPerTick bounds the engines of one tick if the configuration does not.
	defaultPerTick = 500
	// releaseLimit bounds the release of the lease when Run ends.
	releaseLimit = 2 * time.Second
)

// Errors that Reconciler returns, annotated.
const (
	ErrStore     = errors.ConstError("store does not answer, no orders sent")
	ErrNotHolder = errors.ConstError("another host may issue orders")
)

// Errors that Engines returns, annotated.
const (
	ErrStale    = errors.ConstError("engine has seen a higher fencing number")
	ErrNoEngine = errors.ConstError("engine is not known") // left, or not yet in the host list
)

// Engines reaches the engines. Any other error than those above is a fault of
// the one engine, which the next round tries again.
type Engines interface {
	// Actual reads the state of an engine.
	Actual(ctx context.Context, engine ident.UpstreamID) (Actual, error)
	// Send gives an order to an engine; it returns ErrStale if the engine refused the number.
	Send(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, order Order) error
}

// Config holds the dependencies of a Reconciler.
type Config struct {
	Host      ident.HostID
	Store     kv.Store
	Engines   Engines
	Now       func() time.Time
	Log       zerolog.Logger
	TTL       time.Duration // of the lease
	Limit     time.Duration // longest call to one engine
	Workers   int           // engines handled at the same time, at least 1
	PerTick   int           // engines handled in one tick, the others follow in later ticks; default 500
	Idle      time.Duration // pause between two looks at a lease that another host holds; 0 looks on each tick
	LoadRate  rate.Limit    // model loads a second that the weight store admits
	LoadBurst int           // model loads at once, at least 1
}

// Fault is an engine that a tick could not bring to its wanted state.
type Fault struct {
	Engine ident.UpstreamID
	Err    error
}

// Report says what a tick did.
type Report struct {
	Holder   bool                // this host issues orders
	Fence    ident.FencingNumber // 0 unless Holder
	Engines  int                 // with a wanted state, of this tick's turn
	Sent     int                 // orders
	Deferred int                 // loads left for a later tick by the weight store's rate
	Faults   []Fault
}

// Reconciler is the system that issues orders.
type Reconciler struct {
	config Config
	lease  kv.LeaseID // 0 is none
	until  time.Time  // the lease is valid until then, whatever happened to its renewals
	fence  ident.FencingNumber
	loads  *rate.Limiter
	turn   int       // rotates the engine that a tick begins with
	after  kv.Key    // last wanted state of the previous tick; empty at the beginning of a round
	look   time.Time // another host held the lease, which is not read again before
	paged  bool      // the fleet has more than one page
	// backlog holds the engines whose loads were deferred. Without it a page that
	// wants many loads would get one burst of them in a round, and the weight
	// store would idle on the other pages.
	backlog []ident.UpstreamID
}

// New returns a reconciler that holds no lease.
func New(config Config) *Reconciler {
	if config.PerTick <= 0 {
		config.PerTick = defaultPerTick
	}
	return &Reconciler{
		config: config,
	}
}

// Run makes a tick for each value of ticks until the context ends, then
// releases the lease, so that the next holder need not wait for its end.
func (r *Reconciler) Run(ctx context.Context, ticks <-chan time.Time) error {
	failing := false // the last tick failed; an outage is logged once
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
			defer cancel()
			if err := r.Release(last); err != nil {
				r.config.Log.Warn().Err(err).Msg("order: lease not released")
			}
			return ctx.Err()
		case <-ticks:
			report, err := r.Tick(ctx)
			if err != nil && !failing {
				r.config.Log.Warn().Err(err).Msg("order: tick failed")
			}
			failing = err != nil
			for _, fault := range report.Faults {
				level := zerolog.WarnLevel
				if errors.Is(fault.Err, ErrNoEngine) {
					level = zerolog.DebugLevel // wanted states outlive engines
				}
				r.config.Log.WithLevel(level).Err(fault.Err).Str("upstream", string(fault.Engine)).Msg("order: engine not reconciled")
			}
		}
	}
}

// Tick takes or keeps the lease and, as its holder, reconciles the engines whose
// turn it is: all of them, or PerTick engines in the order of their ids, so that
// the cost of a tick does not grow with the fleet. It returns ErrStore if the
// store did not answer, and ErrNotHolder if the lease ended or another host took
// it during the tick.
func (r *Reconciler) Tick(ctx context.Context) (Report, error) {
	held, err := r.hold(ctx)
	if err != nil || !held {
		return Report{}, err
	}
	rows, err := r.next(ctx)
	if err != nil {
		return Report{}, err
	}
	p := &pass{
		config: r.config,
		until:  r.until,
		fence:  r.fence,
		loads:  r.loads,
		report: Report{
			Holder:  true,
			Fence:   r.fence,
			Engines: len(rows),
		},
	}
	err = p.run(ctx, rows)
	r.remember(rows, p.deferred)
	return p.report, err
}

// Release gives up the lease, if any.
func (r *Reconciler) Release(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	err := r.config.Store.Revoke(ctx, r.lease)
	r.lease = 0
	if err != nil && !errors.Is(err, kv.ErrLeaseLost) {
		return errors.Annotatef(ErrStore, "release lease: %v", err)
	}
	return nil
}

// hold reports whether this host holds the key under a lease that is valid at
// the time of the call. The key's lease id identifies the holder, so a
// creation whose answer was lost is recognised on the next tick.
func (r *Reconciler) hold(ctx context.Context) (bool, error) {
	now := r.config.Now()
	if now.Before(r.look) {
		return false, nil
	}
	entry, err := r.config.Store.Get(ctx, holderKey)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return r.acquire(ctx)
	case err != nil:
		return false, errors.Annotatef(ErrStore, "read holder: %v", err)
	case r.lease == 0 || entry.Lease != r.lease:
		r.lease = 0
		r.look = now.Add(r.config.Idle)
		return false, nil
	}
	r.begin(entry.Version)
	return r.renew(ctx)
}

// acquire creates the key under a new lease.
func (r *Reconciler) acquire(ctx context.Context) (bool, error) {
	start := r.config.Now()
	r.lease = 0
	lease, err := r.config.Store.Grant(ctx, r.config.TTL)
	if err != nil {
		return false, errors.Annotatef(ErrStore, "grant lease: %v", err)
	}
	r.lease = lease
	r.until = r.validity(start)
	version, err := r.config.Store.Put(ctx, kv.Put{
		Key:   holderKey,
		Value: []byte(r.config.Host),
		Lease: lease,
	})
	switch {
	case errors.Is(err, kv.ErrConflict):
		// Another host was faster; the unused lease ends by itself if this fails.
		return false, r.Release(ctx)
	case errors.Is(err, kv.ErrLeaseLost):
		r.lease = 0
		return false, nil
	case err != nil:
		return false, errors.Annotatef(ErrStore, "create holder key: %v", err)
	}
	r.begin(version)
	return true, nil
}

// renew extends the lease once half of its validity has passed.
func (r *Reconciler) renew(ctx context.Context) (bool, error) {
	start := r.config.Now()
	if r.until.Sub(start) > r.config.TTL/2 {
		return true, nil
	}
	err := r.config.Store.Renew(ctx, r.lease)
	switch {
	case err == nil:
		r.until = r.validity(start)
	case errors.Is(err, kv.ErrLeaseLost):
		r.lease = 0
		return false, nil
	case !r.config.Now().Before(r.until):
		return false, errors.Annotatef(ErrStore, "renew lease: %v", err)
	}
	return true, nil
}

// validity returns until when a lease that was asked for at start is used. A
// tenth of the ttl is left for the difference in speed of the two clocks.
func (r *Reconciler) validity(start time.Time) time.Time {
	return start.Add(r.config.TTL * 9 / 10)
}

// begin starts a tenure if the key's version is new. Its token bucket starts
// empty, because the previous holder may just have used the whole burst.
func (r *Reconciler) begin(version kv.Version) {
	if r.fence == ident.FencingNumber(version) {
		return
	}
	r.fence = ident.FencingNumber(version)
	r.loads = rate.NewLimiter(r.config.LoadRate, r.config.LoadBurst)
	r.loads.AllowN(r.config.Now(), r.config.LoadBurst)
	r.backlog = nil
}

// row is the desired state of one engine.
type row struct {
	engine ident.UpstreamID
	wanted Wanted
	err    error // the entry cannot be decoded
}

// next returns the engines of this tick, at most PerTick: those of the backlog
// that the weight store's rate admits, then the next page.
func (r *Reconciler) next(ctx context.Context) ([]row, error) {
	var rows []row
	if r.paged {
		waiting := min(len(r.backlog), int(r.loads.TokensAt(r.config.Now())), r.config.PerTick/2)
		for _, engine := range r.backlog[:waiting] {
			found, err := GetWanted(ctx, r.config.Store, engine)
			switch {
			case errors.Is(err, kv.ErrNotFound):
			case err != nil && found.Err == nil:
				return nil, errors.Annotatef(ErrStore, "read backlog: %v", err)
			default:
				rows = append(rows, newRow(found))
			}
		}
		r.backlog = r.backlog[waiting:]
	}
	page, err := r.page(ctx, r.config.PerTick-len(rows))
	if err != nil {
		return nil, err
	}
	for _, row := range page {
		if !contains(rows, row.engine) {
			rows = append(rows, row)
		}
	}
	if !r.paged && len(rows) > 0 {
		// The weight store's rate may leave loads over; the next tick begins
		// with other engines, so that all get their turn.
		first := r.turn % len(rows)
		rows = append(rows[first:len(rows):len(rows)], rows[:first]...)
		r.turn++
	}
	return rows, nil
}

// page reads the next wanted states with one call of the store.
func (r *Reconciler) page(ctx context.Context, limit int) ([]row, error) {
	page, err := r.config.Store.List(ctx, wantedPrefix, r.after, limit)
	if err != nil {
		return nil, errors.Annotatef(ErrStore, "list wanted states: %v", err)
	}
	r.paged = page.More || r.after != ""
	rows := make([]row, 0, len(page.Entries))
	for _, entry := range page.Entries {
		rows = append(rows, newRow(decodeWanted(entry)))
		r.after = entry.Key
	}
	if !page.More {
		r.after = ""
	}
	return rows, nil
}

// remember updates the backlog after a tick that handled rows.
func (r *Reconciler) remember(handled []row, deferred []ident.UpstreamID) {
	if !r.paged {
		r.backlog = nil // every tick handles all engines
		return
	}
	r.backlog = slices.DeleteFunc(slices.Clone(r.backlog), func(engine ident.UpstreamID) bool {
		return contains(handled, engine)
	})
	r.backlog = append(r.backlog, deferred...)
}

func newRow(found Declared) row {
	return row{
		engine: found.Engine,
		wanted: found.Wanted,
		err:    found.Err,
	}
}

func contains(rows []row, engine ident.UpstreamID) bool {
	return slices.ContainsFunc(rows, func(row row) bool { return row.engine == engine })
}
