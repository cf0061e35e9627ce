package play

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// callPatience is when a coordinator gives up a call that is not answered.
const callPatience = 1500 * time.Millisecond

// coordinator is one that plans the stages of its share of the requests.
type coordinator struct {
	*run
	scheduler *batch.Scheduler
	attempts  map[batch.JobID]*attempt // whose stages are not finished
	wake      time.Time
	dead      bool
}

// newCoordinator returns one that knows nothing of what the upstreams do and hold.
func (r *run) newCoordinator() *coordinator {
	policy := batch.Policy{
		Usual: r.deployment.Policy.Usual,
		Low:   r.deployment.Policy.Low,
	}
	if r.deployment.Policy.Admission == deployment.All {
		policy = batch.Policy{}
	}
	c := &coordinator{
		run:       r,
		scheduler: batch.New(policy),
		attempts:  make(map[batch.JobID]*attempt),
	}
	c.scheduler.Configure(r.services, func(name ident.ServiceName) []fleet.Upstream { return r.ready[name] })
	return c
}

// takeover replaces the coordinators. The requests whose stages are not finished
// are submitted again; what the upstreams do and hold for them is lost.
func (r *run) takeover() {
	for i, old := range r.coordinators {
		old.dead = true
		c := r.newCoordinator()
		r.coordinators[i] = c
		for _, id := range slices.Sorted(maps.Keys(old.attempts)) {
			a := old.attempts[id]
			a.coordinator = c
			c.submit(a)
		}
	}
}

// submit hands an attempt in; a refusal goes back to its host.
func (c *coordinator) submit(a *attempt) {
	if a.over {
		return
	}
	if err := c.scheduler.Submit(c.clock.Now(), a.job); err != nil {
		a.host.after(c.way(0, a.host.domain), func() { a.refused(err) })
		return
	}
	c.attempts[a.job.ID] = a
	c.act()
}

// cancel drops the results of an attempt.
func (c *coordinator) cancel(a *attempt) {
	delete(c.attempts, a.job.ID)
	c.scheduler.Cancel(a.job.ID)
	c.act()
}

// act carries out what the scheduler decides.
func (c *coordinator) act() {
	if c.dead {
		return
	}
	now := c.clock.Now()
	actions := c.scheduler.Plan(now)
	for _, done := range actions.Done {
		c.finish(done)
	}
	for _, release := range actions.Releases {
		c.clock.After(nearTime, func() { c.results.Release(release.Handles) })
	}
	for _, call := range actions.Calls {
		c.call(call)
	}
	if !actions.Wake.IsZero() && (c.wake.IsZero() || !c.wake.After(now) || actions.Wake.Before(c.wake)) {
		c.wake = actions.Wake
		c.clock.After(actions.Wake.Sub(now), c.act)
	}
}

// call takes a batch to its upstream and its answer back.
func (c *coordinator) call(call batch.Call) {
	c.report.Calls++
	c.report.Items += len(call.Items)
	way := c.way(0, c.domains[call.Upstream.ID])
	c.clock.After(way, func() {
		accepted := c.stages[call.Upstream.ID].Call(call.Items, func(results []wire.ItemResult, took time.Duration) {
			c.charge(call, took)
			c.clock.After(way, func() {
				c.end(call.ID, batch.Completed{
					Results: results,
				})
			})
		})
		if !accepted {
			c.report.Full++
			c.clock.After(way, func() { c.end(call.ID, batch.Refused{}) })
		}
	})
	c.clock.After(max(callPatience, 4*call.Expected), func() { c.end(call.ID, batch.Lost{}) })
}

// charge shares the time of a call among its requests.
func (c *coordinator) charge(call batch.Call, took time.Duration) {
	c.report.Busy += took
	for _, item := range call.Items {
		c.run.attempts[item.Request].spent += took / time.Duration(len(call.Items))
	}
}

// end tells the scheduler of the end of a call; a second end has no effect.
func (c *coordinator) end(id batch.CallID, outcome batch.Outcome) {
	c.scheduler.FinishCall(c.clock.Now(), id, outcome)
	c.act()
}

// finish takes the end of the stages of an attempt to its host.
func (c *coordinator) finish(done batch.Done) {
	a, ok := c.attempts[done.Job]
	if !ok {
		return
	}
	delete(c.attempts, done.Job)
	a.host.after(c.way(0, a.host.domain), func() {
		if done.Err != nil {
			a.refused(done.Err)
			return
		}
		a.generate(done.Domain)
	})
}
