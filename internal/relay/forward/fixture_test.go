package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/forward"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/kv"
)

// codec is a small protocol for these tests.
type codec struct {
	wire.Codec
}

func (codec) Head(header http.Header) (wire.Head, error) {
	head := wire.Head{
		Request: ident.RequestID(header.Get("Id")),
		Key:     routes.Key(header.Get("Key")),
	}
	if text := header.Get("Patience"); text != "" {
		patience, err := time.ParseDuration(text)
		if err != nil {
			return wire.Head{}, err
		}
		head.Timeout = patience
	}
	if text := header.Get("Last"); text != "" {
		last, err := strconv.Atoi(text)
		if err != nil {
			return wire.Head{}, err
		}
		head.LastEvent = wire.EventID(last)
	}
	if header.Get("Pieces") != "" {
		head.Pieces = []int{1}
	}
	return head, nil
}

func (codec) Forward(header http.Header, dispatch wire.Dispatch) http.Header {
	forwarded := http.Header{"Id": header["Id"]}
	forwarded.Set("Organisation", string(dispatch.Organisation))
	forwarded.Set("Last", strconv.Itoa(int(dispatch.LastEvent)))
	forwarded.Set("Inputs", fmt.Sprint(dispatch.Inputs))
	forwarded.Set("Upstream", string(dispatch.Upstream))
	return forwarded
}

func (codec) Reply(_ int, header http.Header) wire.Reply {
	return wire.Reply{
		Request: ident.RequestID(header.Get("Id")),
		Sealed:  header.Get("Seal") != "",
		NotRun:  header.Get("Not-Run") != "",
	}
}

func (codec) RetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (codec) Echo(header http.Header, request ident.RequestID) {
	header.Set("Id", string(request))
}

// stager prepares results at once, or fails.
type stager struct {
	mu       sync.Mutex
	err      error
	upstream ident.UpstreamID // that it proposes
	prepared int
	released int
	reports  []coordinator.Report
}

func (s *stager) Report(to ident.HostID, report coordinator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Pace = 0
	if to == "coordinator" {
		s.reports = append(s.reports, report)
	}
}

func (s *stager) Prepare(context.Context, coordinator.Job) (coordinator.Prepared, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return coordinator.Prepared{}, s.err
	}
	s.prepared++
	var once sync.Once
	return coordinator.Prepared{
		Inputs:      []wire.Handle{wire.Handle(fmt.Sprintf("h%d", s.prepared))},
		Upstream:    s.upstream,
		Coordinator: "coordinator",
		Release: func() {
			once.Do(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.released++
			})
		},
	}, nil
}

// act is what an upstream does with a request: it writes an answer, and the
// connection is reset at the end if reset is set.
type act struct {
	text   string
	wait   time.Duration // before the text
	reset  bool
	hang   bool // the connection stays open without an end of the answer
	forget bool // the connection is reset when something else is sent on it
	moved  bool // the connection leads to another upstream from then on
}

// upstreams are those of one service; they act in turn as requests arrive.
type upstreams struct {
	mu   sync.Mutex
	acts []act
	seen []string // requests as an upstream gets them
	to   []string // the upstreams that they are meant for

	listener net.Listener
}

// close lets nobody connect any more.
func (u *upstreams) close() { _ = u.listener.Close() }

func (u *upstreams) next(r *http.Request, body string) (act, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, fmt.Sprintf("%s %s %s last=%s inputs=%s %s", r.Method, r.RequestURI, r.Header.Get("Organisation"), r.Header.Get("Last"), r.Header.Get("Inputs"), body))
	u.to = append(u.to, r.Header.Get("Upstream"))
	if len(u.seen) > len(u.acts) {
		return act{}, false
	}
	return u.acts[len(u.seen)-1], true
}

func (u *upstreams) requests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.seen...)
}

func (u *upstreams) serve(t *testing.T) ident.Address {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	u.listener = listener
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				u.handle(conn.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return ident.Address(listener.Addr().String())
}

func (u *upstreams) handle(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a, ok := u.next(r, string(body))
	if !ok {
		return
	}
	time.Sleep(a.wait)
	_, _ = io.WriteString(conn, strings.ReplaceAll(a.text, "$ID", r.Header.Get("Id")))
	if a.hang {
		_, _ = conn.Read(make([]byte, 1)) // until the other side closes
	}
	if a.forget {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.SetLinger(0)
	}
	if a.moved {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}
	if a.reset {
		time.Sleep(20 * time.Millisecond) // the bytes before it arrive
		_ = conn.SetLinger(0)
	}
}

func ok(body string) act {
	return act{
		text: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body),
	}
}

