package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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
	soakHosts     = 4
	soakUpstreams = 6
	soakEvents    = 8 // number of events of a stream
	// soakGrace is the grace period of a host that is stopped.
	soakGrace = 6 * time.Second
	// soakApply is the time limit for the hosts to apply a change of the store.
	soakApply = 2 * time.Second
	// soakDrain is the time after which a draining upstream must get no new requests.
	soakDrain = 2 * time.Second
	// faultEffectTime is the time after the end of a fault during which failures of
	// requests are still attributed to it.
	faultEffectTime = 3 * time.Second
	// repeatDelay is the additional latency of an upstream that repeats responses: the
	// response that is due arrives after others have been sent for.
	repeatDelay = 600 * time.Millisecond
)

// relayHost is a host with its process and the forwarders of its connections.
type relayHost struct {
	number  int
	name    string
	dir     string // directory of the settings file
	callers ident.Address
	ready   ident.Address
	peers   *forwarder // connections from other hosts
	store   *forwarder // connections to the store
	mu      sync.Mutex // held while a step uses the process
	process *process
	starts  int // number of process starts
}

// upstreamSlot is an address that one upstream after another serves.
type upstreamSlot struct {
	forwarder *forwarder

	mu       sync.Mutex
	config   standin.UpstreamConfig
	upstream *standin.Upstream // current one
	crashed  *standin.Upstream // latest one that a prompt has crashed
	server   *httptest.Server
	created  int // number of upstream IDs used so far
}

// drainedUpstream is an upstream that has registered as draining.
type drainedUpstream struct {
	upstream *standin.Upstream
	acked    time.Time // when the registration was stored
}

// soakCluster is a deployment of relay hosts with stand-ins for the metadata store and
// the upstreams of the users' platform.
type soakCluster struct {
	t           *testing.T
	ctx         context.Context
	loopbackNet int
	store       *memkv.Store
	faultyStore *faultyStore
	hosts       []*relayHost
	slots       []*upstreamSlot

	publishMu sync.Mutex // held while a routing table is written, so that versions are stored in order

	evacuations evacuations

	deadlyShare atomic.Int64 // share of the prompts that have the deadly part, in percent

	mu           sync.Mutex
	crashes      []time.Time // of engines, by prompts with the deadly part
	versions     []tableVersion
	upstreams    []*standin.Upstream // including those that were replaced or crashed
	drained      []drainedUpstream
	addressCount int
	failures     []string
}

// faultyStore injects faults into the calls of the hosts to the store.
type faultyStore struct {
	inner http.Handler

	mu        sync.Mutex
	down      bool          // rejects every call
	delay     time.Duration // added to every call
	dropShare float64       // share of writes that take effect but get no response
}

