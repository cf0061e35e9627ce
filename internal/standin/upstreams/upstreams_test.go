package upstreams

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// manualClock moves only when a test advances it.
type manualClock struct {
	mu      sync.Mutex
	now     time.Time
	waiters map[chan struct{}]time.Time
	waits   chan time.Duration // receives the duration of each wait when it begins
}

func newManualClock() *manualClock {
	return &manualClock{
		now:     time.UnixMilli(1_000_000),
		waiters: make(map[chan struct{}]time.Time),
		waits:   make(chan time.Duration, 100),
	}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	ready := make(chan struct{})
	c.mu.Lock()
	c.waiters[ready] = c.now.Add(d)
	c.mu.Unlock()
	c.waits <- d
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for ready, at := range c.waiters {
		if !c.now.Before(at) {
			close(ready)
			delete(c.waiters, ready)
		}
	}
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func post(url, body string, header ...string) result {
	return send(context.Background(), http.MethodPost, url, body, header...)
}

func get(url string) result { return send(context.Background(), http.MethodGet, url, "") }

func send(ctx context.Context, method, url, body string, header ...string) result {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Close = true
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode,
		header: response.Header,
		body:   string(text),
		err:    err,
	}
}

func startServer(t *testing.T, upstream Upstream) string {
	server := httptest.NewServer(upstream.Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against an upstream that runs a request which it rejects, or omits the
// attempt ID from the rejection.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		faults string
		state  string
	}{
		"leaving": {
			faults: `{"leaving":true}`,
			state:  "leaving",
		},
		"refuse": {
			faults: `{"refuse":true}`,
			state:  "overloaded",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			service := NewPlain(PlainConfig{})
			url := startServer(t, service)
			qt.Assert(t, send(t.Context(), http.MethodPut, url+"/faults", test.faults).status, qt.Equals, http.StatusNoContent)
			got := post(url+"/fees", "1", "Attempt-Id", "a")
			qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, got.header.Get("Upstream-State"), qt.Equals, test.state)
			qt.Assert(t, got.header.Get("Attempt-Id"), qt.Equals, "a")
			qt.Assert(t, service.Executions(), qt.HasLen, 0)
		})
	}
}

// Guards against an execution log that misses a request whose response was lost.
func TestLoseResponse(t *testing.T) {
	service := NewPlain(PlainConfig{})
	url := startServer(t, service)
	service.SetFaults(Faults{
		LoseResponse: 1,
	})
	qt.Assert(t, post(url+"/fees", "1", "Attempt-Id", "a").err, qt.IsNotNil)
	got := post(url+"/fees", "2", "Attempt-Id", "b")
	qt.Assert(t, got.body, qt.Contains, PlainOutput(http.MethodPost, "/fees", "2"))
	var log struct{ Executions []Execution }
	qt.Assert(t, json.Unmarshal([]byte(get(url+"/executions").body), &log), qt.IsNil)
	qt.Assert(t, log.Executions, qt.HasLen, 2)
	qt.Assert(t, log.Executions[0].Body, qt.Equals, "1")
	qt.Assert(t, string(log.Executions[0].Attempt), qt.Equals, "a")
}

// Guards against an execution log that omits a request whose client disconnected.
func TestExecutionWithoutClient(t *testing.T) {
	clock := newManualClock()
	service := NewPlain(PlainConfig{
		Common: Common{
			Clock: clock,
		},
		ServiceTime: time.Second,
	})
	url := startServer(t, service)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan result, 1)
	go func() { done <- send(ctx, http.MethodPost, url+"/fees", "1") }()
	<-clock.waits
	cancel()
	qt.Assert(t, (<-done).err, qt.IsNotNil)
	qt.Assert(t, service.Executions(), qt.HasLen, 1)
	clock.advance(time.Second)
}

// Guards against a queue that ignores its limit or the priorities.
func TestSlots(t *testing.T) {
	s := &slots{
		limit: 1,
		queue: 2,
	}
	qt.Assert(t, s.acquire(t.Context(), 0), qt.IsNil)
	order := make(chan int, 2)
	var group sync.WaitGroup
	for i, priority := range []int{1, 5} {
		group.Go(func() {
			if s.acquire(t.Context(), priority) == nil {
				order <- priority
				s.release()
			}
		})
		for { // until the waiter is in the queue
			if _, queued := s.counts(); queued == i+1 {
				break
			}
		}
	}
	qt.Assert(t, s.acquire(t.Context(), 9), qt.ErrorIs, errQueueFull)
	s.release()
	group.Wait()
	qt.Assert(t, <-order, qt.Equals, 5)
	qt.Assert(t, <-order, qt.Equals, 1)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, s.acquire(t.Context(), 0), qt.IsNil)
	qt.Assert(t, s.acquire(cancelled, 0), qt.ErrorIs, context.Canceled)
	s.release()
	runningRequests, queued := s.counts()
	qt.Assert(t, runningRequests, qt.Equals, 0)
	qt.Assert(t, queued, qt.Equals, 0)
}

