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

// callTimeout is the minimum time after which a coordinator counts a call as lost.
const callTimeout = 1500 * time.Millisecond

// coordinator plans the stages of its share of the requests. It runs in failure domain 0.
type coordinator struct {
	*simulation
	scheduler *batch.Scheduler
	attempts  map[batch.JobID]*attempt // whose stages are not finished
	nextWake  time.Time
	replaced  bool
}

// newCoordinator returns a coordinator that does not know which calls and results the
// upstreams have.
func (r *simulation) newCoordinator() *coordinator {
	policy := batch.Policy{
		Usual: r.deployment.Policy.Usual,
		Low:   r.deployment.Policy.Low,
	}
	if r.deployment.Policy.Admission == deployment.All {
		policy = batch.Policy{}
	}
	c := &coordinator{
		simulation: r,
		scheduler:  batch.New(policy),
		attempts:   make(map[batch.JobID]*attempt),
	}
	c.scheduler.Configure(r.services, func(name ident.ServiceName) []fleet.Upstream { return r.upstreams[name] })
	return c
}

// takeover replaces the coordinators. Attempts whose stages are not finished are
// submitted again; the calls and results that the upstreams have for them are lost.
func (r *simulation) takeover() {
	for i, old := range r.coordinators {
		old.replaced = true
		c := r.newCoordinator()
		r.coordinators[i] = c
		for _, id := range slices.Sorted(maps.Keys(old.attempts)) {
			a := old.attempts[id]
			a.coordinator = c
			c.submit(a)
		}
	}
}

// submit submits an attempt to the scheduler; if that refuses it, the refusal goes to
// the attempt's host.
func (c *coordinator) submit(a *attempt) {
	if a.ended {
		return
	}
	if err := c.scheduler.Submit(c.clock.Now(), a.job); err != nil {
		a.host.after(c.latency(0, a.host.domain), func() { a.refuse(err) })
		return
	}
	c.attempts[a.job.ID] = a
	c.runScheduler()
}

// cancel cancels the stages of an attempt and releases their results.
func (c *coordinator) cancel(a *attempt) {
	delete(c.attempts, a.job.ID)
	c.scheduler.Cancel(a.job.ID)
	c.runScheduler()
}

// runScheduler carries out the scheduler's actions and schedules its next wake-up.
func (c *coordinator) runScheduler() {
	if c.replaced {
		return
	}
	now := c.clock.Now()
	actions := c.scheduler.Plan(now)
	for _, done := range actions.Done {
		c.finishStages(done)
	}
	for _, release := range actions.Releases {
		c.clock.After(localLatency, func() { c.results.Release(release.Handles) })
	}
	for _, call := range actions.Calls {
		c.sendCall(call)
	}
	if !actions.Wake.IsZero() && (c.nextWake.IsZero() || !c.nextWake.After(now) || actions.Wake.Before(c.nextWake)) {
		c.nextWake = actions.Wake
		c.clock.After(actions.Wake.Sub(now), c.runScheduler)
	}
}

// sendCall sends a batch to its upstream and handles the response.
func (c *coordinator) sendCall(call batch.Call) {
	c.report.Calls++
	c.report.Items += len(call.Items)
	latency := c.latency(0, c.domains[call.Upstream.ID])
	c.clock.After(latency, func() {
		accepted := c.stages[call.Upstream.ID].Call(call.Items, func(results []wire.ItemResult, took time.Duration) {
			c.charge(call, took)
			c.clock.After(latency, func() {
				c.finishCall(call.ID, batch.Completed{
					Results: results,
				})
			})
		})
		if !accepted {
			c.report.FullCalls++
			c.clock.After(latency, func() { c.finishCall(call.ID, batch.Refused{}) })
		}
	})
	c.clock.After(max(callTimeout, 4*call.Expected), func() { c.finishCall(call.ID, batch.Lost{}) })
}

// charge splits the time of a call evenly among its items.
func (c *coordinator) charge(call batch.Call, took time.Duration) {
	c.report.StageTime += took
	for _, item := range call.Items {
		c.simulation.attempts[item.Request].stageTime += took / time.Duration(len(call.Items))
	}
}

// finishCall reports the outcome of a call to the scheduler, which ignores all but the
// first one.
func (c *coordinator) finishCall(id batch.CallID, outcome batch.Outcome) {
	c.scheduler.FinishCall(c.clock.Now(), id, outcome)
	c.runScheduler()
}

// finishStages sends the outcome of an attempt's stages to its host.
func (c *coordinator) finishStages(done batch.Done) {
	a, ok := c.attempts[done.Job]
	if !ok {
		return
	}
	delete(c.attempts, done.Job)
	a.host.after(c.latency(0, a.host.domain), func() {
		if done.Err != nil {
			a.refuse(done.Err)
			return
		}
		a.generate(done.Domain)
	})
}
