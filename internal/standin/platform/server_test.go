package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// clock moves only when a test advances it.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// fixture is a stand-in on a test server.
type fixture struct {
	server *Server
	clock  *clock
	http   *httptest.Server
	client *http.Client
}

func serve(t testing.TB) fixture {
	testClock := &clock{
		now: time.Unix(1_800_000_000, 0),
	}
	server := New(Config{
		Now:         testClock.Now,
		WeightRate:  2,
		WeightBurst: 3,
		WeightBytes: 10,
	})
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return fixture{
		server: server,
		clock:  testClock,
		http:   httpServer,
		client: &http.Client{
			Transport: transport,
		},
	}
}

func (f fixture) address() ident.Address {
	return ident.Address(f.http.Listener.Addr().String())
}

func (f fixture) store(timeout time.Duration) *httpkv.Store {
	return httpkv.New(httpkv.Config{
		Address: f.address(),
		Client:  f.client,
		Limit:   timeout,
		Wait:    20 * time.Second,
	})
}

// send sends one request and returns the status. It decodes the response body
// into *into unless into is nil.
func (f fixture) send(t testing.TB, method, path string, body, into any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, f.http.URL+path, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if into != nil {
		if err := json.NewDecoder(response.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

func host(name string, state hostlist.State) hostlist.Host {
	return hostlist.Host{
		Name:  name,
		Kind:  hostlist.EntryHost,
		State: state,
	}
}

// Guards against a lag that shows changes early, late or not at all.
func TestHostListLag(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	client := hostlist.New(f.address(), f.client)
	fetch := func() hostlist.List {
		list, err := client.Fetch(context.Background())
		c.Assert(err, qt.IsNil)
		return list
	}
	c.Assert(f.send(t, http.MethodPut, "/hosts", host("a", hostlist.Live), nil), qt.Equals, 200)
	c.Assert(fetch().Hosts, qt.DeepEquals, []hostlist.Host{host("a", hostlist.Live)})

	f.clock.Advance(time.Second)
	c.Assert(f.send(t, http.MethodPut, "/faults", Faults{
		Lag: 500,
	}, nil), qt.Equals, 200)
	c.Assert(f.send(t, http.MethodPut, "/hosts", host("a", hostlist.Leaving), nil), qt.Equals, 200)
	c.Assert(fetch().Hosts[0].State, qt.Equals, hostlist.Live)
	f.clock.Advance(499 * time.Millisecond)
	c.Assert(f.send(t, http.MethodDelete, "/hosts?name=a", nil, nil), qt.Equals, 200)
	c.Assert(fetch().Hosts[0].State, qt.Equals, hostlist.Live)
	f.clock.Advance(time.Millisecond)
	c.Assert(fetch().Hosts[0].State, qt.Equals, hostlist.Leaving)
	f.clock.Advance(499 * time.Millisecond)
	c.Assert(fetch().Hosts, qt.HasLen, 0)
	c.Assert(f.send(t, http.MethodPut, "/hosts", host("b", "gone"), nil), qt.Equals, 400)
}

// Guards against a waiting read that misses the change it waits for.
func TestHostListWait(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	received := make(chan hostlist.List, 1)
	go func() {
		var list hostlist.List
		f.send(t, http.MethodGet, "/hosts?after=1", nil, &list)
		received <- list
	}()
	c.Assert(f.send(t, http.MethodPut, "/hosts", host("a", hostlist.Live), nil), qt.Equals, 200)
	c.Assert((<-received).Version, qt.Equals, uint64(2))

	var unchanged hostlist.List
	c.Assert(f.send(t, http.MethodGet, "/hosts?after=2&wait=1", nil, &unchanged), qt.Equals, 200)
	c.Assert(unchanged.Version, qt.Equals, uint64(2))
}

// Guards against a weight store that admits more than its rate.
func TestWeightRate(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	statuses := func(n int) []int {
		got := make([]int, n)
		for i := range got {
			got[i] = f.send(t, http.MethodGet, fmt.Sprintf("/weights/m%d", i), nil, nil)
		}
		return got
	}
	c.Assert(statuses(4), qt.DeepEquals, []int{200, 200, 200, 429})
	f.clock.Advance(time.Second)
	c.Assert(statuses(3), qt.DeepEquals, []int{200, 200, 429})
	var counts Counts
	f.send(t, http.MethodGet, "/counts", nil, &counts)
	c.Assert(counts, qt.DeepEquals, Counts{
		Weights:        5,
		WeightsRefused: 2,
	})
}

// Guards against a stand-in that accepts a value that the client adapter rejects.
func TestLargeValueIsRefusedByTheServer(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	for _, size := range []int{kv.MaxValueBytes + 1, 4 << 20} {
		c.Check(f.send(t, http.MethodPut, "/kv/entry", map[string]any{
			"key":   "k",
			"value": []byte(strings.Repeat("x", size)),
		}, nil), qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

// Guards against a stand-in that cancels a write when its client disconnects: a
// write that timed out must be able to take effect later.
func TestWriteOutlivesItsClient(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	c.Assert(f.send(t, http.MethodPut, "/faults", Faults{
		Delay: 300,
	}, nil), qt.Equals, 200)
	_, err := f.store(100*time.Millisecond).Put(context.Background(), kv.Put{
		Key: "k",
	})
	c.Assert(err, qt.ErrorIs, kv.ErrUncertain)
	seen, err := f.store(20*time.Second).Watch(context.Background(), "k", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(seen.Changes, qt.HasLen, 1)
}

// Guards against a waiting watch that never reports the expiry of a lease.
func TestRunExpiresLeases(t *testing.T) {
	c := qt.New(t)
	f := serve(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.server.Run(ctx) }()
	store := f.store(20 * time.Second)
	lease, err := store.Grant(ctx, time.Second)
	c.Assert(err, qt.IsNil)
	version, err := store.Put(ctx, kv.Put{
		Key:   "k",
		Lease: lease,
	})
	c.Assert(err, qt.IsNil)
	f.clock.Advance(time.Second)
	seen, err := store.Watch(ctx, "k", kv.Cursor(version))
	c.Assert(err, qt.IsNil)
	c.Assert(seen.Changes[0].Deleted, qt.IsTrue)
	cancel()
	c.Assert(<-ended, qt.Equals, context.Canceled)
}
