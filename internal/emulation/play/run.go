package play

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/engine"
	"github.com/nutmegshift/nutmegshift/internal/emulation/stage"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// nearTime is the way between processes of the same failure domain.
const nearTime = 100 * time.Microsecond

// host is one that forwards requests.
type host struct {
	*run
	domain     int
	chooser    *placement.Chooser
	popularity *placement.Popularity
	frozen     []deployment.Freeze
}

// run is a run in progress.
type run struct {
	deployment   *deployment.Deployment
	clock        *clock.Clock
	random       *rand.Rand
	hosts        []*host
	coordinators []*coordinator
	placer       *placement.Chooser // of the coordinator
	services     map[ident.ServiceName]*routes.Service
	ready        map[ident.ServiceName][]fleet.Upstream
	domains      map[ident.UpstreamID]int
	snapshot     *fleet.Snapshot
	results      *stage.Results
	stages       map[ident.UpstreamID]*stage.Upstream
	engines      map[ident.UpstreamID]*engine.Engine
	attempts     map[ident.RequestID]*attempt
	attempted    int
	working      map[*request]bool // requests with stages that are not finished
	report       Report
}

// Run plays a deployment with a seed.
func Run(d *deployment.Deployment, seed uint64) Report {
	r := &run{
		deployment: d,
		clock:      clock.New(time.Unix(1_700_000_000, 0)),
		random:     rand.New(rand.NewPCG(seed, seed)),
		services:   make(map[ident.ServiceName]*routes.Service),
		ready:      make(map[ident.ServiceName][]fleet.Upstream),
		domains:    make(map[ident.UpstreamID]int),
		results:    stage.NewResults(),
		stages:     make(map[ident.UpstreamID]*stage.Upstream),
		engines:    make(map[ident.UpstreamID]*engine.Engine),
		attempts:   make(map[ident.RequestID]*attempt),
		working:    make(map[*request]bool),
	}
	r.build()
	r.plan()
	for i, kind := range d.Kinds {
		r.report.Kinds = append(r.report.Kinds, Result{
			Kind: kind.Name,
		})
		r.arrival(i)
	}
	r.clock.Run()
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		counts := r.engines[id].Counts
		r.report.Engines.Read += counts.Read
		r.report.Engines.Again += counts.Again
		r.report.Engines.Moved += counts.Moved
		r.report.Engines.Found += counts.Found
		r.report.Engines.Preempted += counts.Preempted
		r.report.Engines.Refused += counts.Refused
	}
	return r.report
}

// build makes the upstreams, the hosts and the coordinators.
func (r *run) build() {
	d := r.deployment
	directory := fleet.New()
	for _, pool := range d.Pools {
		limits := pool.Limits()
		r.services[ident.ServiceName(pool.Name)] = &routes.Service{
			Name:  ident.ServiceName(pool.Name),
			Batch: &limits,
		}
		for i := range pool.Count {
			u := r.upstream(directory, pool.Name, i)
			r.stages[u.ID] = stage.New(r.clock, u.Address, limits, r.results, r.size)
		}
	}
	for _, engines := range d.Engines {
		known := engine.NewParts()
		for i := range engines.Count {
			u := r.upstream(directory, engines.Name, i)
			r.engines[u.ID] = engine.New(r.clock, limits(engines, i), known)
		}
	}
	r.snapshot = directory.Snapshot()
	r.placer = placement.New(r.clock.Now, r.random.Float64)
	for i := range d.Hosts {
		h := &host{
			run:        r,
			domain:     i % d.Domains,
			chooser:    placement.New(r.clock.Now, r.random.Float64),
			popularity: placement.NewPopularity(),
		}
		for _, freeze := range d.Freezes {
			if i < freeze.Hosts {
				h.frozen = append(h.frozen, freeze)
			}
		}
		r.hosts = append(r.hosts, h)
	}
	count := 1
	if d.Policy.Batching == deployment.ByHost {
		count = d.Hosts
	}
	for range count {
		r.coordinators = append(r.coordinators, r.newCoordinator())
	}
}

// upstream registers one of a service.
func (r *run) upstream(directory *fleet.Directory, service string, i int) fleet.Upstream {
	domain := i % r.deployment.Domains
	u := fleet.Upstream{
		ID:      ident.UpstreamID(fmt.Sprintf("%s-%d", service, i)),
		Service: ident.ServiceName(service),
		Address: ident.Address(fmt.Sprintf("%s-%d", service, i)),
		Domain:  ident.FailureDomain(fmt.Sprint(domain)),
		State:   fleet.Ready,
	}
	directory.Put(fleet.Registration{
		Upstream: u,
		Version:  1,
	})
	r.ready[u.Service] = append(r.ready[u.Service], u)
	r.domains[u.ID] = domain
	return u
}

