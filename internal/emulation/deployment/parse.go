package deployment

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
)

// ErrInvalid reports an invalid deployment. Errors that wrap it list every problem.
const ErrInvalid = errors.ConstError("deployment is invalid")

// Change replaces one value of a deployment, or adds it.
type Change struct {
	Section string
	Key     string
	Value   string
}

// ParseChange parses a change of the form section.key=value. The last dot before the
// equals sign ends the section.
func ParseChange(text string) (Change, error) {
	setting, value, ok := strings.Cut(text, "=")
	dot := strings.LastIndexByte(setting, '.')
	if !ok || dot < 0 {
		return Change{}, errors.Errorf("%q is not of the form section.key=value, as in kind chat.rate=20", text)
	}
	return Change{
		Section: strings.TrimSpace(setting[:dot]),
		Key:     strings.TrimSpace(setting[dot+1:]),
		Value:   strings.TrimSpace(value),
	}, nil
}

// Parse parses a deployment after applying the changes. It returns an ErrInvalid that
// lists every problem.
func Parse(name string, content []byte, changes ...Change) (*Deployment, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment: true,
	}, content)
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %v", name, err)
	}
	p := &parser{
		deployment: &Deployment{
			Name: name,
		},
	}
	for _, change := range changes {
		file.Section(change.Section).Key(change.Key).SetValue(change.Value)
	}
	for _, section := range file.Sections() {
		p.readSection(section)
	}
	p.attachStages()
	p.validate()
	if len(p.problems) > 0 {
		return nil, errors.Annotatef(ErrInvalid, "%s:\n  %s\n", name, strings.Join(p.problems, "\n  "))
	}
	return p.deployment, nil
}

// numberedStage is a stage with its kind and its number.
type numberedStage struct {
	kind   string
	number int
	stage  Stage
}

type parser struct {
	deployment *Deployment
	stages     []numberedStage
	problems   []string
}

