package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

const (
	// idleTimeout is longer than any idle timeout that operators publish, so that a
	// caller never sends a request on a connection that is about to be closed.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 10 * time.Second
	// writeTimeout is the time in which a caller has to read a response that the host
	// writes without an upstream. Other responses have the deadline of their request.
	writeTimeout = 5 * time.Second
	// drainDelay is how long a host that is stopping still accepts new connections: the
	// load balancer checks readiness once a second, and stops sending requests after two
	// failed checks.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the
	// process after the last request; closing the peer port takes up to 300 ms of it.
	exitMargin = 600 * time.Millisecond
	// responseMargin is the time, before the process ends, in which callers receive
	// responses to the requests that are still in progress.
	responseMargin = 150 * time.Millisecond
	// minResponseTime is the shortest time in which an upstream may still respond to a
	// request that has waited for its stages.
	minResponseTime = 1500 * time.Millisecond
)

// newServer returns a server for the port of callers, readiness or metrics.
func (h *Host) newServer(handler http.Handler) *http.Server {
	return callerhttp.New(callerhttp.Config{
		Handler:       handler,
		HeaderTimeout: headerTimeout,
		WriteTimeout:  writeTimeout,
		IdleTimeout:   idleTimeout,
		Log:           h.log,
	})
}

// serve serves until the context ends, then closes all connections.
func (h *Host) serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := h.newServer(handler)
	serveErr := make(chan error, 1)
	limited := callerhttp.Listen(listener, h.connectionLimits(internalConnections))
	go func(context.Context) { serveErr <- server.Serve(limited) }(ctx)
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	if err := server.Close(); err != nil {
		return errors.Annotate(err, "close server")
	}
	return closedError(<-serveErr)
}

// serveCallers serves until the context ends. Then it fails the readiness check, accepts
// new connections until the load balancer has stopped sending requests, and waits for the
// requests in progress. Shortly before the grace period is over, it ends those that remain.
func (h *Host) serveCallers(ctx context.Context, listener net.Listener) error {
	server := h.newServer(h.handler)
	serveErr := make(chan error, 1)
	limited := callerhttp.Listen(listener, h.connectionLimits(callerConnections(h.settings)))
	go func(context.Context) { serveErr <- server.Serve(limited) }(ctx)
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	h.log.Info().Msg("host: stopping")
	close(h.stopping)
	limited.EndKeepAlive()
	h.peers.gossip.Leave()
	end := time.Now().Add(h.settings.Grace - exitMargin)
	time.Sleep(drainDelay)
	h.handler.RefuseBeyond(end.Add(-responseMargin))
	waits := time.AfterFunc(time.Until(end)-responseMargin-minResponseTime, h.handler.EndWaiting)
	defer waits.Stop()
	runs := time.AfterFunc(time.Until(end)-responseMargin, func() {
		h.log.Warn().Msg("host: requests were broken off at the end of the grace period")
		h.handler.Abort()
	})
	defer runs.Stop()
	drainCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), end)
	defer cancel()
	if err := limited.Drain(drainCtx); err != nil {
		h.log.Warn().Err(err).Msg("host: connections were closed at the end of the grace period")
	}
	if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Annotate(err, "close callers' server")
	}
	return closedError(<-serveErr)
}

// closedError returns the error of the Serve method of a server that has been closed, or
// nil if the close, also of its listener, was the only reason.
func closedError(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Annotate(err, "serve")
}
