package experiment

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

// Variant is a named set of changes to a deployment.
type Variant struct {
	Name    string
	Changes []deployment.Change
}

// ParseVariant parses a variant of the form "name: change, change".
func ParseVariant(text string) (Variant, error) {
	name, list, _ := strings.Cut(text, ":")
	v := Variant{
		Name: strings.TrimSpace(name),
	}
	for part := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		change, err := deployment.ParseChange(part)
		if err != nil {
			return Variant{}, errors.Annotatef(err, "variant %q", v.Name)
		}
		v.Changes = append(v.Changes, change)
	}
	return v, nil
}

// Sweep is a setting with the values that it takes one after the other.
type Sweep struct {
	Section string
	Key     string
	Values  []string
}

// ParseSweep parses a sweep of the form "section.key=value,value".
func ParseSweep(text string) (Sweep, error) {
	change, err := deployment.ParseChange(text)
	if err != nil {
		return Sweep{}, err
	}
	s := Sweep{
		Section: change.Section,
		Key:     change.Key,
	}
	for value := range strings.SplitSeq(change.Value, ",") {
		s.Values = append(s.Values, strings.TrimSpace(value))
	}
	return s, nil
}

// Name returns the setting as section.key.
func (s Sweep) Name() string { return s.Section + "." + s.Key }

// Plan describes an experiment: runs of each variant with each value of the sweep and
// each seed.
type Plan struct {
	Name     string              // of the deployment
	Text     []byte              // of the deployment
	Changes  []deployment.Change // to all variants
	Variants []Variant           // if empty, only the deployment itself
	Sweep    *Sweep              // may be nil
	Seeds    int                 // number of runs for each point; the seeds count from 0
	Workers  int                 // maximum of concurrent runs, at least 1
}

// Summary holds the means over the runs of a point.
type Summary struct {
	WorthShare       float64       // share of the worth that was earned
	WorthDeviation   float64       // standard deviation of WorthShare over the seeds
	OnTime           float64       // share of the requests
	Late             float64       // share of the requests
	Refused          float64       // share of the requests
	Failed           float64       // share of the requests
	MedianFirstEvent time.Duration // median time to the first event
	P99FirstEvent    time.Duration // 99th percentile of the time to the first event
	WastedStageTime  float64       // share of the processing time of stages
	ItemsPerCall     float64       // of calls to upstreams of stages
	Reread           float64       // share of the prompt tokens read that engines of the service had read shortly before
}

// Point is the result of a variant with a value of the sweep.
type Point struct {
	Variant string
	Value   string // empty without a sweep
	Summary Summary
}

// job is a run to be done.
type job struct {
	point      int
	deployment *deployment.Deployment
	seed       uint64
}

// result is the report of a run.
type result struct {
	point  int
	seed   uint64
	report play.Report
}

// Run runs the plan and returns the points, ordered by variant and then by value. It
// returns an error if a deployment is invalid. If the context ends before all runs have
// started, Run waits for those in progress and returns the error of the context.
func (p Plan) Run(ctx context.Context) ([]Point, error) {
	points, jobs, err := p.jobs()
	if err != nil {
		return nil, err
	}
	reports := make([][]play.Report, len(points))
	for i := range reports {
		reports[i] = make([]play.Report, p.Seeds)
	}
	results := make(chan result)
	running := 0
	for len(jobs) > 0 || running > 0 {
		if len(jobs) > 0 && running < max(1, p.Workers) && ctx.Err() == nil {
			j := jobs[0]
			jobs = jobs[1:]
			running++
			go func(context.Context) {
				results <- result{
					point:  j.point,
					seed:   j.seed,
					report: play.Run(j.deployment, j.seed),
				}
			}(ctx)
			continue
		}
		if running == 0 {
			return nil, errors.Trace(ctx.Err())
		}
		r := <-results
		running--
		reports[r.point][r.seed] = r.report
	}
	for i := range points {
		points[i].Summary = summarize(reports[i])
	}
	return points, nil
}

// jobs returns the points, without summaries, and the runs that they need.
func (p Plan) jobs() ([]Point, []job, error) {
	variants := p.Variants
	if len(variants) == 0 {
		variants = []Variant{{
			Name: p.Name,
		}}
	}
	values := []string{""}
	if p.Sweep != nil {
		values = p.Sweep.Values
	}
	var points []Point
	var jobs []job
	for _, variant := range variants {
		for _, value := range values {
			changes := slices.Concat(p.Changes, variant.Changes)
			if p.Sweep != nil {
				changes = append(changes, deployment.Change{
					Section: p.Sweep.Section,
					Key:     p.Sweep.Key,
					Value:   value,
				})
			}
			d, err := deployment.Parse(p.Name, p.Text, changes...)
			if err != nil {
				return nil, nil, errors.Annotatef(err, "variant %q, value %q", variant.Name, value)
			}
			for seed := range p.Seeds {
				jobs = append(jobs, job{
					point:      len(points),
					deployment: d,
					seed:       uint64(seed),
				})
			}
			points = append(points, Point{
				Variant: variant.Name,
				Value:   value,
			})
		}
	}
	return points, jobs, nil
}

// summarize returns the summary of the runs of a point.
func summarize(reports []play.Report) Summary {
	s := Summary{}
	n := float64(len(reports))
	squares := 0.0
	calls, items := 0, 0
	for _, report := range reports {
		total := report.Total()
		requests := float64(max(1, total.Requests))
		s.WorthShare += total.WorthShare() / n
		squares += total.WorthShare() * total.WorthShare() / n
		s.OnTime += float64(total.OnTime) / requests / n
		s.Late += float64(total.Late) / requests / n
		s.Refused += float64(total.Refused) / requests / n
		s.Failed += float64(total.Failed) / requests / n
		s.MedianFirstEvent += total.FirstEventTime(0.5) / time.Duration(len(reports))
		s.P99FirstEvent += total.FirstEventTime(0.99) / time.Duration(len(reports))
		if report.StageTime > 0 {
			s.WastedStageTime += float64(report.WastedStageTime) / float64(report.StageTime) / n
		}
		if report.Engines.Read > 0 {
			s.Reread += float64(report.Engines.Reread) / float64(report.Engines.Read) / n
		}
		calls += report.Calls
		items += report.Items
	}
	s.WorthDeviation = math.Sqrt(max(0, squares-s.WorthShare*s.WorthShare))
	if calls > 0 {
		s.ItemsPerCall = float64(items) / float64(calls)
	}
	return s
}
