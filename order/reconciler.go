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
	// defaultPerTick applies if Config.PerTick is not set.
	defaultPerTick = 500
	// releaseTimeout bounds the store call that releases the lease when Run ends.
	releaseTimeout = 2 * time.Second
)

// Errors that the methods of Reconciler return, annotated.
const (
	ErrStore     = errors.ConstError("store call failed, no orders sent")
	ErrNotHolder = errors.ConstError("no longer the holder, another host may issue orders")
)

// Errors that the methods of Engines return, annotated.
const (
	ErrStale    = errors.ConstError("engine has seen a higher fencing number")
	ErrNoEngine = errors.ConstError("unknown engine") // has left, or is not yet in the host list
)

// Engines calls the engines. Its methods are called concurrently. Errors other
// than ErrStale and ErrNoEngine are treated as faults of that engine, which is
// retried in the next round.
type Engines interface {
	// Actual reads the state of an engine. It returns ErrNoEngine for an unknown engine.
	Actual(ctx context.Context, engine ident.UpstreamID) (Actual, error)
	// Send sends an order to an engine. It returns ErrStale if the engine rejected
	// the fencing number, and ErrNoEngine for an unknown engine.
	Send(ctx context.Context, engine ident.UpstreamID, fence ident.FencingNumber, order Order) error
}

// Config holds the dependencies of a Reconciler.
type Config struct {
	Host         ident.HostID
	Store        kv.Store
	Engines      Engines
	Now          func() time.Time
	Log          zerolog.Logger
	TTL          time.Duration // validity of the lease
	Limit        time.Duration // timeout of all calls to one engine in a tick
	Workers      int           // engines reconciled concurrently, at least 1
	PerTick      int           // engines reconciled in one tick, the others follow in later ticks; default 500
	PollInterval time.Duration // interval between reads of a holder key that another host holds; 0 reads it on each tick
	LoadRate     rate.Limit    // model loads per second that the weight store admits
	LoadBurst    int           // burst of model loads, at least 1
}

// Fault is an engine that a tick could not reconcile, with the reason.
type Fault struct {
	Engine ident.UpstreamID
	Err    error
}

// Report is the result of a tick.
type Report struct {
	Holder   bool                // this host holds the lease and issues orders
	Fence    ident.FencingNumber // fencing number of the orders; 0 unless Holder
	Engines  int                 // engines with a desired state that this tick handled
	Sent     int                 // orders sent
	Deferred int                 // loads deferred to a later tick by the rate limit of the weight store
	Faults   []Fault
}

// Reconciler competes for the lease and, while it holds the lease, reconciles the
// engines with their desired states. It is not safe for concurrent use.
type Reconciler struct {
	config      Config
	lease       kv.LeaseID // 0 if no lease is held
	validUntil  time.Time  // end of the lease validity; a failed renewal does not shorten it
	fence       ident.FencingNumber
	loadLimiter *rate.Limiter
	rotation    int       // rotates the first engine of a tick over a fleet of one page
	lastKey     kv.Key    // last desired state listed; empty at the beginning of a round
	nextPoll    time.Time // time of the next read of a holder key that another host holds
	multiPage   bool      // the fleet has more than one page
	// backlog holds the engines whose loads were deferred. Without it a page with
	// many loads would get only one burst of them in a round, and the weight store
	// would be idle during the ticks of the other pages.
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

// Run calls Tick for each value of ticks until ctx is done. It then releases the
// lease, so that the next holder does not have to wait until it expires, and
// returns the error of ctx. Failed ticks and faults are logged.
func (r *Reconciler) Run(ctx context.Context, ticks <-chan time.Time) error {
	failing := false // the last tick failed; only the first of a series of failures is logged
	for {
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			if err := r.Release(releaseCtx); err != nil {
				r.config.Log.Warn().Err(err).Msg("order: release of the lease failed, other hosts wait until it expires")
			}
			return ctx.Err()
		case <-ticks:
			report, err := r.Tick(ctx)
			if err != nil && !failing {
				r.config.Log.Warn().Err(err).Msg("order: tick failed, further failures are not logged until a tick succeeds")
			}
			failing = err != nil
			for _, fault := range report.Faults {
				level := zerolog.WarnLevel
				if errors.Is(fault.Err, ErrNoEngine) {
					level = zerolog.DebugLevel // expected: desired states remain in the store after engines are removed
				}
				r.config.Log.WithLevel(level).Err(fault.Err).Str("upstream", string(fault.Engine)).Msg("order: engine not reconciled, retrying in the next round")
			}
		}
	}
}

// Tick acquires or renews the lease and, if this host is the holder, reconciles
// the next engines: all of them, or at most PerTick in the order of their ids, so
// that the cost of a tick does not grow with the fleet. It returns ErrStore if a
// required store call failed, and ErrNotHolder if the lease expired or another
// host took over during the tick.
func (r *Reconciler) Tick(ctx context.Context) (Report, error) {
	held, err := r.ensureLease(ctx)
	if err != nil || !held {
		return Report{}, err
	}
	targets, err := r.nextTargets(ctx)
	if err != nil {
		return Report{}, err
	}
	p := &pass{
		config:      r.config,
		validUntil:  r.validUntil,
		fence:       r.fence,
		loadLimiter: r.loadLimiter,
		report: Report{
			Holder:  true,
			Fence:   r.fence,
			Engines: len(targets),
		},
	}
	err = p.run(ctx, targets)
	r.updateBacklog(targets, p.deferred)
	return p.report, err
}

// Release revokes the lease, if one is held. It returns ErrStore if the call failed.
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

