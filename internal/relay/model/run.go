package model

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// wayTime is the way of a message between a coordinator and an upstream.
	wayTime = 2 * time.Millisecond
	// callPatience is when a coordinator gives up a call that is not answered.
	callPatience = 1500 * time.Millisecond
	// spread is the standard deviation of the logarithm of random amounts.
	spread = 0.5
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int // keeps the order of events at the same time
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// request is one request of the load.
type request struct {
	id      ident.RequestID
	kind    int
	arrived time.Time
	host    float64 // that forwards it, as a place among all hosts from 0 to 1
	job     batch.Job
}

// coordinator is one that plans the stages of its share of the requests.
type coordinator struct {
	scheduler *batch.Scheduler
	requests  map[batch.JobID]*request // whose stages are not finished
	wake      time.Time
	dead      bool
}

// run is a run in progress.
type run struct {
	deployment   Deployment
	random       *rand.Rand
	start        time.Time
	now          time.Time
	queue        events
	number       int
	upstreams    map[ident.UpstreamID]*upstream
	byHandle     map[wire.Handle]*upstream
	services     map[ident.ServiceName]*routes.Service
	ready        map[ident.ServiceName][]fleet.Upstream
	coordinators []*coordinator
	byRequest    map[ident.RequestID]*request
	handles      int
	jobs         batch.JobID
	report       Report
}

// Run plays a deployment with a seed.
func Run(deployment Deployment, seed uint64) Report {
	r := &run{
		deployment: deployment,
		random:     rand.New(rand.NewPCG(seed, seed)),
		start:      time.Unix(1_700_000_000, 0),
		upstreams:  make(map[ident.UpstreamID]*upstream),
		byHandle:   make(map[wire.Handle]*upstream),
		byRequest:  make(map[ident.RequestID]*request),
		services:   make(map[ident.ServiceName]*routes.Service),
		ready:      make(map[ident.ServiceName][]fleet.Upstream),
	}
	r.now = r.start
	r.build()
	for i, kind := range deployment.Kinds {
		r.report.Kinds = append(r.report.Kinds, Result{
			Kind: kind.Name,
		})
		r.arrival(i)
	}
	for _, fault := range deployment.Faults {
		if fault.Slow == 0 {
			r.after(fault.To, func() { r.restart(fault) })
		}
	}
	for _, at := range deployment.Takeovers {
		r.after(at, r.takeover)
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.do()
	}
	return r.report
}

func (r *run) build() {
	for _, pool := range r.deployment.Pools {
		r.services[pool.Service] = &routes.Service{
			Name:  pool.Service,
			Batch: &pool.Limits,
		}
		for i := range pool.Upstreams {
			u := &upstream{
				Upstream: fleet.Upstream{
					ID:      ident.UpstreamID(fmt.Sprintf("%s-%d", pool.Service, i)),
					Service: pool.Service,
					Address: ident.Address(fmt.Sprintf("%s-%d", pool.Service, i)),
					Domain:  ident.FailureDomain(fmt.Sprint(i % max(1, r.deployment.Domains))),
				},
				index:   i,
				limits:  pool.Limits,
				results: make(map[wire.Handle]stored),
			}
			r.upstreams[u.ID] = u
			r.ready[pool.Service] = append(r.ready[pool.Service], u.Upstream)
		}
	}
	for range max(1, r.deployment.Coordinators) {
		r.coordinators = append(r.coordinators, r.coordinator())
	}
}

// coordinator returns one that knows nothing of what the upstreams do and hold.
func (r *run) coordinator() *coordinator {
	c := &coordinator{
		scheduler: batch.New(),
		requests:  make(map[batch.JobID]*request),
	}
	c.scheduler.Configure(r.services, func(name ident.ServiceName) []fleet.Upstream { return r.ready[name] })
	return c
}

// takeover replaces the coordinators. The requests whose stages are not finished
// are submitted again; what the upstreams do and hold for them is lost.
func (r *run) takeover() {
	for i, old := range r.coordinators {
		old.dead = true
		c := r.coordinator()
		r.coordinators[i] = c
		for _, id := range slices.Sorted(maps.Keys(old.requests)) {
			r.submit(c, old.requests[id])
		}
		r.act(c)
	}
}

// restart brings lost upstreams back; they hold nothing of before.
func (r *run) restart(fault Fault) {
	for _, u := range r.upstreams {
		if u.Service == fault.Service && u.index < fault.Upstreams {
			u.life++
			u.running = 0
			u.queue = nil
			u.used = 0
			clear(u.results)
		}
	}
}

func (r *run) after(d time.Duration, do func()) {
	r.number++
	heap.Push(&r.queue, event{
		at:     r.now.Add(d),
		number: r.number,
		do:     do,
	})
}

// arrival schedules the next request of a kind.
func (r *run) arrival(kind int) {
	k := r.deployment.Kinds[kind]
	rate := k.Rate
	elapsed := r.now.Sub(r.start)
	for _, burst := range r.deployment.Bursts {
		if (burst.Kind == "" || burst.Kind == k.Name) && elapsed >= burst.From && elapsed < burst.To {
			rate *= burst.Factor
		}
	}
	pause := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	if elapsed+pause > r.deployment.Length {
		return
	}
	r.after(pause, func() {
		r.ask(kind)
		r.arrival(kind)
	})
}

