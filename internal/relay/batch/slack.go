package batch

import (
	"slices"
	"time"
)

// slackState is the state of slack-aware scheduling.
type slackState struct {
	enabled      bool
	forecastAt   time.Time // time of the forecasts of all pools
	forecastCall CallID    // latest call that they take into account
	predictions  []Prediction
	acceptance   acceptance
}

// poolSlack is the state of slack-aware scheduling for one pool.
type poolSlack struct {
	arrivals []*arrivals // recent ones by kind, sorted by kind
	forecast *forecast
	items    float64 // moving average of the number of items per call
}

// schedule is when a task has to start and end so that its job meets its objective. Its
// times are set when the job is accepted or restarted.
type schedule struct {
	due      time.Time     // when the task should start; leaves their share of the slack to later stages
	finishBy time.Time     // when a call should end that starts at due with only this task
	latest   time.Time     // when the task must start if the stages after it run without delay
	rest     time.Duration // least time that the task and the stages after it take
	urgent   bool          // due when the job arrived, or soon after
}

// late reports whether the job can no longer meet its objective.
func (t *task) late(now time.Time) bool {
	return now.After(t.latest)
}

// shareSlack sets the schedule of each task of a job. The slack of the job, which is the
// time until its objective minus the time that its stages take without load, is shared
// equally by the stages that run one after the other: a first stage that used all of it
// would leave none for the queues of later stages.
func (j *job) shareSlack(now time.Time) {
	for _, t := range j.tasks {
		if t.stage.Pieces == 0 {
			continue
		}
		t.rest = t.remaining()
		t.latest = j.Objective.Add(-t.rest)
		t.due = t.latest
		if slack := t.latest.Sub(now) - t.timeToStart(); slack > 0 {
			after := t.stagesAfter()
			t.due = t.due.Add(-slack * time.Duration(after) / time.Duration(t.stagesBefore()+1+after))
		}
		t.finishBy = t.due.Add(t.pool.singleCallTime(t.stage))
		t.urgent = t.due.Sub(now)-t.timeToStart() < t.pool.fullCallTime()
	}
}

// stagesBefore returns the number of stages that run one after the other before a task.
func (t *task) stagesBefore() int {
	longest := 0
	for _, dep := range t.stage.After {
		if b := t.job.tasks[dep]; b.stage.Pieces > 0 {
			longest = max(longest, b.stagesBefore()+1)
		}
	}
	return longest
}

// stagesAfter returns the number of stages that run one after the other after a task.
func (t *task) stagesAfter() int {
	longest := 0
	for _, next := range t.job.tasks {
		if next.stage.Pieces > 0 && slices.Contains(next.stage.After, t.index) {
			longest = max(longest, next.stagesAfter()+1)
		}
	}
	return longest
}

// endLimit returns when a call with the task has to end, if the call would end at soloEnd
// without other tasks. ok is false if the job cannot meet its objective in this call
// anyway.
func (t *task) endLimit(soloEnd time.Time) (limit time.Time, ok bool) {
	if !soloEnd.After(t.finishBy) {
		return t.finishBy, true
	}
	end := t.latest.Add(t.pool.singleCallTime(t.stage))
	return end, !soloEnd.After(end)
}

// sharedCallTime returns the duration of a call that has all pieces of a stage and as many
// items as recent calls.
func (p *pool) sharedCallTime(stage Stage) time.Duration {
	others := max(0, p.slack.items-float64(stage.Pieces))
	return p.singleCallTime(stage) + time.Duration(others*float64(p.limits.ItemTime))
}

// SetSlackAware enables or disables slack-aware admission and batching. Accepted jobs
// stay accepted.
func (s *Scheduler) SetSlackAware(enabled bool) {
	s.slack.enabled = enabled
}

// SlackAware reports whether admission and batching are slack-aware.
func (s *Scheduler) SlackAware() bool {
	return s.slack.enabled
}

// order is the position of a task in the queue of a pool.
type order uint8

const (
	orderUrgent   order = iota // has to start a call of its own if it fits into no other
	orderPressing              // cannot meet its objective, and has to start to meet its deadline
	orderPatient               // may wait for a fuller call
	orderLate                  // cannot meet its objective, and may wait for spare room
)

// rankLimit is when a batch has to end for a job of a rank to be on time.
type rankLimit struct {
	rank Rank
	end  time.Time
}
