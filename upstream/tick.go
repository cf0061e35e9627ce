package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// subsetSize bounds the rows of a pool that one host uses. domainMax and
	// regionMax bound those in its failure domain and region, so that the subset
	// has rows left if the domain or region fails.
	subsetSize = 64
	domainMax  = 40
	regionMax  = 56

	ejectErrors = 3 // consecutive errors
	// ejectSamples is the number of samples needed for ejection by latency. The
	// mean of 4 samples of an exponential distribution exceeds ejectFactor times its
	// expected value with a probability of 0.2%.
	ejectSamples    = 4
	ejectFactor     = 3     // multiple of the median latency of the pool
	ejectMargin     = 0.020 // least difference from the median latency, in seconds
	ejectShare      = 3     // at most one row in ejectShare is ejected
	ejectBackoff    = 5 * time.Second
	ejectBackoffMax = time.Minute
	// A trial at an upstream that refuses connections runs nothing and costs the
	// request one connection attempt, so trials at such upstreams start sooner.
	connectBackoff    = 500 * time.Millisecond
	connectBackoffMax = 4 * time.Second
	trialFactor       = 2 // multiple of the median latency that a successful trial may take

	rowExpiry    = 30 * time.Second
	markExpiry   = 10 * time.Minute
	errorExpiry  = 10 * time.Second // after this time without a new error, the count drops by one
	latencyStale = 5 * time.Second  // without a sample for this long, the estimate drifts to the median
	latencyDrift = 0.01             // fraction of the difference, per tick
)

// Tick merges the last offered host list, selects subsets, decays load reports,
// ejects and re-admits rows and expires old ones. The caller runs it every 100 ms.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tickCount++
	if t.pendingMembers != nil {
		t.merge(now, t.pendingMembers)
		t.pendingMembers = nil
	}
	t.historySlot = (t.historySlot + 1) % historySize
	t.tickTimes[t.historySlot] = now
	for _, p := range t.pools {
		if p.dirty {
			t.selectRows(now, p)
		}
		for _, r := range p.used {
			r.inFlightAtTick[t.historySlot] = int32(r.inFlight)
		}
		t.updateLoad(now, p)
		p.ejectStragglers(now)
		p.limitEjected(now)
		t.updateStates(now, p)
	}
	t.expire(now)
}

