package batch_test

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// The load of the first deployment in docs/hard-load.md: its kinds of requests with
// stages, and its stage services.
const (
	registry = ident.ServiceName("donor-registry")
	stock    = ident.ServiceName("centre-stock")
	notifier = ident.ServiceName("sms-notify")
	calm     = 3 * time.Second
	burst    = 2 * time.Second
)

type kind struct {
	name                string
	rank                batch.Rank
	rate                float64 // requests per second
	burst               float64 // factor of the rate in a burst
	objective, deadline time.Duration
}

var kinds = []kind{
	{name: "summary", rank: 0, rate: 68, burst: 1, objective: ms(800), deadline: 12 * time.Second},
	{name: "chat", rank: 1, rate: 96, burst: 2.3, objective: 2 * time.Second, deadline: 12 * time.Second},
	{name: "triage", rank: 2, rate: 152, burst: 2.3, objective: 4 * time.Second, deadline: 6 * time.Second},
}

func (k kind) stages(random *rand.Rand) []batch.Stage {
	one := func(service ident.ServiceName, index, pieces int, after ...int) batch.Stage {
		return batch.Stage{
			Service: service,
			Kind:    batch.Kind(fmt.Sprint(k.name, index)),
			After:   after,
			Pieces:  pieces,
			Bytes:   1000,
		}
	}
	extra := func(share float64) int { // 2 or 3 pieces, or for triage 1 or 2
		if random.Float64() >= share {
			return 0
		}
		return 1 + random.IntN(2)
	}
	if k.name == "summary" {
		pieces := extra(0.7)
		if pieces > 0 {
			pieces++
		}
		return []batch.Stage{one(registry, 0, pieces)}
	}
	stages := []batch.Stage{one(registry, 0, 1), one(stock, 1, 4, 0), one(notifier, 2, 6, 1)}
	if k.name == "triage" {
		stages = append(stages, one(registry, 3, extra(0.4)))
	}
	return stages
}

// request is a caller's request with its attempts.
type request struct {
	kind    *kind
	arrived time.Time
	stages  []batch.Stage
	inBurst bool
	retried bool
}

// tally counts the requests of one kind.
type tally struct{ all, onTime, served int }

func (t *tally) add(other *tally) {
	t.all += other.all
	t.onTime += other.onTime
	t.served += other.served
}

func (t *tally) share(n int) float64 { return float64(n) / float64(t.all) }

// replay plays the load on a scheduler with a virtual clock.
type replay struct {
	*batch.Scheduler
	now           time.Time
	random        *rand.Rand
	pacing, noise *rand.Rand
	events        events
	lastID        batch.JobID
	waiting       map[batch.JobID]*request
	paces         map[ident.UpstreamID]float64
	tallies       map[string]*tally // by kind and phase
	calls         map[ident.ServiceName]*tally
	wake          time.Time
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) {
	heap.Push(&r.events, event{
		at: r.now.Add(d),
		do: do,
	})
}

func newReplay(seed uint64, slackAware, changing bool) *replay {
	r := &replay{
		Scheduler: batch.New(batch.DefaultPolicy()),
		now:       start,
		random:    rand.New(rand.NewPCG(seed, 0)),
		pacing:    rand.New(rand.NewPCG(seed, 1)),
		noise:     rand.New(rand.NewPCG(seed, 2)),
		waiting:   make(map[batch.JobID]*request),
		paces:     make(map[ident.UpstreamID]float64),
		tallies:   make(map[string]*tally),
		calls:     make(map[ident.ServiceName]*tally),
	}
	counts := map[ident.ServiceName]int{registry: 18, stock: 15, notifier: 18}
	items := map[ident.ServiceName]int{registry: 24, stock: 64, notifier: 80}
	times := map[ident.ServiceName]time.Duration{registry: 8600 * time.Microsecond, stock: 3200 * time.Microsecond, notifier: 2600 * time.Microsecond}
	services := make(map[ident.ServiceName]*routes.Service)
	for name := range counts {
		l := limits(1e9)
		l.Items, l.CallTime, l.ItemTime = items[name], ms(240), times[name]
		services[name] = &routes.Service{
			Name:  name,
			Batch: &l,
		}
		r.calls[name] = &tally{}
	}
	r.SetSlackAware(slackAware)
	r.Configure(services, func(name ident.ServiceName) []fleet.Upstream {
		var list []fleet.Upstream
		for i := range counts[name] {
			id := ident.UpstreamID(fmt.Sprint(name, i))
			r.paces[id] = 0.5 + float64(i)/float64(counts[name]-1)
			list = append(list, fleet.Upstream{
				ID:      id,
				Service: name,
				Address: ident.Address(id),
				Domain:  ident.FailureDomain(fmt.Sprint(i % 3)),
			})
		}
		return list
	})
	if changing {
		for _, id := range slices.Sorted(maps.Keys(r.paces)) {
			r.changePace(id)
		}
	}
	return r
}

// run plays a calm time and a burst, until all requests have ended.
func (r *replay) run() {
	for i := range kinds {
		r.after(0, func() { r.arrive(&kinds[i]) })
	}
	for len(r.events) > 0 || !r.wake.IsZero() {
		if len(r.events) == 0 || !r.wake.IsZero() && r.wake.Before(r.events[0].at) {
			r.now = r.wake
		} else {
			next := heap.Pop(&r.events).(event)
			r.now = next.at
			next.do()
		}
		r.plan()
	}
}

// changePace sets the pace of an upstream to a random value, and changes it again once a
// second on average.
func (r *replay) changePace(id ident.UpstreamID) {
	if r.now.Sub(start) > calm+burst {
		return
	}
	r.paces[id] = 0.5 + r.pacing.Float64()
	r.after(time.Duration(r.pacing.ExpFloat64()*float64(time.Second)), func() { r.changePace(id) })
}