// ensureLease acquires or renews the lease and reports whether this host holds the
// key under a lease that is valid at the time of the call. The lease id of the key
// identifies the holder, so the next tick recognises a key that was created
// although the response was lost.
func (r *Reconciler) ensureLease(ctx context.Context) (bool, error) {
	now := r.config.Now()
	if now.Before(r.nextPoll) {
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
		r.nextPoll = now.Add(r.config.PollInterval)
		return false, nil
	}
	r.beginTerm(entry.Version)
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
	r.validUntil = r.leaseDeadline(start)
	version, err := r.config.Store.Put(ctx, kv.Put{
		Key:   holderKey,
		Value: []byte(r.config.Host),
		Lease: lease,
	})
	switch {
	case errors.Is(err, kv.ErrConflict):
		// Another host was faster. The unused lease expires if Release fails.
		return false, r.Release(ctx)
	case errors.Is(err, kv.ErrLeaseLost):
		r.lease = 0
		return false, nil
	case err != nil:
		return false, errors.Annotatef(ErrStore, "create holder key: %v", err)
	}
	r.beginTerm(version)
	return true, nil
}

// renew extends the lease if at most half of the TTL is left.
func (r *Reconciler) renew(ctx context.Context) (bool, error) {
	start := r.config.Now()
	if r.validUntil.Sub(start) > r.config.TTL/2 {
		return true, nil
	}
	err := r.config.Store.Renew(ctx, r.lease)
	switch {
	case err == nil:
		r.validUntil = r.leaseDeadline(start)
	case errors.Is(err, kv.ErrLeaseLost):
		r.lease = 0
		return false, nil
	case !r.config.Now().Before(r.validUntil):
		return false, errors.Annotatef(ErrStore, "renew lease: %v", err)
	}
	return true, nil
}

// leaseDeadline returns the time until which a lease requested at start is used. A
// tenth of the TTL is a margin for clock drift between this host and the store.
func (r *Reconciler) leaseDeadline(start time.Time) time.Time {
	return start.Add(r.config.TTL * 9 / 10)
}

// beginTerm sets the fencing number if the version of the holder key is new. The
// token bucket of a new holder starts empty, because the previous holder may just
// have used the whole burst.
func (r *Reconciler) beginTerm(version kv.Version) {
	if r.fence == ident.FencingNumber(version) {
		return
	}
	r.fence = ident.FencingNumber(version)
	r.loadLimiter = rate.NewLimiter(r.config.LoadRate, r.config.LoadBurst)
	r.loadLimiter.AllowN(r.config.Now(), r.config.LoadBurst)
	r.backlog = nil
}

// target is an engine to reconcile and its desired state.
type target struct {
	engine ident.UpstreamID
	wanted Wanted
	err    error // the entry cannot be decoded
}

// nextTargets returns the engines of this tick, at most PerTick: first those of
// the backlog that the rate limit admits, up to half of PerTick, then the next page.
func (r *Reconciler) nextTargets(ctx context.Context) ([]target, error) {
	var targets []target
	if r.multiPage {
		admitted := min(len(r.backlog), int(r.loadLimiter.TokensAt(r.config.Now())), r.config.PerTick/2)
		for _, engine := range r.backlog[:admitted] {
			found, err := GetWanted(ctx, r.config.Store, engine)
			switch {
			case errors.Is(err, kv.ErrNotFound):
			case err != nil && found.Err == nil:
				return nil, errors.Annotatef(ErrStore, "read backlog: %v", err)
			default:
				targets = append(targets, newTarget(found))
			}
		}
		r.backlog = r.backlog[admitted:]
	}
	page, err := r.nextPage(ctx, r.config.PerTick-len(targets))
	if err != nil {
		return nil, err
	}
	for _, t := range page {
		if !containsEngine(targets, t.engine) {
			targets = append(targets, t)
		}
	}
	if !r.multiPage && len(targets) > 0 {
		// The rate limit may defer loads. Each tick begins with another engine, so
		// that no engine is deferred on every tick.
		offset := r.rotation % len(targets)
		targets = append(targets[offset:len(targets):len(targets)], targets[:offset]...)
		r.rotation++
	}
	return targets, nil
}

// nextPage reads the next desired states with one store call.
func (r *Reconciler) nextPage(ctx context.Context, limit int) ([]target, error) {
	page, err := r.config.Store.List(ctx, wantedPrefix, r.lastKey, limit)
	if err != nil {
		return nil, errors.Annotatef(ErrStore, "list wanted states: %v", err)
	}
	r.multiPage = page.More || r.lastKey != ""
	targets := make([]target, 0, len(page.Entries))
	for _, entry := range page.Entries {
		targets = append(targets, newTarget(decodeWanted(entry)))
		r.lastKey = entry.Key
	}
	if !page.More {
		r.lastKey = ""
	}
	return targets, nil
}

// updateBacklog removes the handled engines from the backlog and appends the
// deferred ones.
func (r *Reconciler) updateBacklog(handled []target, deferred []ident.UpstreamID) {
	if !r.multiPage {
		r.backlog = nil // every tick handles all engines
		return
	}
	r.backlog = slices.DeleteFunc(slices.Clone(r.backlog), func(engine ident.UpstreamID) bool {
		return containsEngine(handled, engine)
	})
	r.backlog = append(r.backlog, deferred...)
}

func newTarget(found Declared) target {
	return target{
		engine: found.Engine,
		wanted: found.Wanted,
		err:    found.Err,
	}
}

func containsEngine(targets []target, engine ident.UpstreamID) bool {
	return slices.ContainsFunc(targets, func(t target) bool { return t.engine == engine })
}
