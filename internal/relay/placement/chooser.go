package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// shortBreak is the time without new requests after an upstream is full,
	// longBreak after it failed; the latter doubles up to maxBreak.
	shortBreak = 50 * time.Millisecond
	longBreak  = 300 * time.Millisecond
	maxBreak   = 4 * time.Second
	// youth is how long after its start an upstream may lack what the others have
	// read; requests that share something rarely come less often.
	youth = 20 * time.Second
)

// Query says what an upstream is needed for.
type Query struct {
	Service ident.ServiceName
	Domain  ident.FailureDomain // where the upstream should be
	Bytes   int64               // of what it reads from there
	Prompt  wire.Prompt         // nothing if there is none
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
	Cache  fleet.Upstream // that has probably read more of the prompt; no ID if there is none
	prompt []beginning    // until it has been read
	unread int            // tokens of it
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
	pace    time.Duration // moving average of its paces; 0 if not known
	paced   time.Time     // when that was measured
	broken  time.Duration // length of the last break; 0 while requests succeed
	resume  time.Time     // when the break ends
}

// Chooser chooses upstreams.
type Chooser struct {
	now    func() time.Time
	random func() float64

	mu     sync.Mutex
	rows   map[ident.UpstreamID]*row
	memory *memory
}

// New returns a chooser that knows nothing; random returns numbers from 0 to 1.
func New(now func() time.Time, random func() float64) *Chooser {
	return &Chooser{
		now:    now,
		random: random,
		rows:   make(map[ident.UpstreamID]*row),
		memory: newMemory(),
	}
}

// Choose returns an upstream and counts a request in flight at it, until Done.
func (c *Chooser) Choose(query Query, snapshot *fleet.Snapshot) (*Placed, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	prompt := beginnings(query.Prompt)
	best, source, ok := c.best(now, query, prompt, snapshot)
	if !ok {
		return nil, false
	}
	placed := c.place(now, best.Upstream, prompt, best.fresh)
	if best.moved > 0 {
		placed.Cache = source
	}
	return placed, true
}

// Take is Choose for an upstream that another chooser has chosen, which knows the
// requests of all hosts; cache is what that one fetches from, empty if there is none.
// It is refused if this host knows better.
func (c *Chooser) Take(query Query, id, cache ident.UpstreamID, snapshot *fleet.Snapshot) (*Placed, bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	upstream, ok := snapshot.Upstream(id)
	if !ok || !snapshot.Accepts(upstream) || query.Exclude[id] || now.Before(c.row(upstream).resume) {
		return nil, false
	}
	prompt := beginnings(query.Prompt)
	fresh := max(0, query.Prompt.Input-c.memory.kept(now, prompt, snapshot)[id].asked)
	placed := c.place(now, upstream, prompt, fresh)
	placed.Cache, _ = snapshot.Upstream(cache)
	return placed, true
}

// place counts a request in flight.
func (c *Chooser) place(now time.Time, upstream fleet.Upstream, prompt []beginning, fresh int) *Placed {
	r := c.row(upstream)
	r.flight++
	r.unread += fresh
	c.memory.note(now, prompt, upstream, false)
	return &Placed{
		Upstream: upstream,
		prompt:   prompt,
		unread:   fresh,
	}
}

// Domain returns the failure domain where a request would be placed now; it is
// empty if there is no upstream.
func (c *Chooser) Domain(query Query, snapshot *fleet.Snapshot) ident.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, _, _ := c.best(c.now(), query, beginnings(query.Prompt), snapshot)
	return best.Domain
}

// candidate is an upstream with what it would have to do for a request.
type candidate struct {
	fleet.Upstream
	own   int // tokens that it has probably read
	moved int // tokens that it fetches
	fresh int // tokens that it reads
}

// best returns the upstream with the lowest cost, and the one from which it would
// fetch what that has read of the prompt.
func (c *Chooser) best(now time.Time, query Query, prompt []beginning, snapshot *fleet.Snapshot) (best candidate, source fleet.Upstream, ok bool) {
	list := snapshot.Ready(query.Service)
	usual := c.usual(list)
	held := c.memory.kept(now, prompt, snapshot)
	source, most := c.source(query, held, snapshot)
	preferred, asked := fleet.Upstream{}, mostAsked(held)
	known := asked >= query.Shared.Tokens
	if !known {
		// Requests that this chooser does not know of have gone to the preferred one.
		preferred, _ = Preferred(query, snapshot)
		asked = query.Shared.Tokens
	}
	lowest := 0.0
	for _, upstream := range list {
		if query.Exclude[upstream.ID] {
			continue
		}
		this := candidate{
			Upstream: upstream,
			own:      held[upstream.ID].asked,
		}
		if upstream.ID == preferred.ID {
			this.own = max(this.own, query.Shared.Tokens)
		}
		this.moved = max(0, most-this.own)
		this.fresh = max(0, query.Prompt.Input-this.own-this.moved)
		cost := c.row(upstream).cost(now, usual, this.fresh) + moveCost*float64(this.moved)
		cost += againCost * float64(max(0, asked-this.own-this.moved))
		if upstream.Domain != query.Domain {
			cost += crossingCost + byteCost*float64(query.Bytes)
		}
		cost += flightCost * c.random() / 2 // hosts that know the same spread their requests
		if !ok || cost < lowest {
			best, lowest, ok = this, cost, true
		}
	}
	if !known {
		if keeper, ok := Keeper(query, snapshot, best.Upstream, now); ok {
			source, best.moved = keeper, max(0, query.Shared.Tokens-held[best.ID].asked)
		}
	}
	return best, source, ok
}

// mostAsked returns the most tokens of a prompt that any upstream has read or will
// read.
func mostAsked(held map[ident.UpstreamID]kept) int {
	most := 0
	for _, k := range held {
		most = max(most, k.asked)
	}
	return most
}

// source returns the upstream that has probably read most of a prompt, and its
// tokens.
func (c *Chooser) source(query Query, held map[ident.UpstreamID]kept, snapshot *fleet.Snapshot) (source fleet.Upstream, tokens int) {
	for id, k := range held {
		upstream, ok := snapshot.Upstream(id)
		if !ok || upstream.Service != query.Service {
			continue
		}
		if k.read > tokens || k.read == tokens && id < source.ID {
			source, tokens = upstream, k.read
		}
	}
	return source, tokens
}

// Began notes that the upstream has read the prompt of a request; it may be called
// more than once.
func (c *Chooser) Began(placed *Placed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.note(c.now(), placed.prompt, placed.Upstream, true)
	c.began(placed)
}

func (c *Chooser) began(placed *Placed) {
	r := c.row(placed.Upstream)
	r.unread = max(0, r.unread-placed.unread)
	placed.unread, placed.prompt = 0, nil
}

// Done takes the end of a request; pace is the time that the upstream took for what
// is alike in all requests to its service, 0 if that is not known.
func (c *Chooser) Done(placed *Placed, ending Ending, pace time.Duration) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began(placed)
	r := c.row(placed.Upstream)
	r.flight = max(0, r.flight-1)
	if pace > 0 {
		if r.pace == 0 {
			r.pace = pace
		}
		r.pace += time.Duration(paceWeight * float64(pace-r.pace))
		r.paced = now
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

// Remembered returns the number of beginnings of prompts that are remembered.
func (c *Chooser) Remembered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.memory.young) + len(c.memory.old)
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
