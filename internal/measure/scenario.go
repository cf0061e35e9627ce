package measure

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/load"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const (
	// timeScale shortens the deadline and the timeouts of the documents, so that
	// a scenario takes seconds.
	timeScale = 4
	// engineSlots is half of the layout's value, so that ten cores suffice for one
	// process with the load generator, the entry hosts and the stand-in upstreams
	// at twice the capacity.
	engineSlots = 4
	engineQueue = 16

	engineKind = "engine"
)

// Variant is one way to serve the load of a scenario.
type Variant struct {
	Name           string
	Baseline       bool          // round robin with a fixed number of retries, without the serving code's policies
	IgnorePrefixes bool          // selection ignores prompt prefixes
	Weight         float64       // replaces the document's attainment weight unless negative
	OneWayDelay    time.Duration // one-way delay between failure domains
}

// faultInjection replaces the faults of all upstreams that match, at a time from
// the start of the run.
type faultInjection struct {
	at      time.Duration
	matches func(index int, u standin.Upstream) bool
	faults  upstreams.Faults
}

// phase is a part of a run with its own attainment and goodput in the report.
type phase struct {
	name string
	from time.Duration
	to   time.Duration
}

// Scenario defines a load, the faults to inject and the variants to compare.
type Scenario struct {
	Name         string
	Usage        string
	loadFactor   float64 // request rate as a fraction of the engines' capacity
	duration     time.Duration
	deadline     time.Duration // 0: the document's, shortened by timeScale
	largestShare float64       // fraction of the requests from the first organisation; 0: defaultLargestShare
	bursts       []load.Burst
	prefixes     int // number of shared prompt prefixes; 0: none
	adjustEngine func(*standin.Upstream)
	faults       func(standin.Deployment) []faultInjection
	phases       []phase
	variants     func(Deployment) []Variant
}

// Deployment is a stand-in deployment with the pipeline service to measure.
type Deployment struct {
	standin.Deployment
	Service       ident.ServiceName
	Organisations []ident.OrganisationID // the first sends the most requests
	Entries       int                    // number of entry hosts
	OneWayDelay   time.Duration          // one-way delay between failure domains
}

// Deployments returns the deployments that can be measured, by name.
func Deployments() map[string]Deployment {
	known := standin.Deployments()
	return map[string]Deployment{
		"franchise": {
			Deployment:    known["franchise"],
			Service:       "nutmeg-pool",
			Organisations: []ident.OrganisationID{"lakeshore-creamery", "rindworks", "fair-a", "fair-b", "fair-c"},
			Entries:       6,
			OneWayDelay:   4 * time.Millisecond,
		},
		"roues": {
			Deployment:    known["roues"],
			Service:       "atelier-llm",
			Organisations: []ident.OrganisationID{"atelier-armorique", "tournage-cornouaille", "atelier-a", "atelier-b", "atelier-c"},
			Entries:       8,
			OneWayDelay:   3 * time.Millisecond,
		},
	}
}

func baselineAndCurrent(Deployment) []Variant {
	return []Variant{
		{
			Name:     "baseline",
			Baseline: true,
			Weight:   -1,
		},
		{
			Name:   "now",
			Weight: -1,
		},
	}
}

// Scenarios returns all scenarios in the order in which the measure tool lists
// them.
func Scenarios() []Scenario {
	const second = time.Second
	return []Scenario{
		{
			Name:       "quiet",
			Usage:      "no fault",
			loadFactor: 0.6,
			duration:   7 * second,
			variants:   baselineAndCurrent,
		},
		{
			Name:       "straggler",
			Usage:      "one engine at a tenth of its speed",
			loadFactor: 0.6,
			duration:   8 * second,
			faults:     straggler,
			phases:     phases(8*second, 2*second),
			variants:   baselineAndCurrent,
		},
		{
			Name:       "timeout",
			Usage:      "one reranker slower than its timeout",
			loadFactor: 0.6,
			duration:   6 * second,
			faults:     slowReranker,
			phases:     phases(6*second, 2*second),
			variants:   baselineAndCurrent,
		},
		{
			Name:       "domain",
			Usage:      "one failure domain fails in the middle",
			loadFactor: 0.5,
			duration:   8 * second,
			faults: func(d standin.Deployment) []faultInjection {
				return failedDomain(d, 2*second, 5*second)
			},
			phases:   phases(8*second, 2*second, 5*second),
			variants: baselineAndCurrent,
		},
		{
			Name:         "burst",
			Usage:        "a burst at twice the capacity, nine tenths of it from one organisation",
			loadFactor:   0.5,
			duration:     8 * second,
			largestShare: 0.9,
			bursts: []load.Burst{
				{
					Start:    2 * second,
					Duration: 3 * second,
					Factor:   4,
				},
			},
			phases:   phases(8*second, 2*second, 5*second),
			variants: baselineAndCurrent,
		},
		{
			Name:       "overload",
			Usage:      "twice the capacity while one failure domain is down",
			loadFactor: 0.6,
			duration:   9 * second,
			bursts: []load.Burst{
				{
					Start:    2 * second,
					Duration: 3 * second,
					Factor:   2 / 0.6,
				},
			},
			faults: func(d standin.Deployment) []faultInjection {
				return failedDomain(d, 2*second, 5*second)
			},
			phases:   phases(9*second, 2*second, 5*second),
			variants: baselineAndCurrent,
		},
		{
			Name:       "deadline",
			Usage:      "a deadline of 1 s with rerankers that take 0.5 s",
			loadFactor: 0.6,
			duration:   9 * second,
			deadline:   second,
			faults:     slowRerankers,
			phases:     phases(9*second, 2*second, 7*second),
			variants:   baselineAndCurrent,
		},
		{
			Name:       "prefix",
			Usage:      "shared prompt prefixes with late and lost cache events",
			loadFactor: 0.5,
			duration:   6 * second,
			prefixes:   40,
			adjustEngine: func(u *standin.Upstream) {
				u.CacheEntries = 12
				u.CacheFactor = 0.2
				u.FirstToken = 120 * time.Millisecond
				u.EventDelay = 300 * time.Millisecond
				u.EventGap = 7
			},
			phases: phases(6*second, 2*second),
			variants: func(Deployment) []Variant {
				variants := baselineAndCurrent(Deployment{})
				variants[1].Name = "affinity"
				return slices.Insert(variants, 1, Variant{
					Name:           "without",
					IgnorePrefixes: true,
					Weight:         -1,
				})
			},
		},
		{
			Name:       "weight",
			Usage:      "attainment weights 0, 0.5 and 1 with delay between failure domains",
			loadFactor: 0.75,
			duration:   4 * second,
			faults:     straggler,
			variants: func(d Deployment) []Variant {
				variants := []Variant{{
					Name:        "baseline",
					Baseline:    true,
					Weight:      -1,
					OneWayDelay: d.OneWayDelay,
				}}
				for name, weight := range map[string]float64{"0": 0, "0.5": 0.5, "1": 1} {
					variants = append(variants, Variant{
						Name:        "weight " + name,
						Weight:      weight,
						OneWayDelay: d.OneWayDelay,
					})
				}
				slices.SortFunc(variants[1:], func(a, b Variant) int { return cmp.Compare(a.Weight, b.Weight) })
				return variants
			},
		},
	}
}

