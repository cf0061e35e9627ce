package forward

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/hedge"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// defaultRetryAfter is the Retry-After time if the host lacks a resource, such as a
	// routing table or an upstream.
	defaultRetryAfter = time.Second
	// tableWait is how long a request waits for the first routing table. A host that has
	// just started obtains it within this time unless the store and the other hosts are
	// unavailable; a caller that is refused comes back after defaultRetryAfter only.
	tableWait = 300 * time.Millisecond
	// fullRetryAfter is the Retry-After time if all upstreams were full. Requests take a
	// fraction of this time, so some will have ended by then.
	fullRetryAfter = 500 * time.Millisecond
	// writeGrace is the time after the deadline of a request in which its caller may still
	// read the response.
	writeGrace = 3 * time.Second
	// stoppingRetryAfter is the Retry-After time if the host stops. A caller that tries
	// again reaches another host.
	stoppingRetryAfter = 50 * time.Millisecond
)

// reasonBlocked is the reason of refusals of requests that crash upstreams.
const reasonBlocked = "requests like this one have crashed several upstreams"

// errBlocked is the cause of the end of a request that has been blocked after it arrived.
const errBlocked = errors.ConstError(reasonBlocked)

// Stager runs the stages of requests and proposes the upstreams that run the requests
// afterwards.
type Stager interface {
	// Prepare runs the stages of a job and waits for their results.
	Prepare(ctx context.Context, job coordinator.Job) (coordinator.Prepared, error)
	// Report tells a coordinator the outcome of a request that it placed.
	Report(to ident.HostID, report coordinator.Report)
}

// Config holds the dependencies of a Handler.
type Config struct {
	Codec      wire.Codec
	Routes     *routes.Holder
	Fleet      *fleet.Directory
	Pauses     *fleet.Pauses // upstreams that have asked this host for no requests
	Client     *upstreamhttp.Client
	Chooser    *placement.Chooser
	Popularity *placement.Popularity
	Budget     *budget.Budget
	Hedges     *hedge.Policy
	Poison     *poison.Table
	Streams    *resumption.Streams
	Memory     *memory.Budget // of the bodies of requests and responses
	Stager     Stager
	Meter      *meter.Meter
	Domain     ident.FailureDomain
	Hosts      func() int                        // returns the number of live hosts
	Stopping   func() bool                       // reports whether the host is shutting down
	Replica    func() (kv.Cursor, time.Duration) // returns the cursor of the known store content and its age
	Now        func() time.Time
	Log        zerolog.Logger
}

// Handler serves callers' requests; it is safe for concurrent use.
type Handler struct {
	config   Config
	shutdown *shutdown
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{
		config:   config,
		shutdown: newShutdown(),
	}
}