// ask submits a new request.
func (r *run) ask(kind int) {
	k := r.deployment.Kinds[kind]
	result := &r.report.Kinds[kind]
	result.Asked++
	result.Owed += k.Worth
	r.jobs++
	q := &request{
		id:      ident.RequestID(fmt.Sprint(r.jobs)),
		kind:    kind,
		arrived: r.now,
		host:    r.random.Float64(),
	}
	r.byRequest[q.id] = q
	c := r.coordinators[r.random.IntN(len(r.coordinators))]
	q.job = batch.Job{
		ID:        r.jobs,
		Request:   q.id,
		Domain:    ident.FailureDomain(fmt.Sprint(r.random.IntN(max(1, r.deployment.Domains)))),
		Rank:      k.Rank,
		Key:       string(q.id),
		Objective: r.now.Add(k.Objective - k.Generate),
		Deadline:  r.now.Add(k.Deadline - k.Generate),
	}
	for i, stage := range k.Stages {
		q.job.Stages = append(q.job.Stages, batch.Stage{
			Service: stage.Service,
			Kind:    batch.Kind(fmt.Sprintf("%s/%d", k.Name, i)),
			After:   stage.After,
			Pieces:  r.pieces(stage),
			Bytes:   stage.Bytes,
		})
	}
	r.submit(c, q)
	r.act(c)
}

// submit hands a request to a coordinator.
func (r *run) submit(c *coordinator, q *request) {
	if err := c.scheduler.Submit(r.now, q.job); err != nil {
		r.report.Kinds[q.kind].Refused++
		return
	}
	c.requests[q.job.ID] = q
}

func (r *run) pieces(stage Stage) int {
	if stage.Share > 0 && r.random.Float64() >= stage.Share {
		return 0
	}
	if stage.Fixed {
		return int(stage.Pieces)
	}
	return max(1, int(math.Round(r.about(stage.Pieces))))
}

// about returns a random amount with a mean.
func (r *run) about(mean float64) float64 {
	return mean * math.Exp(spread*r.random.NormFloat64()-spread*spread/2)
}

// act carries out what a coordinator decides.
func (r *run) act(c *coordinator) {
	if c.dead {
		return
	}
	actions := c.scheduler.Next(r.now)
	for _, done := range actions.Done {
		r.finish(c, done)
	}
	for _, release := range actions.Releases {
		r.after(wayTime, func() {
			for _, handle := range release.Handles {
				if u := r.byHandle[handle]; u != nil {
					u.drop(handle)
				}
			}
		})
	}
	for _, call := range actions.Calls {
		r.send(c, call)
	}
	if !actions.Wake.IsZero() && (c.wake.IsZero() || !c.wake.After(r.now) || actions.Wake.Before(c.wake)) {
		c.wake = actions.Wake
		r.after(actions.Wake.Sub(r.now), func() { r.act(c) })
	}
}

// send takes a call to its upstream.
func (r *run) send(from *coordinator, call batch.Call) {
	r.report.Calls++
	r.report.Items += len(call.Items)
	u := r.upstreams[call.Upstream.ID]
	t := &turn{
		call: call,
		from: from,
	}
	r.after(wayTime, func() {
		if !r.arrive(u, t) {
			r.report.Rejected++
			r.after(wayTime, func() { r.end(from, call.ID, batch.Refused{}) })
		}
	})
	r.after(max(callPatience, 4*call.Expected), func() { r.end(from, call.ID, batch.Lost{}) })
}

// answer takes the answer of a call to its coordinator.
func (r *run) answer(_ *upstream, t *turn) {
	r.after(wayTime, func() {
		r.end(t.from, t.call.ID, batch.Completed{
			Results: t.results,
		})
	})
}

// end tells a coordinator of the end of a call; a second end has no effect.
func (r *run) end(from *coordinator, id batch.CallID, outcome batch.Outcome) {
	from.scheduler.Finish(r.now, id, outcome)
	r.act(from)
}

// finish takes the end of a request's stages.
func (r *run) finish(c *coordinator, done batch.Done) {
	q, ok := c.requests[done.Job]
	if !ok {
		return
	}
	delete(c.requests, done.Job)
	kind := r.deployment.Kinds[q.kind]
	result := &r.report.Kinds[q.kind]
	if done.Err != nil {
		result.Failed++
		return
	}
	r.after(r.frozen(q)+time.Duration(r.about(float64(kind.Generate))), func() {
		c.scheduler.Cancel(done.Job)
		r.act(c)
		switch took := r.now.Sub(q.arrived); {
		case took <= kind.Objective:
			result.OnTime++
			result.Earned += kind.Worth
		case took <= kind.Deadline:
			result.Late++
			result.Earned += kind.Late
		default:
			result.Failed++
		}
	})
}

// frozen returns how long the host of a request still stands still.
func (r *run) frozen(q *request) time.Duration {
	elapsed := r.now.Sub(r.start)
	for _, freeze := range r.deployment.Freezes {
		if q.host < freeze.Share && elapsed >= freeze.From && elapsed < freeze.To {
			return freeze.To - elapsed
		}
	}
	return 0
}

// stage returns the stage that an item belongs to.
func (r *run) stage(item wire.Item) Stage {
	return r.deployment.Kinds[r.byRequest[item.Request].kind].Stages[item.Stage]
}

func (r *run) handle(u *upstream) wire.Handle {
	r.handles++
	handle := wire.Handle(fmt.Sprintf("%s/%d", u.Address, r.handles))
	r.byHandle[handle] = u
	return handle
}

// holds reports whether a result is still at its upstream.
func (r *run) holds(handle wire.Handle) bool {
	u := r.byHandle[handle]
	if u == nil {
		return false
	}
	s, ok := u.results[handle]
	return ok && !r.now.After(s.ends)
}

// slowness returns the time of a call as a multiple; 0 if there is no answer.
func (r *run) slowness(u *upstream) float64 {
	elapsed := r.now.Sub(r.start)
	for _, fault := range r.deployment.Faults {
		if fault.Service == u.Service && u.index < fault.Upstreams && elapsed >= fault.From && elapsed < fault.To {
			return fault.Slow
		}
	}
	return 1
}
