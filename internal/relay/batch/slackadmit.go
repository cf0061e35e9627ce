package batch

import "time"

const (
	// admitShare is the share of its slack by which a job may be delayed. The rest is for
	// upstreams that are slower than expected.
	admitShare = 0.9
	// spareShare is the share of the capacity of a pool that arrivals may need for jobs to be
	// accepted that may be late.
	spareShare = 0.8
)

// admitBySlack returns an Overload error for a job that cannot be on time, given the work
// that is due earlier and the more urgent work that is expected, or that would make
// accepted work late.
//
// This is for load in which objectives differ widely: a limit for all jobs that suits the
// most urgent ones refuses jobs that could wait.
func (s *Scheduler) admitBySlack(now time.Time, j *job) error {
	s.observeArrival(now, j)
	s.updateForecasts(now)
	kind := j.kind()
	if s.slack.acceptance.belowFloor(kind) {
		j.Rank = floorRank
	}
	err := s.checkSlack(now, j)
	s.slack.acceptance.observe(kind, err == nil)
	return err
}

// checkSlack returns the error of admitBySlack for a job, given the forecasts.
func (s *Scheduler) checkSlack(now time.Time, j *job) error {
	took, unloaded := s.predict(now, j)
	delay := took - unloaded
	if now.Add(took).After(j.Deadline) {
		return &Overload{
			Delay: delay,
			Limit: j.Deadline.Sub(now) - unloaded,
		}
	}
	allowed := max(0, time.Duration(admitShare*float64(j.Objective.Sub(now)-unloaded)))
	excess := delay - allowed
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && !t.late(now) {
			excess = max(excess, t.pool.slack.forecast.overdue(now, t))
		}
	}
	if excess > 0 && !s.hasSpare(now, j) {
		return &Overload{
			Delay: allowed + excess,
			Limit: allowed,
		}
	}
	if j.Rank > urgentRank {
		// The most urgent kind is not refused for the share: its organisation makes up for
		// it by kinds that can wait, which would otherwise be served more often.
		if err := s.admitShare(now, j, delay, allowed); err != nil {
			return err
		}
	}
	j.expected = now.Add(took)
	return nil
}

// predict returns the time that the stages of a job take, and the time that they take
// without load.
func (s *Scheduler) predict(now time.Time, j *job) (took, unloaded time.Duration) {
	ends := make([]time.Duration, len(j.tasks))
	for i, t := range j.tasks {
		for _, dep := range t.stage.After {
			ends[i] = max(ends[i], ends[dep])
		}
		if t.stage.Pieces > 0 {
			f := t.pool.slack.forecast
			// Work ahead of a later stage runs while the earlier stages run.
			call := float64(t.pool.sharedCallTime(t.stage)) * f.meanSlowdown()
			ends[i] = max(ends[i], f.wait(now, t)) + time.Duration(call)
			unloaded = max(unloaded, t.timeToStart()+t.rest)
		}
		took = max(took, ends[i])
	}
	return took, unloaded
}

// hasSpare reports whether a job that may be late takes no capacity from jobs of its rank,
// or of more urgent ones, that can be on time: their recent arrivals leave a part of the
// capacity unused. Work that is late runs after work that can be on time, so it has to wait
// until less urgent work leaves room; it is known to meet its deadline.
func (s *Scheduler) hasSpare(now time.Time, j *job) bool {
	for _, t := range j.tasks {
		if t.stage.Pieces == 0 {
			continue
		}
		f := t.pool.slack.forecast
		offered := 0.0
		for _, a := range t.pool.slack.arrivals {
			if a.rank <= j.Rank {
				offered += a.work.value(now)
			}
		}
		if offered > spareShare*f.speed {
			return false
		}
	}
	return true
}

// Prediction compares the expected and the actual end of the stages of a job.
type Prediction struct {
	OnTime bool          // they were expected to meet the objective
	Met    bool          // they met it
	Late   time.Duration // actual end minus expected end; 0 if the job failed
}

// observeEnd records whether the prediction for a job was right.
func (s *Scheduler) observeEnd(j *job, met bool, late time.Duration) {
	if j.expected.IsZero() {
		return
	}
	s.slack.predictions = append(s.slack.predictions, Prediction{
		OnTime: !j.expected.After(j.Objective),
		Met:    met,
		Late:   late,
	})
}
