package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

// responseMargin is the time, before a stop ends, in which the outcome of a request that has
// reached its deadline is stored, and the response sent.
const responseMargin = recordTimeout + 150*time.Millisecond

// serveCallers serves callers until ctx is done and then drains.
func (h *Host) serveCallers(ctx, force context.Context, listener net.Listener) error {
	server := newHTTPServer(caller.New(caller.Config{
		Server:   h.server,
		Services: h.registry.Snapshot,
		NewID:    h.newRequestID,
		Now:      time.Now,
		MaxBody:  h.settings.MaxBody,
		Memory:   h.memory,
		Log:      h.log,
	}), h.settings, h.log)
	serveDone := make(chan error, 1)
	limited := callerhttp.Listen(listener, h.callerLimits())
	go func(context.Context) { serveDone <- server.Serve(limited) }(ctx)
	select {
	case err := <-serveDone:
		return errors.Annotate(err, "serve callers")
	case <-ctx.Done():
	}
	err := h.drain(force, limited)
	_ = server.Close() // fails only because the listener is closed already
	if serveErr := <-serveDone; !errors.Is(serveErr, net.ErrClosed) && !errors.Is(serveErr, http.ErrServerClosed) {
		h.log.Warn().Err(serveErr).Msg("entry: callers' port failed while stopping")
	}
	return err
}

// drain drains the callers' port, until the stop timeout of the settings elapses or force is
// cancelled. It returns ErrInterrupted if requests or outcomes are left.
func (h *Host) drain(force context.Context, callers *callerhttp.Listener) error {
	callers.EndKeepAlive()
	finishedBefore := h.server.active.markStopping()
	h.peers.gossip.Leave()
	h.log.Info().Int("requests", len(h.server.active.list())).Msg("entry: stopping")
	stopCtx, cancel := context.WithTimeout(force, h.settings.ShutdownTimeout)
	defer cancel()
	// The platform's load balancer needs time to detect that the host is not ready.
	select {
	case <-time.After(h.settings.Drain):
	case <-stopCtx.Done():
	}
	if end, ok := stopCtx.Deadline(); ok {
		h.server.active.refuseBeyond(end.Add(-responseMargin))
	}
	err := callers.Drain(stopCtx)
	unfinished := h.server.active.list()
	unwritten := h.ledger.Drain(stopCtx)
	// Other hosts cannot answer retries with an outcome that was not written.
	if err != nil || unwritten > 0 {
		h.log.Error().Interface("requests", unfinished).Int("outcomes", unwritten).Msg("entry: stop interrupted requests")
		return errors.Annotatef(ErrInterrupted, "%d requests, %d unwritten outcomes", len(unfinished), unwritten)
	}
	h.log.Info().
		Uint64("finished", h.server.active.finishedCount()-finishedBefore).
		Uint64("total", h.server.active.finishedCount()).
		Msg("entry: stopped, every request in progress finished")
	return nil
}