// merge applies a host list. The list may be out of date, so it neither removes a
// leaving mark nor restores a lower incarnation.
func (t *Table) merge(now time.Time, members []Member) {
	t.merges++
	for _, m := range members {
		t.mergeMember(now, m)
	}
	for _, rows := range t.rows {
		for _, r := range rows {
			if r.lastMerge != t.merges && r.state != StateGone && r.state != StateLeaving {
				r.retire(now, StateGone)
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
			found.markListed(t.merges, now)
		}
		// The list is out of date: the listed incarnation has been replaced. The
		// newest incarnation stays in use.
		for _, r := range t.rows[m.Upstream] {
			if r.member.Pool == m.Pool && r.member.Incarnation == newest {
				r.markListed(t.merges, now)
			}
		}
		return
	}
	if found == nil {
		found = t.add(now, m)
	}
	found.markListed(t.merges, now)
	if found.member.Address != m.Address || found.member.Domain != m.Domain || found.member.Region != m.Region {
		found.member.Address = m.Address
		found.member.Domain = m.Domain
		found.member.Region = m.Region
		found.local = m.Domain == t.cfg.Domain
		found.pool.dirty = true
	}
	for _, r := range t.rows[m.Upstream] {
		if r.member.Pool == m.Pool && r.member.Incarnation < m.Incarnation && r.state != StateGone && r.state != StateLeaving {
			r.retire(now, StateGone)
		}
	}
	if m.Leaving {
		t.markLeaving(now, m.Upstream, m.Incarnation)
	}
	marked, ok := t.marks[m.Upstream]
	switch {
	case found.state == StateLeaving:
	case ok && marked.incarnation >= m.Incarnation:
		found.retire(now, StateLeaving)
	case found.state == StateGone:
		found.beginSlowStart(now)
		found.pool.dirty = true
	}
}

func (t *Table) add(now time.Time, m Member) *row {
	p := t.pools[m.Pool]
	if p == nil {
		p = &pool{
			ref:           m.Pool,
			medianLatency: 0.1,
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
	// Upstreams in the first list already serve other hosts; slow start is for
	// those that appear later.
	if t.merges > 1 {
		r.beginSlowStart(now)
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
			// No trial can end the ejection of a row outside the subset.
			r.beginSlowStart(now)
		}
	}
	p.used = append(p.used, candidates...)
	p.domains = p.domains[:0]
	for _, r := range p.used {
		r.domainIndex = slices.IndexFunc(p.domains, func(d domain) bool { return d.name == r.member.Domain })
		if r.domainIndex < 0 {
			r.domainIndex = len(p.domains)
			p.domains = append(p.domains, domain{
				name: r.member.Domain,
			})
		}
	}
}

// subset returns subsetSize rows. It ranks the rows by rendezvous hashing for this
// host within its failure domain, the rest of its region and the other regions, and
// takes the first of each up to domainMax, regionMax and subsetSize rows in total.
// The remaining rows fill the subset if these are too few.
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
	selected := make([]*row, 0, subsetSize)
	rest := make([]*row, 0, len(rows))
	for _, r := range rows {
		if len(selected) < limits[class(r)] {
			selected = append(selected, r)
		} else {
			rest = append(rest, r)
		}
	}
	return append(selected, rest[:min(len(rest), subsetSize-len(selected))]...)
}

// updateLoad updates the statistics of the pool and decays the load reports.
func (t *Table) updateLoad(now time.Time, p *pool) {
	latencies := t.scratch[:0]
	for i := range p.domains {
		p.domains[i].available = 0
	}
	p.localAvailable = 0
	for _, r := range p.used {
		if !r.available() {
			continue
		}
		p.domains[r.domainIndex].available++
		if r.local {
			p.localAvailable++
		}
		if r.latency > 0 {
			latencies = append(latencies, r.latency)
		}
	}
	t.scratch = latencies
	if len(latencies) > 0 {
		slices.Sort(latencies)
		// An even number of values has two middle ones, of which the lower is taken:
		// otherwise the slower of two rows would be the median and never ejected.
		p.medianLatency = latencies[(len(latencies)-1)/2]
	}
	p.updateOthersRatio(now, p.localAvailable > 0)
	// The local rows must come first, since the prior of the others depends on them.
	p.localMeanLoad = p.decayReports(now, true)
	cross := p.decayReports(now, false)
	available := 0
	for _, d := range p.domains {
		available += d.available
	}
	p.meanLoad = (p.localMeanLoad*float64(p.localAvailable) + cross*float64(available-p.localAvailable)) / float64(max(1, available))
}

// updateOthersRatio updates the ratio of the load of other hosts to that of this
// host. It uses the local rows if there are any, because elsewhere this host's part
// of the load is small.
func (p *pool) updateOthersRatio(now time.Time, local bool) {
	var others, totalWeight, own, n float64
	for _, r := range p.used {
		if local && (!r.local || !r.available()) {
			continue
		}
		own += float64(r.inFlight)
		n++
		if r.hasReport {
			weight := p.reportWeight(now.Sub(r.report.At))
			others += r.othersAtReport * weight
			totalWeight += weight
		}
	}
	p.othersRatio = 0
	if totalWeight > 0 {
		p.othersRatio = others / totalWeight / (own/n + 1)
	}
}

// decayReports decays the reports of the rows inside or outside the local failure
// domain and returns the mean load of the available ones.
func (p *pool) decayReports(now time.Time, local bool) float64 {
	var load, n float64
	for _, r := range p.used {
		if r.local != local {
			continue
		}
		r.decayReport(now, p.prior(r))
		if r.available() {
			load += float64(r.inFlight) + r.othersLoad()
			n++
		}
	}
	return load / max(1, n)
}

// prior returns the load of other hosts expected on a row without reports. Callers
// are spread evenly over the failure domains, so the upstreams of another domain are
// expected to have the same total load as the local ones.
func (p *pool) prior(r *row) float64 {
	if r.local || p.localMeanLoad == 0 {
		return p.othersRatio
	}
	return p.localMeanLoad * float64(p.localAvailable) / float64(max(1, p.domains[r.domainIndex].available))
}

// ejectStragglers ejects the failing rows and those far slower than the median,
// worst first.
func (p *pool) ejectStragglers(now time.Time) {
	for {
		var worst *row
		var badness float64
		for _, r := range p.used {
			if !r.available() {
				continue
			}
			bad := 0.0
			if r.samples >= ejectSamples && r.latency > ejectFactor*p.medianLatency && r.latency > p.medianLatency+ejectMargin {
				bad = r.latency / p.medianLatency
			}
			if r.failing() {
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

// ejectionCounts returns the pool size against which ejections are limited, and the
// number of ejected rows.
func (p *pool) ejectionCounts() (counted, ejected int) {
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

// eject ejects the row unless the limit on ejected rows has been reached, and
// reports whether it did.
func (p *pool) eject(now time.Time, r *row) bool {
	counted, ejected := p.ejectionCounts()
	if !r.inUse || (ejected+1)*ejectShare > counted {
		return false
	}
	r.state = StateEjected
	r.ejectedAt = now
	r.scheduleTrial(now)
	return true
}

// scheduleTrial sets the time of the next trial, with exponential backoff over
// consecutive ejections and failed trials.
func (r *row) scheduleTrial(now time.Time) {
	backoff, limit := ejectBackoff, ejectBackoffMax
	if r.connectFailed {
		backoff, limit = connectBackoff, connectBackoffMax
	}
	r.nextTrial = now.Add(min(backoff<<min(r.ejections, 8), limit))
	r.ejections++
}

// limitEjected re-admits the rows that were ejected first while too many are
// ejected, which happens when other rows leave the pool.
func (p *pool) limitEjected(now time.Time) {
	for {
		counted, ejected := p.ejectionCounts()
		if ejected*ejectShare <= counted {
			return
		}
		var oldest *row
		for _, r := range p.used {
			if r.state == StateEjected && (oldest == nil || r.ejectedAt.Before(oldest.ejectedAt)) {
				oldest = r
			}
		}
		oldest.beginSlowStart(now)
	}
}

// recordTrial re-admits an ejected row after a successful trial, and schedules
// another trial otherwise.
func (r *row) recordTrial(now time.Time, report Report) {
	switch result := report.Result.(type) {
	case Completed:
		fast := report.Latency.Seconds() <= max(trialFactor*r.pool.medianLatency, r.pool.medianLatency+ejectMargin)
		if fast && !result.Failed {
			r.beginSlowStart(now)
			r.recordLatency(now, report.Latency)
			return
		}
		r.scheduleTrial(now)
	case Cancelled, Overloaded:
		r.nextTrial = now.Add(ejectBackoff)
	case Lost, NotSent, Leaving:
		r.scheduleTrial(now)
	}
}

// updateStates ends slow starts, and decays ejections, error counts and latency
// estimates that have not been confirmed recently.
func (t *Table) updateStates(now time.Time, p *pool) {
	for _, r := range p.used {
		switch r.state {
		case StateStarting:
			if now.Sub(r.slowStartAt) >= slowStart {
				r.state = StateLive
			}
		case StateLive:
			if r.ejections > 0 && now.Sub(r.ejectedAt) > 2*ejectBackoffMax {
				r.ejections = 0
			}
		case StateEjected:
			// There has been no repeatable work to use as a trial.
			if !r.trialInFlight && now.Sub(r.nextTrial) > 2*ejectBackoffMax {
				r.beginSlowStart(now)
			}
		case StateLeaving, StateGone:
		}
		if r.errors > 0 && now.Sub(r.failedAt) > errorExpiry {
			r.errors--
			r.failedAt = now
		}
		if r.latency > 0 && now.Sub(r.measuredAt) > latencyStale {
			r.latency += latencyDrift * (p.medianLatency - r.latency)
		}
	}
}

// expire removes leaving and gone rows that have nothing in flight, and old marks of
// upstreams without a row.
func (t *Table) expire(now time.Time) {
	if t.tickCount%10 != 0 {
		return
	}
	for _, p := range t.pools {
		expired := func(r *row) bool {
			retired := r.state == StateGone || r.state == StateLeaving
			return retired && r.inFlight == 0 && now.Sub(r.retiredAt) > rowExpiry && now.Sub(r.listedAt) > rowExpiry
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
