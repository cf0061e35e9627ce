package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

// Errors of Choose; neither sent anything.
const (
	ErrNoUpstream = errors.ConstError("no upstream is available")
	ErrOverloaded = errors.ConstError("every upstream is overloaded")
)

// marksMax bounds the leaving marks of upstreams that have no row, and the
// observations that have not been read.
const marksMax = 8192

// Config holds the dependencies of a Table.
type Config struct {
	Host   ident.HostID
	Domain ident.FailureDomain
	Region ident.Region
	Now    func() time.Time
	Random *rand.Rand // used under the table's lock only
}

// Table holds the upstreams of all pools and chooses among them.
type Table struct {
	cfg  Config
	seed uint64

	mu       sync.Mutex
	offered  []Member // host list to merge on the next tick; nil if none
	merges   uint64   // counts host list readings
	pools    map[document.PoolRef]*pool
	rows     map[ident.UpstreamID][]*row
	marks    map[ident.UpstreamID]mark
	observed []Mark
	ticks    [historySize]time.Time
	tick     int
	scratch  []float64

	changes  uint64    // counts ticks
	snapshot *Snapshot // valid while its changes are the table's
}

type mark struct {
	incarnation ident.Incarnation
	at          time.Time
}

// pool is the rows of one pool and figures over those in use.
type pool struct {
	ref     document.PoolRef
	rows    []*row
	used    []*row // the subset of this host
	dirty   bool   // the subset is to be selected again
	median  float64
	load    float64 // mean load of a row
	local   float64 // mean load of a row in the local failure domain
	locals  int     // open rows in the local failure domain
	domains []domain
	ratio   float64 // load of other hosts for each attempt of this host
}

// domain is the rows in use of one failure domain.
type domain struct {
	name ident.FailureDomain
	open int
}

// Lease is the right to make one attempt; it ends with Done.
type Lease struct {
	Pool        document.PoolRef
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	Address     ident.Address
	Domain      ident.FailureDomain
	Cross       bool // in another failure domain
	Trial       bool // tests whether an ejected upstream has recovered

	attempt *attempt
}

type attempt struct {
	row  *row
	done bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:   cfg,
		seed:  xxhash.Sum64String(string(cfg.Host)),
		pools: make(map[document.PoolRef]*pool),
		rows:  make(map[ident.UpstreamID][]*row),
		marks: make(map[ident.UpstreamID]mark),
	}
}

// Offer hands over a reading of the host list, which the next Tick merges. An
// empty list is ignored: it is more likely a fault of the list than of every
// upstream.
func (t *Table) Offer(members []Member) {
	if len(members) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered = members
}

// MarkLeaving ends new work for the upstream's incarnations up to the given one.
func (t *Table) MarkLeaving(upstream ident.UpstreamID, incarnation ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markLeaving(t.cfg.Now(), upstream, incarnation)
}

// markLeaving reports whether the mark is new.
func (t *Table) markLeaving(now time.Time, upstream ident.UpstreamID, incarnation ident.Incarnation) bool {
	known, ok := t.marks[upstream]
	if ok && known.incarnation >= incarnation {
		return false
	}
	if !ok && len(t.marks) >= marksMax {
		t.dropMark()
	}
	t.marks[upstream] = mark{
		incarnation: incarnation,
		at:          now,
	}
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation <= incarnation && r.state != StateLeaving {
			r.end(now, StateLeaving)
			r.pool.dirty = true
			r.pool.limit(now)
		}
	}
	return true
}

// dropMark makes room by dropping the oldest mark of an upstream without a row.
func (t *Table) dropMark() {
	var oldest ident.UpstreamID
	var at time.Time
	for upstream, m := range t.marks {
		if len(t.rows[upstream]) > 0 {
			continue
		}
		if at.IsZero() || m.at.Before(at) {
			oldest = upstream
			at = m.at
		}
	}
	if !at.IsZero() {
		delete(t.marks, oldest)
	}
}

// Observations returns the leaving marks that this host saw itself since the
// last call, for gossip.
func (t *Table) Observations() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := t.observed
	t.observed = nil
	return observed
}

