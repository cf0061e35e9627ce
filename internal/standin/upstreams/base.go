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

// Upstream is a stand-in of any kind.
type Upstream interface {
	// Handler returns the HTTP interface.
	Handler() http.Handler
	// Serve serves on the listener until the context ends, and then breaks the
	// requests in flight. It listens again on the same address after a crash.
	Serve(ctx context.Context, listener net.Listener) error
	// SetFaults replaces the fault switches.
	SetFaults(faults Faults)
	// Crashes returns the number of crashes so far.
	Crashes() int
}

// Common holds the settings that every kind has.
type Common struct {
	Name    ident.UpstreamID
	Clock   Clock         // default SystemClock
	Slots   int           // requests that run at once; default 8
	Queue   int           // requests that wait; default none
	LoadLag time.Duration // greatest age of a load report; default 0, always current
}

// base is the part that all kinds share.
type base struct {
	common Common
	slots  *slots
	echo   *echo.Echo
	forget func() // drops the state that a crash loses; may be nil

	mu      sync.Mutex
	faults  Faults
	life    context.Context // ends with the next crash
	end     context.CancelFunc
	down    time.Time // no request is accepted before this time
	crashes int
	crashed chan time.Duration // downtime of the last crash, for Serve
	report  upstream.Load
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
	b.life, b.end = context.WithCancel(context.Background())
	b.echo.Use(b.exchange)
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
			b.abort()
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

// abort ends the current life and starts another.
func (b *base) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renew()
}

// renew ends the current life and starts another; b.mu is held.
func (b *base) renew() {
	b.end()
	b.life, b.end = context.WithCancel(context.Background())
}

// crash ends the given life unless it is over already.
func (b *base) crash(life context.Context, downtime time.Duration) {
	if downtime <= 0 {
		downtime = defaultCrashTime
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.life != life {
		return
	}
	b.renew()
	if b.forget != nil {
		b.forget()
	}
	b.crashes++
	b.down = b.common.Clock.Now().Add(downtime)
	select {
	case b.crashed <- downtime:
	default: // nobody serves
	}
}

func (b *base) state() (life context.Context, faults Faults, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life, b.faults, b.common.Clock.Now().Before(b.down)
}

// abandon closes the connection of the exchange without a further byte.
func abandon() { panic(http.ErrAbortHandler) }

type lifeKey struct{}

// exchange reads the whole body, echoes the attempt id and ties the request to
// the current life.
func (b *base) exchange(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		life, _, down := b.state()
		if down {
			abandon()
		}
		body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBody+1))
		if err != nil {
			abandon()
		}
		if len(body) > maxBody {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge)
		}
		ctx, cancel := context.WithCancel(c.Request().Context())
		defer cancel()
		defer context.AfterFunc(life, cancel)()
		request := c.Request().WithContext(context.WithValue(ctx, lifeKey{}, life))
		request.Body = io.NopCloser(bytes.NewReader(body))
		c.SetRequest(request)
		if attempt := request.Header.Get(attemptHeader); attempt != "" {
			c.Response().Header().Set(attemptHeader, attempt)
		}
		return next(c)
	}
}

// run executes work in a slot unless the upstream refuses the request. Work
// gets the request body and answers the request itself.
func (b *base) run(c echo.Context, work func(body []byte) error) error {
	ctx := c.Request().Context()
	_, faults, _ := b.state()
	if faults.Leaving {
		return b.refuse(c, http.StatusServiceUnavailable, "leaving")
	}
	if faults.Refuse {
		return b.refuse(c, http.StatusServiceUnavailable, "overloaded")
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		abandon()
	}
	if b.common.Clock.Wait(ctx, time.Duration(faults.Delay)) != nil {
		abandon()
	}
	priority, _ := strconv.Atoi(c.Request().Header.Get(priorityHeader))
	switch err := b.slots.acquire(ctx, priority); {
	case errors.Is(err, errQueueFull):
		return b.refuse(c, http.StatusTooManyRequests, "overloaded")
	case err != nil:
		abandon()
	}
	defer b.slots.release()
	return work(body)
}

// start crashes the upstream if the request is one that crashes it.
func (b *base) start(ctx context.Context, body []byte) {
	_, faults, _ := b.state()
	if faults.CrashOn != "" && bytes.Contains(body, []byte(faults.CrashOn)) {
		b.crash(lifeOf(ctx), time.Duration(faults.CrashFor))
		abandon()
	}
}

func (b *base) refuse(c echo.Context, status int, state string) error {
	c.Response().Header().Set(stateHeader, state)
	b.setLoad(c)
	return c.JSON(status, map[string]string{
		"error": state,
	})
}

// wait spends a time of the upstream's own, longer while it is slow.
func (b *base) wait(ctx context.Context, d time.Duration) {
	_, faults, _ := b.state()
	if faults.Slow > 0 {
		d = time.Duration(float64(d) * faults.Slow)
	}
	if b.common.Clock.Wait(ctx, d) != nil {
		abandon()
	}
}

// deliver abandons the exchange if its answer is to be lost or its life is over.
func (b *base) deliver(ctx context.Context) {
	b.mu.Lock()
	lose := b.faults.LoseAnswer > 0
	if lose {
		b.faults.LoseAnswer--
	}
	b.mu.Unlock()
	if lose || lifeOf(ctx).Err() != nil {
		abandon()
	}
}

// lifeOf returns the life in which the request arrived.
func lifeOf(ctx context.Context) context.Context {
	return ctx.Value(lifeKey{}).(context.Context)
}

// load returns the current report, which is refreshed only when it is older than the lag.
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