// ServeHTTP implements http.Handler.
func (p *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, delay, dropShare := p.down, p.delay, p.dropShare
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	if r.Method != http.MethodGet && rand.Float64() < dropShare {
		p.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	p.inner.ServeHTTP(w, r)
}

func (p *faultyStore) update(change func(p *faultyStore)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// newSoakCluster starts the stand-ins and the hosts, and waits until all hosts are
// ready.
func newSoakCluster(ctx context.Context, t *testing.T) *soakCluster {
	t.Helper()
	c := &soakCluster{
		t:           t,
		ctx:         ctx,
		loopbackNet: reserveNet(t, 0),
		store:       memkv.New(time.Now),
	}
	c.faultyStore = &faultyStore{
		inner: standin.NewStore(c.store).Handler(),
	}
	storeServer := httptest.NewServer(c.faultyStore)
	t.Cleanup(storeServer.Close)
	configs := []standin.UpstreamConfig{
		{Service: "entries", Kind: standin.Plain, Latency: 100 * time.Millisecond},
		{Service: "pool", Kind: standin.Engine, Latency: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond, Events: soakEvents},
		{Service: "board", Kind: standin.Stages, Latency: 50 * time.Millisecond},
	}
	for i := range soakUpstreams {
		config := configs[i%len(configs)]
		config.Slots = 50
		config.Domain = ident.FailureDomain(fmt.Sprint("d", i/len(configs)))
		slot := &upstreamSlot{
			config:    config,
			forwarder: newForwarder(ctx, t, c.newAddress(), ""),
		}
		c.slots = append(c.slots, slot)
		c.startNewUpstream(slot)
	}
	c.publishTable(func(v *tableVersion) { v.extra, v.second = true, true })
	for i := range soakHosts {
		c.hosts = append(c.hosts, c.newHost(ctx, i, ident.Address(storeServer.Listener.Addr().String())))
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

// newAddress returns an address that the cluster does not use yet.
func (c *soakCluster) newAddress() ident.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressCount++
	return ident.Address(fmt.Sprintf("127.%d.9.%d:%d", c.loopbackNet, 1+c.addressCount%250, 7000+c.addressCount))
}

// fail records a failure of the run.
func (c *soakCluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// newHost returns a host that has its settings file and forwarders, but no process.
// The caller starts it with start.
func (c *soakCluster) newHost(ctx context.Context, i int, store ident.Address) *relayHost {
	h := &relayHost{
		number:  i,
		name:    fmt.Sprint("host-", i),
		dir:     c.t.TempDir(),
		callers: c.newAddress(),
		ready:   c.newAddress(),
	}
	peerListener := c.newAddress()
	h.peers = newForwarder(ctx, c.t, c.newAddress(), peerListener)
	h.store = newForwarder(ctx, c.t, c.newAddress(), store)
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
`, h.name, i%2, h.callers, h.ready, peerListener, h.peers.address, seeds, c.newAddress(), h.store.address, soakApply, soakGrace)
	c.writeSettings(h, text)
	return h
}

func (c *soakCluster) writeSettings(h *relayHost, text string) {
	const private = 0o600
	if err := os.WriteFile(h.settings(), []byte(text), private); err != nil {
		c.fail("write settings of %s: %v", h.name, err)
	}
}

// settings returns the path of the host's settings file.
func (h *relayHost) settings() string { return filepath.Join(h.dir, "relay.ini") }

// start starts the process of a host. The caller holds h.mu, or no other goroutine
// uses the host yet.
func (c *soakCluster) start(h *relayHost) {
	h.process = launch(c.t, "nutmegshift", "relay", "--settings", h.settings())
	h.starts++
}

// isReady reports whether the host is ready, by the check that load balancers use.
func (h *relayHost) isReady() bool {
	return getStatus(h.ready, platform.ReadyPath, 300*time.Millisecond) == http.StatusOK
}

// serves reports whether the host responds on its port for callers. The request has no
// ID, so that the host rejects it.
func (h *relayHost) serves() bool {
	return getStatus(h.callers, "/none/", 2*time.Second) == http.StatusBadRequest
}

// getStatus returns the status of the response to a GET request, or 0 if there is no
// response within the timeout.
func getStatus(address ident.Address, path string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
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

// started reports whether the process of the host has finished its start. Until then a
// signal may end the process at once, since it does not handle signals yet.
func (h *relayHost) started() bool { return h.process.output.line("host: started") != "" }

// restart sends a signal to the process of a host, waits for its end and starts a new
// one after a downtime.
func (c *soakCluster) restart(h *relayHost, s syscall.Signal, downtime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	signalled := time.Now()
	if err := h.process.command.Process.Signal(s); err != nil && h.started() {
		c.fail("process of %s ended unexpectedly: %v", h.name, err)
	}
	select {
	case <-h.process.exited:
	case <-time.After(soakGrace + time.Second):
		c.fail("process of %s still runs %s after signal %q", h.name, time.Since(signalled), s)
		_ = h.process.command.Process.Kill()
		<-h.process.exited
	}
	if s == syscall.SIGTERM && h.process.exitCode != 0 && h.started() {
		c.fail("process of %s ended with code %d after signal %q", h.name, h.process.exitCode, s)
	}
	time.Sleep(downtime)
	c.start(h)
}

// startNewUpstream starts and registers an upstream with a new ID in a slot.
func (c *soakCluster) startNewUpstream(slot *upstreamSlot) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.created++
	slot.config.ID = ident.UpstreamID(fmt.Sprintf("%s-%s-%d", slot.config.Service, slot.config.Domain, slot.created))
	c.startUpstream(slot)
}

// startUpstream starts and registers an upstream with the configuration of a slot. The
// caller holds slot.mu.
func (c *soakCluster) startUpstream(slot *upstreamSlot) {
	upstream := standin.NewUpstream(slot.config)
	upstream.CrashOn(soakDeadlyPart, func() { c.crashByPrompt(slot, upstream) })
	slot.upstream = upstream
	slot.server = httptest.NewUnstartedServer(slot.upstream.Handler())
	slot.server.Listener = slot.upstream.Listener(slot.server.Listener)
	slot.server.Start()
	c.t.Cleanup(slot.server.Close)
	slot.forwarder.mu.Lock()
	slot.forwarder.target = ident.Address(slot.server.Listener.Addr().String())
	slot.forwarder.mu.Unlock()
	c.mu.Lock()
	c.upstreams = append(c.upstreams, slot.upstream)
	c.mu.Unlock()
	c.register(slot.upstream, slot.forwarder.address)
}

// register writes the registration of an upstream with the given address.
func (c *soakCluster) register(u *standin.Upstream, address ident.Address) {
	key, value, err := u.Entry(address)
	if err != nil {
		c.fail("create registration: %v", err)
		return
	}
	c.put(key, value)
}

// put writes an entry directly to the store, not through faultyStore, and retries
// after conflicts.
func (c *soakCluster) put(key kv.Key, value []byte) {
	for {
		entry, err := c.store.Get(context.Background(), key)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			c.fail("read %s: %v", key, err)
			return
		}
		_, err = c.store.Put(context.Background(), kv.Put{
			Key:    key,
			Value:  value,
			Expect: entry.Version,
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

// replaceUpstream replaces the upstream of a slot. The new one is registered before the
// old one leaves. An old one that drains is deregistered later and then refuses
// connections; one that does not is deregistered at once and goes on serving.
func (c *soakCluster) replaceUpstream(slot *upstreamSlot, drains bool) {
	slot.mu.Lock()
	old, server := slot.upstream, slot.server
	slot.mu.Unlock()
	address := c.newAddress()
	oldForwarder := newForwarder(c.ctx, c.t, address, ident.Address(server.Listener.Addr().String()))
	c.register(old, address) // moves to a new address, since its successor takes that of the slot
	time.Sleep(soakApply)
	c.startNewUpstream(slot)
	if !drains {
		c.deregister(old, address)
		c.recordLeaving(old)
		return
	}
	old.Drain()
	c.register(old, address)
	c.recordLeaving(old)
	time.Sleep(2 * soakDrain)
	c.deregister(old, address)
	time.Sleep(soakDrain) // lets requests in progress end
	oldForwarder.setFault(linkFault{
		Refuse: true,
	})
}

// recordLeaving records that the store has acknowledged that an upstream is leaving.
func (c *soakCluster) recordLeaving(u *standin.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = append(c.drained, drainedUpstream{
		upstream: u,
		acked:    time.Now(),
	})
}

// deregister removes the registration of an upstream, if there is one.
func (c *soakCluster) deregister(u *standin.Upstream, address ident.Address) {
	key, _, err := u.Entry(address)
	if err != nil {
		c.fail("create registration: %v", err)
		return
	}
	if entry, err := c.store.Get(context.Background(), key); err == nil {
		_ = c.store.Delete(context.Background(), key, entry.Version) // may have been deleted since
	}
}

// execute executes a step and returns after its end.
func (c *soakCluster) execute(s step) {
	h := c.hosts[s.Target%len(c.hosts)]
	slot := c.slots[s.Target%len(c.slots)]
	faultLink := func(f *forwarder, fault linkFault) {
		f.setFault(fault)
		time.Sleep(s.For)
		f.setFault(linkFault{})
	}
	faultUpstream := func(faults standin.Faults) {
		slot.mu.Lock()
		upstream := slot.upstream
		slot.mu.Unlock()
		upstream.SetFaults(faults)
		time.Sleep(s.For)
		upstream.SetFaults(standin.Faults{})
	}
	faultStore := func(set, unset func(p *faultyStore)) {
		c.faultyStore.update(set)
		time.Sleep(s.For)
		c.faultyStore.update(unset)
	}
	switch s.Action {
	case publish:
		c.publishTable(func(v *tableVersion) { v.extra = !v.extra })
	case revoke:
		c.publishTable(func(v *tableVersion) { v.second = !v.second })
	case revokeAll:
		c.publishTable(func(v *tableVersion) { v.revoked = true })
		time.Sleep(s.For)
		c.publishTable(func(v *tableVersion) { v.revoked = false })
	case evacuate:
		c.evacuate(s)
	case replace, withdraw:
		c.replaceUpstream(slot, s.Action == replace)
	case stop:
		c.restart(h, syscall.SIGTERM, 0)
	case reload:
		c.reloadHost(h, s)
	case kill:
		c.restart(h, syscall.SIGKILL, s.For)
	case killAll:
		var restarts sync.WaitGroup
		for _, h := range c.hosts {
			restarts.Go(func() { c.restart(h, syscall.SIGKILL, s.For/4) })
		}
		restarts.Wait()
	case pause:
		c.pauseHost(h, s.For)
	case storeDown:
		faultStore(func(p *faultyStore) { p.down = true }, func(p *faultyStore) { p.down = false })
	case storeSlow:
		faultStore(func(p *faultyStore) { p.delay = 300 * time.Millisecond }, func(p *faultyStore) { p.delay = 0 })
	case storeDropsResponses:
		faultStore(func(p *faultyStore) { p.dropShare = s.Share }, func(p *faultyStore) { p.dropShare = 0 })
	case storeCompacts:
		c.store.SetFaults(memkv.Faults{
			DropWatch: true,
		})
		c.store.Compact()
		c.store.SetFaults(memkv.Faults{})
	case cutStore:
		faultLink(h.store, linkFault{Block: [2]bool{true, true}})
	case cutPeers:
		faultLink(h.peers, linkFault{Block: [2]bool{s.Share > 0.3, s.Share < 0.7}})
	case slowPeers:
		faultLink(h.peers, linkFault{Delay: time.Duration(s.Share * float64(200*time.Millisecond))})
	case resetPeers:
		h.peers.reset()
	case failRequests:
		faultUpstream(standin.Faults{Fail: s.Share})
	case dropResponses:
		faultUpstream(standin.Faults{Disconnect: s.Share})
	case rejectRequests:
		faultUpstream(standin.Faults{Reject: s.Share})
	case repeatResponses:
		faultUpstream(standin.Faults{
			Repeat: s.Share,
			Delay:  repeatDelay,
		})
	case truncateStreams:
		faultUpstream(standin.Faults{Truncate: s.Share})
	case crashUpstream:
		c.crashUpstream(slot, s.For)
	case cutUpstream:
		faultLink(slot.forwarder, linkFault{Block: [2]bool{true, true}})
	case muteUpstream:
		faultLink(slot.forwarder, linkFault{Mute: true})
	case resetUpstream:
		slot.forwarder.reset()
	case deadlyPart:
		c.sendDeadlyPart(s)
	}
}

// reloadHost changes a setting of a host and sends SIGHUP to its process.
func (c *soakCluster) reloadHost(h *relayHost, s step) {
	text, err := os.ReadFile(h.settings())
	if err != nil {
		c.fail("read settings: %v", err)
		return
	}
	lines := fmt.Sprintf("lines = %d", 1000+int(s.Share*100))
	before, _, _ := strings.Cut(string(text), "lines = ")
	c.writeSettings(h, before+lines+"\n")
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.command.Process.Signal(syscall.SIGHUP) // restart checks whether the process has ended
}

// pauseHost suspends the process of a host for a time.
func (c *soakCluster) pauseHost(h *relayHost, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = h.process.command.Process.Signal(syscall.SIGCONT)
}

// crashUpstream resets the connections of an upstream and refuses new ones for the
// downtime. After that an upstream with the same address and ID starts without state.
func (c *soakCluster) crashUpstream(slot *upstreamSlot, downtime time.Duration) {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.forwarder.setFault(linkFault{
		Refuse: true,
	})
	slot.forwarder.reset()
	time.Sleep(downtime)
	c.startUpstream(slot)
	slot.forwarder.setFault(linkFault{})
}