func (p *parser) problemf(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// readSection reads a section according to its type.
func (p *parser) readSection(section *ini.Section) {
	d := p.deployment
	typ, name, _ := strings.Cut(section.Name(), " ")
	switch typ {
	case ini.DefaultSection:
		if len(section.Keys()) > 0 {
			p.problemf("%s: outside of any section", section.Keys()[0].Name())
		}
	case "deployment":
		p.mapKeys(section, d)
	case "policy":
		d.Policy = Policy{
			Batching:  ByCoordinator,
			Placement: ByCoordinator,
			Affinity:  Bounded,
			Admission: ByDelay,
			Usual:     batch.DefaultPolicy().Usual,
			Low:       batch.DefaultPolicy().Low,
		}
		p.mapKeys(section, &d.Policy)
	case "pool":
		pool := Pool{
			Name: name,
		}
		p.mapKeys(section, &pool)
		d.Pools = append(d.Pools, pool)
	case "engines":
		engines := Engines{
			Name:        name,
			TimeFactors: []float64{1},
		}
		p.mapKeys(section, &engines)
		d.Engines = append(d.Engines, engines)
	case "kind":
		kind := Kind{
			Name: name,
		}
		p.mapKeys(section, &kind)
		d.Kinds = append(d.Kinds, kind)
	case "stage":
		p.readStage(section, name)
	case "burst":
		burst := Burst{}
		p.mapKeys(section, &burst)
		d.Bursts = append(d.Bursts, burst)
	case "fault":
		fault := Fault{}
		p.mapKeys(section, &fault)
		d.Faults = append(d.Faults, fault)
	case "freeze":
		freeze := Freeze{}
		p.mapKeys(section, &freeze)
		d.Freezes = append(d.Freezes, freeze)
	case "takeover":
		takeover := Takeover{}
		p.mapKeys(section, &takeover)
		d.Takeovers = append(d.Takeovers, takeover)
	default:
		p.problemf("[%s]: unknown section", section.Name())
	}
}

// mapKeys sets the fields of a struct from the keys of a section, by their ini tags.
func (p *parser) mapKeys(section *ini.Section, target any) {
	known := make(map[string]reflect.Type)
	fields := reflect.TypeOf(target).Elem()
	for i := range fields.NumField() {
		known[fields.Field(i).Tag.Get("ini")] = fields.Field(i).Type
	}
	for _, key := range section.Keys() {
		typ, ok := known[key.Name()]
		if !ok || key.Name() == "-" {
			p.problemf("[%s] %s: unknown key", section.Name(), key.Name())
			continue
		}
		if typ == reflect.TypeFor[time.Duration]() {
			// The library reads a number without a unit as nanoseconds.
			if _, err := time.ParseDuration(key.String()); err != nil {
				p.problemf("[%s] %s = %q: expected a duration with a unit, as in 200ms", section.Name(), key.Name(), key.String())
			}
		}
	}
	if err := section.StrictMapTo(target); err != nil {
		p.problemf("[%s]: %v", section.Name(), err)
	}
}

func (p *parser) readStage(section *ini.Section, name string) {
	n := numberedStage{
		stage: Stage{
			Share:      1,
			WorkFactor: 1,
		},
	}
	p.mapKeys(section, &n.stage)
	dot := strings.LastIndexByte(name, '.')
	number, err := strconv.Atoi(name[dot+1:])
	if dot < 0 || err != nil {
		p.problemf("[%s]: expected the name of a kind and a number, as in [stage chat.0]", section.Name())
		return
	}
	n.kind = name[:dot]
	n.number = number
	p.stages = append(p.stages, n)
}

// attachStages adds the stages to their kinds, in the order of their numbers.
func (p *parser) attachStages() {
	slices.SortStableFunc(p.stages, func(a, b numberedStage) int { return cmp.Compare(a.number, b.number) })
	for _, n := range p.stages {
		i := slices.IndexFunc(p.deployment.Kinds, func(k Kind) bool { return k.Name == n.kind })
		switch {
		case i < 0:
			p.problemf("[stage %s.%d]: no kind %q", n.kind, n.number, n.kind)
		case n.number != len(p.deployment.Kinds[i].Stages):
			p.problemf("[stage %s.%d]: stages are numbered from 0 without gaps", n.kind, n.number)
		default:
			p.deployment.Kinds[i].Stages = append(p.deployment.Kinds[i].Stages, n.stage)
		}
	}
}

// validate checks the values of the deployment and the names that they refer to.
func (p *parser) validate() {
	d := p.deployment
	p.requirePositive("[deployment] hosts", d.Hosts)
	p.requirePositive("[deployment] domains", d.Domains)
	p.requirePositive("[deployment] length", d.Length)
	p.requireShare("[deployment] loss", d.LossRate)
	p.requireOneOf("[policy] batching", d.Policy.Batching, ByCoordinator, ByHost)
	p.requireOneOf("[policy] placement", d.Policy.Placement, ByCoordinator, ByHost)
	p.requireOneOf("[policy] affinity", d.Policy.Affinity, Bounded, Strict, Balanced)
	p.requireOneOf("[policy] admission", d.Policy.Admission, ByDelay, All)
	p.requirePositive("[policy] usual", d.Policy.Usual)
	p.requirePositive("[policy] low", d.Policy.Low)
	for _, pool := range d.Pools {
		prefix := "[pool " + pool.Name + "] "
		p.requirePositive(prefix+"count", pool.Count)
		p.requirePositive(prefix+"slots", pool.Slots)
		p.requirePositive(prefix+"items", pool.Items)
		p.requirePositive(prefix+"call", pool.CallTime)
		p.requirePositive(prefix+"room", pool.Capacity)
	}
	for _, e := range d.Engines {
		prefix := "[engines " + e.Name + "] "
		p.requirePositive(prefix+"count", e.Count)
		p.requirePositive(prefix+"batch", e.MaxRunning)
		p.requirePositive(prefix+"memory", e.Memory)
		p.requirePositive(prefix+"step", e.StepTime)
		p.requirePositive(prefix+"rate", e.ReadRate)
		p.requirePositive(prefix+"chunk", e.ChunkTokens)
		p.requirePositive(prefix+"stride", e.EventTokens)
		for _, factor := range e.TimeFactors {
			p.requirePositive(prefix+"speeds", factor)
		}
	}
	if len(d.Kinds) == 0 {
		p.problemf("no kind of request")
	}
	for _, k := range d.Kinds {
		p.validateKind(k)
	}
	for _, burst := range d.Bursts {
		if burst.Kind != "" && !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == burst.Kind }) {
			p.problemf("[burst] kind: no kind %q", burst.Kind)
		}
		p.requirePositive("[burst] factor", burst.Factor)
	}
	for _, fault := range d.Faults {
		if !p.hasPool(fault.Service) && !p.hasEngines(fault.Service) {
			p.problemf("[fault] service: no pool or engines %q", fault.Service)
		}
	}
	for _, freeze := range d.Freezes {
		p.requirePositive("[freeze] hosts", freeze.Hosts)
	}
}

