package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

// weights is the rate-limited weight store. It serves a blob of zeros for every
// model name.
type weights struct {
	now      func() time.Time
	size     int
	limiter  *rate.Limiter
	mu       sync.Mutex
	admitted int
	refused  int
}

func newWeights(config Config) *weights {
	return &weights{
		now:     config.Now,
		size:    config.WeightBytes,
		limiter: rate.NewLimiter(rate.Limit(config.WeightRate), config.WeightBurst),
	}
}

func (w *weights) get(c echo.Context) error {
	w.mu.Lock()
	admitted := w.limiter.AllowN(w.now(), 1)
	if admitted {
		w.admitted++
	} else {
		w.refused++
	}
	w.mu.Unlock()
	if !admitted {
		c.Response().Header().Set("Retry-After", "1")
		return echo.NewHTTPError(http.StatusTooManyRequests, "weight store rate exceeded")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, w.size))
}

func (w *weights) counts() (admitted, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.admitted, w.refused
}
