package batch_test

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// The services that run stages, and the phases of the load: in the burst, demand exceeds the
// capacity of two of the services even in full calls.
const (
	registry  = ident.ServiceName("registry")
	inventory = ident.ServiceName("inventory")
	sender    = ident.ServiceName("sender")
	calm      = 3 * time.Second
	burst     = 2 * time.Second
)

var services = map[ident.ServiceName]struct {
	upstreams, items int
	itemTime         time.Duration
}{
	registry:  {upstreams: 18, items: 24, itemTime: 8600 * time.Microsecond},
	inventory: {upstreams: 15, items: 64, itemTime: 3200 * time.Microsecond},
	sender:    {upstreams: 18, items: 80, itemTime: 2600 * time.Microsecond},
}

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
	{name: "report", rank: 2, rate: 152, burst: 2.3, objective: 4 * time.Second, deadline: 6 * time.Second},
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
	extra := 1 + random.IntN(2)
	if k.name == "summary" {
		if random.Float64() >= 0.7 {
			return nil
		}
		return []batch.Stage{one(registry, 0, 1+extra)}
	}
	stages := []batch.Stage{one(registry, 0, 1), one(inventory, 1, 4, 0), one(sender, 2, 6, 1)}
	if k.name == "report" && random.Float64() < 0.4 {
		stages = append(stages, one(registry, 3, extra))
	}
	return stages
}

// request is a caller's request with its attempts.
type request struct {
	kind         *kind
	organisation ident.OrganisationID
	arrived      time.Time
	stages       []batch.Stage
	inBurst      bool
	retried      bool
}

// tally counts the requests of one kind, or the calls and items of one service.
type tally struct{ all, onTime, served int }

func (t *tally) share(n int) float64 { return float64(n) / float64(t.all) }

// tallies are counts by kind and phase, or by service.
type tallies map[string]*tally

func (t tallies) of(key string) *tally {
	if t[key] == nil {
		t[key] = &tally{}
	}
	return t[key]
}

// replay plays the load on a scheduler with a virtual clock.
type replay struct {
	*batch.Scheduler
	now           time.Time
	random        *rand.Rand
	pacing, noise *rand.Rand
	weight        share.Weight // of each organisation
	clock         *clock.Clock
	lastID        batch.JobID
	waiting       map[batch.JobID]*request
	paces         map[ident.UpstreamID]float64
	tallies       tallies
	wake          time.Time
}

// after runs a function after a time, and then plans.
func (r *replay) after(d time.Duration, do func()) {
	r.clock.After(d, func() {
		r.now = r.clock.Now()
		do()
		r.plan()
	})
}

