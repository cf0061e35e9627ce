package batch

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

const (
	// itemWeight is the weight of a call in the moving average of item times.
	itemWeight = 0.2
	// The learned item times are between minItemFactor and maxItemFactor times the item
	// time in the settings of the service.
	minItemFactor = 0.1
	maxItemFactor = 1.5
	// After a refused call whose response does not tell when the upstream is free, it gets no
	// calls for minRefusalBackoff, after a lost call for minLossBackoff. Both double with each
	// further failure, up to maxRefusalBackoff and maxLossBackoff, until a call succeeds.
	minRefusalBackoff = 40 * time.Millisecond
	maxRefusalBackoff = 320 * time.Millisecond
	minLossBackoff    = 400 * time.Millisecond
	maxLossBackoff    = 3 * time.Second
)

// worker is an upstream that runs stages, with its state.
type worker struct {
	upstream       fleet.Upstream
	pool           *pool
	calls          []*call       // in progress
	backoffUntil   time.Time     // no call starts before
	heldBytes      int64         // results held, with the bytes reserved by calls in progress
	refusalBackoff time.Duration // latest backoff after a refused call; 0 after a success
	lossBackoff    time.Duration // latest backoff after a lost call; 0 after a success
	foreign        foreign       // estimate of the results that heldBytes does not include
	reports        *loadreport.Record
	forecast       loadreport.Forecast // of the duration of calls, as of the latest refresh
	gone           bool                // no longer registered, or draining
}

// call is a Call in progress with its state.
type call struct {
	Call
	worker     *worker
	parts      []part
	started    time.Time
	reserved   int64 // bytes reserved for results
	heldBefore int64 // heldBytes of the worker before the call
	delayed    bool  // it may have waited for calls of other hosts
}

// part is one item of a call.
type part struct {
	task  *task
	piece int
}

// pool is the set of workers of one service.
type pool struct {
	service ident.ServiceName
	slack   poolSlack
	limits  routes.Batch
	workers []*worker              // sorted by upstream ID
	queue   []*task                // tasks with waiting pieces
	items   map[Kind]time.Duration // learned time that an item adds to a call
}

// itemTime returns the time that an item of a kind adds to a call.
func (p *pool) itemTime(kind Kind) time.Duration {
	if known, ok := p.items[kind]; ok {
		return known
	}
	return p.limits.ItemTime
}

// work returns the time that a number of pieces of a task add to a call.
func (p *pool) work(t *task, pieces int) time.Duration {
	return time.Duration(pieces) * p.itemTime(t.stage.Kind)
}

// singleCallTime returns the duration of a call that has all pieces of a stage and
// nothing else.
func (p *pool) singleCallTime(stage Stage) time.Duration {
	return p.limits.CallTime + time.Duration(stage.Pieces)*p.itemTime(stage.Kind)
}

// fullCallTime returns the duration of a call with the maximum number of items.
func (p *pool) fullCallTime() time.Duration {
	return p.limits.CallDuration(p.limits.Items)
}

// pieceTime returns the time that one piece of a stage takes of an upstream in a full
// call, with its share of the fixed duration of the call.
func (p *pool) pieceTime(kind Kind) time.Duration {
	return p.limits.CallTime/time.Duration(p.limits.Items) + p.itemTime(kind)
}

// speed returns the upstream time per second of all workers, at the normal pace.
func (p *pool) speed() float64 {
	sum := 0.0
	for _, w := range p.workers {
		sum += 1 / w.slowdown()
	}
	return sum
}

// updateItemTimes corrects the learned item times by the duration of a call. The
// caller has divided the duration by the slowdown of the worker.
func (p *pool) updateItemTimes(c *call, took time.Duration) {
	counts := make(map[Kind]float64)
	squares := 0.0
	work := time.Duration(0)
	for _, part := range c.parts {
		counts[part.task.stage.Kind]++
		work += p.itemTime(part.task.stage.Kind)
	}
	for _, n := range counts {
		squares += n * n
	}
	residual := float64(took - p.limits.CallTime - work)
	for kind, n := range counts {
		corrected := p.itemTime(kind) + time.Duration(itemWeight*residual*n/squares)
		least := time.Duration(minItemFactor * float64(p.limits.ItemTime))
		most := time.Duration(maxItemFactor * float64(p.limits.ItemTime))
		p.items[kind] = min(max(corrected, least), most)
	}
}

// available returns when the next call is expected to start. A call that is overdue
// is expected to take as long again as it is late.
func (w *worker) available(now time.Time) time.Time {
	at := w.backoffUntil
	if at.Before(now) {
		at = now
	}
	if len(w.calls) < w.pool.limits.Slots {
		return at
	}
	for _, c := range w.calls {
		end := c.started.Add(c.Expected)
		if end.Before(now) {
			end = now.Add(now.Sub(end))
		}
		if end.After(at) {
			at = end
		}
	}
	return at
}

// idle reports whether a call may start now.
func (w *worker) idle(now time.Time) bool {
	return len(w.calls) < w.pool.limits.Slots && !w.backoffUntil.After(now)
}

// endCall removes a call, and updates the learned times and the backoff by its
// outcome.
func (w *worker) endCall(now time.Time, c *call, outcome Outcome) {
	for i, other := range w.calls {
		if other == c {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			break
		}
	}
	w.heldBytes -= c.reserved
	switch o := outcome.(type) {
	case Completed:
		w.lossBackoff, w.refusalBackoff = 0, 0
		if c.delayed || !o.whole() {
			return // items that are not done take no time and would distort the averages
		}
		took := now.Sub(c.started)
		w.pool.updateItemTimes(c, time.Duration(float64(took)/c.Forecast.Factor))
		normal := float64(c.Expected) / c.Forecast.Factor
		w.reports.Learn(float64(took)/normal, c.Forecast)
		w.refresh(now)
	case Refused:
		w.backoffUntil = now.Add(max(w.refusalWait(now), o.Pause))
	case Lost:
		w.lossBackoff = min(max(2*w.lossBackoff, minLossBackoff), maxLossBackoff)
		w.backoffUntil = now.Add(w.lossBackoff)
	}
}

// refresh updates the forecast, since reports lose weight with age.
func (w *worker) refresh(now time.Time) {
	w.forecast = w.reports.Forecast(now)
}

// slowdown returns the expected duration of a call divided by the normal one.
func (w *worker) slowdown() float64 {
	return w.forecast.Factor
}

// refusalWait returns how long the upstream gets no calls after a refused one: until its
// load report says that it is free or, without such a report, for the refusal backoff.
func (w *worker) refusalWait(now time.Time) time.Duration {
	if wait := w.reports.FreeAt().Sub(now); wait > 0 {
		return max(wait, minRefusalBackoff)
	}
	w.refusalBackoff = min(max(2*w.refusalBackoff, minRefusalBackoff), maxRefusalBackoff)
	return w.refusalBackoff
}
