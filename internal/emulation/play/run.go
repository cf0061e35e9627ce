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

// localLatency is the one-way latency between processes of the same failure domain.
const localLatency = 100 * time.Microsecond

// host is a host that forwards requests.
type host struct {
	*simulation
	domain     int
	chooser    *placement.Chooser
	popularity *placement.Popularity
	freezes    []deployment.Freeze
}

// simulation is the state of a run.
type simulation struct {
	deployment         *deployment.Deployment
	clock              *clock.Clock
	random             *rand.Rand
	hosts              []*host
	coordinators       []*coordinator
	coordinatorChooser *placement.Chooser // used by all hosts if the coordinator places requests
	services           map[ident.ServiceName]*routes.Service
	upstreams          map[ident.ServiceName][]fleet.Upstream
	domains            map[ident.UpstreamID]int
	snapshot           *fleet.Snapshot
	results            *stage.Results
	stages             map[ident.UpstreamID]*stage.Upstream
	engines            map[ident.UpstreamID]*engine.Engine
	attempts           map[ident.RequestID]*attempt
	lastID             int               // for attempts, jobs and parts of prompts that are not shared
	inStages           map[*request]bool // requests whose stages are not finished
	report             Report
}

// Run simulates a deployment with a seed and returns the report. The same deployment
// and seed give the same report.
func Run(d *deployment.Deployment, seed uint64) Report {
	r := &simulation{
		deployment: d,
		clock:      clock.New(time.Unix(1_700_000_000, 0)),
		random:     rand.New(rand.NewPCG(seed, seed)),
		services:   make(map[ident.ServiceName]*routes.Service),
		upstreams:  make(map[ident.ServiceName][]fleet.Upstream),
		domains:    make(map[ident.UpstreamID]int),
		results:    stage.NewResults(),
		stages:     make(map[ident.UpstreamID]*stage.Upstream),
		engines:    make(map[ident.UpstreamID]*engine.Engine),
		attempts:   make(map[ident.RequestID]*attempt),
		inStages:   make(map[*request]bool),
	}
	r.build()
	r.scheduleFaults()
	for i, kind := range d.Kinds {
		r.report.Kinds = append(r.report.Kinds, Result{
			Kind: kind.Name,
		})
		r.scheduleArrival(i)
	}
	r.clock.Run()
	for _, id := range slices.Sorted(maps.Keys(r.engines)) {
		counts := r.engines[id].Counts
		r.report.Engines.Read += counts.Read
		r.report.Engines.Reread += counts.Reread
		r.report.Engines.Fetched += counts.Fetched
		r.report.Engines.CacheHits += counts.CacheHits
		r.report.Engines.Preempted += counts.Preempted
		r.report.Engines.Refused += counts.Refused
	}
	return r.report
}

