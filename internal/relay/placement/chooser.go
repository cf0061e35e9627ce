package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// fullBackoff is the time without new requests after an upstream was full,
	// minFailureBackoff after it failed or was not found at its address; the latter
	// doubles with each further failure, up to maxFailureBackoff.
	fullBackoff       = 50 * time.Millisecond
	minFailureBackoff = 300 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// warmupTime is how long after its start an upstream may lack prefixes that the
	// others have read; requests with the same prefix rarely arrive less often.
	warmupTime = 20 * time.Second
)

// Query describes the request that an upstream is needed for.
type Query struct {
	Service ident.ServiceName
	Domain  ident.FailureDomain // preferred domain of the upstream
	Bytes   int64               // size of the results that the upstream reads from Domain
	Prompt  wire.Prompt         // zero value if the request has none
	Shared  SharedPrefix
	Release fleet.Release             // that the upstream must have; empty if any
	Held    []fleet.Release           // releases whose upstreams must not be chosen, but may be proposed
	Exclude map[ident.UpstreamID]bool // upstreams that must not be chosen
	Cold    ColdRate                  // limit of requests to cold upstreams
	Homes   [][]ident.Region          // lists of regions, each of which must have the upstream's
}

// allows reports whether an upstream may be chosen. If there are homes, one whose region is
// not known may not.
func (q Query) allows(upstream fleet.Upstream) bool {
	if q.Exclude[upstream.ID] || q.Release != "" && upstream.Release != q.Release {
		return false
	}
	for _, homes := range q.Homes {
		if !slices.Contains(homes, upstream.Region) {
			return false
		}
	}
	return true
}

// SharedPrefix is the prefix of a prompt that other requests share.
type SharedPrefix struct {
	Key    uint64 // hash of its last part; 0 if nothing is shared
	Tokens int
}

// Placed is a request in flight at an upstream.
type Placed struct {
	fleet.Upstream
	Cache  fleet.Upstream // has probably read more of the prompt; without an ID if there is none
	prompt []prefix       // nil once it has been read
	unread int            // tokens of the prompt that are still to be read
}

// Ending is the outcome of a request at an upstream. Its numbers are sent to other
// hosts.
type Ending uint8

// The outcomes of a request.
const (
	Served      Ending = iota + 1
	Full               // the upstream refused the request, which did not run
	Failed             // the upstream failed or did not respond
	Abandoned          // the caller closed the connection, or the deadline passed
	Misdirected        // another upstream has the address; the request did not run
)

// upstreamState is what this host knows about an upstream.
type upstreamState struct {
	incarnation  ident.Incarnation
	inFlight     int
	unread       int           // prompt tokens that it has not read yet
	pace         time.Duration // moving average of the paces given to Done; 0 if unknown
	measuredAt   time.Time     // time of the latest pace
	backoff      time.Duration // length of the last failure backoff; 0 after a success
	backoffUntil time.Time     // end of the current backoff
	nextCold     time.Time     // when the upstream may get the next request while it is cold; zero before the first
}

// Chooser chooses upstreams; it is safe for concurrent use.
type Chooser struct {
	now    func() time.Time
	random func() float64

	mu       sync.Mutex
	states   map[ident.UpstreamID]*upstreamState
	pools    map[ident.ServiceName]*pool
	prefixes *prefixIndex
}

// Option changes a property of a new Chooser.
type Option func(c *Chooser)

// WithPrefixes sets the number of prompt prefixes that are tracked. A chooser for many
// requests needs more, since each request adds at least one that nobody shares.
func WithPrefixes(limit int) Option {
	return func(c *Chooser) { c.prefixes = newPrefixIndex(limit) }
}