func newReplay(seed uint64, slackAware, changing bool, counts tallies) *replay {
	r := &replay{
		Scheduler: batch.New(batch.DefaultPolicy()),
		clock:     clock.New(start),
		now:       start,
		random:    rand.New(rand.NewPCG(seed, 0)),
		pacing:    rand.New(rand.NewPCG(seed, 1)),
		noise:     rand.New(rand.NewPCG(seed, 2)),
		waiting:   make(map[batch.JobID]*request),
		paces:     make(map[ident.UpstreamID]float64),
		tallies:   counts,
	}
	known := make(map[ident.ServiceName]*routes.Service)
	for name, service := range services {
		l := limits(1e9)
		l.Items, l.CallTime, l.ItemTime = service.items, ms(240), service.itemTime
		known[name] = &routes.Service{
			Name:  name,
			Batch: &l,
		}
	}
	r.SetSlackAware(slackAware)
	r.Configure(known, func(name ident.ServiceName) []fleet.Upstream {
		var list []fleet.Upstream
		for i := range services[name].upstreams {
			id := ident.UpstreamID(fmt.Sprint(name, i))
			r.paces[id] = 0.5 + float64(i)/float64(services[name].upstreams-1)
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
	r.clock.Run()
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
	if len(q.stages) == 0 {
		return
	}
	if r.weight > 0 {
		q.organisation = organisation(r.noise)
	}
	r.tally(q).all++
	r.submit(q)
}

// organisation draws one of 16 organisations, of which the largest has a third of the
// requests.
func organisation(random *rand.Rand) ident.OrganisationID {
	i := math.Floor(math.Pow(17, math.Pow(random.Float64(), 1.2)))
	return ident.OrganisationID(fmt.Sprint(i))
}

func (r *replay) tally(q *request) *tally {
	if q.inBurst {
		return r.tallies.of(q.kind.name + " burst")
	}
	return r.tallies.of(q.kind.name + " calm")
}

// submit submits a request; a refused caller retries once after Retry-After, of which it
// honours up to a third of its remaining time.
func (r *replay) submit(q *request) {
	r.lastID++
	id := r.lastID
	err := r.Submit(r.now, batch.Job{
		ID:        id,
		Request:   ident.RequestID(fmt.Sprint(id)),
		Rank:      q.kind.rank,
		Domain:    ident.FailureDomain(fmt.Sprint(int(id) % 3)),
		Stages:    q.stages,
		Objective: q.arrived.Add(q.kind.objective - batch.FirstEventTime),
		Deadline:  q.arrived.Add(q.kind.deadline - batch.FirstEventTime),

		Organisation: q.organisation,
		Weight:       r.weight,
	})
	r.waiting[id] = q
	if err != nil {
		r.end(id, err)
	}
}

// end counts a request that is served, and retries one that is refused.
func (r *replay) end(id batch.JobID, err error) {
	q := r.waiting[id]
	delete(r.waiting, id)
	var overload *batch.Overload
	switch {
	case err == nil:
		r.tally(q).served++
		if !r.now.After(q.arrived.Add(q.kind.objective - batch.FirstEventTime)) {
			r.tally(q).onTime++
		}
		r.after(ms(50), func() { r.Consumed(id) })
	case errors.As(err, &overload) && !q.retried:
		q.retried = true
		wait := overload.RetryAfter()
		wait += time.Duration(r.noise.Int64N(int64(wait / 2)))
		remaining := q.arrived.Add(q.kind.deadline).Sub(r.now)
		r.after(min(wait, remaining/3), func() { r.submit(q) })
	}
}

func (r *replay) plan() {
	actions := r.Plan(r.now)
	if wake := actions.Wake; !wake.IsZero() && (!r.wake.After(r.now) || wake.Before(r.wake)) {
		r.wake = wake
		r.after(wake.Sub(r.now), func() {})
	}
	for _, call := range actions.Calls {
		calls := r.tallies.of(string(call.Upstream.Service))
		calls.all++
		calls.served += len(call.Items)
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
		r.end(done.Job, done.Err)
	}
}

// duration returns how long a call takes: the work at the pace of the upstream, which
// varies by a few percent, and the messages.
func (r *replay) duration(call batch.Call) time.Duration {
	work := ms(240) + time.Duration(len(call.Items))*services[call.Upstream.Service].itemTime
	pace := r.paces[call.Upstream.ID] * (0.95 + 0.1*r.noise.Float64())
	return ms(5) + time.Duration(float64(work)*pace)
}

// playAll plays the load with two seeds and returns the counts of both.
func playAll(slackAware, changing bool) tallies {
	counts := make(tallies)
	for seed := range uint64(2) {
		newReplay(seed, slackAware, changing, counts).run()
	}
	return counts
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
			for key, is := range after {
				was := before[key]
				if _, ok := services[ident.ServiceName(key)]; ok {
					t.Logf("%s: items per call %.1f -> %.1f", key, was.share(was.served), is.share(is.served))
					c.Check(is.share(is.served) > 1.2*was.share(was.served), qt.IsTrue, qt.Commentf("%s items per call", key))
					continue
				}
				t.Logf("%s: on time %.3f -> %.3f, served %.3f -> %.3f", key, was.share(was.onTime), is.share(is.onTime), was.share(was.served), is.share(is.served))
				c.Check(is.share(is.onTime) >= was.share(was.onTime)-0.005, qt.IsTrue, qt.Commentf("%s on time", key))
				c.Check(is.share(is.served) >= was.share(was.served)-0.005, qt.IsTrue, qt.Commentf("%s served", key))
			}
			calm, burst := after["report calm"], after["report burst"]
			c.Check(calm.share(calm.onTime) > 0.67, qt.IsTrue)
			c.Check(burst.share(burst.onTime) > 0.5, qt.IsTrue)
		})
	}
}

// playShort plays the load on upstreams that are slower than usual by 30%, so that only
// patient requests lack capacity. The weight is that of each of 16 organisations.
func playShort(weight share.Weight) tallies {
	counts := make(tallies)
	r := newReplay(1, true, false, counts)
	r.weight = weight
	for id := range r.paces {
		r.paces[id] *= 1.3
	}
	r.run()
	return counts
}

// Guards against shares that refuse urgent requests of large organisations although only
// patient requests lack capacity.
func TestReplaySharesOfKinds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	without, with := playShort(0), playShort(1)
	for _, kind := range kinds {
		was, is := without[kind.name+" burst"], with[kind.name+" burst"]
		served := is.share(is.served)
		comment := qt.Commentf("%s: served %.3f without shares, %.3f with", kind.name, was.share(was.served), served)
		if kind.rank == 2 {
			c.Check(served > 0.25 && served < 0.9, qt.IsTrue, comment)
			continue
		}
		c.Check(served > was.share(was.served)-0.02, qt.IsTrue, comment)
	}
}
