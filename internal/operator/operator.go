package operator

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// Readiness states whether this host accepts callers, and if not, why.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Config holds the sources of the handlers. All of them must be safe for concurrent
// use.
type Config struct {
	Ready   func() Readiness
	Status  func() any // its result is encoded as JSON
	Ring    *timeline.Ring
	Metrics *metrics.Set
}

// New returns the handler of the operators' port.
func New(cfg Config) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/live", func(c echo.Context) error {
		return c.NoContent(http.StatusOK)
	})
	e.GET("/ready", func(c echo.Context) error {
		readiness := cfg.Ready()
		if !readiness.Ready {
			return c.JSON(http.StatusServiceUnavailable, readiness)
		}
		return c.JSON(http.StatusOK, readiness)
	})
	e.GET("/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, cfg.Status())
	})
	e.GET("/timeline", func(c echo.Context) error {
		return c.JSON(http.StatusOK, cfg.Ring.Events(ident.RequestID(c.QueryParam("request"))))
	})
	e.GET("/metrics", func(c echo.Context) error {
		cfg.Metrics.WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return e
}