// New returns a chooser without history; random returns numbers in [0, 1).
func New(now func() time.Time, random func() float64, options ...Option) *Chooser {
	c := &Chooser{
		now:      now,
		random:   random,
		states:   make(map[ident.UpstreamID]*upstreamState),
		pools:    make(map[ident.ServiceName]*pool),
		prefixes: newPrefixIndex(defaultPrefixes),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Choose returns the upstream with the lowest cost and counts a request in flight at
// it until Done. It returns false if the snapshot has no usable upstream.
func (c *Chooser) Choose(query Query, snapshot *fleet.Snapshot) (*Placed, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := promptPrefixes(query.Prompt)
	best, source, ok := c.best(now, query, prompt, snapshot)
	if !ok {
		return nil, false
	}
	c.recordCold(now, query.Cold, best.ColdUntil, c.state(best.Upstream))
	placed := c.assign(now, best.Upstream, prompt, best.fresh)
	if best.fetched > 0 {
		placed.Cache = source
	}
	return placed, true
}

// PlaceAt is like Choose for an upstream that a chooser which knows the requests of
// all hosts has chosen. The upstream fetches prompt tokens from cache, which may be
// empty. PlaceAt returns false if this host finds the upstream unusable: it is not
// registered, not allowed, or in backoff.
func (c *Chooser) PlaceAt(query Query, id, cache ident.UpstreamID, snapshot *fleet.Snapshot) (*Placed, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	upstream, ok := snapshot.Upstream(id)
	if !ok || !snapshot.Accepts(upstream) || !query.allows(upstream) || now.Before(c.state(upstream).backoffUntil) {
		return nil, false
	}
	prompt := promptPrefixes(query.Prompt)
	fresh := max(0, query.Prompt.Input-c.prefixes.requestedAt(now, prompt, upstream, snapshot))
	placed := c.assign(now, upstream, prompt, fresh)
	if source, ok := snapshot.Upstream(cache); ok && source.Release == upstream.Release {
		placed.Cache = source
	}
	return placed, true
}

// assign counts a request in flight at an upstream.
func (c *Chooser) assign(now time.Time, upstream fleet.Upstream, prompt []prefix, fresh int) *Placed {
	s := c.state(upstream)
	s.inFlight++
	s.unread += fresh
	c.prefixes.record(now, prompt, upstream, false)
	return &Placed{
		Upstream: upstream,
		prompt:   prompt,
		unread:   fresh,
	}
}

// Domain returns the failure domain in which Choose would place a request now; it is
// empty if there is no usable upstream.
func (c *Chooser) Domain(query Query, snapshot *fleet.Snapshot) ident.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, _, _ := c.best(c.now(), query, promptPrefixes(query.Prompt), snapshot)
	return best.Domain
}

// candidate is an upstream with the work that a request would cause there, in
// tokens of its prompt.
type candidate struct {
	fleet.Upstream
	cached  int // already read, probably
	fetched int // to be fetched from another upstream
	fresh   int // to be read
}

// best returns the upstream with the lowest cost, and the upstream from which it
// would fetch prompt tokens.
func (c *Chooser) best(now time.Time, query Query, prompt []prefix, snapshot *fleet.Snapshot) (best candidate, source fleet.Upstream, ok bool) {
	p := c.pool(query.Service, snapshot)
	medianPace := p.medianPace(now)
	cached := c.prefixes.cached(now, prompt, query.Service, p)
	preferred, requested := fleet.Upstream{}, cached.mostRequested
	known := requested >= query.Shared.Tokens
	if !known {
		// Other hosts have probably sent requests with this prefix to the preferred
		// upstream.
		preferred, _ = Preferred(query, snapshot)
		requested = query.Shared.Tokens
	}
	lowest := 0.0
	for i, upstream := range p.upstreams {
		if !query.allows(upstream) || slices.Contains(query.Held, upstream.Release) || c.coldFull(now, query.Cold, upstream.ColdUntil, p.states[i]) {
			continue
		}
		current := candidate{
			Upstream: upstream,
			cached:   cached.requested[i],
		}
		if upstream.ID == preferred.ID {
			current.cached = max(current.cached, query.Shared.Tokens)
		}
		current.fetched = max(0, cached.sourceFor(upstream.Release).tokens-current.cached)
		current.fresh = max(0, query.Prompt.Input-current.cached-current.fetched)
		cost := p.states[i].cost(now, medianPace, current.fresh) + fetchCost*float64(current.fetched)
		cost += rereadCost * float64(max(0, requested-current.cached-current.fetched))
		if upstream.Domain != query.Domain {
			cost += crossDomainCost + crossDomainByteCost*float64(query.Bytes)
		}
		cost += flightCost * c.random() / 2 // hosts with equal knowledge choose different upstreams
		if !ok || cost < lowest {
			best, lowest, ok = current, cost, true
		}
	}
	source = cached.sourceFor(best.Release).Upstream
	if ok && !known {
		if holder, ok := CacheSource(query, snapshot, best.Upstream, now); ok {
			source, best.fetched = holder, max(0, query.Shared.Tokens-cached.requested[p.index[best.ID]])
		}
	}
	return best, source, ok
}

// MarkPromptRead records that the upstream has read the prompt of a request; it may
// be called more than once.
func (c *Chooser) MarkPromptRead(placed *Placed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes.record(c.now(), placed.prompt, placed.Upstream, true)
	c.clearUnread(placed)
}

// clearUnread subtracts a request's prompt from the unread tokens of its upstream.
func (c *Chooser) clearUnread(placed *Placed) {
	s := c.state(placed.Upstream)
	s.unread = max(0, s.unread-placed.unread)
	placed.unread, placed.prompt = 0, nil
}

// Done records the end of a request. The pace is the time that the upstream took for
// the part of the work that is the same in all requests to its service; 0 if unknown.
func (c *Chooser) Done(placed *Placed, ending Ending, pace time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clearUnread(placed)
	s := c.state(placed.Upstream)
	s.inFlight = max(0, s.inFlight-1)
	if pace > 0 {
		if s.pace == 0 {
			s.pace = pace
		}
		s.pace += time.Duration(paceWeight * float64(pace-s.pace))
		s.measuredAt = now
	}
	switch ending {
	case Served:
		s.backoff = 0
		s.backoffUntil = time.Time{}
	case Full:
		s.backoffUntil = now.Add(fullBackoff)
	case Failed, Misdirected:
		s.backoff = min(max(2*s.backoff, minFailureBackoff), maxFailureBackoff)
		s.backoffUntil = now.Add(s.backoff)
	case Abandoned:
	}
}

// state returns the state of an upstream. It is empty after a restart of the upstream; a
// request that ends at the process before gets a state that is not kept.
func (c *Chooser) state(upstream fleet.Upstream) *upstreamState {
	s, ok := c.states[upstream.ID]
	if ok && s.incarnation == upstream.Started {
		return s
	}
	fresh := &upstreamState{
		incarnation: upstream.Started,
	}
	if !ok || s.incarnation < upstream.Started {
		c.states[upstream.ID] = fresh
	}
	return fresh
}

// medianPaceAge is how long the median pace of a service is used before it is computed
// again.
const medianPaceAge = 100 * time.Millisecond

// pool holds the ready upstreams of a service with their states.
type pool struct {
	snapshot   *fleet.Snapshot
	upstreams  []fleet.Upstream
	states     []*upstreamState // in the order of upstreams
	index      map[ident.UpstreamID]int
	requested  []int   // see cached
	median     float64 // median pace; 0 if none is known
	medianAt   time.Time
	paceBuffer []float64
}

// pool returns the pool of a service, which is built anew when the fleet has changed.
func (c *Chooser) pool(service ident.ServiceName, snapshot *fleet.Snapshot) *pool {
	p, ok := c.pools[service]
	if ok && p.snapshot == snapshot {
		return p
	}
	p = &pool{
		snapshot:  snapshot,
		upstreams: snapshot.Ready(service),
		index:     make(map[ident.UpstreamID]int),
	}
	p.requested = make([]int, len(p.upstreams))
	for i, upstream := range p.upstreams {
		p.states = append(p.states, c.state(upstream))
		p.index[upstream.ID] = i
	}
	c.pools[service] = p
	return p
}

// Avoid records that an upstream has asked a host for no requests for some time: it is
// chosen only if no other is left, since it may still accept those of other hosts.
func (c *Chooser) Avoid(upstream fleet.Upstream, length time.Duration) {
	until := c.now().Add(length)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(upstream)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// PrefixCount returns the number of prompt prefixes that are tracked.
func (c *Chooser) PrefixCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.prefixes.young) + len(c.prefixes.old)
}

