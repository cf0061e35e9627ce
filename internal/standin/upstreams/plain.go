package upstreams

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/ident"
)

// PlainConfig holds the settings of a Plain.
type PlainConfig struct {
	Common
	ServiceTime time.Duration // service time of one request
}

// Execution is one entry of the execution log of a plain service.
type Execution struct {
	Attempt ident.AttemptID `json:"attempt"`
	Method  string          `json:"method"`
	URI     string          `json:"uri"` // path and query
	Body    string          `json:"body"`
	Time    time.Time       `json:"time"`
}

// Plain is one upstream of a plain business service. It completes a request
// that it has started even if the client disconnects, as a business service
// would.
type Plain struct {
	*base
	config PlainConfig

	mu         sync.Mutex
	executions []Execution
}

var _ Upstream = (*Plain)(nil)

// NewPlain returns an upstream that serves any method and path.
func NewPlain(config PlainConfig) *Plain {
	p := &Plain{
		base:   newBase(config.Common),
		config: config,
	}
	p.echo.GET("/executions", p.getExecutions)
	p.echo.Any("/*", p.handle)
	return p
}

// PlainOutput returns the output of a plain service for a request.
func PlainOutput(method, uri, body string) string {
	return "plain(" + method + " " + uri + " " + body + ")"
}

// Executions returns the execution log; it survives crashes.
func (p *Plain) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executions)
}

func (p *Plain) getExecutions(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string][]Execution{
		"executions": p.Executions(),
	})
}

func (p *Plain) handle(c echo.Context) error {
	return p.runInSlot(c, func(body []byte) error {
		request := c.Request()
		p.mu.Lock()
		p.executions = append(p.executions, Execution{
			Attempt: ident.AttemptID(request.Header.Get(attemptHeader)),
			Method:  request.Method,
			URI:     request.RequestURI,
			Body:    string(body),
			Time:    p.common.Clock.Now(),
		})
		p.mu.Unlock()
		p.maybeCrash(c.Request().Context(), body)
		p.wait(lifetimeOf(request.Context()), p.config.ServiceTime)
		p.maybeDropResponse(request.Context())
		p.setLoad(c)
		return c.JSON(http.StatusOK, map[string]string{
			"output": PlainOutput(request.Method, request.RequestURI, string(body)),
		})
	})
}
