package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// reasonStopping is the reason of refusals and failures because the host stops.
const reasonStopping = "the host stops"

// errStopping is the cause of the end of a request because the host stops.
const errStopping = errors.ConstError(reasonStopping)

// shutdown holds the phases of the graceful shutdown of a host. At its end, a request
// without a response receives one that says whether it may have run: a connection that is
// closed without one says nothing.
type shutdown struct {
	waiting  context.Context // done when requests no longer wait for their stages
	endWaits context.CancelFunc
	running  context.Context // done when all requests end
	endRuns  context.CancelFunc
	end      atomic.Pointer[time.Time] // until which requests that arrive now are served; nil before the host drains
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.waiting, s.endWaits = context.WithCancel(context.Background())
	s.running, s.endRuns = context.WithCancel(context.Background())
	return s
}

// RefuseBeyond refuses the requests that arrive from now on, unless their deadline is before
// the end of the time in which the host serves requests: they might be broken off.
func (h *Handler) RefuseBeyond(end time.Time) { h.shutdown.end.Store(&end) }

// EndWaiting refuses the requests that wait for their stages, and sends none whose stages
// end later: too little time is left for their responses.
func (h *Handler) EndWaiting() { h.shutdown.endWaits() }

// Abort ends all requests. Those that no upstream has begun to respond to receive a
// response that says whether they may have run.
func (h *Handler) Abort() {
	h.shutdown.endWaits()
	h.shutdown.endRuns()
}

// cancelAt calls cancel with errStopping when a phase of the shutdown begins, until stop
// is called.
func cancelAt(phase context.Context, cancel context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(phase, func() { cancel(errStopping) })
}

// checkShutdown refuses a request that might last longer than the host, and reports whether
// the request may run.
func (e *exchange) checkShutdown() bool {
	end := e.shutdown.end.Load()
	if end == nil || e.deadline.Before(*end) {
		return true
	}
	e.refuse(reasonStopping, stoppingRetryAfter)
	return false
}

// stopped reports whether the request has ended because the host stops.
func (e *exchange) stopped() bool {
	return errors.Is(context.Cause(e.ctx), errStopping)
}
