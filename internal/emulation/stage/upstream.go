package stage

import (
	"fmt"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Cost is the cost of an item at its upstream.
type Cost struct {
	Bytes int64         // size of the result
	Work  time.Duration // processing time
}

// Results records which upstream holds each result.
type Results struct {
	holders map[wire.Handle]*Upstream
	created int // results so far, for unique handles
}

// NewResults returns an empty record.
func NewResults() *Results {
	return &Results{
		holders: make(map[wire.Handle]*Upstream),
	}
}

// Release removes results from the upstreams that hold them.
func (r *Results) Release(handles []wire.Handle) {
	for _, handle := range handles {
		if u := r.holders[handle]; u != nil {
			u.remove(handle)
		}
	}
}

// Held reports whether an upstream holds a result that has not expired.
func (r *Results) Held(handle wire.Handle) bool {
	u := r.holders[handle]
	if u == nil {
		return false
	}
	s, ok := u.stored[handle]
	return ok && !u.clock.Now().After(s.expires)
}

// storedResult is a result that an upstream holds.
type storedResult struct {
	bytes   int64
	expires time.Time
}

// call is a batch that is running or waiting at an upstream.
type call struct {
	items     []wire.Item
	onResults func(results []wire.ItemResult, took time.Duration)
}

// Upstream is an emulated upstream of a stage.
type Upstream struct {
	clock      *clock.Clock
	address    ident.Address
	limits     routes.Batch
	results    *Results
	cost       func(wire.Item) Cost
	running    int
	queue      []*call
	stored     map[wire.Handle]storedResult
	usedBytes  int64
	timeFactor float64 // multiplies the duration of calls; 0 means that calls never end
	restarts   int     // invalidates the calls that a restart interrupts
}

// New returns an upstream without calls and results.
func New(clock *clock.Clock, address ident.Address, limits routes.Batch, results *Results, cost func(wire.Item) Cost) *Upstream {
	return &Upstream{
		clock:      clock,
		address:    address,
		limits:     limits,
		results:    results,
		cost:       cost,
		stored:     make(map[wire.Handle]storedResult),
		timeFactor: 1,
	}
}

// Call submits a batch. It returns false if all slots and the queue are full.
// onResults receives one result for each item and the processing time; it is not called
// if the upstream restarts first.
func (u *Upstream) Call(items []wire.Item, onResults func(results []wire.ItemResult, took time.Duration)) bool {
	c := &call{
		items:     items,
		onResults: onResults,
	}
	switch {
	case u.running < u.limits.Slots:
		u.start(c)
	case len(u.queue) < u.limits.Queue:
		u.queue = append(u.queue, c)
	default:
		return false
	}
	return true
}

// SetTimeFactor sets the factor by which the duration of calls that start later is
// multiplied. With 0, these calls never end.
func (u *Upstream) SetTimeFactor(factor float64) { u.timeFactor = factor }

// Restart aborts all calls without results, removes all stored results and resets the
// time factor to 1.
func (u *Upstream) Restart() {
	u.restarts++
	u.running = 0
	u.queue = nil
	u.usedBytes = 0
	u.timeFactor = 1
	clear(u.stored)
}

// start runs a call. It reserves the capacity for the results at once.
func (u *Upstream) start(c *call) {
	u.running++
	u.expire()
	work := u.limits.CallTime
	var results []wire.ItemResult
	for _, item := range c.items {
		result := u.process(item)
		results = append(results, result)
		if result.Status == wire.ItemDone {
			work += u.cost(item).Work
		}
	}
	if u.timeFactor == 0 {
		return
	}
	took := time.Duration(u.timeFactor * float64(work))
	restarts := u.restarts
	u.clock.After(took, func() {
		if u.restarts != restarts {
			return
		}
		u.running--
		c.onResults(results, took)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.start(next)
		}
	})
}

// process stores the result of an item if its inputs are held and its size fits the
// capacity.
func (u *Upstream) process(item wire.Item) wire.ItemResult {
	for _, input := range item.Inputs {
		if !u.results.Held(input) {
			return wire.ItemResult{
				Status: wire.ItemNoInput,
			}
		}
	}
	bytes := u.cost(item).Bytes
	if u.usedBytes+bytes > u.limits.Capacity {
		return wire.ItemResult{
			Status: wire.ItemNoCapacity,
		}
	}
	u.results.created++
	handle := wire.Handle(fmt.Sprintf("%s/%d", u.address, u.results.created))
	u.results.holders[handle] = u
	u.usedBytes += bytes
	u.stored[handle] = storedResult{
		bytes:   bytes,
		expires: u.clock.Now().Add(u.limits.Retention + u.limits.CallTime),
	}
	return wire.ItemResult{
		Status: wire.ItemDone,
		Handle: handle,
	}
}

// expire removes the expired results.
func (u *Upstream) expire() {
	for handle, s := range u.stored {
		if u.clock.Now().After(s.expires) {
			u.remove(handle)
		}
	}
}

func (u *Upstream) remove(handle wire.Handle) {
	if s, ok := u.stored[handle]; ok {
		u.usedBytes -= s.bytes
		delete(u.stored, handle)
		delete(u.results.holders, handle)
	}
}
