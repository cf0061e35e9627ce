package batch

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

const (
	// paceWeight is the weight of a call in the moving average of a worker's pace.
	paceWeight = 0.4
	// itemWeight is the weight of a call in the moving average of item times.
	itemWeight = 0.2
	// Items take between leastItem and mostItem of the time that the service states.
	leastItem = 0.1
	mostItem  = 1.5
	// slowest is the highest pace that is learned; an upstream that is slower is
	// not used while others are free.
	slowest = 8.0
	// shortBreak is the time without calls after a refusal, longBreak after a
	// lost call; they double up to maxRefusal and maxBreak while calls fail.
	shortBreak = 40 * time.Millisecond
	maxRefusal = 320 * time.Millisecond
	longBreak  = 400 * time.Millisecond
	maxBreak   = 3 * time.Second
)

// worker is an upstream of a stage.
type worker struct {
	upstream fleet.Upstream
	pool     *pool
	calls    []*call       // in progress
	resume   time.Time     // when a break ends
	pace     float64       // time that calls take, divided by the expected one
	held     int64         // bytes of results, those of calls in progress included
	refused  time.Duration // length of the last break after a refusal; 0 while calls succeed
	broken   time.Duration // length of the last break after a lost call; 0 while calls succeed
	foreign  foreign       // results that are not part of held
	gone     bool          // no longer registered, or draining
}

// call is a Call with its state.
type call struct {
	Call
	worker  *worker
	parts   []part
	started time.Time
	bytes   int64 // reserved for results
	before  int64 // held by the upstream as the call began
}

// part is one item of a call.
type part struct {
	task  *task
	piece int
}

// pool is the set of workers of one service.
type pool struct {
	service ident.ServiceName
	limits  routes.Batch
	workers []*worker              // in order of upstream id
	queue   []*task                // that have pieces waiting
	items   map[Kind]time.Duration // time that an item adds, by experience
}

// itemTime returns the time that an item of a kind adds to a call.
func (p *pool) itemTime(kind Kind) time.Duration {
	if known, ok := p.items[kind]; ok {
		return known
	}
	return p.limits.ItemTime
}

// work returns the time that a task's pieces add to a call.
func (p *pool) work(t *task, pieces int) time.Duration {
	return time.Duration(pieces) * p.itemTime(t.stage.Kind)
}

// alone returns the time of a call with nothing but a stage's pieces.
func (p *pool) alone(stage Stage) time.Duration {
	return p.limits.CallTime + time.Duration(stage.Pieces)*p.itemTime(stage.Kind)
}

// learn corrects the item times by the time that a call took, at a usual pace.
func (p *pool) learn(c *call, took time.Duration) {
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
	missed := float64(took - p.limits.CallTime - work)
	for kind, n := range counts {
		corrected := p.itemTime(kind) + time.Duration(itemWeight*missed*n/squares)
		least := time.Duration(leastItem * float64(p.limits.ItemTime))
		most := time.Duration(mostItem * float64(p.limits.ItemTime))
		p.items[kind] = min(max(corrected, least), most)
	}
}

// available returns when the next call can start, as far as known. A call that
// is overdue is taken to last as long again as it is late.
func (w *worker) available(now time.Time) time.Time {
	at := w.resume
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
	return len(w.calls) < w.pool.limits.Slots && !w.resume.After(now)
}

// ended takes the end of a call.
func (w *worker) ended(now time.Time, c *call, outcome Outcome) {
	for i, other := range w.calls {
		if other == c {
			w.calls = append(w.calls[:i], w.calls[i+1:]...)
			break
		}
	}
	w.held -= c.bytes
	switch o := outcome.(type) {
	case Completed:
		w.broken, w.refused = 0, 0
		if !o.whole() {
			return // items that are rejected take no time
		}
		took := now.Sub(c.started)
		usual := time.Duration(float64(c.Expected) / w.pace)
		w.pool.learn(c, time.Duration(float64(took)/w.pace))
		w.pace = min(w.pace+paceWeight*(float64(took)/float64(usual)-w.pace), slowest)
	case Refused:
		w.refused = min(max(2*w.refused, shortBreak), maxRefusal)
		w.resume = now.Add(w.refused)
	case Lost:
		w.broken = min(max(2*w.broken, longBreak), maxBreak)
		w.resume = now.Add(w.broken)
	}
}
