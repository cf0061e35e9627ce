package upstreams

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	attemptHeader  = "Attempt-Id"
	priorityHeader = "Priority"
	stateHeader    = "Upstream-State"
	loadHeader     = "Upstream-Load"

	maxBody           = 16 << 20
	readHeaderTimeout = 10 * time.Second
)

// Upstream is a stand-in for an upstream of any kind.
type Upstream interface {
	// Handler returns the HTTP handler of the stand-in.
	Handler() http.Handler
	// Serve serves on the listener until ctx is done, and then aborts the requests
	// in flight. After a crash it listens again on the same address.
	Serve(ctx context.Context, listener net.Listener) error
	// SetFaults replaces the fault switches.
	SetFaults(faults Faults)
	// Crashes returns the number of crashes so far.
	Crashes() int
}

// Common holds the settings of all kinds of upstream.
type Common struct {
	Name    ident.UpstreamID
	Clock   Clock         // default SystemClock
	Slots   int           // requests that run at once; default 8
	Queue   int           // requests that may wait for a slot; default 0
	LoadLag time.Duration // maximum age of a load report; default 0, always current
}

// base implements what all kinds of upstream share.
type base struct {
	common  Common
	slots   *slots
	echo    *echo.Echo
	onCrash func() // clears the state that a crash loses; called with mu held; may be nil

	mu          sync.Mutex
	faults      Faults
	lifetime    context.Context // cancelled by the next crash or the end of Serve
	endLifetime context.CancelFunc
	downUntil   time.Time // no request is accepted before this time
	crashes     int
	crashed     chan time.Duration // tells Serve the downtime of a crash
	report      upstream.Load
}

func newBase(common Common) *base {
	if common.Clock == nil {
		common.Clock = SystemClock{}
	}
	if common.Slots <= 0 {
		common.Slots = 8
	}
	b := &base{
		common: common,
		slots: &slots{
			limit: common.Slots,
			queue: common.Queue,
		},
		echo:    echo.New(),
		crashed: make(chan time.Duration, 1),
	}
	b.lifetime, b.endLifetime = context.WithCancel(context.Background())
	b.echo.Use(b.middleware)
	b.echo.GET("/load", b.getLoad)
	b.echo.GET("/faults", b.getFaults)
	b.echo.PUT("/faults", b.putFaults)
	return b
}

// Handler implements Upstream.
func (b *base) Handler() http.Handler { return b.echo }

// SetFaults implements Upstream.
func (b *base) SetFaults(faults Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
}

// Crashes implements Upstream.
func (b *base) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// Serve implements Upstream.
func (b *base) Serve(ctx context.Context, listener net.Listener) error {
	address := listener.Addr().String()
	for {
		server := &http.Server{
			Handler:           b.echo,
			ReadHeaderTimeout: readHeaderTimeout,
		}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		var downtime time.Duration
		select {
		case err := <-done:
			return errors.Annotatef(err, "serve %s", b.common.Name)
		case <-ctx.Done():
			b.abortRequests()
			return b.stop(server, done)
		case downtime = <-b.crashed:
			if err := b.stop(server, done); err != nil {
				return err
			}
		}
		if b.common.Clock.Wait(ctx, downtime) != nil {
			return nil
		}
		var err error
		listener, err = new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Annotatef(err, "listen again as %s", b.common.Name)
		}
	}
}

// stop closes the listener and all connections.
func (b *base) stop(server *http.Server, done <-chan error) error {
	_ = server.Close()
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotatef(err, "serve %s", b.common.Name)
	}
	return nil
}

// abortRequests aborts all requests by ending the current lifetime.
func (b *base) abortRequests() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart()
}

// restart ends the current lifetime and begins the next one; b.mu must be held.
func (b *base) restart() {
	b.endLifetime()
	b.lifetime, b.endLifetime = context.WithCancel(context.Background())
}

