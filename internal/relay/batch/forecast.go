package batch

import (
	"time"
)

const (
	// forecastStep and forecastSteps are the resolution and the length of a forecast. Work
	// that is due later is counted in the last step.
	forecastStep  = 50 * time.Millisecond
	forecastSteps = 160
	// forecastAge is the age at which a forecast is made anew: within it, a pool of 18
	// upstreams rarely ends more than one call.
	forecastAge = 10 * time.Millisecond
	// horizon is the longest wait that is forecast.
	horizon = forecastSteps * forecastStep
)

// forecast is the work of the accepted jobs at a pool, by when it is due, and the time
// that the upstreams have for it.
type forecast struct {
	at      time.Time
	free    []freeTime
	speed   float64       // upstream time per second, at the normal pace
	first   time.Duration // until an upstream is idle
	backlog map[Rank]*[forecastSteps]time.Duration
}

// freeTime is when an upstream is idle.
type freeTime struct {
	wait     time.Duration // from the time of the forecast
	slowdown float64
}

// updateForecasts makes the forecasts anew if they are too old, or if calls have started.
func (s *Scheduler) updateForecasts(now time.Time) {
	if now.Sub(s.slack.forecastAt) < forecastAge && s.slack.forecastCall == s.lastCall {
		return
	}
	s.slack.forecastAt, s.slack.forecastCall = now, s.lastCall
	for _, p := range s.order {
		p.slack.forecast = newForecast(now, p)
	}
	for _, j := range s.jobs {
		s.addToForecasts(now, j)
	}
}

// addToForecasts adds the waiting work of a job, later stages included.
func (s *Scheduler) addToForecasts(now time.Time, j *job) {
	for _, t := range j.tasks {
		if len(t.waiting) > 0 {
			t.pool.slack.forecast.add(now, t)
		}
	}
}

func newForecast(now time.Time, p *pool) *forecast {
	f := &forecast{
		at:      now,
		speed:   p.speed(),
		first:   horizon,
		backlog: make(map[Rank]*[forecastSteps]time.Duration),
	}
	for _, w := range p.workers {
		wait := w.available(now).Sub(now)
		f.free = append(f.free, freeTime{
			wait:     wait,
			slowdown: w.slowdown(),
		})
		f.first = min(f.first, wait)
	}
	return f
}

// step returns the step in which a task is due. Tasks that are late in any case run last.
func (f *forecast) step(now time.Time, t *task) int {
	if t.late(now) {
		return forecastSteps - 1
	}
	return min(max(0, int(t.due.Sub(f.at)/forecastStep)), forecastSteps-1)
}

// add adds the waiting pieces of a task.
func (f *forecast) add(now time.Time, t *task) {
	steps := f.backlog[t.job.Rank]
	if steps == nil {
		steps = new([forecastSteps]time.Duration)
		f.backlog[t.job.Rank] = steps
	}
	steps[f.step(now, t)] += time.Duration(len(t.waiting)) * t.pool.pieceTime(t.stage.Kind)
}

// capacity returns how much work the upstreams do within a time.
func (f *forecast) capacity(within time.Duration) time.Duration {
	sum := 0.0
	for _, w := range f.free {
		if within > w.wait {
			sum += float64(within-w.wait) / w.slowdown
		}
	}
	return time.Duration(sum)
}

// meanSlowdown returns the slowdown at which the pool as a whole works.
func (f *forecast) meanSlowdown() float64 {
	if f.speed == 0 {
		return 1
	}
	return float64(len(f.free)) / f.speed
}

// workUntil returns the accepted work of ranks up to one that is due in a step or earlier.
func (f *forecast) workUntil(step int, rank Rank) time.Duration {
	sum := time.Duration(0)
	for r, steps := range f.backlog {
		if r > rank {
			continue
		}
		for _, work := range steps[:step+1] {
			sum += work
		}
	}
	return sum
}

// expected returns the work that arrives within a time, and is due earlier than a task
// although its rank is not less urgent. due is the time from now until the task is due.
func (t *task) expected(now time.Time, within, due time.Duration) time.Duration {
	sum := 0.0
	for _, a := range t.pool.slack.arrivals {
		if a.rank > t.job.Rank || a.kind == t.stage.Kind {
			continue
		}
		if span := min(within, due-a.until); span > 0 {
			sum += a.work.value(now) * float64(span)
		}
	}
	return time.Duration(sum)
}

// wait returns how long a task waits until work that is due earlier has started: accepted
// work and the work that is expected to arrive until then. Accepted work that is due at
// the same time runs first.
func (f *forecast) wait(now time.Time, t *task) time.Duration {
	step, due := f.step(now, t), t.due.Sub(now)
	if t.late(now) {
		due = horizon
	}
	ahead := f.workUntil(step, t.job.Rank)
	done := func(within time.Duration) bool {
		return f.capacity(within) >= ahead+t.expected(now, within, due)
	}
	if done(0) {
		return f.first
	}
	// The capacity grows ever faster and the expected work ever slower, so there is one
	// time from which the capacity suffices.
	low, high := time.Duration(0), horizon
	for high-low > time.Millisecond {
		if middle := (low + high) / 2; done(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return max(high, f.first)
}

// overdue returns by how much accepted work of a task's rank, or of more urgent ones,
// would start too late if the task ran before it. Work that would be late without the
// task does not count.
func (f *forecast) overdue(now time.Time, t *task) time.Duration {
	own := time.Duration(t.stage.Pieces) * t.pool.pieceTime(t.stage.Kind)
	first := f.step(now, t)
	work := f.workUntil(first, t.job.Rank)
	worst := time.Duration(0)
	for step := first + 1; step < forecastSteps-1; step++ {
		here := time.Duration(0)
		for rank, steps := range f.backlog {
			if rank <= t.job.Rank {
				here += steps[step]
			}
		}
		if here == 0 {
			continue
		}
		work += here
		due := time.Duration(step+1) * forecastStep
		spare := f.capacity(due) - work - t.expected(now, due, due)
		if spare >= 0 && spare < own {
			worst = max(worst, time.Duration(float64(own-spare)/f.speed))
		}
	}
	return worst
}
