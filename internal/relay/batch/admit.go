package batch

import (
	"slices"
	"time"
)

const (
	// slackWeight is the weight of a job in the moving average of the slack of the
	// most urgent jobs.
	slackWeight = 0.05
	// urgentRank is the highest rank of the most urgent jobs, usualRank that of
	// jobs with the usual share.
	urgentRank Rank = 0
	usualRank  Rank = 1
)

// Policy bounds how much the stages of a job may be delayed, as shares of the slack
// that the most urgent jobs usually have. The zero Policy refuses only jobs that
// cannot meet their deadline.
type Policy struct {
	Usual float64
	Low   float64 // of less urgent jobs
}

// DefaultPolicy refuses less urgent work while there is still room for more urgent
// work that is about to arrive.
func DefaultPolicy() Policy {
	return Policy{
		Usual: 0.85,
		Low:   0.5,
	}
}

// share returns the part of the usual slack by which jobs of a rank may be delayed.
func (p Policy) share(r Rank) float64 {
	if r <= usualRank {
		return p.Usual
	}
	return p.Low
}

// admit refuses a job that would be delayed too much.
//
// Without a limit the queues grow in a burst until every answer is late. The
// limit is the slack that the most urgent jobs usually have, also for jobs with
// more slack: otherwise those fill the queues up to their own limit, at which
// more urgent jobs have no chance.
func (s *Scheduler) admit(now time.Time, j *job) error {
	took, alone := s.estimate(now, j)
	if end := now.Add(took); end.After(j.Deadline) {
		return &Overload{
			Delay: took - alone,
			Limit: j.Deadline.Sub(now) - alone,
		}
	}
	if s.policy == (Policy{}) {
		return nil
	}
	slack := j.Objective.Sub(now) - alone
	if j.Rank <= urgentRank && slack > 0 {
		s.observe(slack)
	}
	allowed := slack
	if s.slack > 0 {
		usual := time.Duration(s.policy.share(j.Rank) * float64(s.slack))
		if slack <= 0 {
			// It is late in any case, for example after an upstream was lost.
			allowed = usual
		}
		allowed = min(allowed, usual)
	}
	if delay := took - alone; delay > max(allowed, 0) {
		return &Overload{
			Delay: delay,
			Limit: allowed,
		}
	}
	return nil
}

// observe takes the slack of a job of the most urgent rank.
func (s *Scheduler) observe(slack time.Duration) {
	if s.slack == 0 {
		s.slack = slack
	}
	s.slack += time.Duration(slackWeight * float64(slack-s.slack))
}

// estimate returns the time that the stages of a job take at the present load,
// and the time that they take alone.
func (s *Scheduler) estimate(now time.Time, j *job) (took, alone time.Duration) {
	loads := s.loads(now)
	ends := make([]time.Duration, len(j.tasks))
	for i, t := range j.tasks {
		start := time.Duration(0)
		for _, before := range t.stage.After {
			start = max(start, ends[before])
		}
		ends[i] = start
		if t.stage.Pieces > 0 {
			// Work that is ahead of it now is gone by the time of a later stage.
			ends[i] = max(start, loads[t.pool]) + t.pool.alone(t.stage)
			alone = max(alone, t.head()+t.remaining())
		}
		took = max(took, ends[i])
	}
	return took, alone
}

// loads returns how long each pool takes for the calls in progress and all work
// of the accepted jobs, later stages included, in full batches.
func (s *Scheduler) loads(now time.Time) map[*pool]time.Duration {
	work := make(map[*pool]time.Duration)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if len(t.waiting) > 0 {
				share := t.pool.limits.CallTime/time.Duration(t.pool.limits.Items) + t.pool.itemTime(t.stage.Kind)
				work[t.pool] += time.Duration(len(t.waiting)) * share
			}
		}
	}
	loads := make(map[*pool]time.Duration)
	for _, p := range s.pools {
		rate := 0.0
		busy := work[p]
		for _, w := range p.workers {
			rate += 1 / w.pace
			busy += time.Duration(float64(w.available(now).Sub(now)) / w.pace)
		}
		if rate > 0 {
			loads[p] = time.Duration(float64(busy) / rate)
		}
	}
	return loads
}

// head is the least time until a task can start.
func (t *task) head() time.Duration {
	longest := time.Duration(0)
	for _, before := range t.stage.After {
		if b := t.job.tasks[before]; b.stage.Pieces > 0 {
			longest = max(longest, b.head()+b.pool.alone(b.stage))
		}
	}
	return longest
}

// remaining returns the least time that a task and the stages after it take.
func (t *task) remaining() time.Duration {
	longest := time.Duration(0)
	for _, next := range t.job.tasks {
		if next.stage.Pieces > 0 && slices.Contains(next.stage.After, t.index) {
			longest = max(longest, next.remaining())
		}
	}
	return t.pool.alone(t.stage) + longest
}