// crash ends the given lifetime; it does nothing if the lifetime has already ended.
func (b *base) crash(lifetime context.Context, downtime time.Duration) {
	if downtime <= 0 {
		downtime = defaultDowntime
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lifetime != lifetime {
		return
	}
	b.restart()
	if b.onCrash != nil {
		b.onCrash()
	}
	b.crashes++
	b.downUntil = b.common.Clock.Now().Add(downtime)
	select {
	case b.crashed <- downtime:
	default: // Serve is not running
	}
}

// state returns the current lifetime, the faults and whether the upstream is
// down after a crash.
func (b *base) state() (lifetime context.Context, faults Faults, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lifetime, b.faults, b.common.Clock.Now().Before(b.downUntil)
}

// dropConnection closes the connection of the current request without sending
// further bytes. It does not return.
func dropConnection() { panic(http.ErrAbortHandler) }

type lifetimeKey struct{}

// middleware reads the whole body, copies the attempt ID to the response and
// cancels the request's context when the current lifetime ends.
func (b *base) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		lifetime, _, down := b.state()
		if down {
			dropConnection()
		}
		body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody+1))
		if err != nil {
			dropConnection()
		}
		if len(body) > maxBody {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge)
		}
		ctx, cancel := context.WithCancel(c.Request().Context())
		defer cancel()
		defer context.AfterFunc(lifetime, cancel)()
		request := c.Request().WithContext(context.WithValue(ctx, lifetimeKey{}, lifetime))
		request.Body = io.NopCloser(bytes.NewReader(body))
		c.SetRequest(request)
		if attempt := request.Header.Get(attemptHeader); attempt != "" {
			c.Response().Header().Set(attemptHeader, attempt)
		}
		return next(c)
	}
}

// runInSlot calls work in a slot unless the upstream rejects the request. Work
// gets the request body and sends the response.
func (b *base) runInSlot(c echo.Context, work func(body []byte) error) error {
	ctx := c.Request().Context()
	_, faults, _ := b.state()
	if faults.Leaving {
		return b.reject(c, http.StatusServiceUnavailable, "leaving")
	}
	if faults.Refuse {
		return b.reject(c, http.StatusServiceUnavailable, "overloaded")
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		dropConnection()
	}
	if b.common.Clock.Wait(ctx, time.Duration(faults.Delay)) != nil {
		dropConnection()
	}
	priority, _ := strconv.Atoi(c.Request().Header.Get(priorityHeader))
	switch err := b.slots.acquire(ctx, priority); {
	case errors.Is(err, errQueueFull):
		return b.reject(c, http.StatusTooManyRequests, "overloaded")
	case err != nil:
		dropConnection()
	}
	defer b.slots.release()
	return work(body)
}

// maybeCrash crashes the upstream if the body contains the text Faults.CrashOn.
func (b *base) maybeCrash(ctx context.Context, body []byte) {
	_, faults, _ := b.state()
	if faults.CrashOn != "" && bytes.Contains(body, []byte(faults.CrashOn)) {
		b.crash(lifetimeOf(ctx), time.Duration(faults.CrashFor))
		dropConnection()
	}
}

func (b *base) reject(c echo.Context, status int, state string) error {
	c.Response().Header().Set(stateHeader, state)
	b.setLoad(c)
	return c.JSON(status, map[string]string{
		"error": state,
	})
}

// wait waits for d, times Faults.Slow if that is set. It drops the connection if
// ctx is done first.
func (b *base) wait(ctx context.Context, d time.Duration) {
	_, faults, _ := b.state()
	if faults.Slow > 0 {
		d = time.Duration(float64(d) * faults.Slow)
	}
	if b.common.Clock.Wait(ctx, d) != nil {
		dropConnection()
	}
}

// maybeDropResponse drops the connection if Faults.LoseResponse applies to the
// response or the lifetime of the request has ended.
func (b *base) maybeDropResponse(ctx context.Context) {
	b.mu.Lock()
	lose := b.faults.LoseResponse > 0
	if lose {
		b.faults.LoseResponse--
	}
	b.mu.Unlock()
	if lose || lifetimeOf(ctx).Err() != nil {
		dropConnection()
	}
}

// lifetimeOf returns the lifetime in which the request arrived.
func lifetimeOf(ctx context.Context) context.Context {
	return ctx.Value(lifetimeKey{}).(context.Context)
}

// load returns the load report, which is refreshed only when its age has reached
// Common.LoadLag.
func (b *base) load() upstream.Load {
	running, queued := b.slots.counts()
	now := b.common.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.report.At) >= b.common.LoadLag {
		b.report = upstream.Load{
			Running: running,
			Queued:  queued,
			At:      now,
		}
	}
	return b.report
}

func (b *base) setLoad(c echo.Context) {
	load := b.load()
	c.Response().Header().Set(loadHeader,
		fmt.Sprintf("running=%d queued=%d at=%d", load.Running, load.Queued, load.At.UnixMilli()))
}

func (b *base) getLoad(c echo.Context) error {
	load := b.load()
	return c.JSON(http.StatusOK, map[string]int64{
		"running": int64(load.Running),
		"queued":  int64(load.Queued),
		"at":      load.At.UnixMilli(),
	})
}

func (b *base) getFaults(c echo.Context) error {
	_, faults, _ := b.state()
	return c.JSON(http.StatusOK, struct {
		Faults
		Crashes int `json:"crashes"`
	}{
		Faults:  faults,
		Crashes: b.Crashes(),
	})
}

func (b *base) putFaults(c echo.Context) error {
	var faults Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	b.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}
