package measure

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/load"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// Cost is the sum of the attempts of one stage on all entry hosts, as reported to
// pipeline.Meter.
type Cost struct {
	Stage         ident.StageName
	Attempts      int
	Crossed       int // attempts in another failure domain than the entry host's
	Wasted        int // attempts whose result was not used
	Seconds       float64
	WastedSeconds float64 // the part of Seconds for wasted attempts
	Price         float64
}

// Second counts the requests of one second of a run.
type Second struct {
	Offered           int // requests that arrived in this second
	AttainedByArrival int // the requests of Offered that were attained, whenever they ended
	Attained          int // attained requests that ended in this second
}

// arrival is the arrival time and the organisation of a request.
type arrival struct {
	at           time.Time
	organisation ident.OrganisationID
}

// collector collects the costs and timeline events of the entry hosts and the
// requests of the load generator during one run.
type collector struct {
	deadline time.Duration

	mu        sync.Mutex
	start     time.Time
	arrivals  map[int]arrival
	seconds   []Second
	latencies map[ident.OrganisationID][]time.Duration // of attained requests
	costs     map[ident.StageName]*Cost
	events    map[string]int
}

var (
	_ pipeline.Meter    = (*collector)(nil)
	_ timeline.Recorder = (*collector)(nil)
)

func newCollector(deadline time.Duration) *collector {
	return &collector{
		deadline:  deadline,
		start:     time.Now(),
		arrivals:  make(map[int]arrival),
		latencies: make(map[ident.OrganisationID][]time.Duration),
		costs:     make(map[ident.StageName]*Cost),
		events:    make(map[string]int),
	}
}

// Add implements pipeline.Meter.
func (c *collector) Add(use pipeline.Use) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := c.costs[use.Stage]
	if cost == nil {
		cost = &Cost{
			Stage: use.Stage,
		}
		c.costs[use.Stage] = cost
	}
	cost.Attempts++
	cost.Seconds += use.Time.Seconds()
	cost.Price += use.Price
	if use.Crossed {
		cost.Crossed++
	}
	if use.Wasted {
		cost.Wasted++
		cost.WastedSeconds += use.Time.Seconds()
	}
}

// Record implements timeline.Recorder. It counts events by part, name, reason and
// kind of error.
func (c *collector) Record(event timeline.Event) {
	name := event.Part + " " + event.Name
	for _, f := range event.Fields {
		switch {
		case f.Name == "reason" && f.Value != "":
			name += " " + f.Value
		case f.Name == "error":
			name += ": " + errorKind(f.Value)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[name]++
}

// errorKind maps the error text of an attempt to a short kind, to keep the number
// of distinct event names small.
func errorKind(text string) string {
	for _, kind := range []error{pipeline.ErrNotSent, pipeline.ErrLeaving, pipeline.ErrOverloaded, pipeline.ErrMismatch} {
		if strings.Contains(text, kind.Error()) {
			return kind.Error()
		}
	}
	for _, kind := range []string{"context canceled", "deadline exceeded", pipeline.ErrLost.Error(), "status"} {
		if strings.Contains(text, kind) {
			return kind
		}
	}
	return "other"
}

// secondAt returns the counters of the second that contains at. The caller must
// hold c.mu.
func (c *collector) secondAt(at time.Time) *Second {
	i := max(0, int(at.Sub(c.start)/time.Second))
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, Second{})
	}
	return &c.seconds[i]
}

// arrived records the arrival of a request; it must be called before the request
// is sent.
func (c *collector) arrived(number int, organisation ident.OrganisationID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.arrivals[number] = arrival{
		at:           now,
		organisation: organisation,
	}
	c.secondAt(now).Offered++
}

// completed records a complete and correct response, which counts as attained if
// it is within the deadline.
func (c *collector) completed(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	a := c.arrivals[number]
	latency := now.Sub(a.at)
	if latency > c.deadline {
		return
	}
	c.secondAt(now).Attained++
	c.secondAt(a.at).AttainedByArrival++
	c.latencies[a.organisation] = append(c.latencies[a.organisation], latency)
}

// result returns a copy of the collected data together with the generator's
// report.
func (c *collector) result(variant string, report *load.Report) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Result{
		Variant:   variant,
		Report:    report,
		Seconds:   slices.Clone(c.seconds),
		Latencies: make(map[ident.OrganisationID][]time.Duration),
		Events:    make(map[string]int),
	}
	for _, cost := range c.costs {
		r.Costs = append(r.Costs, *cost)
	}
	slices.SortFunc(r.Costs, func(a, b Cost) int { return cmp.Compare(a.Stage, b.Stage) })
	for organisation, latencies := range c.latencies {
		sorted := slices.Clone(latencies)
		slices.Sort(sorted)
		r.Latencies[organisation] = sorted
	}
	for name, n := range c.events {
		r.Events[name] = n
	}
	return r
}
