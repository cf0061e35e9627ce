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
	// promptMarker is part of every prompt, so that a fault can match all requests.
	promptMarker = "measured request"
	// minPrefixBytes is the minimum length of a shared prefix; it exceeds the
	// length of the prefix that engines and the pipeline hash.
	minPrefixBytes = 320
	// cancelGracePeriod is the time that engines have after the run to notice
	// cancelled streams, before their requests are counted.
	cancelGracePeriod   = 500 * time.Millisecond
	defaultLargestShare = 0.6
)

// Options selects the scenario and the deployment to measure.
type Options struct {
	Scenario   Scenario
	Deployment Deployment
	Documents  string // directory of the service documents
	Net        int    // second octet of the loopback addresses, as in standin.Layout
	Seed       uint64
}

// Result holds the results of one variant.
type Result struct {
	Variant        string
	Report         *load.Report
	Costs          []Cost
	Seconds        []Second
	Latencies      map[ident.OrganisationID][]time.Duration // sorted, of attained requests
	Events         map[string]int                           // number of timeline events by name
	EngineInFlight int                                      // requests that engines still ran or queued after the run
	Crashes        int                                      // of all stand-in upstreams
}

// Measurement holds the results of all variants of a scenario.
type Measurement struct {
	Options  Options
	Capacity float64       // requests per second that all engines can serve
	Rate     float64       // requests per second outside bursts
	Deadline time.Duration // of each request
	Results  []Result
}

// Run runs the variants of the scenario one after the other and returns their
// results. It stops at the first variant that fails.
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
	settings, err := options.Scenario.upstreams(d, options.Net)
	if err != nil {
		return Measurement{}, err
	}
	m := Measurement{
		Options:  options,
		Capacity: capacity(settings),
	}
	m.Rate = options.Scenario.loadFactor * m.Capacity
	for _, v := range options.Scenario.variants(d) {
		service := options.Scenario.scaledDocument(*doc, v)
		m.Deadline = service.Deadline
		result, err := runVariant(ctx, options, v, service, settings, m.Rate)
		if err != nil {
			return Measurement{}, errors.Annotatef(err, "run variant %s", v.Name)
		}
		m.Results = append(m.Results, result)
	}
	return m, nil
}

// runVariant runs the load against new stand-in upstreams and new entry hosts.
func runVariant(ctx context.Context, options Options, v Variant, service *document.Service, settings []standin.Upstream, rate float64) (result Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, settings)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = firstError(err, fleet.close()) }()
	collector := newCollector(service.Deadline)
	hosts, targets, err := startHosts(ctx, options, v, service, fleet, collector)
	defer func() {
		for _, h := range hosts {
			err = firstError(err, h.close())
		}
	}()
	if err != nil {
		return Result{}, err
	}
	generator, err := load.New(loadConfig(options, service, settings, collector, targets, rate))
	if err != nil {
		return Result{}, err
	}
	collector.start = time.Now()
	injected := make(chan struct{})
	go func(ctx context.Context) {
		defer close(injected)
		if options.Scenario.faults != nil {
			fleet.inject(ctx, options.Scenario.faults(options.Deployment.Deployment))
		}
	}(ctx)
	report := generator.Run(ctx)
	_ = sleep(ctx, cancelGracePeriod)
	inFlight := fleet.engineInFlight(ctx)
	cancel()
	<-injected
	result = collector.result(v.Name, report)
	result.EngineInFlight = inFlight
	for _, u := range fleet.upstreams {
		result.Crashes += u.standin.Crashes()
	}
	return result, nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func startHosts(ctx context.Context, options Options, v Variant, service *document.Service, fleet *fleet, collector *collector) ([]*host, []ident.Address, error) {
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
			name:      ident.HostID(fmt.Sprintf("%s-%d", d.Name, i+1)),
			domain:    d.Domains[i%len(d.Domains)],
			region:    d.Region,
			address:   layout.CallerAddress(i + 1),
			seed:      options.Seed + uint64(i),
			variant:   v,
			service:   service,
			store:     store,
			fleet:     fleet,
			collector: collector,
			registry:  registry,
		})
		if err != nil {
			return hosts, nil, err
		}
		hosts = append(hosts, h)
		targets = append(targets, layout.CallerAddress(i+1))
	}
	return hosts, targets, nil
}

// engineInFlight returns the number of requests that the engines run or queue.
// Engines that do not report their load are not counted.
func (f *fleet) engineInFlight(ctx context.Context) int {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	total := 0
	for _, u := range f.upstreams {
		if u.settings.Kind != engineKind {
			continue
		}
		if load, err := reporthttp.Load(ctx, client, u.settings.Address); err == nil {
			total += load.Running + load.Queued
		}
	}
	return total
}

func loadConfig(options Options, service *document.Service, settings []standin.Upstream, collector *collector, targets []ident.Address, rate float64) load.Config {
	s := options.Scenario
	largestShare := s.largestShare
	if largestShare == 0 {
		largestShare = defaultLargestShare
	}
	tokens := 0
	for _, u := range settings {
		tokens = max(tokens, u.Tokens)
	}
	organisations := options.Deployment.Organisations
	return load.Config{
		Targets:       targets,
		Rate:          rate,
		Duration:      s.duration,
		Bursts:        s.bursts,
		Seed:          options.Seed,
		Organisations: load.SkewedShares(largestShare, organisations[0], organisations[1:]...),
		Deadline:      service.Deadline,
		Build: func(number int, organisation ident.OrganisationID) load.Request {
			collector.arrived(number, organisation)
			return chatRequest(service.Name, s.prompt(options.Seed, number), organisation)
		},
		Check: func(r load.Request, response load.Response) error {
			if response.Text != expectedText(s.prompt(options.Seed, r.Number), tokens) {
				return errors.New("answer belongs to another request or is incomplete")
			}
			collector.completed(r.Number)
			return nil
		},
	}
}

// prompt returns the prompt of a request. If the scenario has shared prefixes, the
// prompt starts with one of them, chosen by a Zipf distribution.
func (s Scenario) prompt(seed uint64, number int) string {
	unique := fmt.Sprintf("%s %d", promptMarker, number)
	if s.prefixes == 0 {
		return unique
	}
	const skew, spread = 1.1, 4
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	group := rand.NewZipf(random, skew, spread, uint64(s.prefixes-1)).Uint64()
	shared := fmt.Sprintf("instruction %d ", group)
	return strings.Repeat(shared, 1+minPrefixBytes/len(shared)) + unique
}

func chatRequest(service ident.ServiceName, prompt string, organisation ident.OrganisationID) load.Request {
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

// expectedText returns the text that the stand-in upstreams generate for a prompt.
func expectedText(prompt string, tokens int) string {
	for _, kind := range []upstreams.PoolKind{upstreams.Encoder, upstreams.Retriever, upstreams.Reranker} {
		prompt = upstreams.PoolOutput(kind, prompt)
	}
	return upstreams.EngineOutput(prompt, tokens)
}
