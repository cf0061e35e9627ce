package forward

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

// bufferedResponse is an upstream's response with its body.
type bufferedResponse struct {
	response *upstreamhttp.Response
	body     []byte
	lease    *memory.Lease // of the body
}

// release returns the memory of the response, which may be nil.
func (r *bufferedResponse) release() {
	if r != nil {
		r.lease.Release()
	}
}

// isFinal reports whether the response can be forwarded without a retry. A server
// error may not recur at another upstream, and a success without a seal is damaged.
func (r *bufferedResponse) isFinal() bool {
	return r.response.Status < http.StatusInternalServerError && (r.response.Status/100 != 2 || r.response.Reply.Sealed)
}

// plain forwards a request whose response is buffered until it is complete.
func (e *exchange) plain() {
	var last *bufferedResponse // latest response of an upstream that ran the request
	defer func() { last.release() }()
	for {
		placed, ok := e.nextUpstream(e.placementQuery(e.config.Domain, 0))
		if !ok {
			break
		}
		for _, result := range e.attemptHedged(placed) {
			switch {
			case result.err == nil && result.buffered.response.Reply.NotRun:
				result.buffered.release()
			case result.err == nil:
				e.ran++
				last.release()
				last = result.buffered
			case errors.Is(result.err, upstreamhttp.ErrLost):
				e.ran++
			}
			if result.isFinal() {
				e.deliver(result.buffered)
				return
			}
		}
	}
	e.conclude(last)
}

// conclude ends a request for which no upstream has sent a final response; last is the
// latest response, or nil. It aborts the connection of a caller that has left: one that has only
// ended its sending side would otherwise receive the response of a handler that writes none,
// which is a success.
func (e *exchange) conclude(last *bufferedResponse) {
	pause := e.allPaused()
	switch {
	case e.request.Context().Err() != nil:
		e.recordAbandoned()
		panic(http.ErrAbortHandler)
	case e.stopped() && e.ran == 0:
		e.refuse(reasonStopping, stoppingRetryAfter)
	case e.stopped():
		e.fail(http.StatusBadGateway, reasonStopping)
	case e.blocked() && e.ran == 0:
		e.refuse(reasonBlocked, defaultRetryAfter) // a request that comes again learns how long the block holds
	case e.blocked():
		e.fail(http.StatusBadGateway, reasonBlocked)
	case last != nil && last.response.Reply.Sealed && !notRunStatuses[last.response.Status] && last.response.Status/100 != 2:
		e.deliver(last)
	case e.ran > 0 && e.ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, "no upstream answered in time")
	case e.ran > 0:
		e.fail(http.StatusBadGateway, "no upstream answered")
	case pause > 0:
		e.refuse(reasonPaused, pause)
	case len(e.tried) == 0:
		e.refuse("no upstream is available", defaultRetryAfter)
	default:
		e.refuse("all upstreams are full", fullRetryAfter)
	}
}

// responseLease returns a lease for a response of an upstream.
func (e *exchange) responseLease(placed *placement.Placed) *memory.Lease {
	return e.config.Memory.Lease(memory.Holder(placed.ID))
}

// attempt sends the request to one upstream, reads the whole response and records the
// outcome of the call.
func (e *exchange) attempt(placed *placement.Placed) (*bufferedResponse, error) {
	started := e.config.Now()
	response, err := e.send(e.ctx, placed, wire.Dispatch{})
	if err != nil {
		e.recordFailure(placed, err, 0)
		return nil, err
	}
	defer response.Close()
	if !response.Reply.NotRun {
		e.latest.Responding()
	}
	latency := e.config.Now().Sub(started)
	buffered := &bufferedResponse{
		response: response,
		lease:    e.responseLease(placed),
	}
	buffered.body, err = response.ReadAll(e.ctx, buffered.lease, maxResponseBytes)
	if err == nil {
		err = e.checkEnd(placed, response)
	}
	if err != nil && !response.Reply.NotRun {
		buffered.release()
		e.recordFailure(placed, err, latency)
		return nil, err
	}
	ending, pace := placement.Served, time.Duration(0)
	switch {
	case response.Reply.NotRun:
		ending = notRunEnding(response)
		e.log.Info().Str("upstream", string(placed.ID)).Int("status", response.Status).Dur("age", e.age()).Msg("forward: upstream refused")
	case !buffered.isFinal():
		e.log.Info().Str("upstream", string(placed.ID)).Int("status", response.Status).Bool("sealed", response.Reply.Sealed).Dur("age", e.age()).Msg("forward: upstream failed")
	default:
		pace = latency
	}
	if ending == placement.Served && e.route.Idempotent() {
		e.config.Hedges.Observe(e.service.Name, e.config.Now().Sub(started))
	}
	e.recordCall(placed, ending, latency, pace)
	return buffered, nil
}
