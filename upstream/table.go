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

// Errors of Choose; nothing has been sent in either case.
const (
	ErrNoUpstream = errors.ConstError("no upstream is available")
	ErrOverloaded = errors.ConstError("every upstream is overloaded")
)

// marksMax bounds the number of leaving marks of upstreams without a row, and the
// number of marks waiting for TakeObservations.
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

	mu             sync.Mutex
	pendingMembers []Member // host list to merge on the next tick; nil if none
	merges         uint64   // number of host lists merged
	pools          map[document.PoolRef]*pool
	rows           map[ident.UpstreamID][]*row
	marks          map[ident.UpstreamID]mark
	newMarks       []Mark                 // for TakeObservations
	tickTimes      [historySize]time.Time // ring buffer
	historySlot    int                    // index of the last tick in tickTimes and row.inFlightAtTick
	scratch        []float64              // reused by updateLoad

	tickCount uint64
	snapshot  *Snapshot // valid while its tickCount equals that of the table
}

// mark is the highest incarnation of an upstream that is known to be leaving.
type mark struct {
	incarnation ident.Incarnation
	at          time.Time
}

// pool holds the rows of one pool and statistics over those in use.
type pool struct {
	ref            document.PoolRef
	rows           []*row
	used           []*row  // the subset of this host
	dirty          bool    // the subset must be selected again
	medianLatency  float64 // seconds
	meanLoad       float64 // of the available rows
	localMeanLoad  float64 // of the available rows in the local failure domain
	localAvailable int     // number of available rows in the local failure domain
	domains        []domain
	othersRatio    float64 // load of other hosts for each attempt of this host
}

// domain counts the available rows of a pool in one failure domain.
type domain struct {
	name      ident.FailureDomain
	available int
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

// Offer sets the host list that the next Tick merges; the table keeps the slice
// until then. An empty list is ignored: it is more likely a fault of the list than
// the loss of every upstream.
func (t *Table) Offer(members []Member) {
	if len(members) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingMembers = members
}

// MarkLeaving ends new work for the incarnations of the upstream up to and
// including the given one.
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
		t.dropOldestMark()
	}
	t.marks[upstream] = mark{
		incarnation: incarnation,
		at:          now,
	}
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation <= incarnation && r.state != StateLeaving {
			r.retire(now, StateLeaving)
			r.pool.dirty = true
			r.pool.limitEjected(now)
		}
	}
	return true
}

// dropOldestMark deletes the oldest mark of an upstream without a row.
func (t *Table) dropOldestMark() {
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

// TakeObservations returns the leaving marks that are due to rejected attempts of
// this host since the last call, and clears them. They are to be spread by gossip.
func (t *Table) TakeObservations() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	marks := t.newMarks
	t.newMarks = nil
	return marks
}

// MarkCrashed ejects the incarnations of the upstream up to and including the given
// one. At most a third of a pool is ejected; a row beyond this limit is only chosen
// less often, so that false rumours cannot empty a pool.
func (t *Table) MarkCrashed(upstream ident.UpstreamID, incarnation ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation > incarnation || !r.available() {
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

// RecordLoad records a load report that did not come with a response. A report that
// has expired or is not newer than the last one is ignored.
func (t *Table) RecordLoad(upstream ident.UpstreamID, incarnation ident.Incarnation, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation == incarnation {
			t.recordLoad(now, r, load)
		}
	}
}

func (t *Table) recordLoad(now time.Time, r *row, load Load) {
	if load.At.After(now) {
		load.At = now
	}
	if now.Sub(load.At) > reportExpiry || r.hasReport && !load.At.After(r.report.At) {
		return
	}
	r.hasReport = true
	r.report = load
	r.ownAtReport = float64(t.inFlightAt(r, load.At))
	r.othersAtReport = max(0, float64(load.Running+load.Queued)-r.ownAtReport)
	r.decayReport(now, r.pool.prior(r))
}

// inFlightAt returns this host's in-flight count of the row at the last tick not
// after at, or at the oldest recorded tick.
func (t *Table) inFlightAt(r *row, at time.Time) int {
	oldest := r.inFlight
	for i := range historySize {
		slot := (t.historySlot - i + historySize) % historySize
		if t.tickTimes[slot].IsZero() {
			break
		}
		oldest = int(r.inFlightAtTick[slot])
		if !t.tickTimes[slot].After(at) {
			break
		}
	}
	return oldest
}

// ApplyCacheEvents applies prefix cache events of one incarnation of the upstream,
// in any order. An empty batch confirms that there are no new events. A gap in the
// sequence invalidates the prefixes known before it.
func (t *Table) ApplyCacheEvents(upstream ident.UpstreamID, incarnation ident.Incarnation, events []CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows[upstream] {
		if r.member.Incarnation == incarnation {
			r.cache.apply(t.cfg.Now(), events)
		}
	}
}

// Done ends the lease and records the report of its attempt. A second call for the
// same lease has no effect.
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
		t.recordLoad(now, r, *report.Load)
	}
	t.recordResult(now, r, report)
	if lease.Trial {
		r.trialInFlight = false
		if r.state == StateEjected {
			r.recordTrial(now, report)
		}
	}
}

func (t *Table) recordResult(now time.Time, r *row, report Report) {
	switch result := report.Result.(type) {
	case Completed:
		r.overloads = 0
		if result.Failed {
			r.recordError(now)
			return
		}
		r.errors = 0
		r.cancelledSeconds = 0
		r.recordLatency(now, report.Latency)
	case Overloaded:
		backoff := min(overloadBackoff<<min(r.overloads, 8), overloadBackoffMax)
		r.overloads++
		r.overloadedUntil = now.Add(backoff)
	case Leaving:
		if t.markLeaving(now, r.member.Upstream, r.member.Incarnation) && len(t.newMarks) < marksMax {
			t.newMarks = append(t.newMarks, Mark{
				Upstream:    r.member.Upstream,
				Incarnation: r.member.Incarnation,
			})
		}
	case Lost:
		r.recordError(now)
		r.connectFailed = false
	case NotSent:
		r.recordError(now)
		r.connectFailed = true
	case Cancelled:
		// The latency of a cancelled attempt is a lower bound. Without it, the
		// estimate of a straggler whose attempts all lose to a hedge would never
		// rise. The total time since the last response is used, because hedges
		// cancel attempts so early that each latency alone stays below the
		// ejection limit.
		r.cancelledSeconds += report.Latency.Seconds()
		if r.cancelledSeconds > r.latency && r.latency > 0 {
			r.recordLatency(now, time.Duration(r.cancelledSeconds*float64(time.Second)))
		}
	}
}
