package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

const (
	// latencyWeight is the weight of a request in the moving average of latency.
	latencyWeight = 0.2
	// shortBreak is the time without new requests after an upstream is full,
	// longBreak after it failed; the latter doubles up to maxBreak.
	shortBreak = 50 * time.Millisecond
	longBreak  = 300 * time.Millisecond
	maxBreak   = 4 * time.Second
	// crossing is the cost of another failure domain, in requests in flight.
	crossing = 1.5
	// youth is how long after its start an upstream may lack what the others have
	// read; requests that share something rarely come less often.
	youth = 20 * time.Second
	// affinity is the advantage of the upstream that a prompt prefers, in
	// requests in flight.
	affinity = 20.0
)

// Query says what an upstream is needed for.
type Query struct {
	Service  ident.ServiceName
	Domain   ident.FailureDomain // where the upstream should be
	Affinity uint64              // hash of what requests share; 0 is nothing
	Exclude  map[ident.UpstreamID]bool
}

// Ending says how an upstream handled a request.
type Ending uint8

// The endings of a request.
const (
	Served Ending = iota + 1
	Full          // it refused the request, which did not run
	Failed        // it failed, or did not answer
	Left          // the caller left, or the time was over
)

// row is what this host knows about an upstream.
type row struct {
	started ident.Incarnation
	flight  int
	latency time.Duration // moving average until the first byte of an answer
	broken  time.Duration // length of the last break; 0 while requests succeed
	resume  time.Time     // when the break ends
}

// Chooser chooses upstreams.
type Chooser struct {
	now    func() time.Time
	random func() float64

	mu   sync.Mutex
	rows map[ident.UpstreamID]*row
}

// New returns a chooser that knows nothing; random returns numbers from 0 to 1.
func New(now func() time.Time, random func() float64) *Chooser {
	return &Chooser{
		now:    now,
		random: random,
		rows:   make(map[ident.UpstreamID]*row),
	}
}

// Choose returns an upstream and counts a request in flight at it, until Done.
func (c *Chooser) Choose(query Query, snapshot *fleet.Snapshot) (fleet.Upstream, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var best fleet.Upstream
	lowest, found := 0.0, false
	preferred, _ := Preferred(query, snapshot)
	for _, upstream := range snapshot.Ready(query.Service) {
		if query.Exclude[upstream.ID] {
			continue
		}
		cost := c.row(upstream).cost(now)
		if upstream.Domain != query.Domain {
			cost += crossing
		}
		if upstream.ID == preferred.ID {
			cost -= affinity
		}
		cost += c.random() / 2 // hosts that know the same spread their requests
		if !found || cost < lowest {
			best, lowest, found = upstream, cost, true
		}
	}
	if found {
		c.row(best).flight++
	}
	return best, found
}

// Done takes the end of a request that Choose placed; latency is that until the
// first byte of the answer, 0 if there was none.
func (c *Chooser) Done(upstream fleet.Upstream, ending Ending, latency time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(upstream)
	r.flight = max(0, r.flight-1)
	if latency > 0 {
		if r.latency == 0 {
			r.latency = latency
		}
		r.latency += time.Duration(latencyWeight * float64(latency-r.latency))
	}
	switch ending {
	case Served:
		r.broken = 0
		r.resume = time.Time{}
	case Full:
		r.resume = now.Add(shortBreak)
	case Failed:
		r.broken = min(max(2*r.broken, longBreak), maxBreak)
		r.resume = now.Add(r.broken)
	case Left:
	}
}

func (c *Chooser) row(upstream fleet.Upstream) *row {
	r, ok := c.rows[upstream.ID]
	if !ok || r.started != upstream.Started {
		r = &row{
			started: upstream.Started,
		}
		c.rows[upstream.ID] = r
	}
	return r
}

// cost grows with the work in flight; an upstream in a break is the last resort.
func (r *row) cost(now time.Time) float64 {
	const avoided = 1e3 // beyond any number of requests in flight
	cost := float64(r.flight)
	if now.Before(r.resume) {
		cost += avoided + float64(r.resume.Sub(now).Milliseconds())
	}
	return cost
}

// Preferred returns the upstream with the highest rendezvous hash for what
// requests share; there is none if they share nothing.
func Preferred(query Query, snapshot *fleet.Snapshot) (fleet.Upstream, bool) {
	return highest(query.Affinity, snapshot.Ready(query.Service))
}

// highest returns the upstream with the highest rendezvous hash for a key.
func highest(key uint64, list []fleet.Upstream) (fleet.Upstream, bool) {
	if key == 0 || len(list) == 0 {
		return fleet.Upstream{}, false
	}
	return slices.MaxFunc(list, func(a, b fleet.Upstream) int {
		return cmp.Compare(mix(a.ID, key), mix(b.ID, key))
	}), true
}

// Keeper returns an upstream that has probably read what a request shares with
// others, if to has probably not: the preferred one, or the one that was
// preferred before to started or before an upstream began to drain.
func Keeper(query Query, snapshot *fleet.Snapshot, to fleet.Upstream, now time.Time) (fleet.Upstream, bool) {
	var others []fleet.Upstream
	for _, upstream := range snapshot.All() {
		if upstream.Service == query.Service && upstream.ID != to.ID {
			others = append(others, upstream)
		}
	}
	keeper, ok := highest(query.Affinity, others)
	if !ok {
		return fleet.Upstream{}, false
	}
	young := now.Sub(time.UnixMilli(int64(to.Started))) < youth
	return keeper, young || mix(keeper.ID, query.Affinity) > mix(to.ID, query.Affinity)
}

// mix is the rendezvous hash of an upstream for a key.
func mix(id ident.UpstreamID, key uint64) uint64 {
	score := xxhash.Sum64String(string(id)) ^ key
	score *= 0x9e3779b97f4a7c15
	return score ^ score>>32
}
