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
	callPause    = 60 * time.Millisecond // mean time between two requests of a caller
	callDeadline = 4 * time.Second
	// callLimit is when a caller gives up a request that is not answered.
	callLimit = callDeadline + 1500*time.Millisecond
)

// asked is one request of a caller and what became of it.
type asked struct {
	id     ident.RequestID
	route  string // submit, lookup, chat or extra
	key    string
	body   string
	host   int
	life   int // of the host; 0 if it was replaced meanwhile
	sent   time.Time
	ended  time.Time
	status int // 0 if no answer began
	got    string
	sealed bool
	broken bool // the answer did not end
	reason string
}

func (a asked) String() string {
	return fmt.Sprintf("%s (%s, host-%d life %d, sent %s, took %s): %d broken=%v %s", a.id, a.route, a.host, a.life, a.sent.Format("05.000"), a.ended.Sub(a.sent).Round(time.Millisecond), a.status, a.broken, a.reason)
}

// whole is what the caller must get with a success.
func (a asked) whole() string {
	if a.route != "chat" {
		return standin.ResponseBody(a.id, a.body)
	}
	var b strings.Builder
	for i := 1; i <= soakEvents; i++ {
		b.WriteString(standin.Event(a.id, i))
	}
	return b.String()
}

// loadRun sends requests on connections that stay open until the host closes them.
type loadRun struct {
	cluster *soakCluster

	mu   sync.Mutex
	all  []asked
	last int
}

// run sends until ctx ends, and then waits for the answers.
func (l *loadRun) run(ctx context.Context) {
	var callers sync.WaitGroup
	for range soakCallers {
		callers.Go(func() { l.caller(ctx) })
	}
	callers.Wait()
}

// caller is one client: it keeps its connection and its host as long as it can.
func (l *loadRun) caller(ctx context.Context) {
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
			if h = l.balance(); h == nil {
				continue
			}
		}
		if !l.ask(client, h) {
			transport.CloseIdleConnections()
			h = nil
		}
	}
}

// balance returns a host that is ready, as the platform's load balancer chooses it.
func (l *loadRun) balance() *relayHost {
	for _, i := range rand.Perm(len(l.cluster.hosts)) {
		if h := l.cluster.hosts[i]; h.isReady() {
			return h
		}
	}
	return nil
}

// ask sends one request and reports whether its connection stays open.
func (l *loadRun) ask(client *http.Client, h *relayHost) bool {
	routes := []string{"submit", "submit", "lookup", "chat", "chat", "extra"}
	l.mu.Lock()
	l.last++
	a := asked{
		id:    ident.RequestID(fmt.Sprint("r", l.last)),
		route: routes[rand.IntN(len(routes))],
		key:   "first",
		body:  fmt.Sprint("body of r", l.last),
		host:  h.number,
		life:  h.lives(),
		sent:  time.Now(),
	}
	l.mu.Unlock()
	if a.route == "lookup" && rand.IntN(2) == 0 {
		a.key = "second"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s/x?of=%s", h.callers, a.route, a.id), strings.NewReader(a.body))
	if err != nil {
		l.cluster.fail("build request: %v", err)
		return false
	}
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", string(a.id))
	request.Header.Set("Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+a.key)
	if a.route == "chat" {
		request.Header.Set("Chunks", "2")
		request.Header.Set("Chunk-Key", string(a.id))
		request.Header.Set("Token-Counts", "100,20")
		request.Header.Set("Prefix-Hash", "aa:50,bb:20,cc:30")
	}
	response, err := client.Do(request)
	if err != nil {
		a.reason = err.Error()
		l.note(h, a)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status = response.StatusCode
	a.got = string(body)
	a.sealed = response.Header.Get("Server-Seal") == "seal-"+string(a.id)
	a.broken = err != nil
	if a.status != http.StatusOK {
		a.reason = strings.TrimSpace(a.got)
	}
	l.note(h, a)
	return err == nil && !response.Close
}

// lives returns how often the process of a host was started, 0 while it is
// replaced.
func (h *relayHost) lives() int {
	if !h.mu.TryLock() {
		return 0
	}
	defer h.mu.Unlock()
	return h.life
}

func (l *loadRun) note(h *relayHost, a asked) {
	a.ended = time.Now()
	if h.lives() != a.life {
		a.life = 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}
