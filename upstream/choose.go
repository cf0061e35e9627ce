package upstream

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// scanMax is the largest number of candidates that are all compared. From a
	// larger set two are sampled, so that hosts with equal reports choose
	// differently.
	scanMax = 16
	// crossFactor is how many times longer the expected completion in the local
	// failure domain must be before another one is considered, whatever the price.
	crossFactor = 2
	// cachedFactor and hashedFactor scale the expected completion time at an
	// upstream that is known, or expected by hashing, to hold the prefix.
	cachedFactor = 0.5
	hashedFactor = 0.7
)

// Query describes the attempt for which an upstream is chosen.
type Query struct {
	Pool       document.PoolRef
	Prefix     Prefix
	Exclude    []ident.UpstreamID
	Weight     float64             // attainment weight of the service, 0..1
	CrossCost  float64             // price of an attempt in another failure domain
	Cost       float64             // price of one second at the stage; 0 means 1
	Repeatable bool                // idempotent work; only such work is used for trials
	Within     time.Duration       // limit on the expected completion time, as for a hedge; 0: no limit
	Avoid      ident.FailureDomain // chosen only if no other domain has an upstream; empty: none
}

// Choose returns a lease on the upstream with the least expected completion time,
// weighed against the price of another failure domain. The error is ErrNoUpstream,
// or ErrOverloaded if all upstreams that may be chosen are overloaded or slower than
// q.Within. Each lease must be ended by Done.
func (t *Table) Choose(now time.Time, q Query) (Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Avoid != "" {
		if found, err := t.choose(now, q); err == nil {
			return found, nil
		}
		q.Avoid = ""
	}
	return t.choose(now, q)
}

func (t *Table) choose(now time.Time, q Query) (Lease, error) {
	p := t.pools[q.Pool]
	if p == nil {
		return Lease{}, errors.Annotatef(ErrNoUpstream, "choosing in %s/%s", q.Pool.Service, q.Pool.Pool)
	}
	// Local candidates fill the array from the front, others from the back.
	var candidates [subsetSize]*row
	front, back := 0, len(candidates)
	overloaded := false
	for _, r := range p.used {
		if slices.Contains(q.Exclude, r.member.Upstream) || q.Avoid != "" && r.member.Domain == q.Avoid {
			continue
		}
		switch {
		case r.state == StateEjected && q.Repeatable && q.Within == 0 && !r.trialInFlight && !now.Before(r.nextTrial):
			r.trialInFlight = true
			return lease(r, true), nil
		case !r.available():
		case now.Before(r.overloadedUntil):
			overloaded = true
		case r.local:
			candidates[front] = r
			front++
		default:
			back--
			candidates[back] = r
		}
	}
	if front == 0 && back == len(candidates) {
		if overloaded {
			return Lease{}, errors.Annotatef(ErrOverloaded, "choosing in %s/%s", q.Pool.Service, q.Pool.Pool)
		}
		return Lease{}, errors.Annotatef(ErrNoUpstream, "choosing in %s/%s", q.Pool.Service, q.Pool.Pool)
	}
	local, localTime := t.best(now, q.Prefix, candidates[:front])
	cross, crossTime := t.best(now, q.Prefix, candidates[back:])
	chosen, expected := local, localTime
	if local == nil || cross != nil && q.preferCross(local, localTime, cross, crossTime) {
		chosen, expected = cross, crossTime
	}
	// The limit does not apply to an upstream whose latency has not been measured.
	if q.Within > 0 && chosen.latency > 0 && expected > q.Within.Seconds() {
		return Lease{}, errors.Annotatef(ErrOverloaded, "choosing in %s/%s within %s", q.Pool.Service, q.Pool.Pool, q.Within)
	}
	return lease(chosen, false), nil
}

// preferCross reports whether the best candidate outside the local failure domain
// is preferred to the best one in it. A failing local candidate has no advantage
// over a candidate that is not failing.
func (q Query) preferCross(local *row, localTime float64, cross *row, crossTime float64) bool {
	if local.failing() && !cross.failing() {
		return localTime > crossTime
	}
	if localTime <= crossTime*crossFactor {
		return false
	}
	cost := q.Cost
	if cost <= 0 {
		cost = 1
	}
	return (localTime-crossTime)*cost > q.CrossCost*(1-q.Weight)
}

// best returns the candidate with the least expected completion time, and this time
// in seconds.
func (t *Table) best(now time.Time, prefix Prefix, candidates []*row) (*row, float64) {
	if len(candidates) == 0 {
		return nil, 0
	}
	var hashed *row
	cached := false
	if prefix != 0 {
		hashed, cached = hashedCandidate(now, prefix, candidates)
	}
	var least *row
	var time float64
	consider := func(r *row) {
		expected := r.expectedCompletion(now)
		switch {
		case cached && r.cache.holds(now, prefix):
			expected *= cachedFactor
		case !cached && r == hashed:
			expected *= hashedFactor
		}
		if least == nil || expected < time {
			least = r
			time = expected
		}
	}
	n := len(candidates)
	first := t.cfg.Random.IntN(n)
	if n <= scanMax {
		// Starting at a random candidate breaks ties differently on each host.
		for i := range n {
			consider(candidates[(first+i)%n])
		}
		return least, time
	}
	consider(candidates[first])
	consider(candidates[(first+1+t.cfg.Random.IntN(n-1))%n])
	switch {
	case cached:
		for _, r := range candidates {
			if r.cache.holds(now, prefix) {
				consider(r)
			}
		}
	case hashed != nil:
		consider(hashed)
	}
	return least, time
}

// hashedCandidate returns the candidate that the prefix hashes to. If any candidate
// is known to hold the prefix, it returns nil and true.
func hashedCandidate(now time.Time, prefix Prefix, candidates []*row) (hashed *row, cached bool) {
	var rank uint64
	for _, r := range candidates {
		if r.cache.holds(now, prefix) {
			return nil, true
		}
		if score := rendezvous(uint64(prefix), r.hash); hashed == nil || score > rank {
			hashed = r
			rank = score
		}
	}
	return hashed, false
}

// lease returns a lease on the row and counts its attempt as in flight.
func lease(r *row, trial bool) Lease {
	r.inFlight++
	return Lease{
		Pool:        r.member.Pool,
		Upstream:    r.member.Upstream,
		Incarnation: r.member.Incarnation,
		Address:     r.member.Address,
		Domain:      r.member.Domain,
		Cross:       !r.local,
		Trial:       trial,
		attempt: &attempt{
			row: r,
		},
	}
}
