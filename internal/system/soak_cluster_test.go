package system

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/platform"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	soakHosts  = 4
	soakEvents = 8 // of a stream
	// soakGrace is the grace period of a stop, soakApply the time in which a
	// change has to be in force, soakDrain that after which an upstream that
	// drains gets nothing new, and contactTime that after which a fault that is
	// over excuses nothing.
	soakGrace   = 6 * time.Second
	soakApply   = 2 * time.Second
	soakDrain   = 2 * time.Second
	contactTime = 3 * time.Second
)

// version is a published routing table.
type version struct {
	written time.Time // when it was about to be written
	acked   time.Time // when the store had it
	extra   bool      // it has the extra route
	second  bool      // it has the second organisation's key
}

// relayHost is one host and the ways to it.
type relayHost struct {
	number  int
	name    string
	dir     string
	callers ident.Address
	ready   ident.Address
	peers   *forwarder // what other hosts send to it
	store   *forwarder // its way to the store
	mu      sync.Mutex // held while the process is replaced
	process *process
	life    int // counts the starts
}

// upstreamSlot is a place of an upstream; replacements take it over.
type upstreamSlot struct {
	way *forwarder

	mu      sync.Mutex
	config  standin.UpstreamConfig
	running *standin.Upstream
	server  *httptest.Server
	started int
}

// drained is an upstream that has announced its end.
type drained struct {
	upstream *standin.Upstream
	acked    time.Time
}

// soakCluster is a deployment of the relay on the stand-ins of the users' platform.
type soakCluster struct {
	t     *testing.T
	ctx   context.Context
	net   int
	held  *memkv.Store
	gate  *storeGate
	hosts []*relayHost
	slots []*upstreamSlot

	publishing sync.Mutex // the operators write one table after the other

	mu        sync.Mutex
	versions  []version
	upstreams []*standin.Upstream // all that ever ran
	drained   []drained
	addresses int
	failures  []string
}