// Guards against a crash that leaves other requests running or accepts
// connections during the downtime.
func TestCrash(t *testing.T) {
	clock := newManualClock()
	service := NewPlain(PlainConfig{
		Common: Common{
			Clock: clock,
		},
		ServiceTime: time.Minute,
	})
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	url := "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- service.Serve(ctx, listener) }()
	service.SetFaults(Faults{
		CrashOn:  "boom",
		CrashFor: Duration(3 * time.Second),
	})
	other := make(chan result, 1)
	go func() { other <- post(url+"/x", "other") }()
	qt.Assert(t, <-clock.waits, qt.Equals, time.Minute)
	qt.Assert(t, post(url+"/x", "a boom b").err, qt.IsNotNil)
	qt.Assert(t, (<-other).err, qt.IsNotNil)
	qt.Assert(t, <-clock.waits, qt.Equals, 3*time.Second) // Serve has closed the listener
	_, err = new(net.Dialer).DialContext(t.Context(), "tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
	clock.advance(3 * time.Second)
	for get(url+"/load").err != nil { // until it listens again
	}
	qt.Assert(t, service.Crashes(), qt.Equals, 1)
	qt.Assert(t, service.Executions(), qt.HasLen, 2)
	cancel()
	qt.Assert(t, <-served, qt.IsNil)
}

// Guards against a load report that is refreshed before the configured lag.
func TestLoadLag(t *testing.T) {
	clock := newManualClock()
	pool := NewPool(PoolConfig{
		Common: Common{
			Clock:   clock,
			LoadLag: time.Second,
		},
		Kind: Encoder,
	})
	url := startServer(t, pool)
	first := get(url + "/load").body
	clock.advance(999 * time.Millisecond)
	qt.Assert(t, get(url+"/load").body, qt.Equals, first)
	clock.advance(time.Millisecond)
	qt.Assert(t, get(url+"/load").body, qt.Not(qt.Equals), first)
}

// Guards against outputs that do not show which input they belong to.
func TestPoolOutput(t *testing.T) {
	for _, kind := range []PoolKind{Encoder, Retriever, Reranker} {
		t.Run(string(kind), func(t *testing.T) {
			url := startServer(t, NewPool(PoolConfig{
				Kind: kind,
			}))
			got := post(url+"/v1/"+string(kind), `{"input":"x"}`)
			qt.Assert(t, strings.TrimSpace(got.body), qt.Equals, `{"output":"`+string(kind)+`(x)"}`)
			qt.Assert(t, post(url+"/v1/"+string(kind), `{}`).status, qt.Equals, http.StatusBadRequest)
		})
	}
}

const prompt = `{"messages":[{"content":"flange"}]}`

// Guards against a prefix cache without effect or limit, and against cache
// events that are visible early or published in spite of EventGap.
func TestPrefixCache(t *testing.T) {
	clock := newManualClock()
	engine := NewEngine(EngineConfig{
		Common: Common{
			Clock: clock,
		},
		FirstToken:   time.Second,
		CacheEntries: 1,
		EventDelay:   time.Minute,
		EventGap:     2,
	})
	url := startServer(t, engine)
	complete := func(content string) time.Duration {
		done := make(chan result, 1)
		go func() { done <- post(url+"/v1/chat/completions", `{"messages":[{"content":"`+content+`"}]}`) }()
		waited := <-clock.waits
		clock.advance(waited)
		qt.Assert(t, (<-done).status, qt.Equals, http.StatusOK)
		return waited
	}
	qt.Check(t, complete("flange"), qt.Equals, time.Second)
	qt.Check(t, complete("flange"), qt.Equals, time.Second/4)
	qt.Check(t, complete("wheel"), qt.Equals, time.Second)
	qt.Check(t, complete("flange"), qt.Equals, time.Second)
	qt.Check(t, get(url+"/cache/events").body, qt.Equals, "{\"events\":[]}\n")
	clock.advance(time.Minute)
	var got struct{ Events []CacheEvent }
	qt.Assert(t, json.Unmarshal([]byte(get(url+"/cache/events?after=1").body), &got), qt.IsNil)
	numbers := make([]int, 0)
	for _, e := range got.Events {
		numbers = append(numbers, e.Number)
	}
	qt.Check(t, numbers, qt.DeepEquals, []int{3, 5})
}

// Guards against a resumed response that continues the response to another prompt.
func TestPartialMustMatch(t *testing.T) {
	url := startServer(t, NewEngine(EngineConfig{}))
	got := post(url+"/v1/chat/completions",
		`{"messages":[{"content":"a"}],"resume_from":1,"partial":"`+EngineToken("b", 0)+`"}`)
	qt.Assert(t, got.status, qt.Equals, http.StatusBadRequest)
}

// Guards against an engine that applies an order with a stale fencing number
// although it checks these numbers.
func TestFencing(t *testing.T) {
	tests := map[string]struct {
		checkFencing bool
		status       int
		role         string
	}{
		"checking": {
			checkFencing: true,
			status:       http.StatusConflict,
			role:         "decode",
		},
		"ignoring": {
			status: http.StatusOK,
			role:   "prefill",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			engine := NewEngine(EngineConfig{
				CheckFencing: test.checkFencing,
			})
			url := startServer(t, engine)
			order := func(role, number string) int {
				return post(url+"/orders", `{"kind":"role","role":"`+role+`"}`,
					"Content-Type", "application/json", "Fencing-Number", number).status
			}
			qt.Assert(t, order("decode", "8"), qt.Equals, http.StatusOK)
			qt.Assert(t, order("prefill", "7"), qt.Equals, test.status)
			qt.Assert(t, engine.orders.current().Role, qt.Equals, test.role)
		})
	}
}

// Guards against an engine that serves requests for a model that is not loaded.
func TestModels(t *testing.T) {
	engine := NewEngine(EngineConfig{})
	url := startServer(t, engine)
	qt.Assert(t, post(url+"/v1/chat/completions", prompt).status, qt.Equals, http.StatusOK)
	for _, body := range []string{`{"kind":"load","model":"a"}`, `{"kind":"load","model":"a"}`} {
		got := post(url+"/orders", body, "Content-Type", "application/json", "Fencing-Number", "1")
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	}
	complete := func(model string) int {
		return post(url+"/v1/chat/completions", `{"model":"`+model+`","messages":[{"content":"x"}]}`).status
	}
	qt.Assert(t, complete("a"), qt.Equals, http.StatusOK)
	qt.Assert(t, complete("b"), qt.Equals, http.StatusNotFound)
}