func (p *parser) validateKind(k Kind) {
	prefix := "[kind " + k.Name + "] "
	if !p.hasEngines(k.Engines) {
		p.problemf("%sengines: no engines %q", prefix, k.Engines)
	}
	p.requirePositive(prefix+"rate", k.Rate)
	p.requirePositive(prefix+"objective", k.Objective)
	p.requirePositive(prefix+"deadline", k.Deadline)
	p.requireDistribution(prefix+"input", k.Input)
	p.requireDistribution(prefix+"events", k.Events)
	if len(k.Shared) != len(k.SharedVariants) {
		p.problemf("%sthings: expected as many numbers as shared has", prefix)
	}
	for _, n := range k.SharedVariants {
		p.requirePositive(prefix+"things", n)
	}
	for i, stage := range k.Stages {
		prefix := fmt.Sprintf("[stage %s.%d] ", k.Name, i)
		if !p.hasPool(stage.Pool) {
			p.problemf("%spool: no pool %q", prefix, stage.Pool)
		}
		p.requireDistribution(prefix+"pieces", stage.Pieces)
		p.requireShare(prefix+"share", stage.Share)
		for _, before := range stage.After {
			if before < 0 || before >= i {
				p.problemf("%safter: %d is not a stage before", prefix, before)
			}
		}
	}
}

func (p *parser) hasPool(name string) bool {
	return slices.ContainsFunc(p.deployment.Pools, func(pool Pool) bool { return pool.Name == name })
}

func (p *parser) hasEngines(name string) bool {
	return slices.ContainsFunc(p.deployment.Engines, func(e Engines) bool { return e.Name == name })
}

// requirePositive records a problem if a number is not above zero.
func (p *parser) requirePositive(key string, value any) {
	if v := reflect.ValueOf(value); v.CanInt() && v.Int() <= 0 || v.CanFloat() && v.Float() <= 0 {
		p.problemf("%s: must be above zero", key)
	}
}

// requireDistribution records a problem if a distribution has no mean or values out of
// range.
func (p *parser) requireDistribution(key string, d Distribution) {
	switch {
	case len(d) < 1 || len(d) > 3 || d[0] <= 0:
		p.problemf("%s: expected a mean, and perhaps the spread of its logarithm and a largest value", key)
	case len(d) > 1 && d[1] < 0, len(d) > 2 && d[2] <= 0:
		p.problemf("%s: must not be below zero", key)
	}
}

func (p *parser) requireShare(key string, value float64) {
	if value < 0 || value > 1 {
		p.problemf("%s: must be between 0 and 1", key)
	}
}

// requireOneOf records a problem if a value is not one of the known ones.
func (p *parser) requireOneOf(key string, value any, known ...any) {
	if !slices.Contains(known, value) {
		p.problemf("%s: %q is none of %q", key, value, known)
	}
}
