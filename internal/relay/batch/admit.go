package batch

import (
	"slices"
	"time"
)

const (
	// slackWeight is the weight of a job in the moving average of the slack of the most
	// urgent jobs.
	slackWeight = 0.05
	// urgentRank is the highest rank of the most urgent jobs. Jobs up to normalRank are
	// limited by Policy.Usual, jobs of higher ranks by Policy.Low.
	urgentRank Rank = 0
	normalRank Rank = 1
)

// Policy limits how long the stages of a job may be delayed, as shares of the
// average slack of the most urgent jobs. The slack of a job is the time until its
// objective minus the time that its stages take without load. The zero Policy
// refuses only jobs that cannot meet their deadline.
type Policy struct {
	Usual float64 // share for jobs of ranks 0 and 1
	Low   float64 // share for less urgent jobs
}

// DefaultPolicy returns a policy that refuses less urgent jobs while there is still
// capacity for more urgent jobs that are about to arrive.
func DefaultPolicy() Policy {
	return Policy{
		Usual: 0.85,
		Low:   0.5,
	}
}

// share returns the share of the average slack by which jobs of a rank may be delayed.
func (p Policy) share(r Rank) float64 {
	if r <= normalRank {
		return p.Usual
	}
	return p.Low
}

// admit returns an Overload error for a job that would be delayed too long.
//
// Without a limit, the queues would grow in a burst until every response is late. The
// limit is a share of the average slack of the most urgent jobs, also for jobs with
// more slack: otherwise those would fill the queues up to their own limit, and more
// urgent jobs would have no chance to be on time.
func (s *Scheduler) admit(now time.Time, j *job) error {
	if s.slack.enabled {
		return s.admitBySlack(now, j)
	}
	took, unloaded := s.estimate(now, j)
	if end := now.Add(took); end.After(j.Deadline) {
		return &Overload{
			Delay: took - unloaded,
			Limit: j.Deadline.Sub(now) - unloaded,
		}
	}
	if s.policy == (Policy{}) {
		return nil
	}
	if j.Rank == ResumedRank {
		return s.admitShare(now, j, took-unloaded, max(0, j.Deadline.Sub(now)-unloaded))
	}
	slack := j.Objective.Sub(now) - unloaded
	if j.Rank <= urgentRank && slack > 0 {
		s.observeSlack(slack)
	}
	allowed := slack
	if s.urgentSlack > 0 {
		limit := time.Duration(s.policy.share(j.Rank) * float64(s.urgentSlack))
		if slack <= 0 {
			// The job is late even without load, for example after an upstream was lost.
			allowed = limit
		}
		allowed = min(allowed, limit)
	}
	if delay := took - unloaded; delay > max(allowed, 0) {
		return &Overload{
			Delay: delay,
			Limit: allowed,
		}
	}
	return s.admitShare(now, j, took-unloaded, max(allowed, 0))
}

// observeSlack updates the average slack by a job of the most urgent rank.
func (s *Scheduler) observeSlack(slack time.Duration) {
	if s.urgentSlack == 0 {
		s.urgentSlack = slack
	}
	s.urgentSlack += time.Duration(slackWeight * float64(slack-s.urgentSlack))
}

// estimate returns the time that the stages of a job take at the present load, and
// the time that they take without load.
func (s *Scheduler) estimate(now time.Time, j *job) (took, unloaded time.Duration) {
	loads := s.loads(now)
	ends := make([]time.Duration, len(j.tasks))
	for i, t := range j.tasks {
		start := time.Duration(0)
		for _, dep := range t.stage.After {
			start = max(start, ends[dep])
		}
		ends[i] = start
		if t.stage.Pieces > 0 {
			// Work that is queued now is done by the time that a later stage starts.
			ends[i] = max(start, loads[t.pool]) + t.pool.singleCallTime(t.stage)
			unloaded = max(unloaded, t.timeToStart()+t.remaining())
		}
		took = max(took, ends[i])
	}
	return took, unloaded
}

// loads returns how long each pool takes to run the calls in progress and all work
// of the accepted jobs, later stages included, in full batches.
func (s *Scheduler) loads(now time.Time) map[*pool]time.Duration {
	work := make(map[*pool]time.Duration)
	for _, j := range s.jobs {
		for _, t := range j.tasks {
			if len(t.waiting) > 0 {
				work[t.pool] += time.Duration(len(t.waiting)) * t.pool.pieceTime(t.stage.Kind)
			}
		}
	}
	loads := make(map[*pool]time.Duration)
	for _, p := range s.pools {
		loads[p] = p.load(now, work[p])
	}
	return loads
}

// load returns how long the workers take to run their calls in progress and some work,
// which they share. Workers in backoff beyond that time take no part.
func (p *pool) load(now time.Time, work time.Duration) time.Duration {
	rate, busy := p.speed(), float64(work)
	var inBackoff []*worker
	for _, w := range p.workers {
		busy += float64(w.available(now).Sub(now)) / w.slowdown()
		if w.backoffUntil.After(now) {
			inBackoff = append(inBackoff, w)
		}
	}
	slices.SortFunc(inBackoff, func(a, b *worker) int { return b.available(now).Compare(a.available(now)) })
	left := len(p.workers)
	for _, w := range inBackoff {
		wait := float64(w.available(now).Sub(now))
		if left == 1 || wait <= busy/rate {
			break
		}
		left--
		rate -= 1 / w.slowdown()
		busy -= wait / w.slowdown()
	}
	if left == 0 {
		return 0
	}
	return time.Duration(busy / rate)
}

// timeToStart returns the least time from the start of the job to the start of the
// task.
func (t *task) timeToStart() time.Duration {
	longest := time.Duration(0)
	for _, dep := range t.stage.After {
		if b := t.job.tasks[dep]; b.stage.Pieces > 0 {
			longest = max(longest, b.timeToStart()+b.pool.singleCallTime(b.stage))
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
	return t.pool.singleCallTime(t.stage) + longest
}
