//go:build review

package review

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

// Bounds of the rules, as in the site files of the small deployments.
const (
	Apply    = 2 * time.Second // config_apply_ms
	Drain    = 2 * time.Second // drain_ms
	Contact  = 3 * time.Second // contact_ms
	Grace    = 8 * time.Second // grace_s
	MemoryMB = 284             // limits.memory_mb
)

// Deployment has the stand-in of the store, and starts upstreams and hosts.
type Deployment struct {
	Record    *Record
	Store     *memkv.Store
	directory string
	servers   []*http.Server
	listeners []net.Listener
	hosts     []*Host
	version   int
	storeMu   sync.Mutex
}

// New starts a deployment without upstreams and hosts. The case writes its log into the
// given folder.
func New(folder string) (*Deployment, error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Record:    record,
		Store:     memkv.New(time.Now),
		directory: directory,
	}, nil
}

// ServeStore serves the API of the store on a port of its own, and returns the address and
// the number of watches that wait there.
func (d *Deployment) ServeStore() (address string, watches *atomic.Int64, err error) {
	watches = new(atomic.Int64)
	store := standin.NewStore(d.Store).Handler()
	address, err = d.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/kv-watch" {
			watches.Add(1)
			defer watches.Add(-1)
		}
		store.ServeHTTP(w, r)
	}))
	return address, watches, err
}

// Serve serves HTTP on a free loopback port until Close, and returns the address.
func (d *Deployment) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Close ends the processes and servers of the deployment, and removes its files.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		h.end()
	}
	for _, server := range d.servers {
		_ = server.Close()
	}
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	_ = os.RemoveAll(d.directory)
}

// Write replaces an entry of the store and returns the time of the acknowledgement.
func (d *Deployment) Write(key string, value any) (time.Time, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	ctx := context.Background()
	current, err := d.Store.Get(ctx, kv.Key(key))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return time.Time{}, err
	}
	_, err = d.Store.Put(ctx, kv.Put{
		Key:    kv.Key(key),
		Value:  encoded,
		Expect: current.Version,
	})
	return time.Now(), err
}

// Publish writes the next version of the operator's configuration, and returns the time
// of its acknowledgement.
func (d *Deployment) Publish(config Config) (time.Time, error) {
	d.version += 3
	config.Version = d.version
	config.Limits = Limits{
		MaxHeaderBytes:  16384,
		MaxBodyBytes:    4194304,
		HeaderTimeoutMS: 3000,
		IdleTimeoutMS:   15000,
	}
	at, err := d.Write("op/config", config)
	d.Record.Printf("operator: the store acknowledges configuration version %d", d.version)
	return at, err
}

// Sleep waits, or returns the error of the context.
func Sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("case takes too long: %w", ctx.Err())
	case <-time.After(pause):
		return nil
	}
}

// The ports of hosts are below those that the system gives to outgoing connections, which
// would otherwise take them before the process listens.
const (
	firstPort = 12000
	lastPort  = 30000
)

// givenAddresses holds the addresses that freeAddresses has returned.
var givenAddresses = make(map[string]bool)

// freeAddresses returns loopback addresses with free ports.
// A port is returned only once, since the process that is to listen on it may still start.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	var failed error
	for attempt := 0; len(addresses) < count; attempt++ {
		if attempt > 100*count {
			return nil, fmt.Errorf("no free ports: %w", failed)
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if givenAddresses[address] {
			continue
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			failed = err
			continue
		}
		defer func() { _ = listener.Close() }()
		givenAddresses[address] = true
		addresses = append(addresses, address)
	}
	return addresses, nil
}
