package upstream

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// scanMax is the largest number of candidates that are all compared; of
	// more, two are sampled, so that hosts with equal reports choose differently.
	scanMax = 16
	// crossFactor is how many times longer the local completion must be before
	// another failure domain is considered, whatever its price.
	crossFactor = 2
	// cachedFactor and hashedFactor scale the expected completion at an upstream
	// that is known, or expected by hashing, to hold the prefix.
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
	Within     time.Duration       // longest expected completion, as for a hedge; 0: any
	Avoid      ident.FailureDomain // used only if there is no other; empty: none
}

// Choose returns a lease on the upstream with the least expected completion time
// and price, ErrNoUpstream, or ErrOverloaded if all that remain are overloaded or
// slower than the query permits.
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
	// Local candidates are collected from the front, others from the back.
	var places [subsetSize]*row
	front, back := 0, len(places)
	overloaded := false
	for _, r := range p.used {
		if slices.Contains(q.Exclude, r.member.Upstream) || q.Avoid != "" && r.member.Domain == q.Avoid {
			continue
		}
		switch {
		case r.state == StateEjected && q.Repeatable && q.Within == 0 && !r.trial && !now.Before(r.retrial):
			r.trial = true
			return lease(r, true), nil
		case !r.open():
		case now.Before(r.held):
			overloaded = true
		case r.local:
			places[front] = r
			front++
		default:
			back--
			places[back] = r
		}
	}
	if front == 0 && back == len(places) {
		if overloaded {
			return Lease{}, errors.Annotatef(ErrOverloaded, "choosing in %s/%s", q.Pool.Service, q.Pool.Pool)
		}
		return Lease{}, errors.Annotatef(ErrNoUpstream, "choosing in %s/%s", q.Pool.Service, q.Pool.Pool)
	}
	local, localTime := t.best(now, q.Prefix, places[:front])
	cross, crossTime := t.best(now, q.Prefix, places[back:])
	chosen, expected := local, localTime
	if local == nil || cross != nil && q.worthCrossing(local, localTime, cross, crossTime) {
		chosen, expected = cross, crossTime
	}
	// Nothing is expected of an upstream that has not been measured.
	if q.Within > 0 && chosen.latency > 0 && expected > q.Within.Seconds() {
		return Lease{}, errors.Annotatef(ErrOverloaded, "choosing in %s/%s within %s", q.Pool.Service, q.Pool.Pool, q.Within)
	}
	return lease(chosen, false), nil
}

// worthCrossing compares the best candidates within and outside the local
// failure domain. A local upstream that fails in succession has no advantage.
func (q Query) worthCrossing(local *row, localTime float64, cross *row, crossTime float64) bool {
	if local.suspect() && !cross.suspect() {
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

// best returns the candidate with the least expected completion, in seconds.
func (t *Table) best(now time.Time, prefix Prefix, candidates []*row) (*row, float64) {
	if len(candidates) == 0 {
		return nil, 0
	}
	var hashed *row
	known := false
	if prefix != 0 {
		hashed, known = prefer(now, prefix, candidates)
	}
	var least *row
	var time float64
	consider := func(r *row) {
		expected := r.completion(now)
		switch {
		case known && r.cache.holds(now, prefix):
			expected *= cachedFactor
		case !known && r == hashed:
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
		// A random start breaks ties differently on each host.
		for i := range n {
			consider(candidates[(first+i)%n])
		}
		return least, time
	}
	consider(candidates[first])
	consider(candidates[(first+1+t.cfg.Random.IntN(n-1))%n])
	switch {
	case known:
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

// prefer returns the candidate that the prefix hashes to, or reports that some
// candidates are known to hold it.
func prefer(now time.Time, prefix Prefix, candidates []*row) (hashed *row, known bool) {
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
