package model

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// upstream is a modelled upstream of a stage.
type upstream struct {
	fleet.Upstream
	index   int // within its service
	life    int // counts its starts
	limits  routes.Batch
	running int
	queue   []*turn
	results map[wire.Handle]stored
	used    int64
}

// stored is a result at its upstream.
type stored struct {
	bytes int64
	ends  time.Time // when it lapses
}

// turn is a call at its upstream.
type turn struct {
	call    batch.Call
	from    *coordinator
	results []wire.ItemResult
}

// arrive takes a call. It reports false if the upstream is full.
func (r *run) arrive(u *upstream, t *turn) bool {
	switch {
	case u.running < u.limits.Slots:
		r.begin(u, t)
	case len(u.queue) < u.limits.Queue:
		u.queue = append(u.queue, t)
	default:
		return false
	}
	return true
}

// begin starts to work on a call.
func (r *run) begin(u *upstream, t *turn) {
	u.running++
	u.lapse(r.now)
	work := u.limits.CallTime
	for _, item := range t.call.Items {
		result := r.item(u, item)
		t.results = append(t.results, result)
		if result.Status == wire.ItemDone {
			work += time.Duration(r.stage(item).work() * float64(u.limits.ItemTime))
		}
	}
	factor := r.slowness(u)
	if factor == 0 {
		return // it never answers
	}
	took := time.Duration(factor * float64(work))
	r.report.Busy += took
	life := u.life
	r.after(took, func() {
		if u.life != life {
			return
		}
		u.running--
		r.answer(u, t)
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			r.begin(u, next)
		}
	})
}

// item makes room for the result of an item, if its inputs are there.
func (r *run) item(u *upstream, item wire.Item) wire.ItemResult {
	for _, input := range item.Inputs {
		if !r.holds(input) {
			return wire.ItemResult{
				Status: wire.ItemNoInput,
			}
		}
	}
	bytes := r.stage(item).Bytes
	if u.used+bytes > u.limits.Room {
		return wire.ItemResult{
			Status: wire.ItemNoRoom,
		}
	}
	handle := r.handle(u)
	u.used += bytes
	u.results[handle] = stored{
		bytes: bytes,
		ends:  r.now.Add(u.limits.Retain + u.limits.CallTime),
	}
	return wire.ItemResult{
		Status: wire.ItemDone,
		Handle: handle,
	}
}

// lapse drops the results whose time is over.
func (u *upstream) lapse(now time.Time) {
	for handle, s := range u.results {
		if now.After(s.ends) {
			u.drop(handle)
		}
	}
}

func (u *upstream) drop(handle wire.Handle) {
	if s, ok := u.results[handle]; ok {
		u.used -= s.bytes
		delete(u.results, handle)
	}
}

func (s Stage) work() float64 {
	if s.Work == 0 {
		return 1
	}
	return s.Work
}
