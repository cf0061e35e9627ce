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

// ErrInvalid reports a deployment that cannot be played; its text lists every fault.
const ErrInvalid = errors.ConstError("deployment is invalid")

// Change replaces one value of a deployment.
type Change struct {
	Section string
	Key     string
	Value   string
}

// ParseChange reads a change that is written as section.key=value.
func ParseChange(text string) (Change, error) {
	place, value, ok := strings.Cut(text, "=")
	dot := strings.LastIndexByte(place, '.')
	if !ok || dot < 0 {
		return Change{}, errors.Errorf("%q is not of the form section.key=value, as in kind chat.rate=20", text)
	}
	return Change{
		Section: strings.TrimSpace(place[:dot]),
		Key:     strings.TrimSpace(place[dot+1:]),
		Value:   strings.TrimSpace(value),
	}, nil
}

// Parse reads a deployment with some changes; ErrInvalid lists every fault.
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
		p.section(section)
	}
	p.attach()
	p.check()
	if len(p.faults) > 0 {
		return nil, errors.Annotatef(ErrInvalid, "%s:\n  %s\n", name, strings.Join(p.faults, "\n  "))
	}
	return p.deployment, nil
}

// numbered is a stage with its place.
type numbered struct {
	kind   string
	number int
	stage  Stage
}

type parser struct {
	deployment *Deployment
	stages     []numbered
	faults     []string
}

func (p *parser) fault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// section reads one section by its kind.
func (p *parser) section(section *ini.Section) {
	d := p.deployment
	kind, name, _ := strings.Cut(section.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		if len(section.Keys()) > 0 {
			p.fault("%s: outside of any section", section.Keys()[0].Name())
		}
	case "deployment":
		p.read(section, d)
	case "policy":
		d.Policy = Policy{
			Batching:  ByCoordinator,
			Placement: ByCoordinator,
			Affinity:  Bounded,
			Admission: ByDelay,
			Usual:     batch.DefaultPolicy().Usual,
			Low:       batch.DefaultPolicy().Low,
		}
		p.read(section, &d.Policy)
	case "pool":
		pool := Pool{
			Name: name,
		}
		p.read(section, &pool)
		d.Pools = append(d.Pools, pool)
	case "engines":
		engines := Engines{
			Name:   name,
			Speeds: []float64{1},
		}
		p.read(section, &engines)
		d.Engines = append(d.Engines, engines)
	case "kind":
		kind := Kind{
			Name: name,
		}
		p.read(section, &kind)
		d.Kinds = append(d.Kinds, kind)
	case "stage":
		p.stage(section, name)
	case "burst":
		burst := Burst{}
		p.read(section, &burst)
		d.Bursts = append(d.Bursts, burst)
	case "fault":
		fault := Fault{}
		p.read(section, &fault)
		d.Faults = append(d.Faults, fault)
	case "freeze":
		freeze := Freeze{}
		p.read(section, &freeze)
		d.Freezes = append(d.Freezes, freeze)
	case "takeover":
		takeover := Takeover{}
		p.read(section, &takeover)
		d.Takeovers = append(d.Takeovers, takeover)
	default:
		p.fault("[%s]: unknown section", section.Name())
	}
}

// read maps the keys of a section to the fields of a value with their names.
func (p *parser) read(section *ini.Section, to any) {
	known := make(map[string]reflect.Type)
	fields := reflect.TypeOf(to).Elem()
	for i := range fields.NumField() {
		known[fields.Field(i).Tag.Get("ini")] = fields.Field(i).Type
	}
	for _, key := range section.Keys() {
		kind, ok := known[key.Name()]
		if !ok || key.Name() == "-" {
			p.fault("[%s] %s: unknown key", section.Name(), key.Name())
			continue
		}
		if kind == reflect.TypeFor[time.Duration]() {
			// The library takes a number without a unit for nanoseconds.
			if _, err := time.ParseDuration(key.String()); err != nil {
				p.fault("[%s] %s = %q: expected a duration with a unit, as in 200ms", section.Name(), key.Name(), key.String())
			}
		}
	}
	if err := section.StrictMapTo(to); err != nil {
		p.fault("[%s]: %v", section.Name(), err)
	}
}

func (p *parser) stage(section *ini.Section, name string) {
	n := numbered{
		stage: Stage{
			Share: 1,
			Work:  1,
		},
	}
	p.read(section, &n.stage)
	dot := strings.LastIndexByte(name, '.')
	number, err := strconv.Atoi(name[dot+1:])
	if dot < 0 || err != nil {
		p.fault("[%s]: expected the name of a kind and a number, as in [stage chat.0]", section.Name())
		return
	}
	n.kind = name[:dot]
	n.number = number
	p.stages = append(p.stages, n)
}

// attach gives the stages to their kinds.
func (p *parser) attach() {
	slices.SortStableFunc(p.stages, func(a, b numbered) int { return cmp.Compare(a.number, b.number) })
	for _, n := range p.stages {
		i := slices.IndexFunc(p.deployment.Kinds, func(k Kind) bool { return k.Name == n.kind })
		switch {
		case i < 0:
			p.fault("[stage %s.%d]: no kind %q", n.kind, n.number, n.kind)
		case n.number != len(p.deployment.Kinds[i].Stages):
			p.fault("[stage %s.%d]: stages are numbered from 0 without gaps", n.kind, n.number)
		default:
			p.deployment.Kinds[i].Stages = append(p.deployment.Kinds[i].Stages, n.stage)
		}
	}
}

