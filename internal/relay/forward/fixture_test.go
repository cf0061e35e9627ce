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
	"github.com/nutmegshift/nutmegshift/internal/relay/hedge"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/standin/tcp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
	"github.com/nutmegshift/nutmegshift/peer"
)

// codec implements a minimal protocol for these tests.
type codec struct {
	wire.Codec
}

func (codec) Head(header http.Header) (wire.Head, error) {
	head := wire.Head{
		Request: ident.RequestID(header.Get("Id")),
		Key:     routes.Key(header.Get("Key")),
	}
	if text := header.Get("Patience"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return wire.Head{}, err
		}
		head.Timeout = timeout
	}
	if text := header.Get("Last"); text != "" {
		last, err := strconv.Atoi(text)
		if err != nil {
			return wire.Head{}, err
		}
		head.LastEvent = wire.EventID(last)
	}
	head.Origin = ident.RequestID(header.Get("Origin"))
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
	pause, _ := time.ParseDuration(header.Get("Pause")) // 0 if absent
	return wire.Reply{
		Request:  ident.RequestID(header.Get("Id")),
		Sealed:   header.Get("Seal") != "",
		NotRun:   header.Get("Not-Run") != "",
		Draining: header.Get("Draining") != "",
		Pause:    pause,
	}
}

func (codec) RetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", fmt.Sprint(after.Seconds()))
}

func (codec) Echo(header http.Header, request ident.RequestID) {
	header.Set("Id", string(request))
}

// stager returns results immediately, or an error if err is set.
type stager struct {
	mu       sync.Mutex
	err      error
	upstream ident.UpstreamID // proposed for every request
	contests bool             // another coordinator may have proposed one too
	prepared int
	released int
	dropped  int // results whose context ended before their release, which drops them
	reports  []coordinator.Report

	organisation ident.OrganisationID // of the last job
}

func (s *stager) Report(to ident.HostID, report coordinator.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Pace = 0
	if to == "coordinator" {
		s.reports = append(s.reports, report)
	}
}

func (s *stager) Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.organisation = job.Organisation
	if s.err != nil {
		return coordinator.Prepared{}, s.err
	}
	s.prepared++
	var once sync.Once
	return coordinator.Prepared{
		Inputs:      []wire.Handle{wire.Handle(fmt.Sprintf("h%d", s.prepared))},
		Upstream:    s.upstream,
		Coordinator: "coordinator",
		Contested:   s.contests,
		Release: func() {
			once.Do(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.released++
				if ctx.Err() != nil {
					s.dropped++
				}
			})
		},
	}, nil
}

// scriptedResponse is the response of an upstream to one request.
type scriptedResponse struct {
	text         string
	before       func()        // if not nil, called before the text is written
	delay        time.Duration // before the text is written
	reset        bool
	hang         bool // the connection stays open although the response is incomplete
	crash        bool // all upstreams refuse connections from then on
	resetOnReuse bool // the connection is reset when another request is sent on it
	movedOnReuse bool // another upstream responds to the next request on the connection
	// repeatOnReuse is written, if not empty, before the response to the next request on
	// the connection.
	repeatOnReuse string
}

// upstreams are the upstreams of one service. They share a listener and send the
// scripted responses in the order in which requests arrive.
type upstreams struct {
	mu        sync.Mutex
	responses []scriptedResponse
	received  []string // requests as they arrived at an upstream
	targets   []string // upstreams to which the requests were sent

	server *tcp.Server
}

// close makes the upstreams refuse new connections.
func (u *upstreams) close() { u.server.Refuse() }

func (u *upstreams) nextResponse(r *http.Request, body string) (scriptedResponse, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, fmt.Sprintf("%s %s %s last=%s inputs=%s %s", r.Method, r.RequestURI, r.Header.Get("Organisation"), r.Header.Get("Last"), r.Header.Get("Inputs"), body))
	u.targets = append(u.targets, r.Header.Get("Upstream"))
	if len(u.received) > len(u.responses) {
		return scriptedResponse{}, false
	}
	return u.responses[len(u.received)-1], true
}

