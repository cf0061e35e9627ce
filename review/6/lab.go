//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/platform"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// routeHost is the Host of all requests, and clientKey the API key of the only tenant.
	routeHost = "a.example"
	clientKey = "key-of-lakeshore"
	// startTimeout bounds the wait for the relays to become ready.
	startTimeout = 15 * time.Second
	stopTimeout  = 10 * time.Second
	// The settings of relays, as in a deployment of six to nine machines.
	relayMemory      = 284
	relayDescriptors = 4100
	heartbeat        = 1200 * time.Millisecond
)

var zones = []string{"erie-hall", "huron-hall", "superior-hall"}

// relayNames are the names of the relays of a case. Two are in each zone, whose clients reach
// both.
var relayNames = []string{"edge-erie-hall-1", "edge-erie-hall-2", "edge-huron-hall-1", "edge-huron-hall-2", "edge-superior-hall-1"}

// relayZone returns the zone of a relay.
func relayZone(i int) string { return zones[i/2] }

// lab holds the processes and stand-ins of one case.
type lab struct {
	started time.Time
	folder  string // temporary
	store   *memkv.Store
	links   *links
	relays  []*relay
	engines []*engine
	version int

	mu     sync.Mutex
	record *os.File
	last   byte                    // part of the latest loopback address
	events map[ident.RequestID]int // last event that a client has received, by attempt
}

// relay is a process of the project.
type relay struct {
	name                                      string
	callers, ready, peers, metrics, advertise string
	log                                       string // file
	command                                   *exec.Cmd
	exited                                    chan struct{}
}

// engine is a stand-in of an engine with its listener.
type engine struct {
	*standin.Upstream
	id      string
	release string
	address string
	server  *http.Server
}

// newLab opens the record of a case in its folder.
func newLab(folder string) (*lab, error) {
	temporary, err := os.MkdirTemp("", "nutmegshift-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &lab{
		started: time.Now(),
		folder:  temporary,
		store:   memkv.New(time.Now),
		links:   newLinks(),
		record:  record,
		events:  make(map[ident.RequestID]int),
	}, nil
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, values...))
}

// noteRuns writes to the record what the engines have run.
func (l *lab) noteRuns() {
	for _, e := range l.engines {
		runs := e.Runs()
		l.note("engine %s (%s) ran %d requests", e.id, e.release, len(runs))
		for _, run := range runs {
			l.note("engine %s (%s) ran %s after event %d at %.3f s", e.id, e.release, run.Request, run.LastEvent, run.At.Sub(l.started).Seconds())
		}
	}
}

// received records the last event that a client has received for an attempt.
func (l *lab) received(id ident.RequestID, got answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events[id] = got.lastEvent
}

// lastReceived returns the last event that a client has received for an attempt.
func (l *lab) lastReceived(id ident.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[id]
}

// close ends all processes that the case has started.
func (l *lab) close() {
	for _, r := range l.relays {
		_ = r.command.Process.Signal(syscall.SIGTERM)
	}
	for _, r := range l.relays {
		select {
		case <-r.exited:
		case <-time.After(stopTimeout):
			_ = r.command.Process.Kill()
			<-r.exited
		}
	}
	for _, e := range l.engines {
		_ = e.server.Close()
	}
	l.links.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Println(l.folder)
	}
	_ = l.record.Close()
}

// freeAddress returns an unused loopback address. Each has an IP address of its own, so that
// no outgoing connection has the port.
func (l *lab) freeAddress() (string, error) {
	l.mu.Lock()
	l.last++
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250, l.last)
	l.mu.Unlock()
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// addEngine starts a stand-in of an engine. It is not registered yet.
func (l *lab) addEngine(config standin.UpstreamConfig) (*engine, error) {
	address, err := l.freeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &engine{
		Upstream: standin.NewUpstream(config),
		id:       string(config.ID),
		release:  config.Release,
		address:  address,
	}
	e.server = &http.Server{
		Handler: e.Handler(),
	}
	go func() { _ = e.server.Serve(listener) }()
	l.engines = append(l.engines, e)
	return e, nil
}

// crash ends an engine at once, with all its connections.
func (l *lab) crash(e *engine) {
	l.note("engine %s (%s) crashes", e.id, e.release)
	_ = e.server.Close()
}