// check looks for values that cannot be played.
func (p *parser) check() {
	d := p.deployment
	p.positive("[deployment] hosts", d.Hosts)
	p.positive("[deployment] domains", d.Domains)
	p.positive("[deployment] length", d.Length)
	p.share("[deployment] loss", d.Loss)
	p.among("[policy] batching", d.Policy.Batching, ByCoordinator, ByHost)
	p.among("[policy] placement", d.Policy.Placement, ByCoordinator, ByHost)
	p.among("[policy] affinity", d.Policy.Affinity, Bounded, Strict, Balanced)
	p.among("[policy] admission", d.Policy.Admission, ByDelay, All)
	p.positive("[policy] usual", d.Policy.Usual)
	p.positive("[policy] low", d.Policy.Low)
	for _, pool := range d.Pools {
		place := "[pool " + pool.Name + "] "
		p.positive(place+"count", pool.Count)
		p.positive(place+"slots", pool.Slots)
		p.positive(place+"items", pool.Items)
		p.positive(place+"call", pool.Call)
		p.positive(place+"room", pool.Room)
	}
	for _, e := range d.Engines {
		place := "[engines " + e.Name + "] "
		p.positive(place+"count", e.Count)
		p.positive(place+"batch", e.Batch)
		p.positive(place+"memory", e.Memory)
		p.positive(place+"step", e.Step)
		p.positive(place+"rate", e.Rate)
		p.positive(place+"chunk", e.Chunk)
		p.positive(place+"stride", e.Stride)
		for _, speed := range e.Speeds {
			p.positive(place+"speeds", speed)
		}
	}
	if len(d.Kinds) == 0 {
		p.fault("no kind of request")
	}
	for _, k := range d.Kinds {
		p.kind(k)
	}
	for _, burst := range d.Bursts {
		if burst.Kind != "" && !slices.ContainsFunc(d.Kinds, func(k Kind) bool { return k.Name == burst.Kind }) {
			p.fault("[burst] kind: no kind %q", burst.Kind)
		}
		p.positive("[burst] factor", burst.Factor)
	}
	for _, fault := range d.Faults {
		if !p.pool(fault.Service) && !p.engines(fault.Service) {
			p.fault("[fault] service: no pool or engines %q", fault.Service)
		}
	}
	for _, freeze := range d.Freezes {
		p.positive("[freeze] hosts", freeze.Hosts)
	}
}

func (p *parser) kind(k Kind) {
	place := "[kind " + k.Name + "] "
	if !p.engines(k.Engines) {
		p.fault("%sengines: no engines %q", place, k.Engines)
	}
	p.positive(place+"rate", k.Rate)
	p.positive(place+"objective", k.Objective)
	p.positive(place+"deadline", k.Deadline)
	p.amount(place+"input", k.Input)
	p.amount(place+"events", k.Events)
	if len(k.Shared) != len(k.Things) {
		p.fault("%sthings: expected as many numbers as shared has", place)
	}
	for _, n := range k.Things {
		p.positive(place+"things", n)
	}
	for i, stage := range k.Stages {
		place := fmt.Sprintf("[stage %s.%d] ", k.Name, i)
		if !p.pool(stage.Pool) {
			p.fault("%spool: no pool %q", place, stage.Pool)
		}
		p.amount(place+"pieces", stage.Pieces)
		p.share(place+"share", stage.Share)
		for _, before := range stage.After {
			if before < 0 || before >= i {
				p.fault("%safter: %d is not a stage before", place, before)
			}
		}
	}
}

func (p *parser) pool(name string) bool {
	return slices.ContainsFunc(p.deployment.Pools, func(pool Pool) bool { return pool.Name == name })
}

func (p *parser) engines(name string) bool {
	return slices.ContainsFunc(p.deployment.Engines, func(e Engines) bool { return e.Name == name })
}

// positive reports a value that is not above zero.
func (p *parser) positive(place string, value any) {
	if v := reflect.ValueOf(value); v.CanInt() && v.Int() <= 0 || v.CanFloat() && v.Float() <= 0 {
		p.fault("%s: must be above zero", place)
	}
}

// amount reports one without a mean or with values that mean nothing.
func (p *parser) amount(place string, a Amount) {
	switch {
	case len(a) < 1 || len(a) > 3 || a[0] <= 0:
		p.fault("%s: expected a mean, and perhaps the spread of its logarithm and a largest value", place)
	case len(a) > 1 && a[1] < 0, len(a) > 2 && a[2] <= 0:
		p.fault("%s: must not be below zero", place)
	}
}

func (p *parser) share(place string, value float64) {
	if value < 0 || value > 1 {
		p.fault("%s: must be between 0 and 1", place)
	}
}

// among reports a word that is not one of those that are known.
func (p *parser) among(place string, value any, known ...any) {
	if !slices.Contains(known, value) {
		p.fault("%s: %q is none of %q", place, value, known)
	}
}
