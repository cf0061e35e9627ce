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
	// engineSlots is half of the layout's, so that the load generator, the entry
	// hosts and the stand-ins fit into one process on ten cores at twice the
	// capacity.
	engineSlots = 4
	engineQueue = 16

	engineKind = "engine"
)

// Variant is one way to serve the load of a scenario.
type Variant struct {
	Name       string
	Baseline   bool          // round robin, fixed retries, nothing else
	Unprefixed bool          // selection ignores prompt prefixes
	Weight     float64       // attainment weight instead of the document's; negative keeps that
	OneWay     time.Duration // delay between failure domains
}

// fault sets the fault switches of the upstreams that it hits.
type fault struct {
	at     time.Duration
	hits   func(index int, u standin.Upstream) bool
	faults upstreams.Faults
}

// phase is a part of a run for which attainment is reported.
type phase struct {
	name string
	from time.Duration
	to   time.Duration
}

// Scenario is a load, faults and the variants that are compared.
type Scenario struct {
	Name     string
	Usage    string
	part     float64 // of the capacity of the engines, as the request rate
	duration time.Duration
	deadline time.Duration // 0: the document's, scaled
	large    float64       // part of the requests of the first organisation; 0: 0.6
	bursts   []load.Burst
	prefixes int // shared prompt prefixes; 0: none
	adjust   func(*standin.Upstream)
	faults   func(standin.Deployment) []fault
	phases   []phase
	variants func(Deployment) []Variant
}

// Deployment is one user's installation with the pipeline service measured.
type Deployment struct {
	standin.Deployment
	Service       ident.ServiceName
	Organisations []ident.OrganisationID // the first is the largest
	Entries       int
	OneWay        time.Duration // between failure domains
}

// Deployments returns the installations by name.
func Deployments() map[string]Deployment {
	known := standin.Deployments()
	return map[string]Deployment{
		"franchise": {
			Deployment:    known["franchise"],
			Service:       "nutmeg-pool",
			Organisations: []ident.OrganisationID{"lakeshore-creamery", "rindworks", "fair-a", "fair-b", "fair-c"},
			Entries:       6,
			OneWay:        4 * time.Millisecond,
		},
		"roues": {
			Deployment:    known["roues"],
			Service:       "atelier-llm",
			Organisations: []ident.OrganisationID{"atelier-armorique", "tournage-cornouaille", "atelier-a", "atelier-b", "atelier-c"},
			Entries:       8,
			OneWay:        3 * time.Millisecond,
		},
	}
}

