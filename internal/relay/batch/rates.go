package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rateWindow is the time constant of the moving averages of arrivals. It is short against
// the waves of demand, and long enough for dozens of arrivals of a frequent kind.
const rateWindow = time.Second

// rate is a moving average of arrivals per second with an exponential window.
type rate struct {
	perSecond float64
	at        time.Time // of the latest arrival
}

// observe records an arrival of an amount.
func (r *rate) observe(now time.Time, amount float64) {
	r.perSecond = r.value(now) + amount/rateWindow.Seconds()
	r.at = now
}

// value returns the present average.
func (r *rate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// arrivals describes the recent arrivals of one kind of stage at a pool.
type arrivals struct {
	kind   Kind
	rank   Rank          // of the latest job
	work   rate          // seconds of upstream time, in full calls
	urgent rate          // tasks that are urgent when they are submitted
	until  time.Duration // moving average of the time from submission to due
}

// untilWeight is the weight of a job in the moving average of the time until it is due.
const untilWeight = 0.1

// observeArrival records that a job was submitted, whether it is accepted or not: work
// that is refused now shows what arrives next.
func (s *Scheduler) observeArrival(now time.Time, j *job) {
	for _, t := range j.tasks {
		if t.stage.Pieces == 0 {
			continue
		}
		a := t.pool.arrivalsOf(t.stage.Kind)
		until := t.due.Sub(now)
		if a.work.at.IsZero() {
			a.until = until
		}
		if j.Rank != ResumedRank { // which says nothing about other jobs of the kind
			a.rank = j.Rank
		}
		if !t.late(now) {
			a.until += time.Duration(untilWeight * float64(until-a.until))
		}
		a.work.observe(now, (time.Duration(t.stage.Pieces) * t.pool.pieceTime(t.stage.Kind)).Seconds())
		if t.urgent {
			a.urgent.observe(now, 1)
		}
	}
}

// arrivalsOf returns the record of a kind; the records are sorted, so that the same
// events lead to the same plans.
func (p *pool) arrivalsOf(kind Kind) *arrivals {
	i, found := slices.BinarySearchFunc(p.slack.arrivals, kind, func(a *arrivals, k Kind) int { return cmp.Compare(a.kind, k) })
	if !found {
		p.slack.arrivals = slices.Insert(p.slack.arrivals, i, &arrivals{
			kind: kind,
		})
	}
	return p.slack.arrivals[i]
}

// expectedUrgentCalls returns how many calls urgent work starts within the duration of a
// call if each urgent task starts one.
func (p *pool) expectedUrgentCalls(now time.Time) int {
	perSecond := 0.0
	for _, a := range p.slack.arrivals {
		perSecond += a.urgent.value(now)
	}
	return int(math.Ceil(perSecond * p.fullCallTime().Seconds()))
}
