package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/load"
	"github.com/nutmegshift/nutmegshift/internal/reporthttp"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

const (
	// promptMark is in every prompt, so that a fault can match all requests.
	promptMark = "measured request"
	// prefixBytes is longer than the prefix that engines and the pipeline hash.
	prefixBytes = 320
	// settleTime is how long engines get to notice cancelled streams.
	settleTime   = 500 * time.Millisecond
	largeDefault = 0.6
)

// Options select one measurement.
type Options struct {
	Scenario   Scenario
	Deployment Deployment
	Documents  string // directory of the service documents
	Net        int    // loopback network, as in standin.Layout
	Seed       uint64
}

// Result is what one variant achieved.
type Result struct {
	Variant   string
	Report    *load.Report
	Costs     []Cost
	Seconds   []Second
	Latencies map[ident.OrganisationID][]time.Duration // sorted, of attained requests
	Events    map[string]int
	Busy      int // engine requests in progress after the run
	Crashes   int
}

// Measurement is the results of all variants of a scenario.
type Measurement struct {
	Options  Options
	Capacity float64 // requests a second of all engines
	Rate     float64 // requests a second outside bursts
	Deadline time.Duration
	Results  []Result
}

// Run measures the variants one after the other.
func Run(ctx context.Context, options Options) (Measurement, error) {
	d := options.Deployment
	text, err := os.ReadFile(filepath.Join(options.Documents, d.Name, string(d.Service)+".ini"))
	if err != nil {
		return Measurement{}, errors.Annotate(err, "read service document")
	}
	doc, err := document.Parse(d.Service, text)
	if err != nil {
		return Measurement{}, errors.Annotate(err, "parse service document")
	}
	units, err := options.Scenario.upstreamsOf(d, options.Net)
	if err != nil {
		return Measurement{}, err
	}
	m := Measurement{
		Options:  options,
		Capacity: capacity(units),
	}
	m.Rate = options.Scenario.part * m.Capacity
	for _, v := range options.Scenario.variants(d) {
		service := options.Scenario.scaled(*doc, v)
		m.Deadline = service.Deadline
		result, err := runVariant(ctx, options, v, service, units, m.Rate)
		if err != nil {
			return Measurement{}, errors.Annotatef(err, "run variant %s", v.Name)
		}
		m.Results = append(m.Results, result)
	}
	return m, nil
}

// runVariant runs the load on fresh stand-ins and entry hosts.
func runVariant(ctx context.Context, options Options, v Variant, service *document.Service, units []standin.Upstream, rate float64) (result Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, units)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = firstOf(err, fleet.close()) }()
	tally := newTally(service.Deadline)
	hosts, targets, err := startHosts(ctx, options, v, service, fleet, tally)
	defer func() {
		for _, h := range hosts {
			err = firstOf(err, h.close())
		}
	}()
	if err != nil {
		return Result{}, err
	}
	generator, err := load.New(loadConfig(options, service, units, tally, targets, rate))
	if err != nil {
		return Result{}, err
	}
	tally.start = time.Now()
	injected := make(chan struct{})
	go func(ctx context.Context) {
		defer close(injected)
		if options.Scenario.faults != nil {
			fleet.inject(ctx, options.Scenario.faults(options.Deployment.Deployment))
		}
	}(ctx)
	report := generator.Run(ctx)
	_ = pause(ctx, settleTime)
	busy := fleet.busy(ctx)
	cancel()
	<-injected
	result = tally.result(v.Name, report)
	result.Busy = busy
	for _, u := range fleet.units {
		result.Crashes += u.standin.Crashes()
	}
	return result, nil
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func startHosts(ctx context.Context, options Options, v Variant, service *document.Service, fleet *fleet, tally *tally) ([]*host, []ident.Address, error) {
	d := options.Deployment
	layout := standin.Layout{
		Deployment: d.Deployment,
		Net:        options.Net,
		Entries:    d.Entries,
	}
	registry := document.NewRegistry()
	registry.Offer(document.Versioned{
		Revision: 1,
		Service:  service,
	})
	store := memkv.New(time.Now)
	var hosts []*host
	var targets []ident.Address
	for i := range d.Entries {
		h, err := startHost(ctx, hostConfig{
			name:     ident.HostID(fmt.Sprintf("%s-%d", d.Name, i+1)),
			domain:   d.Domains[i%len(d.Domains)],
			region:   d.Region,
			address:  layout.CallerAddress(i + 1),
			seed:     options.Seed + uint64(i),
			variant:  v,
			service:  service,
			store:    store,
			fleet:    fleet,
			tally:    tally,
			registry: registry,
		})
		if err != nil {
			return hosts, nil, err
		}
		hosts = append(hosts, h)
		targets = append(targets, layout.CallerAddress(i+1))
	}
	return hosts, targets, nil
}

// busy returns the requests that the engines still run.
func (f *fleet) busy(ctx context.Context) int {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	total := 0
	for _, u := range f.units {
		if u.settings.Kind != engineKind {
			continue
		}
		if load, err := reporthttp.Load(ctx, client, u.settings.Address); err == nil {
			total += load.Running + load.Queued
		}
	}
	return total
}

func loadConfig(options Options, service *document.Service, units []standin.Upstream, tally *tally, targets []ident.Address, rate float64) load.Config {
	s := options.Scenario
	large := s.large
	if large == 0 {
		large = largeDefault
	}
	tokens := 0
	for _, u := range units {
		tokens = max(tokens, u.Tokens)
	}
	organisations := options.Deployment.Organisations
	return load.Config{
		Targets:       targets,
		Rate:          rate,
		Duration:      s.duration,
		Bursts:        s.bursts,
		Seed:          options.Seed,
		Organisations: load.OneLarge(large, organisations[0], organisations[1:]...),
		Deadline:      service.Deadline,
		Build: func(number int, organisation ident.OrganisationID) load.Request {
			tally.arrived(number, organisation)
			return request(service.Name, s.prompt(options.Seed, number), organisation)
		},
		Check: func(r load.Request, answer load.Answer) error {
			if answer.Text != expected(s.prompt(options.Seed, r.Number), tokens) {
				return errors.New("answer belongs to another request or is incomplete")
			}
			tally.answered(r.Number)
			return nil
		},
	}
}

// prompt returns the prompt of a request; with shared prefixes, small numbers of
// them are frequent.
func (s Scenario) prompt(seed uint64, number int) string {
	own := fmt.Sprintf("%s %d", promptMark, number)
	if s.prefixes == 0 {
		return own
	}
	const skew, spread = 1.1, 4
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	group := rand.NewZipf(random, skew, spread, uint64(s.prefixes-1)).Uint64()
	shared := fmt.Sprintf("instruction %d ", group)
	return strings.Repeat(shared, 1+prefixBytes/len(shared)) + own
}

func request(service ident.ServiceName, prompt string, organisation ident.OrganisationID) load.Request {
	return load.Request{
		Method: http.MethodPost,
		Path:   "/" + string(service) + "/v1/chat/completions",
		Headers: []load.Header{{
			Name:  "X-Organisation",
			Value: string(organisation),
		}},
		Body:   fmt.Appendf(nil, `{"stream":true,"messages":[{"role":"user","content":%q}]}`, prompt),
		Stream: true,
	}
}

// expected is the answer of the stand-ins to a prompt.
func expected(prompt string, tokens int) string {
	for _, kind := range []upstreams.PoolKind{upstreams.Encoder, upstreams.Retriever, upstreams.Reranker} {
		prompt = upstreams.PoolOutput(kind, prompt)
	}
	return upstreams.EngineOutput(prompt, tokens)
}