func (u *upstreams) requests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.received...)
}

func (u *upstreams) serve(t *testing.T) ident.Address {
	u.server = tcp.Serve(t, u.handle)
	return u.server.Address()
}

func (u *upstreams) handle(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for repeat := ""; ; {
		response, ok := u.respond(conn, reader, repeat)
		if !ok || response.repeatOnReuse == "" {
			return
		}
		repeat = response.repeatOnReuse
	}
}

// respond reads a request and writes the text repeat and then the scripted response.
func (u *upstreams) respond(conn *net.TCPConn, reader *bufio.Reader, repeat string) (scriptedResponse, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return scriptedResponse{}, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return scriptedResponse{}, false
	}
	response, ok := u.nextResponse(r, string(body))
	if !ok {
		return scriptedResponse{}, false
	}
	_, _ = io.WriteString(conn, repeat)
	if response.before != nil {
		response.before()
	}
	time.Sleep(response.delay)
	_, _ = io.WriteString(conn, strings.ReplaceAll(response.text, "$ID", r.Header.Get("Id")))
	if response.crash {
		u.close()
	}
	if response.hang {
		_, _ = conn.Read(make([]byte, 1)) // until the peer closes the connection
	}
	if response.resetOnReuse {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.SetLinger(0)
	}
	if response.movedOnReuse {
		if r, err := http.ReadRequest(reader); err == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		}
	}
	if response.reset {
		time.Sleep(20 * time.Millisecond) // a reset sooner could discard bytes that were sent before it
		_ = conn.SetLinger(0)
	}
	return response, true
}

func ok(body string) scriptedResponse {
	return scriptedResponse{
		text: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body),
	}
}

func status(code int, lines string) scriptedResponse {
	return scriptedResponse{
		text: fmt.Sprintf("HTTP/1.1 %03d X\r\nId: $ID\r\n%sConnection: close\r\nContent-Length: 5\r\n\r\nerror", code, lines),
	}
}

// events returns the HTTP chunks of the events with the given ids.
func events(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	return b.String()
}

// fixture is a server with a Handler and the upstreams of its service.
type fixture struct {
	upstreams *upstreams
	stager    *stager
	handler   *forward.Handler
	server    *httptest.Server
	holder    *routes.Holder
	directory *fleet.Directory
	releases  *resumption.Releases
	streams   *resumption.Streams
	verify    func() error // of the known fleet; nil if it is complete
	suspects  atomic.Int64 // in reports of crashes
	elapsed   atomic.Int64 // added to the clock of the chooser of upstreams, in nanoseconds
}

// start starts a fixture with four upstreams, so that requests can be retried.
func start(t *testing.T, responses ...scriptedResponse) *fixture {
	return startN(t, 4, responses...)
}

// startN starts a fixture with a number of upstreams.
func startN(t *testing.T, count int, responses ...scriptedResponse) *fixture {
	return startWith(t, count, 0, responses...)
}

// startWith starts a fixture with a number of upstreams and a share of hedges.
func startWith(t *testing.T, count int, hedges float64, responses ...scriptedResponse) *fixture {
	return startHost(t, memkv.New(time.Now), make([]fleet.Release, count), hedges, responses...)
}