// exchange is the handling of one request of a caller.
type exchange struct {
	*Handler
	ctx          context.Context // done at the deadline or when the caller closes the connection
	writer       http.ResponseWriter
	request      *http.Request
	head         wire.Head
	target       string // path and query, as the caller sent them
	body         []byte
	bodyLease    *memory.Lease
	table        *routes.Table
	route        *routes.Route
	service      *routes.Service
	organisation *routes.Organisation // nil on a public route
	arrived      time.Time
	deadline     time.Time              // the earlier one of the caller's and the route's
	sharedPrefix placement.SharedPrefix // shared prefix of the prompt; zero until affinity has been called
	proposal     *proposal              // proposed upstream; nil if there is none or its outcome has been reported
	identity     *poison.Request
	latest       *poison.Attempt // at an upstream; nil before the first
	tried        []ident.UpstreamID
	ran          int             // upstreams that may have run the request
	release      fleet.Release   // that has begun the stream; empty if any may run it
	run          *resumption.Run // of a stream
	progress     streamProgress  // zero if the response is not a stream
	record       record
	log          zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{
		Handler:   h,
		ctx:       r.Context(),
		writer:    w,
		request:   r,
		bodyLease: h.config.Memory.Lease(memory.Callers),
		arrived:   h.config.Now(),
	}
	defer e.finish()
	defer e.bodyLease.Release()
	if !e.accept() {
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer h.config.Poison.Finish(e.identity)
	defer h.config.Poison.Watch(e.identity, func() { end(errBlocked) })()
	defer cancelAt(h.shutdown.running, end)()
	e.ctx = ctx
	e.limitWriting()
	if after := e.allPaused(); after > 0 {
		e.refuse(reasonPaused, after)
		return
	}
	if e.route.Kind == routes.Stream {
		if e.resume() {
			e.stream()
		}
		return
	}
	e.plain()
}

// limitWriting limits the time in which the caller has to read its response, so that one
// that does not read keeps no memory and no upstream. The server sets another limit for the
// next request on the connection.
func (e *exchange) limitWriting() {
	if err := http.NewResponseController(e.writer).SetWriteDeadline(e.deadline.Add(writeGrace)); err != nil {
		e.log.Debug().Err(err).Msg("forward: writing the response has no time limit")
	}
}

// accept validates and reads a request. It returns false after sending an error
// response if the request cannot be forwarded.
func (e *exchange) accept() bool {
	head, err := e.config.Codec.Head(e.request.Header)
	e.log = e.config.Log.With().Str("request", string(head.Request)).Logger()
	if err != nil {
		e.reject(http.StatusBadRequest, err.Error())
		return false
	}
	e.head = head
	e.config.Codec.Echo(e.writer.Header(), head.Request)
	if head.Request == "" {
		e.reject(http.StatusBadRequest, "request has no id")
		return false
	}
	e.table = e.config.Routes.Await(e.ctx, tableWait)
	if e.table == nil {
		e.refuse("no routing table is known", defaultRetryAfter)
		return false
	}
	return e.resolveRoute() && e.readBody() && e.checkShutdown() && e.checkPoison()
}

// resolveRoute sets the route, organisation, deadline and service of the request. It
// returns false after sending an error response if one of them is unknown.
func (e *exchange) resolveRoute() bool {
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
	if !e.route.Public && e.config.Routes.RequiresKey(e.table) {
		e.organisation = e.table.Organisation(e.head.Key)
		if e.organisation == nil {
			e.reject(http.StatusUnauthorized, "unknown key")
			return false
		}
	}
	timeout := e.route.Timeout
	if e.head.Timeout > 0 && (timeout <= 0 || e.head.Timeout < timeout) {
		timeout = e.head.Timeout
	}
	e.deadline = e.arrived.Add(timeout)
	e.service = e.table.Service(e.route.Pick(e.routeSample()))
	if e.service == nil {
		e.refuse("service is not in the routing table", defaultRetryAfter)
		return false
	}
	return true
}

// routeSample returns a number in [0, 1) that selects the service within a route. It
// is a hash of a request id, so that all hosts select the same service, also for a stream
// that is taken up.
func (e *exchange) routeSample() float64 {
	return float64(hash(string(e.origin()))>>11) / (1 << 53)
}

// readBody reads the request body. It returns false after sending an error response if
// the body is too large or incomplete, has not arrived by the deadline, or if there is no
// memory for it.
func (e *exchange) readBody() bool {
	if e.request.ContentLength == 0 {
		return true
	}
	connection := http.NewResponseController(e.writer)
	if err := connection.SetReadDeadline(e.deadline); err != nil {
		e.log.Debug().Err(err).Msg("forward: reading the body has no time limit")
	}
	limit := e.table.Limits.Body
	reader := http.MaxBytesReader(e.writer, e.request.Body, limit)
	body, err := e.bodyLease.ReadAll(e.ctx, reader, e.request.ContentLength, limit)
	if err != nil {
		e.writer.Header().Set("Connection", "close")
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, memory.ErrTooLarge):
		e.reject(http.StatusRequestEntityTooLarge, "body is too large")
	case errors.Is(err, memory.ErrExhausted):
		e.refuse("no memory is left for the body", fullRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reject(http.StatusRequestTimeout, "body was not received by the deadline")
	case err != nil:
		e.reject(http.StatusBadRequest, "body was not received: "+err.Error())
	}
	if err != nil {
		return false
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil {
		e.log.Debug().Err(err).Msg("forward: time limit of the body was not lifted")
	}
	e.body = body
	return true
}

// checkPoison refuses a request that crashes upstreams, and reports whether the request
// may run.
func (e *exchange) checkPoison() bool {
	e.identity = poison.NewRequest(e.organisationID(), e.target, e.body, e.head.Prompt.Shared())
	after, blocked := e.config.Poison.Blocked(e.identity)
	switch {
	case blocked:
		e.refuse(reasonBlocked, after)
	case e.identity.Probes():
		e.logParts(e.log.Info()).Msg("forward: sent although requests like it are blocked, to find out whether they crash upstreams")
	}
	return !blocked
}

// blocked reports whether the request has been found to crash upstreams since it
// arrived.
func (e *exchange) blocked() bool {
	return errors.Is(context.Cause(e.ctx), errBlocked)
}

func (e *exchange) organisationID() ident.OrganisationID {
	if e.organisation == nil {
		return ""
	}
	return e.organisation.Name
}

// age returns the time since the request arrived.
func (e *exchange) age() time.Duration {
	return e.config.Now().Sub(e.arrived)
}
