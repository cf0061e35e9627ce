package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// retryTime is when a caller may come back to a host that lacks what it needs,
	// such as a routing table or an upstream.
	retryTime = time.Second
	// fullTime is when a caller may come back after all upstreams were full; their
	// requests take a fraction of it.
	fullTime = 500 * time.Millisecond
)

// Stager runs the stages of requests and chooses where they run afterwards.
type Stager interface {
	Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error)
	// Report tells a coordinator how a request that it placed has ended.
	Report(to ident.HostID, report coordinator.Report)
}

// Config holds the dependencies of a Handler.
type Config struct {
	Codec      wire.Codec
	Routes     *routes.Holder
	Fleet      *fleet.Directory
	Client     *upstreamhttp.Client
	Chooser    *placement.Chooser
	Popularity *placement.Popularity
	Budget     *budget.Budget
	Poison     *poison.Table
	Struck     func(fingerprint poison.Fingerprint, strikes int) // tells other hosts
	Stager     Stager
	Meter      *meter.Meter
	Domain     ident.FailureDomain
	Hosts      func() int // live hosts
	Stopping   func() bool
	Replica    func() (kv.Cursor, time.Duration) // what is known of the store, and how old that is
	Now        func() time.Time
	Log        zerolog.Logger
}

// Handler serves the port for callers.
type Handler struct {
	config Config
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{
		config: config,
	}
}

// exchange is one request of a caller.
type exchange struct {
	*Handler
	ctx          context.Context // ends when the caller leaves and at the deadline
	writer       http.ResponseWriter
	request      *http.Request
	head         wire.Head
	target       string // path and query, as the caller wrote them
	body         []byte
	table        *routes.Table
	route        *routes.Route
	service      *routes.Service
	organisation *routes.Organisation // nil on a public route
	arrived      time.Time
	deadline     time.Time              // of the caller or the route, whichever is earlier
	shared       placement.SharedPrefix // what the prompt shares; nothing before it is known
	proposal     *proposal              // where a coordinator would run the request; nil if it was carried out or refused
	tried        []ident.UpstreamID
	ran          int // upstreams that may have run the request
	record       record
	log          zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{
		Handler: h,
		ctx:     r.Context(),
		writer:  w,
		request: r,
		arrived: h.config.Now(),
	}
	defer e.close()
	if !e.accept() {
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	e.ctx = ctx
	if e.route.Kind == routes.Stream {
		e.stream()
		return
	}
	e.plain()
}

// accept checks a request and answers it if it cannot be forwarded.
func (e *exchange) accept() bool {
	if e.config.Stopping() {
		e.writer.Header().Set("Connection", "close")
	}
	head, err := e.config.Codec.Head(e.request.Header)
	e.log = e.config.Log.With().Str("request", string(head.Request)).Logger()
	if err != nil {
		e.reject(http.StatusBadRequest, err.Error())
		return false
	}
	if callerhttp.Ambiguous(e.request) {
		e.writer.Header().Set("Connection", "close")
		e.reject(http.StatusBadRequest, "message states both a length and an encoding in chunks")
		return false
	}
	e.head = head
	e.config.Codec.Echo(e.writer.Header(), head.Request)
	if head.Request == "" {
		e.reject(http.StatusBadRequest, "request has no id")
		return false
	}
	e.table = e.config.Routes.Table()
	if e.table == nil {
		e.refuse("no routing table is known", retryTime)
		return false
	}
	return e.admit() && e.receive() && e.harmless()
}

// admit finds the route and the organisation.
func (e *exchange) admit() bool {
	e.target = e.request.RequestURI
	if !strings.HasPrefix(e.target, "/") {
		e.target = e.request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(e.target, "?")
	e.route = e.table.Match(e.request.Host, path)
	if e.route == nil {
		e.reject(http.StatusNotFound, "no route")
		return false
	}
	if !e.route.Public && e.table.Restricted() {
		e.organisation = e.table.Admit(e.head.Key)
		if e.organisation == nil {
			e.reject(http.StatusUnauthorized, "unknown key")
			return false
		}
	}
	patience := e.route.Timeout
	if e.head.Timeout > 0 && (patience <= 0 || e.head.Timeout < patience) {
		patience = e.head.Timeout
	}
	e.deadline = e.arrived.Add(patience)
	e.service = e.table.Service(e.route.Pick(e.share()))
	if e.service == nil {
		e.refuse("service is not in the routing table", retryTime)
		return false
	}
	return true
}

// share spreads requests over the services of a route, the same way on all hosts.
func (e *exchange) share() float64 {
	return float64(hash(string(e.head.Request))>>11) / (1 << 53)
}

// receive reads the body.
func (e *exchange) receive() bool {
	limit := e.table.Limits.Body
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		e.reject(http.StatusRequestEntityTooLarge, "body is too large")
		return false
	case err != nil:
		e.reject(http.StatusBadRequest, "body was not received: "+err.Error())
		return false
	}
	e.body = body
	return true
}

// harmless refuses a request that has crashed too many upstreams.
func (e *exchange) harmless() bool {
	if e.config.Poison.Empty() || !e.config.Poison.Blocked(e.fingerprint()) {
		return true
	}
	e.refuse("request has crashed several upstreams", retryTime)
	return false
}

func (e *exchange) fingerprint() poison.Fingerprint {
	return poison.NewFingerprint(e.organisationID(), e.target, e.body)
}

func (e *exchange) organisationID() ident.OrganisationID {
	if e.organisation == nil {
		return ""
	}
	return e.organisation.Name
}

func (e *exchange) age() time.Duration {
	return e.config.Now().Sub(e.arrived)
}