// startHost starts a fixture with a store, and an upstream for each of the given releases.
func startHost(t *testing.T, store kv.Store, software []fleet.Release, hedges float64, responses ...scriptedResponse) *fixture {
	f := &fixture{
		upstreams: &upstreams{
			responses: responses,
		},
		stager:    &stager{},
		holder:    &routes.Holder{},
		directory: fleet.New(),
	}
	address := f.upstreams.serve(t)
	for i, release := range software {
		upstream := registration(i, address, 1)
		upstream.Upstream.Release = release
		f.directory.Put(upstream)
	}
	f.holder.Offer(table())
	f.releases = resumption.NewReleases(f.directory.Snapshot, func() bool { return true }, time.Now)
	f.streams = resumption.NewStreams(f.releases, resumption.NewRecords(store, func() bool { return true }, zerolog.Nop()), func(context.Context) error {
		if f.verify == nil {
			return nil
		}
		return f.verify()
	}, time.Now)
	pauses := fleet.NewPauses(time.Now, rand.Float64)
	client := upstreamhttp.New(upstreamhttp.Config{
		Codec:  codec{},
		Dial:   upstreamhttp.Dial,
		Now:    time.Now,
		Opened: func() {},
		Admit:  pauses.Remaining,
		Observe: func(upstream fleet.Upstream, reply wire.Reply) {
			if reply.Pause > 0 {
				pauses.Add(upstream, reply.Pause)
			}
			if reply.Draining {
				f.directory.MarkDraining(upstream.ID, upstream.Started, time.Now())
			}
		},
	})
	f.handler = forward.New(forward.Config{
		Codec:      codec{},
		Routes:     f.holder,
		Fleet:      f.directory,
		Pauses:     pauses,
		Client:     client,
		Chooser:    placement.New(func() time.Time { return time.Now().Add(time.Duration(f.elapsed.Load())) }, rand.Float64),
		Popularity: placement.NewPopularity(),
		Hedges: hedge.New(hedge.Config{
			Share: hedges,
			Now:   time.Now,
		}),
		Poison: poison.NewTable(poison.Config{
			Host:      "here",
			Now:       time.Now,
			OnReport:  func(report peer.CrashReported) { f.suspects.Add(int64(len(report.Suspects))) },
			OnSound:   func(poison.Fingerprint) {},
			OnVerdict: func([]poison.Pattern) {},
			MayProbe:  func() bool { return false },
		}),
		Streams: f.streams,
		Memory:  memory.New(64 << 20),
		Meter:   meter.New(),
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
	f.server = httptest.NewServer(f.handler)
	f.server.Client().CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	t.Cleanup(func() {
		f.server.Close()
		client.Close()
	})
	return f
}

// registration returns the registration of an upstream whose process started at the given
// version of the entry.
func registration(number int, address ident.Address, version kv.Version) fleet.Registration {
	return fleet.Registration{
		Upstream: fleet.Upstream{
			ID:      ident.UpstreamID(fmt.Sprintf("u%d", number)),
			Service: "s",
			Address: address,
			Domain:  "here",
			State:   fleet.Ready,
			Started: ident.Incarnation(version),
		},
		Version: version,
	}
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

// callerResponse is the response that a caller receives.
type callerResponse struct {
	status     int
	sealed     bool
	retryAfter bool // has a Retry-After header
	body       string
	broken     bool // the response is incomplete
}

// postRefused sends a request that is refused, and returns the Retry-After time.
func (f *fixture) postRefused(c *qt.C, path string, header map[string]string) time.Duration {
	response, err := f.server.Client().Do(f.request(c, path, header))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	return time.Duration(after * float64(time.Second))
}

// request returns a request; header entries override the defaults, and "body" sets the
// body.
func (f *fixture) request(c *qt.C, path string, header map[string]string) *http.Request {
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
	return request
}

// post sends a request and returns the response.
func (f *fixture) post(c *qt.C, path string, header map[string]string) callerResponse {
	request := f.request(c, path, header)
	response, err := f.server.Client().Do(request)
	if err != nil {
		return callerResponse{
			broken: true,
		}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusBadRequest {
		c.Check(response.Header.Get("Id"), qt.Equals, request.Header.Get("Id"))
	}
	received := callerResponse{
		status:     response.StatusCode,
		sealed:     response.Header.Get("Seal") != "",
		retryAfter: response.Header.Get("Retry-After") != "",
		broken:     err != nil,
	}
	if received.sealed {
		received.body = string(body)
	}
	return received
}