// Crashed ejects the upstream's incarnations up to the given one, within the
// limit of a third of the pool; beyond it they are only avoided, so that wrong
// rumours cannot empty a pool.
func (t *Table) Crashed(upstream ident.UpstreamID, incarnation ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation > incarnation || !r.open() {
			continue
		}
		r.errors = max(r.errors, ejectErrors)
		r.failedAt = now
		r.pool.eject(now, r)
	}
}

// InFlight returns the number of this host's attempts at the upstream.
func (t *Table) InFlight(upstream ident.UpstreamID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, r := range t.rows[upstream] {
		total += r.inFlight
	}
	return total
}

// Loaded records a load report that did not come with an answer.
func (t *Table) Loaded(upstream ident.UpstreamID, incarnation ident.Incarnation, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation == incarnation {
			t.loaded(now, r, load)
		}
	}
}

func (t *Table) loaded(now time.Time, r *row, load Load) {
	if load.At.After(now) {
		load.At = now
	}
	if now.Sub(load.At) > reportExpiry || r.reported && !load.At.After(r.report.At) {
		return
	}
	r.reported = true
	r.report = load
	r.own = float64(t.inFlightAt(r, load.At))
	r.others = max(0, float64(load.Running+load.Queued)-r.own)
	r.decay(now, r.pool.prior(r))
}

// inFlightAt returns the row's own in-flight count at the last tick not after at,
// or at the oldest known tick.
func (t *Table) inFlightAt(r *row, at time.Time) int {
	oldest := r.inFlight
	for i := range historySize {
		slot := (t.tick - i + historySize) % historySize
		if t.ticks[slot].IsZero() {
			break
		}
		oldest = int(r.history[slot])
		if !t.ticks[slot].After(at) {
			break
		}
	}
	return oldest
}

// Cached applies cache events of one incarnation of the upstream; an empty batch
// confirms that there are none. A gap in the sequence invalidates what was known.
func (t *Table) Cached(upstream ident.UpstreamID, incarnation ident.Incarnation, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation == incarnation {
			r.cache.apply(t.cfg.Now(), events)
		}
	}
}

// Done ends the lease. A second call for the same lease has no effect.
func (t *Table) Done(lease Lease, report Report) {
	if lease.attempt == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if lease.attempt.done {
		return
	}
	lease.attempt.done = true
	now := t.cfg.Now()
	r := lease.attempt.row
	r.inFlight--
	if report.Load != nil {
		t.loaded(now, r, *report.Load)
	}
	t.record(now, r, report)
	if lease.Trial {
		r.trial = false
		if r.state == StateEjected {
			r.judge(now, report)
		}
	}
}

func (t *Table) record(now time.Time, r *row, report Report) {
	switch result := report.Result.(type) {
	case Completed:
		r.overloads = 0
		if result.Failed {
			r.fail(now)
			return
		}
		r.errors = 0
		r.cut = 0
		r.observe(now, report.Latency)
	case Overloaded:
		hold := min(overloadHold<<min(r.overloads, 8), overloadHoldMax)
		r.overloads++
		r.held = now.Add(hold)
	case Leaving:
		if t.markLeaving(now, r.member.Upstream, r.member.Incarnation) && len(t.observed) < marksMax {
			t.observed = append(t.observed, Mark{
				Upstream:    r.member.Upstream,
				Incarnation: r.member.Incarnation,
			})
		}
	case Lost:
		r.fail(now)
		r.refuses = false
	case NotSent:
		r.fail(now)
		r.refuses = true
	case Cancelled:
		// The latency is a lower bound. Without it the estimate of a straggler
		// whose attempts all lose to a hedge would never rise. The time without
		// any answer is a better bound: hedges cut attempts off so early that the
		// single times stay below the limit of ejection.
		r.cut += report.Latency.Seconds()
		if r.cut > r.latency && r.latency > 0 {
			r.observe(now, time.Duration(r.cut*float64(time.Second)))
		}
	}
}