func (r *replay) arrive(k *kind) {
	elapsed := r.now.Sub(start)
	if elapsed > calm+burst {
		return
	}
	inBurst := elapsed >= calm
	rate := k.rate
	if inBurst {
		rate *= k.burst
	}
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(k) })
	q := &request{
		kind:    k,
		arrived: r.now,
		stages:  k.stages(r.random),
		inBurst: inBurst,
	}
	if q.stages[0].Pieces == 0 {
		return // has no stages
	}
	r.tally(q).all++
	r.submit(q)
}

func (r *replay) tally(q *request) *tally {
	key := q.kind.name + " calm"
	if q.inBurst {
		key = q.kind.name + " burst"
	}
	if r.tallies[key] == nil {
		r.tallies[key] = &tally{}
	}
	return r.tallies[key]
}

// submit submits a request; a refused caller retries once after Retry-After, of which it
// honours up to a third of its remaining time.
func (r *replay) submit(q *request) {
	r.lastID++
	id := r.lastID
	deadline := q.arrived.Add(q.kind.deadline - batch.FirstEventTime)
	err := r.Submit(r.now, batch.Job{
		ID:        id,
		Request:   ident.RequestID(fmt.Sprint(id)),
		Rank:      q.kind.rank,
		Domain:    ident.FailureDomain(fmt.Sprint(int(id) % 3)),
		Stages:    q.stages,
		Objective: q.arrived.Add(q.kind.objective - batch.FirstEventTime),
		Deadline:  deadline,
	})
	if err == nil {
		r.waiting[id] = q
		return
	}
	r.retry(q, deadline, err)
}

func (r *replay) retry(q *request, deadline time.Time, err error) {
	if q.retried {
		return
	}
	q.retried = true
	wait := time.Second
	var overload *batch.Overload
	if errors.As(err, &overload) {
		wait = overload.RetryAfter()
		wait += time.Duration(r.noise.Int64N(int64(wait / 2)))
	}
	r.after(min(wait, deadline.Sub(r.now)/3), func() { r.submit(q) })
}

func (r *replay) plan() {
	actions := r.Plan(r.now)
	r.wake = actions.Wake
	for _, call := range actions.Calls {
		r.calls[call.Upstream.Service].all++
		r.calls[call.Upstream.Service].served += len(call.Items)
		r.after(r.duration(call), func() {
			var completed batch.Completed
			for i := range call.Items {
				completed.Results = append(completed.Results, wire.ItemResult{
					Status: wire.ItemDone,
					Handle: wire.Handle(fmt.Sprint(call.ID, "/", i)),
				})
			}
			r.FinishCall(r.now, call.ID, completed)
		})
	}
	for _, done := range actions.Done {
		q := r.waiting[done.Job]
		delete(r.waiting, done.Job)
		deadline := q.arrived.Add(q.kind.deadline - batch.FirstEventTime)
		if done.Err != nil {
			r.retry(q, deadline, done.Err)
			continue
		}
		r.tally(q).served++
		if !r.now.After(q.arrived.Add(q.kind.objective - batch.FirstEventTime)) {
			r.tally(q).onTime++
		}
		r.after(ms(50), func() { r.Consumed(done.Job) })
	}
}

// duration returns how long a call takes: the work at the pace of the upstream, which
// varies by a few percent, and the messages.
func (r *replay) duration(call batch.Call) time.Duration {
	work := ms(240)
	for range call.Items {
		switch call.Upstream.Service {
		case registry:
			work += 8600 * time.Microsecond
		case stock:
			work += 3200 * time.Microsecond
		default:
			work += 2600 * time.Microsecond
		}
	}
	pace := r.paces[call.Upstream.ID] * (0.95 + 0.1*r.noise.Float64())
	return ms(5) + time.Duration(float64(work)*pace)
}

// playAll plays the load with two seeds and adds up the counts.
func playAll(slackAware, changing bool) *replay {
	sum := newReplay(0, slackAware, changing)
	sum.run()
	other := newReplay(1, slackAware, changing)
	other.run()
	for key, t := range other.tallies {
		sum.tallies[key].add(t)
	}
	for service, t := range other.calls {
		sum.calls[service].add(t)
	}
	return sum
}

// Guards against urgent requests that are served worse than by the policy for all tables,
// against requests with slack that are refused although they could wait, and against calls
// that are nearly empty.
func TestReplay(t *testing.T) {
	for name, changing := range map[string]bool{"steady paces": false, "changing paces": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			before, after := playAll(false, changing), playAll(true, changing)
			for key, is := range after.tallies {
				was := before.tallies[key]
				t.Logf("%s: on time %.3f -> %.3f, served %.3f -> %.3f", key, was.share(was.onTime), is.share(is.onTime), was.share(was.served), is.share(is.served))
				c.Check(is.share(is.onTime) >= was.share(was.onTime)-0.01, qt.IsTrue, qt.Commentf("%s on time", key))
				c.Check(is.share(is.served) >= was.share(was.served)-0.005, qt.IsTrue, qt.Commentf("%s served", key))
			}
			for service, is := range after.calls {
				was := before.calls[service]
				t.Logf("%s: items per call %.1f -> %.1f", service, was.share(was.served), is.share(is.served))
				c.Check(is.share(is.served) > 1.2*was.share(was.served), qt.IsTrue, qt.Commentf("%s items per call", service))
			}
			calm, burst := after.tallies["triage calm"], after.tallies["triage burst"]
			c.Check(calm.share(calm.onTime) > 0.67, qt.IsTrue)
			c.Check(burst.share(burst.onTime) > 0.5, qt.IsTrue)
		})
	}
}
