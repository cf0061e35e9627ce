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

// Variant is a set of changes with a name.
type Variant struct {
	Name    string
	Changes []deployment.Change
}

// ParseVariant reads one that is written as name: change, change.
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

// Series is a setting with the values that it takes.
type Series struct {
	Section string
	Key     string
	Values  []string
}

// ParseSeries reads one that is written as section.key=value,value.
func ParseSeries(text string) (Series, error) {
	change, err := deployment.ParseChange(text)
	if err != nil {
		return Series{}, err
	}
	s := Series{
		Section: change.Section,
		Key:     change.Key,
	}
	for value := range strings.SplitSeq(change.Value, ",") {
		s.Values = append(s.Values, strings.TrimSpace(value))
	}
	return s, nil
}

// Name returns the setting as it is written.
func (s Series) Name() string { return s.Section + "." + s.Key }

// Plan is what an experiment plays.
type Plan struct {
	Name     string
	Text     []byte // of the deployment
	Changes  []deployment.Change
	Variants []Variant // none is the deployment itself
	Vary     *Series   // nil is nothing
	Seeds    int
	Workers  int // runs at the same time
}

// Summary is the mean of the runs of a point.
type Summary struct {
	Worth   float64 // part of the worth that was earned
	Spread  float64 // standard deviation of it over the seeds
	OnTime  float64 // parts of the requests
	Late    float64
	Refused float64
	Failed  float64
	Median  time.Duration // time to the first event
	Slowest time.Duration // the same, of 99 in 100
	Wasted  float64       // part of the time of stages
	Items   float64       // of a call of a stage
	Again   float64       // part of the prompt tokens that had been read before
}

// Point is what one variant gave with one value.
type Point struct {
	Variant string
	Value   string // empty if nothing is varied
	Summary Summary
}

// job is one run.
type job struct {
	point      int
	deployment *deployment.Deployment
	seed       uint64
}

// outcome is the end of a run.
type outcome struct {
	point  int
	seed   uint64
	report play.Report
}

// Run plays the plan. It returns an error if a deployment cannot be played, and that
// of the context.
func (p Plan) Run(ctx context.Context) ([]Point, error) {
	points, jobs, err := p.jobs()
	if err != nil {
		return nil, err
	}
	reports := make([][]play.Report, len(points))
	for i := range reports {
		reports[i] = make([]play.Report, p.Seeds)
	}
	ends := make(chan outcome)
	running := 0
	for len(jobs) > 0 || running > 0 {
		if len(jobs) > 0 && running < max(1, p.Workers) && ctx.Err() == nil {
			next := jobs[0]
			jobs = jobs[1:]
			running++
			go func(context.Context) {
				ends <- outcome{
					point:  next.point,
					seed:   next.seed,
					report: play.Run(next.deployment, next.seed),
				}
			}(ctx)
			continue
		}
		if running == 0 {
			return nil, errors.Trace(ctx.Err())
		}
		end := <-ends
		running--
		reports[end.point][end.seed] = end.report
	}
	for i := range points {
		points[i].Summary = summarize(reports[i])
	}
	return points, nil
}

// jobs lists the points and the runs that they need.
func (p Plan) jobs() ([]Point, []job, error) {
	variants := p.Variants
	if len(variants) == 0 {
		variants = []Variant{{
			Name: p.Name,
		}}
	}
	values := []string{""}
	if p.Vary != nil {
		values = p.Vary.Values
	}
	var points []Point
	var jobs []job
	for _, variant := range variants {
		for _, value := range values {
			changes := slices.Concat(p.Changes, variant.Changes)
			if p.Vary != nil {
				changes = append(changes, deployment.Change{
					Section: p.Vary.Section,
					Key:     p.Vary.Key,
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

// summarize returns the means of some runs.
func summarize(reports []play.Report) Summary {
	s := Summary{}
	n := float64(len(reports))
	squares := 0.0
	calls, items := 0, 0
	for _, report := range reports {
		total := report.Total()
		asked := float64(max(1, total.Asked))
		s.Worth += total.Share() / n
		squares += total.Share() * total.Share() / n
		s.OnTime += float64(total.OnTime) / asked / n
		s.Late += float64(total.Late) / asked / n
		s.Refused += float64(total.Refused) / asked / n
		s.Failed += float64(total.Failed) / asked / n
		s.Median += total.First(0.5) / time.Duration(len(reports))
		s.Slowest += total.First(0.99) / time.Duration(len(reports))
		if report.Busy > 0 {
			s.Wasted += float64(report.Wasted) / float64(report.Busy) / n
		}
		if report.Engines.Read > 0 {
			s.Again += float64(report.Engines.Again) / float64(report.Engines.Read) / n
		}
		calls += report.Calls
		items += report.Items
	}
	s.Spread = math.Sqrt(max(0, squares-s.Worth*s.Worth))
	if calls > 0 {
		s.Items = float64(items) / float64(calls)
	}
	return s
}