// Preferred returns the upstream with the highest rendezvous hash for the shared
// prefix of a request. It returns false if nothing is shared or no upstream is ready.
func Preferred(query Query, snapshot *fleet.Snapshot) (fleet.Upstream, bool) {
	list := snapshot.Ready(query.Service)
	if query.Shared.Key == 0 || len(list) == 0 {
		return fleet.Upstream{}, false
	}
	best, highest := 0, uint64(0)
	for i := range list {
		if hash := rendezvousHash(list[i].ID, query.Shared.Key); i == 0 || hash > highest {
			best, highest = i, hash
		}
	}
	return list[best], true
}

// CacheSource returns an upstream that has probably read the shared prefix of a
// request, if the chosen upstream has probably not. That is the preferred upstream,
// or the one that was preferred before the chosen one started or before an upstream
// began to drain, among those of the same release.
func CacheSource(query Query, snapshot *fleet.Snapshot, chosen fleet.Upstream, now time.Time) (fleet.Upstream, bool) {
	if query.Shared.Key == 0 {
		return fleet.Upstream{}, false
	}
	var source ident.UpstreamID
	highest := uint64(0)
	for id, upstream := range snapshot.All() {
		if upstream.Service != query.Service || upstream.Release != chosen.Release || id == chosen.ID {
			continue
		}
		if hash := rendezvousHash(id, query.Shared.Key); source == "" || hash > highest {
			source, highest = id, hash
		}
	}
	if source == "" {
		return fleet.Upstream{}, false
	}
	upstream, _ := snapshot.Upstream(source)
	warmingUp := now.Sub(time.UnixMilli(int64(chosen.Started))) < warmupTime
	return upstream, warmingUp || highest > rendezvousHash(chosen.ID, query.Shared.Key)
}

// rendezvousHash is the rendezvous hash of an upstream for a key.
func rendezvousHash(id ident.UpstreamID, key uint64) uint64 {
	score := xxhash.Sum64String(string(id)) ^ key
	score *= 0x9e3779b97f4a7c15
	return score ^ score>>32
}
