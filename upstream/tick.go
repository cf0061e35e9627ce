package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// subsetSize bounds the rows of a pool that one host uses; domainMax and
	// regionMax keep room for rows that survive the failure domain or region.
	subsetSize = 64
	domainMax  = 40
	regionMax  = 56

	ejectErrors  = 3 // consecutive errors
	ejectSamples = 4 // of exponential latencies, 0.2% have a mean over ejectFactor
	ejectFactor  = 3 // times the pool's median latency
	ejectGap     = 0.020
	ejectShare   = 3 // at most one in so many
	ejectHold    = 5 * time.Second
	ejectHoldMax = time.Minute
	// A trial at an upstream that refuses connections runs nothing and costs its
	// request one connect, so such upstreams are tried sooner.
	connectHold    = 500 * time.Millisecond
	connectHoldMax = 4 * time.Second
	trialFactor    = 2 // times the pool's median latency

	rowExpiry    = 30 * time.Second
	markExpiry   = 10 * time.Minute
	errorExpiry  = 10 * time.Second // without a new error, one is forgiven
	latencyStale = 5 * time.Second  // without a sample, the estimate tends to the median
	latencyDrift = 0.01             // per tick
)

// Tick runs the systems once; it is called every 100 ms.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes++
	if t.offered != nil {
		t.merge(now, t.offered)
		t.offered = nil
	}
	t.tick = (t.tick + 1) % historySize
	t.ticks[t.tick] = now
	for _, p := range t.pools {
		if p.dirty {
			t.selectRows(now, p)
		}
		for _, r := range p.used {
			r.history[t.tick] = int32(r.inFlight)
		}
		t.measure(now, p)
		p.ejectStragglers(now)
		p.limit(now)
		t.advance(now, p)
	}
	t.expire(now)
}

// merge applies a reading of the host list. The list lags, so it neither removes
// a leaving mark nor brings back a lower incarnation.
func (t *Table) merge(now time.Time, members []Member) {
	t.merges++
	for _, m := range members {
		t.mergeMember(now, m)
	}
	for _, rows := range t.rows {
		for _, r := range rows {
			if r.merge != t.merges && r.state != StateGone && r.state != StateLeaving {
				r.end(now, StateGone)
				r.pool.dirty = true
			}
		}
	}
}

func (t *Table) mergeMember(now time.Time, m Member) {
	var found *row
	newest := ident.Incarnation(0)
	for _, r := range t.rows[m.Upstream] {
		if r.member.Pool != m.Pool {
			continue
		}
		newest = max(newest, r.member.Incarnation)
		if r.member.Incarnation == m.Incarnation {
			found = r
		}
	}
	if m.Incarnation < newest {
		if found != nil {
			found.list(t.merges, now)
		}
		// The listed incarnation has been replaced; the list lags. The
		// replacement stays in use.
		for _, r := range t.rows[m.Upstream] {
			if r.member.Pool == m.Pool && r.member.Incarnation == newest {
				r.list(t.merges, now)
			}
		}
		return
	}
	if found == nil {
		found = t.add(now, m)
	}
	found.list(t.merges, now)
	if found.member.Address != m.Address || found.member.Domain != m.Domain || found.member.Region != m.Region {
		found.member.Address = m.Address
		found.member.Domain = m.Domain
		found.member.Region = m.Region
		found.local = m.Domain == t.cfg.Domain
		found.pool.dirty = true
	}
	for _, r := range t.rows[m.Upstream] {
		if r.member.Pool == m.Pool && r.member.Incarnation < m.Incarnation && r.state != StateGone && r.state != StateLeaving {
			r.end(now, StateGone)
		}
	}
	if m.Leaving {
		t.markLeaving(now, m.Upstream, m.Incarnation)
	}
	marked, ok := t.marks[m.Upstream]
	switch {
	case found.state == StateLeaving:
	case ok && marked.incarnation >= m.Incarnation:
		found.end(now, StateLeaving)
	case found.state == StateGone:
		found.begin(now)
		found.pool.dirty = true
	}
}

func (t *Table) add(now time.Time, m Member) *row {
	p := t.pools[m.Pool]
	if p == nil {
		p = &pool{
			ref:    m.Pool,
			median: 0.1,
		}
		t.pools[m.Pool] = p
	}
	r := &row{
		pool:   p,
		member: m,
		hash:   xxhash.Sum64String(string(m.Upstream)),
		state:  StateLive,
		local:  m.Domain == t.cfg.Domain,
	}
	// The first list holds upstreams that serve other hosts already; slow start
	// is for those that appear later.
	if t.merges > 1 {
		r.begin(now)
	}
	p.rows = append(p.rows, r)
	p.dirty = true
	t.rows[m.Upstream] = append(t.rows[m.Upstream], r)
	return r
}