// phases splits a run at the given times into phases named before, during and
// after.
func phases(end time.Duration, boundaries ...time.Duration) []phase {
	names := []string{"before", "during", "after"}
	boundaries = append(boundaries, end)
	var found []phase
	from := time.Duration(0)
	for i, boundary := range boundaries {
		found = append(found, phase{
			name: names[i],
			from: from,
			to:   boundary,
		})
		from = boundary
	}
	return found
}

func straggler(standin.Deployment) []faultInjection {
	return []faultInjection{{
		at:      2 * time.Second,
		matches: func(_ int, u standin.Upstream) bool { return strings.HasSuffix(string(u.Name), "engines-1") },
		faults: upstreams.Faults{
			Slow: 10,
		},
	}}
}

// failedDomain crashes every upstream of the first failure domain at its first
// request after from. Each restarts to-from after its crash, thus not before to;
// the faults are cleared 100 ms earlier, so that no upstream crashes twice.
func failedDomain(d standin.Deployment, from, to time.Duration) []faultInjection {
	matches := func(_ int, u standin.Upstream) bool { return u.Domain == d.Domains[0] }
	return []faultInjection{
		{
			at:      from,
			matches: matches,
			faults: upstreams.Faults{
				CrashOn:  promptMarker,
				CrashFor: upstreams.Duration(to - from),
			},
		},
		{
			at:      to - 100*time.Millisecond,
			matches: matches,
		},
	}
}

func slowReranker(standin.Deployment) []faultInjection {
	return []faultInjection{{
		at:      2 * time.Second,
		matches: func(_ int, u standin.Upstream) bool { return strings.HasSuffix(string(u.Name), "rerankers-1") },
		faults: upstreams.Faults{
			Slow: 80,
		},
	}}
}

func slowRerankers(standin.Deployment) []faultInjection {
	matches := func(_ int, u standin.Upstream) bool { return u.Kind == string(upstreams.Reranker) }
	return []faultInjection{
		{
			at:      2 * time.Second,
			matches: matches,
			faults: upstreams.Faults{
				Slow: 50,
			},
		},
		{
			at:      7 * time.Second,
			matches: matches,
		},
	}
}

// upstreams returns the settings of the stand-in upstreams of the measured
// service, adjusted for the scenario.
func (s Scenario) upstreams(d Deployment, net int) ([]standin.Upstream, error) {
	layout := standin.Layout{
		Deployment: d.Deployment,
		Net:        net,
		Entries:    d.Entries,
	}
	parsed, err := standin.Parse([]byte(layout.StandinSettings()))
	if err != nil {
		return nil, err
	}
	var found []standin.Upstream
	for _, u := range parsed.Upstreams {
		if u.Service != d.Service {
			continue
		}
		if u.Kind == engineKind {
			u.Slots = engineSlots
			u.Queue = engineQueue
			if s.adjustEngine != nil {
				s.adjustEngine(&u)
			}
		}
		found = append(found, u)
	}
	return found, nil
}

// capacity returns the number of requests per second that the engines can serve
// without cache hits.
func capacity(settings []standin.Upstream) float64 {
	rate := 0.0
	for _, u := range settings {
		if u.Kind == engineKind {
			rate += float64(u.Slots) / (u.FirstToken.Seconds() + float64(u.Tokens-1)/u.TokenRate)
		}
	}
	return rate
}

// scaledDocument returns a copy of doc with the deadline and timeouts of the
// scenario and the attainment weight of the variant.
func (s Scenario) scaledDocument(doc document.Service, v Variant) *document.Service {
	doc.Deadline /= timeScale
	if s.deadline > 0 {
		doc.Deadline = s.deadline
	}
	doc.Stages = slices.Clone(doc.Stages)
	for i := range doc.Stages {
		doc.Stages[i].Timeout /= timeScale
		if s.deadline > 0 {
			// Timeouts beyond the deadline, so that only the deadline limits the stages.
			doc.Stages[i].Timeout = 2 * s.deadline
		}
	}
	doc.Shares = maps.Clone(doc.Shares)
	if v.Weight >= 0 {
		doc.AttainmentWeight = v.Weight
	}
	return &doc
}