func status(code int, lines string) act {
	return act{
		text: fmt.Sprintf("HTTP/1.1 %d X\r\nId: $ID\r\n%sConnection: close\r\nContent-Length: 5\r\n\r\nerror", code, lines),
	}
}

// events returns the chunks of some events of a stream.
func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	return b.String()
}

// fixture is a handler with a table of routes.
type fixture struct {
	upstreams *upstreams
	stager    *stager
	server    *httptest.Server
	holder    *routes.Holder
	strikes   atomic.Int64
}

// start has four upstreams, so that requests can be sent on.
func start(t *testing.T, acts ...act) *fixture {
	return startWith(t, 4, acts...)
}

func startWith(t *testing.T, count int, acts ...act) *fixture {
	f := &fixture{
		upstreams: &upstreams{
			acts: acts,
		},
		stager: &stager{},
		holder: &routes.Holder{},
	}
	address := f.upstreams.serve(t)
	directory := fleet.New()
	for i := range count {
		directory.Put(fleet.Registration{
			Upstream: fleet.Upstream{
				ID:      ident.UpstreamID(fmt.Sprintf("u%d", i)),
				Service: "s",
				Address: address,
				Domain:  "here",
				State:   fleet.Ready,
			},
			Version: 1,
		})
	}
	f.holder.Offer(table())
	client := upstreamhttp.New(upstreamhttp.Config{
		Codec:  codec{},
		Dial:   upstreamhttp.Dial,
		Now:    time.Now,
		Opened: func() {},
	})
	handler := forward.New(forward.Config{
		Codec:      codec{},
		Routes:     f.holder,
		Fleet:      directory,
		Client:     client,
		Chooser:    placement.New(time.Now, rand.Float64),
		Popularity: placement.NewPopularity(),
		Poison:     poison.NewTable(time.Now),
		Struck:     func(poison.Fingerprint, int) { f.strikes.Add(1) },
		Meter:      meter.New(),
		Budget: budget.New(budget.Config{
			Share:     0.2,
			Allowance: 100,
			Window:    10 * time.Second,
			Hosts:     func() int { return 1 },
		}),
		Stager:   f.stager,
		Domain:   "here",
		Hosts:    func() int { return 1 },
		Stopping: func() bool { return false },
		Replica:  func() (kv.Cursor, time.Duration) { return 1, 0 },
		Now:      time.Now,
		Log:      zerolog.Nop(),
	})
	f.server = httptest.NewServer(handler)
	f.server.Client().CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	t.Cleanup(func() {
		f.server.Close()
		client.Close()
	})
	return f
}

func table() *routes.Table {
	route := func(prefix string, kind routes.Kind) *routes.Route {
		return &routes.Route{
			Name:      prefix,
			Host:      "a.example",
			Prefix:    prefix,
			Kind:      kind,
			Attempts:  2,
			Timeout:   2 * time.Second,
			Objective: time.Second,
			Shares: []routes.Share{{
				Service: "s",
				Weight:  1,
			}},
		}
	}
	resumable := route("/resumable/", routes.Stream)
	resumable.Resumable = true
	staged := route("/staged/", routes.Stream)
	staged.Resumable = true
	staged.Stages = []routes.Stage{{
		Service: "t",
	}}
	public := route("/public/", routes.Safe)
	public.Public = true
	return routes.New(1, routes.Limits{
		Body: 1000,
	}, []*routes.Route{
		route("/safe/", routes.Safe),
		route("/unsafe/", routes.Unsafe),
		route("/stream/", routes.Stream),
		resumable,
		staged,
		public,
	}, []*routes.Service{{
		Name: "s",
	}}, []*routes.Organisation{{
		Name: "o",
		Keys: []routes.Key{"k"},
	}})
}

// got is what a caller gets.
type got struct {
	status int
	sealed bool
	after  bool // when to come back
	body   string
	broken bool // the answer is not complete
}

func (f *fixture) ask(c *qt.C, path string, header map[string]string) got {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, f.server.URL+path, strings.NewReader(header["body"]))
	c.Assert(err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", "k")
	for name, value := range header {
		if value == "" {
			request.Header.Del(name)
		} else if name != "body" {
			request.Header.Set(name, value)
		}
	}
	response, err := f.server.Client().Do(request)
	if err != nil {
		return got{
			broken: true,
		}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusBadRequest {
		c.Check(response.Header.Get("Id"), qt.Equals, request.Header.Get("Id"))
	}
	g := got{
		status: response.StatusCode,
		sealed: response.Header.Get("Seal") != "",
		after:  response.Header.Get("Retry-After") != "",
		broken: err != nil,
	}
	if g.sealed {
		g.body = string(body)
	}
	return g
}