// storeGate disturbs the calls of the hosts to the store.
type storeGate struct {
	inner http.Handler

	mu    sync.Mutex
	down  bool
	delay time.Duration
	loses float64
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	down, delay, loses := g.down, g.delay, g.loses
	g.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	if r.Method != http.MethodGet && rand.Float64() < loses {
		g.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	g.inner.ServeHTTP(w, r)
}

func (g *storeGate) set(change func(g *storeGate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

// newSoakCluster starts the stand-ins and the hosts, and waits until all are ready.
func newSoakCluster(ctx context.Context, t *testing.T) *soakCluster {
	t.Helper()
	c := &soakCluster{
		t:    t,
		ctx:  ctx,
		net:  reserveNet(t, 0),
		held: memkv.New(time.Now),
	}
	c.gate = &storeGate{
		inner: standin.NewStore(c.held).Handler(),
	}
	store := httptest.NewServer(c.gate)
	t.Cleanup(store.Close)
	kinds := []standin.UpstreamConfig{
		{Service: "entries", Kind: standin.Plain, Latency: 100 * time.Millisecond},
		{Service: "pool", Kind: standin.Engine, Latency: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond, Events: soakEvents},
		{Service: "board", Kind: standin.Stages, Latency: 50 * time.Millisecond},
	}
	for i := range 6 {
		config := kinds[i%len(kinds)]
		config.Slots = 50
		config.Domain = ident.FailureDomain(fmt.Sprint("d", i/len(kinds)))
		slot := &upstreamSlot{
			config: config,
			way:    newForwarder(ctx, t, c.address(), ""),
		}
		c.slots = append(c.slots, slot)
		c.begin(slot)
	}
	c.change(func(v *version) { v.extra, v.second = true, true })
	for i := range soakHosts {
		c.hosts = append(c.hosts, c.newHost(ctx, i, ident.Address(store.Listener.Addr().String())))
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	await(t, "readiness of all hosts", func() bool {
		for _, h := range c.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
	return c
}

// address returns an address that nobody else uses.
func (c *soakCluster) address() ident.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses++
	return ident.Address(fmt.Sprintf("127.%d.9.%d:%d", c.net, 1+c.addresses%250, 7000+c.addresses))
}

func (c *soakCluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// newHost prepares a host; start runs it.
func (c *soakCluster) newHost(ctx context.Context, i int, store ident.Address) *relayHost {
	h := &relayHost{
		number:  i,
		name:    fmt.Sprint("host-", i),
		dir:     c.t.TempDir(),
		callers: c.address(),
		ready:   c.address(),
	}
	own := c.address()
	h.peers = newForwarder(ctx, c.t, c.address(), own)
	h.store = newForwarder(ctx, c.t, c.address(), store)
	seeds := string(h.peers.address)
	if i > 0 {
		seeds = string(c.hosts[0].peers.address)
	}
	text := fmt.Sprintf(`[host]
name = %s
domain = d%d
region = r
callers = %s
ready = %s
peers = %s
advertise = %s
seeds = %s
metrics = %s
[store]
address = %s
call = 1s
lease = 2s
apply = %s
[stop]
grace = %s
[log]
lines = 1000
`, h.name, i%2, h.callers, h.ready, own, h.peers.address, seeds, c.address(), h.store.address, soakApply, soakGrace)
	c.write(h, text)
	return h
}

func (c *soakCluster) write(h *relayHost, text string) {
	const private = 0o600
	if err := os.WriteFile(h.settings(), []byte(text), private); err != nil {
		c.fail("write settings of %s: %v", h.name, err)
	}
}

func (h *relayHost) settings() string { return filepath.Join(h.dir, "relay.ini") }

// start runs the process of a host. Its caller holds the host, or is alone.
func (c *soakCluster) start(h *relayHost) {
	h.process = launch(c.t, "nutmegshift", "relay", "--settings", h.settings())
	h.life++
}

// isReady asks as the load balancer does.
func (h *relayHost) isReady() bool {
	return get(h.ready, platform.ReadyPath, 300*time.Millisecond) == http.StatusOK
}

// answers sends a request without an id to the port for callers.
func (h *relayHost) answers() bool {
	return get(h.callers, "/none/", 2*time.Second) == http.StatusBadRequest
}

// get returns the status of an answer, 0 if there is none in time.
func get(from ident.Address, path string, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(from)+path, nil)
	if err != nil {
		return 0
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	if response.Body.Close() != nil {
		return 0
	}
	return response.StatusCode
}

// served reports whether the process of a host has begun to serve. Before that it
// may end by a signal, since it does not handle any in its first moments.
func (h *relayHost) served() bool { return h.process.output.line("host: started") != "" }

// end signals the process of a host and starts it again after it has ended and a
// pause is over.
func (c *soakCluster) end(h *relayHost, s syscall.Signal, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	began := time.Now()
	if err := h.process.command.Process.Signal(s); err != nil && h.served() {
		c.fail("%s has ended by itself: %v", h.name, err)
	}
	select {
	case <-h.process.ended:
	case <-time.After(soakGrace + time.Second):
		c.fail("%s runs %s after %s", h.name, time.Since(began), s)
		_ = h.process.command.Process.Kill()
		<-h.process.ended
	}
	if s == syscall.SIGTERM && h.process.code != 0 && h.served() {
		c.fail("%s ended with code %d after %s", h.name, h.process.code, s)
	}
	time.Sleep(pause)
	c.start(h)
}

// begin starts a new upstream in a slot, with a new id unless it crashed, and
// registers it.
func (c *soakCluster) begin(slot *upstreamSlot) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.started++
	slot.config.ID = ident.UpstreamID(fmt.Sprintf("%s-%s-%d", slot.config.Service, slot.config.Domain, slot.started))
	c.run(slot)
}

// run runs the upstream that a slot describes.
func (c *soakCluster) run(slot *upstreamSlot) {
	slot.running = standin.NewUpstream(slot.config)
	slot.server = httptest.NewServer(slot.running.Handler())
	c.t.Cleanup(slot.server.Close)
	slot.way.mu.Lock()
	slot.way.target = ident.Address(slot.server.Listener.Addr().String())
	slot.way.mu.Unlock()
	c.mu.Lock()
	c.upstreams = append(c.upstreams, slot.running)
	c.mu.Unlock()
	c.register(slot.running, slot.way.address)
}

func (c *soakCluster) register(u *standin.Upstream, address ident.Address) {
	key, value, err := u.Entry(address)
	if err != nil {
		c.fail("registration: %v", err)
		return
	}
	c.put(key, value)
}

// put writes an entry, as the operators and the upstreams do.
func (c *soakCluster) put(key kv.Key, value []byte) {
	for {
		held, err := c.held.Get(context.Background(), key)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			c.fail("read %s: %v", key, err)
			return
		}
		_, err = c.held.Put(context.Background(), kv.Put{
			Key:    key,
			Value:  value,
			Expect: held.Version,
		})
		if err == nil {
			return
		}
		if !errors.Is(err, kv.ErrConflict) {
			c.fail("write %s: %v", key, err)
			return
		}
	}
}

// renew replaces the upstream of a slot: the new one is there before the old one
// drains and, a while later, ends.
func (c *soakCluster) renew(slot *upstreamSlot) {
	slot.mu.Lock()
	old, server := slot.running, slot.server
	slot.mu.Unlock()
	address := c.address()
	way := newForwarder(c.ctx, c.t, address, ident.Address(server.Listener.Addr().String()))
	c.register(old, address) // the old one moves, so that the slot's address is free
	time.Sleep(soakApply)
	c.begin(slot)
	old.Drain()
	c.register(old, address)
	c.mu.Lock()
	c.drained = append(c.drained, drained{
		upstream: old,
		acked:    time.Now(),
	})
	c.mu.Unlock()
	time.Sleep(2 * soakDrain)
	key, _, err := old.Entry(address)
	if err != nil {
		c.fail("registration: %v", err)
		return
	}
	if held, err := c.held.Get(context.Background(), key); err == nil {
		_ = c.held.Delete(context.Background(), key, held.Version) // it may be gone
	}
	time.Sleep(soakDrain) // requests in progress end
	way.disturb(disturbance{
		Refuse: true,
	})
}

// change publishes the latest table with one thing changed.
func (c *soakCluster) change(edit func(v *version)) {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	next := version{}
	c.mu.Lock()
	number := len(c.versions)
	if number > 0 {
		next = c.versions[number-1]
	}
	edit(&next)
	next.written, next.acked = time.Now(), time.Time{}
	c.versions = append(c.versions, next)
	c.mu.Unlock()
	value, err := json.Marshal(routingTable(1+3*number, next.extra, next.second))
	if err != nil {
		c.fail("encode table: %v", err)
		return
	}
	c.put(platform.Keys.Table, value)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[number].acked = time.Now()
}

type object = map[string]any

func routingTable(number int, extra, second bool) object {
	route := func(name, kind string, more object) object {
		r := object{
			"name": name, "hostname": "a.example", "prefix": "/" + name + "/", "route_kind": kind,
			"timeout_ms": 4000, "slo_ms": 1500, "service": "entries", "max_attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	all := []object{
		route("submit", "unsafe", object{"max_attempts": 1}),
		route("lookup", "safe", nil),
		route("chat", "streaming", object{
			"service": "pool", "sticky": true, "resumable": true, "itl_target_ms": 600,
			"stages": []object{{"service": "board", "after": []int{}, "bytes": 1000}},
		}),
	}
	if extra {
		all = append(all, route("extra", "safe", nil))
	}
	tenants := []object{{"name": "lakeshore", "api_keys": []string{"first"}}}
	if second {
		tenants = append(tenants, object{"name": "rindworks", "api_keys": []string{"second"}})
	}
	return object{
		"version": number,
		"routes":  all,
		"services": []object{
			{"name": "entries", "max_conns": 100},
			{"name": "pool", "max_conns": 100, "engine": object{"slots": 50}},
			{"name": "board", "max_conns": 100, "segments": object{"slots": 4, "queue": 4, "batch": 8, "call_ms": 50, "item_ms": 1, "headroom_mb": 10, "handle_ttl_s": 4}},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// carry carries out a step and returns once it is over.
func (c *soakCluster) carry(s step) {
	h := c.hosts[s.Target%len(c.hosts)]
	slot := c.slots[s.Target%len(c.slots)]
	disturbed := func(f *forwarder, d disturbance) {
		f.disturb(d)
		time.Sleep(s.For)
		f.disturb(disturbance{})
	}
	faulty := func(faults standin.Faults) {
		slot.mu.Lock()
		running := slot.running
		slot.mu.Unlock()
		running.SetFaults(faults)
		time.Sleep(s.For)
		running.SetFaults(standin.Faults{})
	}
	gated := func(change, back func(g *storeGate)) {
		c.gate.set(change)
		time.Sleep(s.For)
		c.gate.set(back)
	}
	switch s.Action {
	case publish:
		c.change(func(v *version) { v.extra = !v.extra })
	case revoke:
		c.change(func(v *version) { v.second = !v.second })
	case replace:
		c.renew(slot)
	case stop:
		c.end(h, syscall.SIGTERM, 0)
	case reload:
		c.reload(h, s)
	case kill:
		c.end(h, syscall.SIGKILL, s.For)
	case killAll:
		var all sync.WaitGroup
		for _, h := range c.hosts {
			all.Go(func() { c.end(h, syscall.SIGKILL, s.For/4) })
		}
		all.Wait()
	case pause:
		c.pause(h, s.For)
	case storeDown:
		gated(func(g *storeGate) { g.down = true }, func(g *storeGate) { g.down = false })
	case storeSlow:
		gated(func(g *storeGate) { g.delay = 300 * time.Millisecond }, func(g *storeGate) { g.delay = 0 })
	case storeLoses:
		gated(func(g *storeGate) { g.loses = s.Share }, func(g *storeGate) { g.loses = 0 })
	case storeForgets:
		c.held.SetFaults(memkv.Faults{
			DropWatch: true,
		})
		c.held.Compact()
		c.held.SetFaults(memkv.Faults{})
	case cutStore:
		disturbed(h.store, disturbance{Silent: [2]bool{true, true}})
	case cutPeers:
		disturbed(h.peers, disturbance{Silent: [2]bool{s.Share > 0.3, s.Share < 0.7}})
	case slowPeers:
		disturbed(h.peers, disturbance{Delay: time.Duration(s.Share * float64(200*time.Millisecond))})
	case resetPeers:
		h.peers.reset()
	case failing:
		faulty(standin.Faults{Fail: s.Share})
	case losing:
		faulty(standin.Faults{Disconnect: s.Share})
	case refusing:
		faulty(standin.Faults{Reject: s.Share})
	case breaking:
		faulty(standin.Faults{Truncate: s.Share})
	case crash:
		c.crash(slot, s.For)
	case cutUpstream:
		disturbed(slot.way, disturbance{Silent: [2]bool{true, true}})
	case muteUpstream:
		disturbed(slot.way, disturbance{Mute: true})
	case resetConns:
		slot.way.reset()
	}
}

func (c *soakCluster) reload(h *relayHost, s step) {
	text, err := os.ReadFile(h.settings())
	if err != nil {
		c.fail("read settings: %v", err)
		return
	}
	lines := fmt.Sprintf("lines = %d", 1000+int(s.Share*100))
	before, _, _ := strings.Cut(string(text), "lines = ")
	c.write(h, before+lines+"\n")
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.command.Process.Signal(syscall.SIGHUP) // end finds out if it has ended
}

func (c *soakCluster) pause(h *relayHost, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = h.process.command.Process.Signal(syscall.SIGCONT)
}

// crash ends an upstream; it is back at its address with its id and knows nothing.
func (c *soakCluster) crash(slot *upstreamSlot, length time.Duration) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.way.disturb(disturbance{
		Refuse: true,
	})
	slot.way.reset()
	time.Sleep(length)
	c.run(slot)
	slot.way.disturb(disturbance{})
}