func limits(e deployment.Engines, i int) engine.Limits {
	return engine.Limits{
		Batch:   e.Batch,
		Queue:   e.Queue,
		Memory:  e.Memory,
		Step:    e.Step,
		Slot:    e.Slot,
		Context: e.Context,
		Rate:    e.Rate,
		Pairs:   e.Pairs,
		First:   e.First,
		Chunk:   e.Chunk,
		Stride:  e.Stride,
		Speed:   e.Speeds[i%len(e.Speeds)],
	}
}

// plan schedules the faults and the takeovers.
func (r *run) plan() {
	for _, fault := range r.deployment.Faults {
		r.clock.After(fault.From, func() { r.hit(fault) })
		r.clock.After(fault.To, func() { r.heal(fault) })
	}
	for _, takeover := range r.deployment.Takeovers {
		r.clock.After(takeover.At, r.takeover)
	}
	for i := range int(r.deployment.Length/time.Second) + 1 {
		r.report.Seconds = append(r.report.Seconds, Second{})
		r.clock.After(time.Duration(i+1)*time.Second, func() { r.sample(i) })
	}
}

// concerned calls do for each upstream that a fault hits.
func (r *run) concerned(fault deployment.Fault, do func(i int, id ident.UpstreamID)) {
	list := r.ready[ident.ServiceName(fault.Service)]
	for i, u := range list[:min(fault.Count, len(list))] {
		do(i, u.ID)
	}
}

func (r *run) hit(fault deployment.Fault) {
	r.concerned(fault, func(i int, id ident.UpstreamID) {
		if u, ok := r.stages[id]; ok {
			u.SetSlow(fault.Slow)
			return
		}
		if fault.Slow == 0 {
			r.engines[id].Crash(fault.To - fault.From)
			return
		}
		r.engines[id].SetSpeed(r.speed(fault.Service, i) * fault.Slow)
	})
}

func (r *run) heal(fault deployment.Fault) {
	r.concerned(fault, func(i int, id ident.UpstreamID) {
		u, ok := r.stages[id]
		switch {
		case ok && fault.Slow == 0:
			u.Restart()
		case ok:
			u.SetSlow(1)
		default:
			r.engines[id].SetSpeed(r.speed(fault.Service, i))
		}
	})
}

func (r *run) speed(service string, i int) float64 {
	for _, e := range r.deployment.Engines {
		if e.Name == service {
			return e.Speeds[i%len(e.Speeds)]
		}
	}
	return 1
}

// sample notes how much is in progress at the end of a second.
func (r *run) sample(second int) {
	s := &r.report.Seconds[second]
	s.Waiting = len(r.working)
	for _, e := range r.engines {
		running, waiting := e.Load()
		s.Running += running + waiting
	}
}

// second returns the one in which something happened.
func (r *run) second(at time.Duration) *Second {
	return &r.report.Seconds[min(int(at/time.Second), len(r.report.Seconds)-1)]
}

// way returns the time of a message between two failure domains.
func (r *run) way(from, to int) time.Duration {
	if from == to {
		return nearTime
	}
	return r.deployment.Way
}

// after runs something at the host, which may stand still.
func (h *host) after(d time.Duration, do func()) {
	h.clock.After(d, func() {
		now := h.clock.Elapsed()
		for _, freeze := range h.frozen {
			if now >= freeze.From && now < freeze.To {
				h.after(freeze.To-now, do)
				return
			}
		}
		do()
	})
}

// arrival schedules the next request of a kind.
func (r *run) arrival(kind int) {
	k := r.deployment.Kinds[kind]
	rate := k.Rate
	elapsed := r.clock.Elapsed()
	for _, burst := range r.deployment.Bursts {
		if (burst.Kind == "" || burst.Kind == k.Name) && elapsed >= burst.From && elapsed < burst.To {
			rate *= burst.Factor
		}
	}
	pause := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	if elapsed+pause > r.deployment.Length {
		return
	}
	r.clock.After(pause, func() {
		r.ask(kind)
		r.arrival(kind)
	})
}

// whole draws an amount and rounds it to at least one.
func (r *run) whole(a deployment.Amount) int {
	return max(1, int(math.Round(a.Draw(r.random.NormFloat64()))))
}

// size returns what an item asks of its upstream.
func (r *run) size(item wire.Item) stage.Size {
	k := r.deployment.Kinds[r.attempts[item.Request].kind]
	s := k.Stages[item.Stage]
	return stage.Size{
		Bytes: s.Bytes,
		Work:  time.Duration(s.Work * float64(r.pool(s.Pool).Item)),
	}
}

func (r *run) pool(name string) deployment.Pool {
	i := slices.IndexFunc(r.deployment.Pools, func(p deployment.Pool) bool { return p.Name == name })
	return r.deployment.Pools[i]
}
