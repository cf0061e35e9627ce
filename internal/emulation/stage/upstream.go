package stage

import (
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Size is what an item asks of its upstream.
type Size struct {
	Bytes int64 // of the result
	Work  time.Duration
}

// Results knows which upstream holds a result.
type Results struct {
	holders map[wire.Handle]*Upstream
	made    int
}

// NewResults returns results of which there are none.
func NewResults() *Results {
	return &Results{
		holders: make(map[wire.Handle]*Upstream),
	}
}

// Release drops results at the upstreams that hold them.
func (r *Results) Release(handles []wire.Handle) {
	for _, handle := range handles {
		if u := r.holders[handle]; u != nil {
			u.drop(handle)
		}
	}
}

// Held reports whether a result is still there.
func (r *Results) Held(handle wire.Handle) bool {
	u := r.holders[handle]
	if u == nil {
		return false
	}
	s, ok := u.stored[handle]
	return ok && !u.clock.Now().After(s.lapses)
}

// stored is a result at its upstream.
type stored struct {
	bytes  int64
	lapses time.Time
}

// call is a batch at its upstream.
type call struct {
	items  []wire.Item
	answer func(results []wire.ItemResult, took time.Duration)
}

// Upstream is an upstream of a stage.
type Upstream struct {
	clock   *clock.Clock
	address ident.Address
	limits  routes.Batch
	results *Results
	size    func(wire.Item) Size
	running int
	queue   []*call
	stored  map[wire.Handle]stored
	used    int64
	slow    float64 // time of a call, as a multiple; 0 is an upstream that does not answer
	life    int     // counts its starts
}

// New returns an upstream that holds nothing.
func New(clock *clock.Clock, address ident.Address, limits routes.Batch, results *Results, size func(wire.Item) Size) *Upstream {
	return &Upstream{
		clock:   clock,
		address: address,
		limits:  limits,
		results: results,
		size:    size,
		stored:  make(map[wire.Handle]stored),
		slow:    1,
	}
}

// Call hands in a batch; it reports false if the upstream is full. The answer has
// one result for each item, and the time that the upstream took for them.
func (u *Upstream) Call(items []wire.Item, answer func(results []wire.ItemResult, took time.Duration)) bool {
	c := &call{
		items:  items,
		answer: answer,
	}
	switch {
	case u.running < u.limits.Slots:
		u.begin(c)
	case len(u.queue) < u.limits.Queue:
		u.queue = append(u.queue, c)
	default:
		return false
	}
	return true
}

// SetSlow changes the time of the calls to come, as a multiple; at 0 they are never
// answered.
func (u *Upstream) SetSlow(slow float64) { u.slow = slow }

// Restart ends all calls without an answer and drops all results.
func (u *Upstream) Restart() {
	u.life++
	u.running = 0
	u.queue = nil
	u.used = 0
	u.slow = 1
	clear(u.stored)
}

// begin starts to work on a call.
func (u *Upstream) begin(c *call) {
	u.running++
	u.lapse()
	work := u.limits.CallTime
	var results []wire.ItemResult
	for _, item := range c.items {
		result := u.item(item)
		results = append(results, result)
		if result.Status == wire.ItemDone {
			work += u.size(item).Work
		}
	}
	if u.slow == 0 {
		return
	}
	took := time.Duration(u.slow * float64(work))
	life := u.life
	u.clock.After(took, func() {
		if u.life != life {
			return
		}
		u.running--
		c.answer(results, took)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.begin(next)
		}
	})
}

// item makes room for the result of an item, if its inputs are there.
func (u *Upstream) item(item wire.Item) wire.ItemResult {
	for _, input := range item.Inputs {
		if !u.results.Held(input) {
			return wire.ItemResult{
				Status: wire.ItemNoInput,
			}
		}
	}
	bytes := u.size(item).Bytes
	if u.used+bytes > u.limits.Capacity {
		return wire.ItemResult{
			Status: wire.ItemNoCapacity,
		}
	}
	u.results.made++
	handle := wire.Handle(fmt.Sprintf("%s/%d", u.address, u.results.made))
	u.results.holders[handle] = u
	u.used += bytes
	u.stored[handle] = stored{
		bytes:  bytes,
		lapses: u.clock.Now().Add(u.limits.Retention + u.limits.CallTime),
	}
	return wire.ItemResult{
		Status: wire.ItemDone,
		Handle: handle,
	}
}

// lapse drops the results whose time is over.
func (u *Upstream) lapse() {
	for handle, s := range u.stored {
		if u.clock.Now().After(s.lapses) {
			u.drop(handle)
		}
	}
}

func (u *Upstream) drop(handle wire.Handle) {
	if s, ok := u.stored[handle]; ok {
		u.used -= s.bytes
		delete(u.stored, handle)
		delete(u.results.holders, handle)
	}
}
