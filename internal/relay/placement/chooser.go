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
	// youth is how long after its start an upstream may lack what the others have
	// read; requests that share something rarely come less often.
	youth = 20 * time.Second
)

// The costs of an upstream are counted in tokens of prompts that it reads.
const (
	// flightCost is the cost of a request in flight, whose tokens delay those of
	// the others.
	flightCost = 300.0
	// disturbance is the part of the tokens of a prompt that each request in flight
	// has to wait for.
	disturbance = 0.05
	// againCost is the cost of a token that is read although another upstream has
	// read it.
	againCost = 2.0
	// crossingCost is the cost of another failure domain.
	crossingCost = 1.5 * flightCost
	// avoidedCost is that of an upstream that is the last resort, beyond the tokens
	// of any number of requests; waitCost is added for each millisecond until it may
	// be used again.
	avoidedCost = 1e9
	waitCost    = 1e4
)

// Query says what an upstream is needed for.
type Query struct {
	Service ident.ServiceName
	Domain  ident.FailureDomain // where the upstream should be
	Tokens  int                 // of the prompt; 0 if there is none
	Shared  Shared
	Exclude map[ident.UpstreamID]bool
}

// Shared is the beginning of a prompt that it has in common with others.
type Shared struct {
	Key    uint64 // hash of its last part; 0 is nothing
	Tokens int
}

// Placed is a request in flight at an upstream.
type Placed struct {
	fleet.Upstream
	unread int // tokens of its prompt, until it has been read
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
	unread  int           // tokens of prompts that it has not read yet
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
func (c *Chooser) Choose(query Query, snapshot *fleet.Snapshot) (*Placed, bool) {
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
		cost := c.row(upstream).cost(now, query.Tokens)
		if upstream.Domain != query.Domain {
			cost += crossingCost
		}
		if upstream.ID != preferred.ID {
			cost += againCost * float64(query.Shared.Tokens)
		}
		cost += flightCost * c.random() / 2 // hosts that know the same spread their requests
		if !found || cost < lowest {
			best, lowest, found = upstream, cost, true
		}
	}
	if !found {
		return nil, false
	}
	r := c.row(best)
	r.flight++
	r.unread += query.Tokens
	return &Placed{
		Upstream: best,
		unread:   query.Tokens,
	}, true
}

// Began notes that the upstream has read the prompt of a request; it may be called
// more than once.
func (c *Chooser) Began(placed *Placed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began(placed)
}

func (c *Chooser) began(placed *Placed) {
	r := c.row(placed.Upstream)
	r.unread = max(0, r.unread-placed.unread)
	placed.unread = 0
}

// Done takes the end of a request; latency is that until the first byte of the
// answer, 0 if there was none.
func (c *Chooser) Done(placed *Placed, ending Ending, latency time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began(placed)
	r := c.row(placed.Upstream)
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

// cost returns what a request with a prompt costs at the upstream: it waits for the
// prompts before it, and the requests in flight wait for its own.
func (r *row) cost(now time.Time, tokens int) float64 {
	cost := float64(r.unread) + float64(r.flight)*(flightCost+disturbance*float64(tokens))
	if now.Before(r.resume) {
		cost += avoidedCost + waitCost*float64(r.resume.Sub(now).Milliseconds())
	}
	return cost
}

// Preferred returns the upstream with the highest rendezvous hash for what
// requests share; there is none if they share nothing.
func Preferred(query Query, snapshot *fleet.Snapshot) (fleet.Upstream, bool) {
	return highest(query.Shared.Key, snapshot.Ready(query.Service))
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
	keeper, ok := highest(query.Shared.Key, others)
	if !ok {
		return fleet.Upstream{}, false
	}
	young := now.Sub(time.UnixMilli(int64(to.Started))) < youth
	return keeper, young || mix(keeper.ID, query.Shared.Key) > mix(to.ID, query.Shared.Key)
}

// mix is the rendezvous hash of an upstream for a key.
func mix(id ident.UpstreamID, key uint64) uint64 {
	score := xxhash.Sum64String(string(id)) ^ key
	score *= 0x9e3779b97f4a7c15
	return score ^ score>>32
}
