package system

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
)

const (
	// loadRate is the weight store's limit on model loads per second, and also the
	// number of loads that may start at once.
	loadRate = 2
	// ordersFirstNet is the first loopback network for the tests of orders.
	ordersFirstNet = 140
)

// engineProxy is a proxy between the entry hosts and one engine. It delays the
// orders to load one model, as a slow network does, and delivers them later even
// if the sender no longer waits.
type engineProxy struct {
	engine hostlist.Host
	client *http.Client

	mu              sync.Mutex
	delayedModel    string // model whose loads are delayed; empty: none
	forwarded       int
	delayed         int
	delayedStatuses []int         // status code of each delayed load, once delivered
	release         chan struct{} // closed when the delayed loads are to be delivered
	pending         sync.WaitGroup
}

// insertProxy puts a proxy in front of an engine by listing its address in the
// host list, and waits until an entry host calls the engine through it. The number
// makes the address unique.
func (d *deployment) insertProxy(engine hostlist.Host, number int) *engineProxy {
	d.t.Helper()
	proxy := &engineProxy{
		engine:  engine,
		client:  d.client,
		release: make(chan struct{}),
	}
	address := fmt.Sprintf("127.%d.3.%d:9000", d.layout.Net, number)
	listener, err := new(net.ListenConfig).Listen(d.t.Context(), "tcp", address)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{
		Handler:           proxy,
		ReadHeaderTimeout: waitTimeout,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	d.t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			d.t.Errorf("serve the proxy of %s: %v", engine.Name, err)
		}
		proxy.pending.Wait()
	})
	engine.Address = ident.Address(address)
	engine.Incarnation++
	d.put(d.layout.PlatformAddress(), "/hosts", engine)
	await(d.t, "calls through the proxy of "+engine.Name, func() bool {
		proxy.mu.Lock()
		defer proxy.mu.Unlock()
		return proxy.forwarded > 0
	})
	return proxy
}

// delayLoads delays all later loads of a model, or none if the model is empty.
func (p *engineProxy) delayLoads(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delayedModel = model
}

// hasDelayedLoads reports whether at least one load has been delayed.
func (p *engineProxy) hasDelayedLoads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delayed > 0
}

// deliveredStatuses returns the status codes of the engine's responses to the
// delayed loads once all of them have been delivered, else nil.
func (p *engineProxy) deliveredStatuses() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.delayedStatuses) < p.delayed {
		return nil
	}
	return slices.Clone(p.delayedStatuses)
}

// ServeHTTP implements http.Handler.
func (p *engineProxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	p.forwarded++
	delay := p.delayedModel != "" && bytes.Contains(body, []byte(`"load"`)) && bytes.Contains(body, []byte(`"`+p.delayedModel+`"`))
	if delay {
		p.delayed++
		p.pending.Add(1)
		defer p.pending.Done()
	}
	p.mu.Unlock()
	if delay {
		select {
		case <-p.release:
		case <-time.After(4 * waitTimeout): // the test failed and does not release it
			panic(http.ErrAbortHandler)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), waitTimeout)
	defer cancel()
	status, content, err := p.forward(ctx, request, body)
	if delay {
		p.mu.Lock()
		p.delayedStatuses = append(p.delayedStatuses, status)
		p.mu.Unlock()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (p *engineProxy) forward(ctx context.Context, original *http.Request, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, original.Method, "http://"+string(p.engine.Address)+original.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header = original.Header.Clone()
	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// setModel declares the model of engines with the operators' command.
func (d *deployment) setModel(engines []hostlist.Host, model string) {
	d.t.Helper()
	names := make([]string, 0, len(engines))
	for _, engine := range engines {
		names = append(names, engine.Name)
	}
	set := launch(d.t, "nutmegshift", "order", "set", "--store", string(d.layout.PlatformAddress()),
		"--engines", strings.Join(names, ","), "--models", model, "--role", "decode")
	if code := set.exit(d.t); code != 0 {
		d.t.Fatalf("order set: exit code %d: %s", code, set.output)
	}
}

// awaitModel sets the model of engines, waits until each engine has only this model
// and the declared role, and checks the rate of loads. Only lower bounds of the
// times are checked, so that the test does not fail on a busy machine.
func (d *deployment) awaitModel(engines []hostlist.Host, model string) {
	d.t.Helper()
	begin := time.Now()
	d.setModel(engines, model)
	loaded := make(map[string]bool)
	var times []time.Duration
	await(d.t, "model "+model+" on every engine", func() bool {
		ready := 0
		for _, engine := range engines {
			state := d.engineState(engine)
			if slices.Contains(state.Models, ident.ModelName(model)) && !loaded[engine.Name] {
				loaded[engine.Name] = true
				times = append(times, time.Since(begin))
			}
			if d.hasOnlyModel(engine, model) {
				ready++
			}
		}
		return ready == len(engines)
	})
	for i, elapsed := range times {
		minimum := time.Duration(i+1-loadRate) * time.Second / loadRate
		qt.Check(d.t, elapsed >= minimum, qt.IsTrue, qt.Commentf("load %d of %s after %v, want at least %v", i+1, model, elapsed, minimum))
	}
}

// engineState reads the state of an engine directly, not through its proxy.
func (d *deployment) engineState(engine hostlist.Host) upstreams.EngineState {
	var state upstreams.EngineState
	d.get(engine.Address, "/orders", &state)
	return state
}

// hasOnlyModel reports whether an engine has only this model and the declared role.
func (d *deployment) hasOnlyModel(engine hostlist.Host, model string) bool {
	state := d.engineState(engine)
	return state.Role == "decode" && slices.Equal(state.Models, []ident.ModelName{ident.ModelName(model)})
}

// orderLeaseHolder returns the number of the entry host that holds the lease for
// issuing orders, 0 if there is none, and its fencing number.
func (d *deployment) orderLeaseHolder() (int, ident.FencingNumber) {
	store := httpkv.New(httpkv.Config{
		Address: d.layout.PlatformAddress(),
		Client:  d.client,
		Limit:   waitTimeout,
	})
	found, err := store.Get(d.t.Context(), "order/holder")
	if errors.Is(err, kv.ErrNotFound) {
		return 0, 0
	}
	if err != nil {
		d.t.Fatal(err)
	}
	number := 0
	if _, err := fmt.Sscanf(string(found.Value), "franchise-%d", &number); err != nil {
		d.t.Fatalf("lease holder %q: %v", found.Value, err)
	}
	return number, ident.FencingNumber(found.Version)
}