// restart starts an engine that has crashed again, with its id and address.
func (l *lab) restart(e *engine) {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		l.note("engine %s does not start again: %v", e.id, err)
		return
	}
	l.note("engine %s is back", e.id)
	e.server = &http.Server{
		Handler: e.Handler(),
	}
	go func() { _ = e.server.Serve(listener) }()
}

// register writes the registration of an engine to the store.
func (l *lab) register(e *engine) error {
	key, value, err := e.Entry(ident.Address(e.address))
	if err != nil {
		return err
	}
	l.note("store accepts %s = %s", key, value)
	return l.put(key, value)
}

// put writes an entry of the store, whatever its revision.
func (l *lab) put(key kv.Key, value []byte) error {
	current, err := l.store.Get(context.Background(), key)
	if err != nil {
		current.Version = 0
	}
	_, err = l.store.Put(context.Background(), kv.Put{
		Key:    key,
		Value:  value,
		Expect: current.Version,
	})
	return err
}

// publish writes a configuration with the given routes and services.
func (l *lab) publish(routes, services []any) error {
	l.version += 3
	value, err := json.Marshal(map[string]any{
		"version":  l.version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "lakeshore", "api_keys": []string{clientKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	l.note("store accepts configuration %d", l.version)
	return l.put(platform.Keys.Table, value)
}

// startRelays starts up to five relays, which reach the store and each other by links
// that can be cut.
func (l *lab) startRelays(count int) error {
	for i := range count {
		r := &relay{
			name:   relayNames[i],
			exited: make(chan struct{}),
		}
		for _, address := range []*string{&r.callers, &r.ready, &r.peers, &r.metrics, &r.advertise} {
			free, err := l.freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		l.relays = append(l.relays, r)
	}
	seeds := make([]string, 0, count)
	for i, r := range l.relays {
		if err := l.links.forwardPeers(r.advertise, r.peers, i, l.relays); err != nil {
			return err
		}
		seeds = append(seeds, r.advertise)
	}
	for i := range l.relays {
		if err := l.startRelay(i, seeds); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, r := range l.relays {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %s", r.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.note("%d relays are ready", count)
	return nil
}

// startRelay starts one relay with settings from the fields of the deploy template.
func (l *lab) startRelay(i int, seeds []string) error {
	r := l.relays[i]
	store, err := l.freeAddress()
	if err != nil {
		return err
	}
	if err := l.links.serveStore(store, i, standin.NewStore(l.store).Handler()); err != nil {
		return err
	}
	var regions strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&regions, "%s:great-lakes,", zone)
	}
	settings := fmt.Sprintf(`[host]
name = %s
domain = %s
region = great-lakes
regions = %s
callers = %s
ready = %s
peers = %s
advertise = %s
seeds = %s
metrics = %s
processor = 0.4
memory = %d
files = %d

[store]
address = %s
renewal = %dms
apply = 2000ms

[repeats]
share = 0.2
allowance = 58
window = 10s
hedges = 0.05

[stop]
grace = 8s
`, r.name, relayZone(i), regions.String(), r.callers, r.ready, r.peers, r.advertise, strings.Join(seeds, ","), r.metrics, relayMemory, relayDescriptors, store, heartbeat.Milliseconds())
	path := filepath.Join(l.folder, r.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	r.log = filepath.Join(l.folder, r.name+".log")
	output, err := os.Create(r.log)
	if err != nil {
		return err
	}
	program, err := filepath.Abs("target/nutmegshift")
	if err != nil {
		return err
	}
	r.command = exec.Command(program, "relay")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
	r.command.Stdout, r.command.Stderr = output, output
	if err := r.command.Start(); err != nil {
		return err
	}
	l.links.setProcess(i, r.command.Process.Pid)
	go func() {
		defer close(r.exited)
		_ = r.command.Wait()
		_ = output.Close()
	}()
	return nil
}

// hasExited reports whether the process has ended.
func (r *relay) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// isReady asks like the platform whether the relay takes new connections.
func (r *relay) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Get("http://" + r.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the largest resident memory of the process so far.
func (r *relay) memory() string {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return "unknown"
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	text, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(text)
}
