package system

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	soakCallers  = 16
	callPause    = 60 * time.Millisecond // mean pause of a caller before each request
	callDeadline = 4 * time.Second
	// callTimeout is the time after which a caller cancels a request.
	callTimeout = callDeadline + 1500*time.Millisecond
)

// sentRequest is a request of a caller with its response.
type sentRequest struct {
	id        ident.RequestID
	route     string // submit, lookup, chat or extra
	key       string // API key, first or second
	body      string
	deadly    bool // the prompt has the deadly part
	host      int
	hostStart int // startNumber of the host; 0 if it changed during the request or is unknown
	sent      time.Time
	ended     time.Time
	status    int // 0 if there was no response
	gotBody   string
	sealed    bool   // the response has the seal of the upstream
	truncated bool   // the response body ended early
	reason    string // error of the client, or body of an error response
}

func (r sentRequest) String() string {
	return fmt.Sprintf("%s (%s, host-%d start %d, sent %s, took %s): %d truncated=%v %s", r.id, r.route, r.host, r.hostStart, r.sent.Format("05.000"), r.ended.Sub(r.sent).Round(time.Millisecond), r.status, r.truncated, r.reason)
}

// wantBody returns the body that a successful response must have.
func (r sentRequest) wantBody() string {
	if r.route != "chat" {
		return standin.ResponseBody(r.id, r.body)
	}
	var b strings.Builder
	for i := 1; i <= soakEvents; i++ {
		b.WriteString(standin.Event(r.id, i))
	}
	return b.String()
}

// loadGenerator sends requests on connections that stay open until the host closes
// them. It is safe for concurrent use.
type loadGenerator struct {
	cluster *soakCluster

	mu       sync.Mutex
	requests []sentRequest // completed
	lastID   int
}

// run sends requests until ctx ends, and then waits for those in progress.
func (l *loadGenerator) run(ctx context.Context) {
	var callers sync.WaitGroup
	for range soakCallers {
		callers.Go(func() { l.runCaller(ctx) })
	}
	callers.Wait()
}

// runCaller sends the requests of one client until ctx ends. It changes host and
// connection only after the connection has failed or has been closed.
func (l *loadGenerator) runCaller(ctx context.Context) {
	transport := &http.Transport{
		MaxConnsPerHost:    1,
		DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
	}
	var h *relayHost
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(callPause)))
		if h == nil {
			if h = l.pickHost(); h == nil {
				continue
			}
		}
		if !l.send(client, h) {
			transport.CloseIdleConnections()
			h = nil
		}
	}
}

// pickHost returns a random ready host, as the platform's load balancer does, or nil
// if no host is ready.
func (l *loadGenerator) pickHost() *relayHost {
	for _, i := range rand.Perm(len(l.cluster.hosts)) {
		if h := l.cluster.hosts[i]; h.isReady() {
			return h
		}
	}
	return nil
}

// send sends one request, records the result and reports whether the connection stays
// open.
func (l *loadGenerator) send(client *http.Client, h *relayHost) bool {
	routes := []string{"submit", "submit", "lookup", "chat", "chat", "extra"}
	l.mu.Lock()
	l.lastID++
	r := sentRequest{
		id:        ident.RequestID(fmt.Sprint("r", l.lastID)),
		route:     routes[rand.IntN(len(routes))],
		key:       "first",
		body:      fmt.Sprint("body of r", l.lastID),
		host:      h.number,
		hostStart: h.startNumber(),
		sent:      time.Now(),
	}
	l.mu.Unlock()
	r.deadly = r.route == "chat" && rand.Int64N(100) < l.cluster.deadlyShare.Load()
	if r.route == "lookup" && rand.IntN(2) == 0 {
		r.key = "second"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/x?of=%s", h.callers, r.route, r.id), strings.NewReader(r.body))
	if err != nil {
		l.cluster.fail("build request: %v", err)
		return false
	}
	request.Host = "a.example"
	stated := standin.Request{
		ID:      r.id,
		Key:     r.key,
		Timeout: callDeadline,
	}
	if r.route == "chat" {
		stated.Prompt = &standin.Prompt{
			Pieces: 2,
			Input:  100,
			Output: 20,
			Parts:  r.parts(),
		}
	}
	stated.SetHeader(request.Header)
	response, err := client.Do(request)
	if err != nil {
		r.reason = err.Error()
		l.record(h, r)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.status = response.StatusCode
	r.gotBody = string(body)
	r.sealed = standin.IsSealed(response.Header, r.id)
	r.truncated = err != nil
	if r.status != http.StatusOK {
		r.reason = strings.TrimSpace(r.gotBody)
	}
	l.record(h, r)
	return err == nil && !response.Close
}

// startNumber returns how often the process of the host has been started, or 0 while
// the host is locked, as during a restart.
func (h *relayHost) startNumber() int {
	if !h.mu.TryLock() {
		return 0
	}
	defer h.mu.Unlock()
	return h.starts
}

// record adds a request that has ended.
func (l *loadGenerator) record(h *relayHost, r sentRequest) {
	r.ended = time.Now()
	if h.startNumber() != r.hostStart {
		r.hostStart = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}