func baselineAndNow(Deployment) []Variant {
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

// Scenarios returns the scenarios in the order in which they are listed.
func Scenarios() []Scenario {
	const second = time.Second
	return []Scenario{
		{
			Name:     "quiet",
			Usage:    "no fault",
			part:     0.6,
			duration: 7 * second,
			variants: baselineAndNow,
		},
		{
			Name:     "straggler",
			Usage:    "one engine at a tenth of its speed",
			part:     0.6,
			duration: 8 * second,
			faults:   straggler,
			phases:   phases(8*second, 2*second),
			variants: baselineAndNow,
		},
		{
			Name:     "timeout",
			Usage:    "one reranker slower than its timeout",
			part:     0.6,
			duration: 6 * second,
			faults:   slowReranker,
			phases:   phases(6*second, 2*second),
			variants: baselineAndNow,
		},
		{
			Name:     "domain",
			Usage:    "one failure domain fails in the middle",
			part:     0.5,
			duration: 8 * second,
			faults: func(d standin.Deployment) []fault {
				return failedDomain(d, 2*second, 5*second)
			},
			phases:   phases(8*second, 2*second, 5*second),
			variants: baselineAndNow,
		},
		{
			Name:     "burst",
			Usage:    "a burst at twice the capacity, nine tenths of it from one organisation",
			part:     0.5,
			duration: 8 * second,
			large:    0.9,
			bursts: []load.Burst{
				{
					At:     2 * second,
					For:    3 * second,
					Factor: 4,
				},
			},
			phases:   phases(8*second, 2*second, 5*second),
			variants: baselineAndNow,
		},
		{
			Name:     "overload",
			Usage:    "twice the capacity while one failure domain is down",
			part:     0.6,
			duration: 9 * second,
			bursts: []load.Burst{
				{
					At:     2 * second,
					For:    3 * second,
					Factor: 2 / 0.6,
				},
			},
			faults: func(d standin.Deployment) []fault {
				return failedDomain(d, 2*second, 5*second)
			},
			phases:   phases(9*second, 2*second, 5*second),
			variants: baselineAndNow,
		},
		{
			Name:     "deadline",
			Usage:    "a deadline of 1 s with rerankers that take 0.5 s",
			part:     0.6,
			duration: 9 * second,
			deadline: second,
			faults:   slowRerankers,
			phases:   phases(9*second, 2*second, 7*second),
			variants: baselineAndNow,
		},
		{
			Name:     "prefix",
			Usage:    "shared prompt prefixes with late and lost cache events",
			part:     0.5,
			duration: 6 * second,
			prefixes: 40,
			adjust: func(u *standin.Upstream) {
				u.CacheEntries = 12
				u.CacheFactor = 0.2
				u.FirstToken = 120 * time.Millisecond
				u.EventDelay = 300 * time.Millisecond
				u.EventGap = 7
			},
			phases: phases(6*second, 2*second),
			variants: func(Deployment) []Variant {
				variants := baselineAndNow(Deployment{})
				variants[1].Name = "affinity"
				return slices.Insert(variants, 1, Variant{
					Name:       "without",
					Unprefixed: true,
					Weight:     -1,
				})
			},
		},
		{
			Name:     "weight",
			Usage:    "attainment weights 0, 0.5 and 1 with delay between failure domains",
			part:     0.75,
			duration: 4 * second,
			faults:   straggler,
			variants: func(d Deployment) []Variant {
				variants := []Variant{{
					Name:     "baseline",
					Baseline: true,
					Weight:   -1,
					OneWay:   d.OneWay,
				}}
				for name, weight := range map[string]float64{"0": 0, "0.5": 0.5, "1": 1} {
					variants = append(variants, Variant{
						Name:   "weight " + name,
						Weight: weight,
						OneWay: d.OneWay,
					})
				}
				slices.SortFunc(variants[1:], func(a, b Variant) int { return cmp.Compare(a.Weight, b.Weight) })
				return variants
			},
		},
	}
}

// phases cuts a run at the given times into parts named before, during and after.
func phases(end time.Duration, cuts ...time.Duration) []phase {
	names := []string{"before", "during", "after"}
	cuts = append(cuts, end)
	var found []phase
	from := time.Duration(0)
	for i, cut := range cuts {
		found = append(found, phase{
			name: names[i],
			from: from,
			to:   cut,
		})
		from = cut
	}
	return found
}

func straggler(standin.Deployment) []fault {
	return []fault{{
		at:   2 * time.Second,
		hits: func(_ int, u standin.Upstream) bool { return strings.HasSuffix(string(u.Name), "engines-1") },
		faults: upstreams.Faults{
			Slow: 10,
		},
	}}
}

// failedDomain crashes every upstream of the first failure domain as soon as a
// request reaches it; they return after the end.
func failedDomain(d standin.Deployment, from, to time.Duration) []fault {
	hits := func(_ int, u standin.Upstream) bool { return u.Domain == d.Domains[0] }
	return []fault{
		{
			at:   from,
			hits: hits,
			faults: upstreams.Faults{
				CrashOn:  promptMark,
				CrashFor: upstreams.Duration(to - from),
			},
		},
		{
			at:   to - 100*time.Millisecond,
			hits: hits,
		},
	}
}

func slowReranker(standin.Deployment) []fault {
	return []fault{{
		at:   2 * time.Second,
		hits: func(_ int, u standin.Upstream) bool { return strings.HasSuffix(string(u.Name), "rerankers-1") },
		faults: upstreams.Faults{
			Slow: 80,
		},
	}}
}

func slowRerankers(standin.Deployment) []fault {
	hits := func(_ int, u standin.Upstream) bool { return u.Kind == string(upstreams.Reranker) }
	return []fault{
		{
			at:   2 * time.Second,
			hits: hits,
			faults: upstreams.Faults{
				Slow: 50,
			},
		},
		{
			at:   7 * time.Second,
			hits: hits,
		},
	}
}

// upstreamsOf returns the settings of the service's upstreams for the scenario.
func (s Scenario) upstreamsOf(d Deployment, net int) ([]standin.Upstream, error) {
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
			if s.adjust != nil {
				s.adjust(&u)
			}
		}
		found = append(found, u)
	}
	return found, nil
}

// capacity returns the requests a second that the engines can serve without cache hits.
func capacity(units []standin.Upstream) float64 {
	rate := 0.0
	for _, u := range units {
		if u.Kind == engineKind {
			rate += float64(u.Slots) / (u.FirstToken.Seconds() + float64(u.Tokens-1)/u.TokenRate)
		}
	}
	return rate
}

// scaled returns the document for a variant of the scenario.
func (s Scenario) scaled(doc document.Service, v Variant) *document.Service {
	doc.Deadline /= timeScale
	if s.deadline > 0 {
		doc.Deadline = s.deadline
	}
	doc.Stages = slices.Clone(doc.Stages)
	for i := range doc.Stages {
		doc.Stages[i].Timeout /= timeScale
		if s.deadline > 0 {
			// The deadline bounds the stages, not their own timeouts.
			doc.Stages[i].Timeout = 2 * s.deadline
		}
	}
	doc.Shares = maps.Clone(doc.Shares)
	if v.Weight >= 0 {
		doc.AttainmentWeight = v.Weight
	}
	return &doc
}
