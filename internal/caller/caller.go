package caller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
	"github.com/nutmegshift/nutmegshift/outcome"
)

// retryAfterSeconds is the Retry-After header field of responses with status 503.
const retryAfterSeconds = "1"

// Config configures the handler that New returns.
type Config struct {
	Server   Server
	Services func() *document.Set // returns the current service documents
	NewID    func() ident.RequestID
	Now      func() time.Time
	MaxBody  int64          // maximum size of a request body in bytes; a route may set a lower one
	Memory   *memory.Budget // of the bodies of all requests
	Log      zerolog.Logger
}

// runState states in an error body whether the request ran: false, true or "unknown".
type runState any

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Reason  outcome.Reason  `json:"reason"`
	Message string          `json:"message"`
	Request ident.RequestID `json:"request"`
	Ran     runState        `json:"ran"`
}

type handler struct {
	cfg Config
}

// New returns the HTTP handler for the requests of callers.
func New(cfg Config) http.Handler {
	h := &handler{
		cfg: cfg,
	}
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", h.serve)
	return e
}

func (h *handler) serve(c echo.Context) error {
	id := h.cfg.NewID()
	c.Response().Header().Set("X-Request-Id", string(id))
	lease := h.cfg.Memory.Lease(memory.Callers)
	defer lease.Release()
	request, rejected := h.readRequest(c, id, lease)
	if rejected != nil {
		reason := outcome.Invalid
		if rejected.status == http.StatusServiceUnavailable {
			reason = rejected.reason
			c.Response().Header().Set("Retry-After", retryAfterSeconds)
		}
		return c.JSON(rejected.status, newErrorBody(id, reason, rejected.message, false))
	}
	sink := &stream{
		request: id,
		writer:  c.Response(),
	}
	result := h.cfg.Server.Serve(c.Request().Context(), request, sink)
	if err := h.writeOutcome(c, request, sink, result); err != nil {
		h.cfg.Log.Debug().Err(err).Str("request", string(id)).Msg("caller: failed to write the whole response")
	}
	return nil
}

// readRequest reads and checks the whole request, including its body.
func (h *handler) readRequest(c echo.Context, id ident.RequestID, lease *memory.Lease) (Request, *rejection) {
	arrived := h.cfg.Now()
	in := c.Request()
	service, route, rejected := findRoute(h.cfg.Services(), in.Method, in.URL.Path)
	if rejected != nil {
		return Request{}, rejected
	}
	limit := h.cfg.MaxBody
	if route.MaxBody > 0 && route.MaxBody < limit {
		limit = route.MaxBody
	}
	body, err := lease.ReadAll(in.Context(), http.MaxBytesReader(c.Response(), in.Body, limit), in.ContentLength, limit)
	if err != nil {
		c.Response().Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return Request{}, &rejection{
			status:  http.StatusServiceUnavailable,
			reason:  outcome.Overload,
			message: "no memory is left for the body",
		}
	case errors.As(err, &tooLarge), errors.Is(err, memory.ErrTooLarge):
		return Request{}, &rejection{
			status:  http.StatusRequestEntityTooLarge,
			message: fmt.Sprintf("body is larger than %d bytes", limit),
		}
	case err != nil:
		return Request{}, &rejection{
			status:  http.StatusBadRequest,
			message: "body was not received: " + err.Error(),
		}
	}
	path := route.Path
	if in.URL.RawQuery != "" {
		path += "?" + in.URL.RawQuery
	}
	request := Request{
		ID:       id,
		Service:  service,
		Route:    route,
		Method:   in.Method,
		Path:     path,
		Body:     body,
		Arrived:  arrived,
		Deadline: arrived.Add(service.Deadline),
	}
	return request, parse(&request, in.Header)
}

func (h *handler) writeOutcome(c echo.Context, request Request, sink *stream, result outcome.Outcome) error {
	status, body := http.StatusInternalServerError, errorBody{}
	switch o := result.(type) {
	case outcome.Answered:
		if o.Stream {
			return sink.finish()
		}
		return c.Blob(o.Status, o.Type, o.Body)
	case outcome.Refused:
		status = refusedStatus(o.Reason)
		body = newErrorBody(request.ID, o.Reason, o.Message, false)
		if status == http.StatusServiceUnavailable {
			c.Response().Header().Set("Retry-After", retryAfterSeconds)
		}
	case outcome.Failed:
		status = failedStatus(o.Reason)
		body = newErrorBody(request.ID, o.Reason, o.Message, true)
	case outcome.Unknown:
		status = http.StatusConflict
		body = newErrorBody(request.ID, o.Reason, o.Message, "unknown")
	}
	if sink.started {
		return sink.fail(body)
	}
	return c.JSON(status, body)
}

func newErrorBody(id ident.RequestID, reason outcome.Reason, message string, state runState) errorBody {
	return errorBody{
		Error: errorDetail{
			Reason:  reason,
			Message: message,
			Request: id,
			Ran:     state,
		},
	}
}

func refusedStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.Quarantined:
		return http.StatusUnprocessableEntity
	case outcome.Invalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func failedStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.Deadline:
		return http.StatusGatewayTimeout
	case outcome.NotKept:
		return http.StatusConflict
	default:
		return http.StatusBadGateway
	}
}
