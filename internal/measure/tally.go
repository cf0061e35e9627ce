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

// Cost is what one stage consumed on all entry hosts.
type Cost struct {
	Stage    ident.StageName
	Attempts int
	Crossed  int
	Wasted   int
	Seconds  float64
	Lost     float64 // seconds of wasted attempts
	Price    float64
}

// Second counts the requests of one second of a run.
type Second struct {
	Offered  int // arrived in it
	Kept     int // of these, attained
	Attained int // attained requests that ended in it
}

// arrival is when a request arrived and for whom.
type arrival struct {
	at           time.Time
	organisation ident.OrganisationID
}

// tally collects what the hosts and the load generator see of one run.
type tally struct {
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
	_ pipeline.Meter    = (*tally)(nil)
	_ timeline.Recorder = (*tally)(nil)
)

func newTally(deadline time.Duration) *tally {
	return &tally{
		deadline:  deadline,
		start:     time.Now(),
		arrivals:  make(map[int]arrival),
		latencies: make(map[ident.OrganisationID][]time.Duration),
		costs:     make(map[ident.StageName]*Cost),
		events:    make(map[string]int),
	}
}

// Add implements pipeline.Meter.
func (t *tally) Add(use pipeline.Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.costs[use.Stage]
	if row == nil {
		row = &Cost{
			Stage: use.Stage,
		}
		t.costs[use.Stage] = row
	}
	row.Attempts++
	row.Seconds += use.Time.Seconds()
	row.Price += use.Price
	if use.Crossed {
		row.Crossed++
	}
	if use.Wasted {
		row.Wasted++
		row.Lost += use.Time.Seconds()
	}
}

// Record implements timeline.Recorder; it counts events by name and reason.
func (t *tally) Record(event timeline.Event) {
	name := event.Part + " " + event.Name
	for _, f := range event.Fields {
		switch {
		case f.Name == "reason" && f.Value != "":
			name += " " + f.Value
		case f.Name == "error":
			name += ": " + errorKind(f.Value)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events[name]++
}

// errorKind shortens the text of an attempt's error to its kind.
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

// second returns the row of a moment; t.mu is held.
func (t *tally) second(at time.Time) *Second {
	i := max(0, int(at.Sub(t.start)/time.Second))
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, Second{})
	}
	return &t.seconds[i]
}

// arrived records a request before it is sent.
func (t *tally) arrived(number int, organisation ident.OrganisationID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.arrivals[number] = arrival{
		at:           now,
		organisation: organisation,
	}
	t.second(now).Offered++
}

// answered records a complete and right answer.
func (t *tally) answered(number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	a := t.arrivals[number]
	took := now.Sub(a.at)
	if took > t.deadline {
		return
	}
	t.second(now).Attained++
	t.second(a.at).Kept++
	t.latencies[a.organisation] = append(t.latencies[a.organisation], took)
}

// result returns what was collected so far.
func (t *tally) result(variant string, report *load.Report) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{
		Variant:   variant,
		Report:    report,
		Seconds:   slices.Clone(t.seconds),
		Latencies: make(map[ident.OrganisationID][]time.Duration),
		Events:    make(map[string]int),
	}
	for _, row := range t.costs {
		r.Costs = append(r.Costs, *row)
	}
	slices.SortFunc(r.Costs, func(a, b Cost) int { return cmp.Compare(a.Stage, b.Stage) })
	for organisation, latencies := range t.latencies {
		sorted := slices.Clone(latencies)
		slices.Sort(sorted)
		r.Latencies[organisation] = sorted
	}
	for name, n := range t.events {
		r.Events[name] = n
	}
	return r
}