// selectRows selects the rows of the pool that this host uses.
func (t *Table) selectRows(now time.Time, p *pool) {
	p.dirty = false
	p.used = p.used[:0]
	candidates := make([]*row, 0, len(p.rows))
	for _, r := range p.rows {
		if r.state != StateLeaving && r.state != StateGone {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) > subsetSize {
		candidates = t.subset(candidates)
	}
	chosen := make(map[*row]bool, len(candidates))
	for _, r := range candidates {
		chosen[r] = true
	}
	for _, r := range p.rows {
		r.inUse = chosen[r]
		if r.state == StateEjected && !r.inUse {
			// The row is no longer judged, so its ejection cannot end by a trial.
			r.begin(now)
		}
	}
	p.used = append(p.used, candidates...)
	p.domains = p.domains[:0]
	for _, r := range p.used {
		r.place = slices.IndexFunc(p.domains, func(d domain) bool { return d.name == r.member.Domain })
		if r.place < 0 {
			r.place = len(p.domains)
			p.domains = append(p.domains, domain{
				name: r.member.Domain,
			})
		}
	}
}

// subset ranks the rows by rendezvous hashing for this host within the failure
// domain, the region and the rest, and takes the first of each.
func (t *Table) subset(rows []*row) []*row {
	class := func(r *row) int {
		switch {
		case r.local:
			return 0
		case r.member.Region == t.cfg.Region:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(rows, func(a, b *row) int {
		if ca, cb := class(a), class(b); ca != cb {
			return ca - cb
		}
		switch ra, rb := rendezvous(t.seed, a.hash), rendezvous(t.seed, b.hash); {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		default:
			return 0
		}
	})
	limits := [3]int{domainMax, regionMax, subsetSize}
	taken := make([]*row, 0, subsetSize)
	rest := make([]*row, 0, len(rows))
	for _, r := range rows {
		if len(taken) < limits[class(r)] {
			taken = append(taken, r)
		} else {
			rest = append(rest, r)
		}
	}
	return append(taken, rest[:min(len(rest), subsetSize-len(taken))]...)
}

// measure updates the figures over the pool and decays the load reports.
func (t *Table) measure(now time.Time, p *pool) {
	latencies := t.scratch[:0]
	for i := range p.domains {
		p.domains[i].open = 0
	}
	p.locals = 0
	for _, r := range p.used {
		if !r.open() {
			continue
		}
		p.domains[r.place].open++
		if r.local {
			p.locals++
		}
		if r.latency > 0 {
			latencies = append(latencies, r.latency)
		}
	}
	t.scratch = latencies
	if len(latencies) > 0 {
		slices.Sort(latencies)
		// Of an even number the lower one: of two, the slow one would else be the
		// median and never a straggler.
		p.median = latencies[(len(latencies)-1)/2]
	}
	p.compareHosts(now, p.locals > 0)
	// The local rows come first, since the prior of the others depends on them.
	p.local = p.decay(now, true)
	cross := p.decay(now, false)
	open := 0
	for _, d := range p.domains {
		open += d.open
	}
	p.load = (p.local*float64(p.locals) + cross*float64(open-p.locals)) / float64(max(1, open))
}

// compareHosts updates the ratio of the load of other hosts to that of this one,
// over the local rows if there are any: elsewhere this host's own part is small.
func (p *pool) compareHosts(now time.Time, local bool) {
	var others, trusted, own, n float64
	for _, r := range p.used {
		if local && (!r.local || !r.open()) {
			continue
		}
		own += float64(r.inFlight)
		n++
		if r.reported {
			trust := p.trust(now.Sub(r.report.At))
			others += r.others * trust
			trusted += trust
		}
	}
	p.ratio = 0
	if trusted > 0 {
		p.ratio = others / trusted / (own/n + 1)
	}
}

// decay decays the reports of the rows inside or outside the local failure
// domain and returns the mean load of those that are open.
func (p *pool) decay(now time.Time, local bool) float64 {
	var load, n float64
	for _, r := range p.used {
		if r.local != local {
			continue
		}
		r.decay(now, p.prior(r))
		if r.open() {
			load += float64(r.inFlight) + r.foreign()
			n++
		}
	}
	return load / max(1, n)
}

// prior returns the load of other hosts on a row without reports. Callers are
// spread evenly over the failure domains, so upstreams elsewhere are expected to
// have the load of the local ones, corrected for their number.
func (p *pool) prior(r *row) float64 {
	if r.local || p.local == 0 {
		return p.ratio
	}
	return p.local * float64(p.locals) / float64(max(1, p.domains[r.place].open))
}

// ejectStragglers ejects the rows that fail in succession or are far slower than
// the median, worst first.
func (p *pool) ejectStragglers(now time.Time) {
	for {
		var worst *row
		var badness float64
		for _, r := range p.used {
			if !r.open() {
				continue
			}
			bad := 0.0
			if r.samples >= ejectSamples && r.latency > ejectFactor*p.median && r.latency > p.median+ejectGap {
				bad = r.latency / p.median
			}
			if r.suspect() {
				bad = math.Inf(1)
			}
			if bad > badness {
				worst = r
				badness = bad
			}
		}
		if worst == nil || !p.eject(now, worst) {
			return
		}
	}
}

// counts returns the number of rows that limit the ejected ones, and of these.
func (p *pool) counts() (counted, ejected int) {
	for _, r := range p.used {
		if r.counted() {
			counted++
		}
		if r.counted() && r.state == StateEjected {
			ejected++
		}
	}
	return counted, ejected
}

// eject reports whether the limit left room to eject the row.
func (p *pool) eject(now time.Time, r *row) bool {
	counted, ejected := p.counts()
	if !r.inUse || (ejected+1)*ejectShare > counted {
		return false
	}
	r.state = StateEjected
	r.ejected = now
	r.suspend(now)
	return true
}

// suspend sets the time of the next trial, later after each failed one.
func (r *row) suspend(now time.Time) {
	hold, most := ejectHold, ejectHoldMax
	if r.refuses {
		hold, most = connectHold, connectHoldMax
	}
	r.retrial = now.Add(min(hold<<min(r.ejections, 8), most))
	r.ejections++
}

// limit re-admits the rows ejected longest ago while too many are ejected, which
// happens when other rows leave.
func (p *pool) limit(now time.Time) {
	for {
		counted, ejected := p.counts()
		if ejected*ejectShare <= counted {
			return
		}
		var oldest *row
		for _, r := range p.used {
			if r.state == StateEjected && (oldest == nil || r.ejected.Before(oldest.ejected)) {
				oldest = r
			}
		}
		oldest.begin(now)
	}
}

// judge re-admits an ejected row after a good trial.
func (r *row) judge(now time.Time, report Report) {
	switch result := report.Result.(type) {
	case Completed:
		fast := report.Latency.Seconds() <= max(trialFactor*r.pool.median, r.pool.median+ejectGap)
		if fast && !result.Failed {
			r.begin(now)
			r.observe(now, report.Latency)
			return
		}
		r.suspend(now)
	case Cancelled, Overloaded:
		r.retrial = now.Add(ejectHold)
	case Lost, NotSent, Leaving:
		r.suspend(now)
	}
}

// advance ends slow starts and forgets what is no longer confirmed.
func (t *Table) advance(now time.Time, p *pool) {
	for _, r := range p.used {
		switch r.state {
		case StateStarting:
			if now.Sub(r.starts) >= slowStart {
				r.state = StateLive
			}
		case StateLive:
			if r.ejections > 0 && now.Sub(r.ejected) > 2*ejectHoldMax {
				r.ejections = 0
			}
		case StateEjected:
			// No repeatable work came that could serve as a trial.
			if !r.trial && now.Sub(r.retrial) > 2*ejectHoldMax {
				r.begin(now)
			}
		case StateLeaving, StateGone:
		}
		if r.errors > 0 && now.Sub(r.failedAt) > errorExpiry {
			r.errors--
			r.failedAt = now
		}
		if r.latency > 0 && now.Sub(r.measured) > latencyStale {
			r.latency += latencyDrift * (p.median - r.latency)
		}
	}
}

// expire removes rows that have ended and have nothing in flight, and old marks
// of upstreams without a row.
func (t *Table) expire(now time.Time) {
	if t.changes%10 != 0 {
		return
	}
	for _, p := range t.pools {
		expired := func(r *row) bool {
			ended := r.state == StateGone || r.state == StateLeaving
			return ended && r.inFlight == 0 && now.Sub(r.ended) > rowExpiry && now.Sub(r.listed) > rowExpiry
		}
		if !slices.ContainsFunc(p.rows, expired) {
			continue
		}
		p.dirty = true
		p.rows = slices.DeleteFunc(p.rows, func(r *row) bool {
			if !expired(r) {
				return false
			}
			id := r.member.Upstream
			t.rows[id] = slices.DeleteFunc(t.rows[id], func(o *row) bool { return o == r })
			if len(t.rows[id]) == 0 {
				delete(t.rows, id)
			}
			return true
		})
		if len(p.rows) == 0 {
			delete(t.pools, p.ref)
		}
	}
	for upstream, m := range t.marks {
		if len(t.rows[upstream]) == 0 && now.Sub(m.at) > markExpiry {
			delete(t.marks, upstream)
		}
	}
}
