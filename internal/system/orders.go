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
	// loadRate is the weight store's rate in loads a second, and also the most
	// loads that may begin at once.
	loadRate = 2
	// ordersNet is the first network of the tests of orders.
	ordersNet = 140
)

// relay stands between the entry hosts and one engine. It holds back the orders
// to load one model, as a slow network does, and delivers them later even if the
// sender has gone.
type relay struct {
	engine hostlist.Host
	client *http.Client

	mu      sync.Mutex
	model   string // whose loads are held back; empty: none
	passed  int
	held    int
	ended   []int         // status of each delivered load
	deliver chan struct{} // closed when held orders are to be delivered
	pending sync.WaitGroup
}

// insert puts a relay in front of an engine, for all entry hosts.
func (d *deployment) insert(engine hostlist.Host, number int) *relay {
	d.t.Helper()
	r := &relay{
		engine:  engine,
		client:  d.client,
		deliver: make(chan struct{}),
	}
	address := fmt.Sprintf("127.%d.3.%d:9000", d.layout.Net, number)
	listener, err := new(net.ListenConfig).Listen(d.t.Context(), "tcp", address)
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: patience,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	d.t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			d.t.Errorf("serve the relay of %s: %v", engine.Name, err)
		}
		r.pending.Wait()
	})
	engine.Address = ident.Address(address)
	engine.Incarnation++
	d.put(d.layout.PlatformAddress(), "/hosts", engine)
	await(d.t, "calls through the relay of "+engine.Name, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.passed > 0
	})
	return r
}

// hold holds back the loads of a model from now on.
func (r *relay) hold(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model = model
}

func (r *relay) holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held > 0
}

// statuses returns the answers of the engine to the orders that were held back,
// once all of them have been delivered.
func (r *relay) statuses() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ended) < r.held {
		return nil
	}
	return slices.Clone(r.ended)
}

// ServeHTTP implements http.Handler.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.passed++
	late := r.model != "" && bytes.Contains(body, []byte(`"load"`)) && bytes.Contains(body, []byte(`"`+r.model+`"`))
	if late {
		r.held++
		r.pending.Add(1)
		defer r.pending.Done()
	}
	r.mu.Unlock()
	if late {
		select {
		case <-r.deliver:
		case <-time.After(4 * patience): // the test failed and never releases it
			panic(http.ErrAbortHandler)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), patience)
	defer cancel()
	status, answer, err := r.forward(ctx, request, body)
	if late {
		r.mu.Lock()
		r.ended = append(r.ended, status)
		r.mu.Unlock()
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (r *relay) forward(ctx context.Context, from *http.Request, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, from.Method, "http://"+string(r.engine.Address)+from.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header = from.Header.Clone()
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// setModel declares the model of engines with the command of operators.
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

// awaitModel sets the model of engines, waits until each has this model only and
// the role, and checks the rate of loads. Only the lower bounds of the times are
// checked, so a busy machine cannot fail the test.
func (d *deployment) awaitModel(engines []hostlist.Host, model string) {
	d.t.Helper()
	begin := time.Now()
	d.setModel(engines, model)
	loaded := make(map[string]bool)
	var times []time.Duration
	await(d.t, "model "+model+" on every engine", func() bool {
		settled := 0
		for _, engine := range engines {
			state := d.orders(engine)
			if slices.Contains(state.Models, ident.ModelName(model)) && !loaded[engine.Name] {
				loaded[engine.Name] = true
				times = append(times, time.Since(begin))
			}
			if d.settled(engine, model) {
				settled++
			}
		}
		return settled == len(engines)
	})
	for i, at := range times {
		least := time.Duration(i+1-loadRate) * time.Second / loadRate
		qt.Check(d.t, at >= least, qt.IsTrue, qt.Commentf("load %d of %s after %v, want at least %v", i+1, model, at, least))
	}
}

// orders reads the state of an engine itself, past its relay.
func (d *deployment) orders(engine hostlist.Host) upstreams.EngineState {
	var state upstreams.EngineState
	d.get(engine.Address, "/orders", &state)
	return state
}

func (d *deployment) settled(engine hostlist.Host, model string) bool {
	state := d.orders(engine)
	return state.Role == "decode" && slices.Equal(state.Models, []ident.ModelName{ident.ModelName(model)})
}

// orderHolder returns the number of the entry host that issues orders, 0 if
// there is none, and its fencing number.
func (d *deployment) orderHolder() (int, ident.FencingNumber) {
	store := httpkv.New(httpkv.Config{
		Address: d.layout.PlatformAddress(),
		Client:  d.client,
		Limit:   patience,
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
		d.t.Fatalf("holder %q: %v", found.Value, err)
	}
	return number, ident.FencingNumber(found.Version)
}
