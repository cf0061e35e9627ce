//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	heartbeat    = 1200 * time.Millisecond
	configApply  = 2 * time.Second
	memoryMB     = 284
	startTimeout = 20 * time.Second
)

var zones = []string{"erie-hall", "huron-hall", "superior-hall"}

// deployment is a store, engines and relays.
type deployment struct {
	record  *record
	dir     string
	network int // second octet of the loopback addresses
	hosts   int // addresses handed out
	store   *memkv.Store
	delay   func() time.Duration
	relays  []*relay
	engines []*engine
	version int
}

// relay is one process of the system.
type relay struct {
	name, callers, ready, peers, metrics string
	zone                                 string
	store                                string       // address of the store for this relay
	turnedAway                           atomic.Bool  // by the store, with 503
	cut                                  atomic.Bool  // from the store, which doesn't answer
	writes                               atomic.Int64 // under a condition, to the store
	settings                             string
	command                              *exec.Cmd
	exited                               chan struct{}
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record:  r,
		dir:     dir,
		network: 65 + os.Getpid()%60,
		store:   memkv.New(time.Now),
		delay:   func() time.Duration { return 4 * time.Millisecond },
	}
	return d, nil
}

// serveStore serves the store to one relay, and returns the address. While the relay is turned
// away, each call is answered 503, and those that wait are cut.
func (d *deployment) serveStore(r *relay) string {
	listener, err := net.Listen("tcp4", d.ip()+":0")
	if err != nil {
		panic(err)
	}
	handler := standin.NewStore(d.store).Handler()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(d.delay())
		if r.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.cut.Load() {
			r.stayCut(request)
		}
		ctx, cancel := context.WithCancel(request.Context())
		defer cancel()
		go func() {
			for ctx.Err() == nil && !r.turnedAway.Load() && !r.cut.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			cancel()
		}()
		if request.URL.Path == "/api/kv-txn" {
			r.writes.Add(1)
		}
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request.WithContext(ctx))
		if r.cut.Load() {
			r.stayCut(request)
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	return listener.Addr().String()
}

// ip returns the next loopback address.
func (d *deployment) ip() string {
	d.hosts++
	return fmt.Sprintf("127.%d.%d.%d", d.network, d.hosts/200, 10+d.hosts%200)
}

// freePorts returns addresses with n free ports. All are taken at the same time, so that they
// differ.
func freePorts(ip string, n int) []string {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			panic(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// stayCut waits until the relay is no longer cut off, and ends its call without an answer.
func (r *relay) stayCut(request *http.Request) {
	for r.cut.Load() && request.Context().Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// put writes an entry of the operator or of an engine, and returns when the store had
// acknowledged it.
func (d *deployment) put(key kv.Key, value []byte) time.Time {
	current, err := d.store.Get(context.Background(), key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		panic(err)
	}
	if _, err := d.store.Put(context.Background(), kv.Put{Key: key, Value: value, Expect: current.Version}); err != nil {
		panic(err)
	}
	return time.Now()
}

// remove removes an entry.
func (d *deployment) remove(key kv.Key) time.Time {
	current, err := d.store.Get(context.Background(), key)
	if err == nil {
		err = d.store.Delete(context.Background(), key, current.Version)
	}
	if err != nil {
		panic(err)
	}
	return time.Now()
}

// publish writes the next configuration.
func (d *deployment) publish(routes, services []any) time.Time {
	d.version += 3
	value, err := json.Marshal(map[string]any{
		"version":  d.version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "lakeshore", "api_keys": []string{"key"}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return d.put("op/config", value)
}

// addRelays prepares relays with the settings of deploy/relay.ini; their machines have the
// sizes of curdfair-router.
func (d *deployment) addRelays(n int) {
	var seeds []string
	for i := range n {
		ports := freePorts(d.ip(), 4)
		r := &relay{
			name:    fmt.Sprintf("edge-%d", i+1),
			zone:    zones[i%len(zones)],
			callers: ports[0],
			ready:   ports[1],
			peers:   ports[2],
			metrics: ports[3],
		}
		r.store = d.serveStore(r)
		d.relays = append(d.relays, r)
		if len(seeds) < 3 {
			seeds = append(seeds, r.peers)
		}
	}
	for _, r := range d.relays {
		text := fmt.Sprintf(`[host]
name = %s
domain = %s
region = great-lakes
regions = erie-hall:great-lakes,huron-hall:great-lakes,superior-hall:great-lakes,
callers = %s
ready = %s
peers = %s
seeds = %s
metrics = %s
processor = 0.4
memory = %d
files = 4100

[store]
address = %s
renewal = %dms
apply = %dms

[repeats]
share = 0.2
allowance = 58
window = 10s
hedges = 0.05

[stop]
grace = 8s
`, r.name, r.zone, r.callers, r.ready, r.peers, strings.Join(seeds, ","), r.metrics, memoryMB, r.store, heartbeat.Milliseconds(), configApply.Milliseconds())
		r.settings = filepath.Join(d.dir, r.name+".ini")
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
	}
}

// startRelay starts the process of a relay as deploy/system.toml does.
func (d *deployment) startRelay(r *relay) error {
	log, err := os.OpenFile(filepath.Join(d.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.command = exec.Command("target/nutmegshift", "relay")
	r.command.Env = append(os.Environ(), "NUTMEGSHIFT_BOOT="+r.settings)
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(r.command, r.exited)
	d.record.line("%s started, process %d", r.name, r.command.Process.Pid)
	return nil
}

// start starts all relays and waits until they are ready.
func (d *deployment) start() error {
	for _, r := range d.relays {
		if err := d.startRelay(r); err != nil {
			return err
		}
	}
	return d.awaitReady(d.relays)
}

func (d *deployment) awaitReady(relays []*relay) error {
	end := time.Now().Add(startTimeout)
	for _, r := range relays {
		for !r.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (r *relay) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *relay) runs() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

func (r *relay) signal(s syscall.Signal) {
	if r.runs() {
		_ = r.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (d *deployment) kill(r *relay) {
	r.signal(syscall.SIGKILL)
	<-r.exited
	d.record.line("%s killed", r.name)
}

// residentMB returns the resident memory of the process.
func (r *relay) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, r := range d.relays {
		if r.command == nil {
			continue
		}
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	for _, e := range d.engines {
		e.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