// build creates the upstreams, the hosts and the coordinators.
func (r *simulation) build() {
	d := r.deployment
	directory := fleet.New()
	for _, pool := range d.Pools {
		limits := pool.Limits()
		r.services[ident.ServiceName(pool.Name)] = &routes.Service{
			Name:  ident.ServiceName(pool.Name),
			Batch: &limits,
		}
		for i := range pool.Count {
			u := r.addUpstream(directory, pool.Name, i)
			r.stages[u.ID] = stage.New(r.clock, u.Address, limits, r.results, r.itemCost)
		}
	}
	for _, engines := range d.Engines {
		partUses := engine.NewPartUses()
		for i := range engines.Count {
			u := r.addUpstream(directory, engines.Name, i)
			r.engines[u.ID] = engine.New(r.clock, engineConfig(engines, i), partUses)
		}
	}
	r.snapshot = directory.Snapshot()
	r.coordinatorChooser = placement.New(r.clock.Now, r.random.Float64)
	for i := range d.Hosts {
		h := &host{
			simulation: r,
			domain:     i % d.Domains,
			chooser:    placement.New(r.clock.Now, r.random.Float64),
			popularity: placement.NewPopularity(),
		}
		for _, freeze := range d.Freezes {
			if i < freeze.Hosts {
				h.freezes = append(h.freezes, freeze)
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

// addUpstream registers the upstream with the given index of a service.
func (r *simulation) addUpstream(directory *fleet.Directory, service string, i int) fleet.Upstream {
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
	r.upstreams[u.Service] = append(r.upstreams[u.Service], u)
	r.domains[u.ID] = domain
	return u
}

func engineConfig(e deployment.Engines, i int) engine.Config {
	return engine.Config{
		MaxRunning:      e.MaxRunning,
		MaxWaiting:      e.MaxWaiting,
		Memory:          e.Memory,
		StepTime:        e.StepTime,
		DecodeTime:      e.DecodeTime,
		ContextTime:     e.ContextTime,
		ReadRate:        e.ReadRate,
		PairTime:        e.PairTime,
		FirstEventDelay: e.FirstEventDelay,
		ChunkTokens:     e.ChunkTokens,
		EventTokens:     e.EventTokens,
		TimeFactor:      e.TimeFactors[i%len(e.TimeFactors)],
	}
}

// scheduleFaults schedules the faults, the takeovers and the sample of each second.
func (r *simulation) scheduleFaults() {
	for _, fault := range r.deployment.Faults {
		r.clock.After(fault.From, func() { r.startFault(fault) })
		r.clock.After(fault.To, func() { r.endFault(fault) })
	}
	for _, takeover := range r.deployment.Takeovers {
		r.clock.After(takeover.At, r.takeover)
	}
	for i := range int(r.deployment.Length/time.Second) + 1 {
		r.report.Seconds = append(r.report.Seconds, Second{})
		r.clock.After(time.Duration(i+1)*time.Second, func() { r.sample(i) })
	}
}

// forEachAffected calls do for each upstream that a fault affects.
func (r *simulation) forEachAffected(fault deployment.Fault, do func(i int, id ident.UpstreamID)) {
	list := r.upstreams[ident.ServiceName(fault.Service)]
	for i, u := range list[:min(fault.Count, len(list))] {
		do(i, u.ID)
	}
}

func (r *simulation) startFault(fault deployment.Fault) {
	r.forEachAffected(fault, func(i int, id ident.UpstreamID) {
		if u, ok := r.stages[id]; ok {
			u.SetTimeFactor(fault.TimeFactor)
			return
		}
		if fault.TimeFactor == 0 {
			r.engines[id].Crash(fault.To - fault.From)
			return
		}
		r.engines[id].SetTimeFactor(r.engineTimeFactor(fault.Service, i) * fault.TimeFactor)
	})
}

func (r *simulation) endFault(fault deployment.Fault) {
	r.forEachAffected(fault, func(i int, id ident.UpstreamID) {
		u, ok := r.stages[id]
		switch {
		case ok && fault.TimeFactor == 0:
			u.Restart()
		case ok:
			u.SetTimeFactor(1)
		default:
			r.engines[id].SetTimeFactor(r.engineTimeFactor(fault.Service, i))
		}
	})
}

func (r *simulation) engineTimeFactor(service string, i int) float64 {
	for _, e := range r.deployment.Engines {
		if e.Name == service {
			return e.TimeFactors[i%len(e.TimeFactors)]
		}
	}
	return 1
}

// sample records the number of requests in progress at the end of a second.
func (r *simulation) sample(second int) {
	s := &r.report.Seconds[second]
	s.Waiting = len(r.inStages)
	for _, e := range r.engines {
		running, waiting := e.Load()
		s.Running += running + waiting
	}
}

// second returns the counters of the second of the run that contains a time; times
// after the last second count as part of it.
func (r *simulation) second(at time.Duration) *Second {
	return &r.report.Seconds[min(int(at/time.Second), len(r.report.Seconds)-1)]
}

// latency returns the one-way latency between two failure domains.
func (r *simulation) latency(from, to int) time.Duration {
	if from == to {
		return localLatency
	}
	return r.deployment.DomainLatency
}

// after schedules a function at the host; while the host is frozen, the function is
// delayed until the end of the freeze.
func (h *host) after(d time.Duration, do func()) {
	h.clock.After(d, func() {
		now := h.clock.Elapsed()
		for _, freeze := range h.freezes {
			if now >= freeze.From && now < freeze.To {
				h.after(freeze.To-now, do)
				return
			}
		}
		do()
	})
}

// scheduleArrival schedules the next request of a kind, as a Poisson process.
func (r *simulation) scheduleArrival(kind int) {
	k := r.deployment.Kinds[kind]
	rate := k.Rate
	elapsed := r.clock.Elapsed()
	for _, burst := range r.deployment.Bursts {
		if (burst.Kind == "" || burst.Kind == k.Name) && elapsed >= burst.From && elapsed < burst.To {
			rate *= burst.Factor
		}
	}
	interval := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	if elapsed+interval > r.deployment.Length {
		return
	}
	r.clock.After(interval, func() {
		r.newRequest(kind)
		r.scheduleArrival(kind)
	})
}

// drawCount draws a value of a distribution and rounds it to an integer, at least 1.
func (r *simulation) drawCount(a deployment.Distribution) int {
	return max(1, int(math.Round(a.Draw(r.random.NormFloat64()))))
}

// itemCost returns the cost of an item at its upstream.
func (r *simulation) itemCost(item wire.Item) stage.Cost {
	k := r.deployment.Kinds[r.attempts[item.Request].kind]
	s := k.Stages[item.Stage]
	return stage.Cost{
		Bytes: s.Bytes,
		Work:  time.Duration(s.WorkFactor * float64(r.pool(s.Pool).ItemTime)),
	}
}

func (r *simulation) pool(name string) deployment.Pool {
	i := slices.IndexFunc(r.deployment.Pools, func(p deployment.Pool) bool { return p.Name == name })
	return r.deployment.Pools[i]
}
