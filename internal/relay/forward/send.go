package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// maxSends bounds the upstreams that are asked for one request, those that
	// refuse it included.
	maxSends = 4
	// replyBytes is the longest answer that is held until it is complete.
	replyBytes = 4 << 20
	// freshIdle is how long a connection may have been idle to carry a request
	// that must not run twice: its upstream may close it at any time, and then
	// nobody can tell whether the request ran.
	freshIdle = time.Second
	// crashProbe bounds the try to connect to an upstream that may have crashed.
	crashProbe = 200 * time.Millisecond
)

// hopHeaders concern one connection.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// promises are the statuses that state that a request did not run.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// next returns the upstream for the next try, if there may be one: the request
// may run again, an upstream is left, and the budget allows a repeat.
func (e *exchange) next(query placement.Query) (*placement.Placed, bool) {
	if len(e.tried) >= maxSends || e.ctx.Err() != nil {
		return nil, false
	}
	if e.ran > 0 && (!e.route.Idempotent() || e.ran >= e.route.Attempts) {
		return nil, false
	}
	to, ok := e.choose(query)
	if !ok {
		return nil, false
	}
	if len(e.tried) == 0 {
		e.config.Budget.CountRequest(e.arrived, e.service.Name)
	} else if !e.repeat() {
		e.config.Chooser.Done(to, placement.Abandoned, 0)
		return nil, false
	}
	e.tried = append(e.tried, to.ID)
	return to, true
}

// repeat counts one more call for the request if the budget allows it.
func (e *exchange) repeat() bool {
	allowed := e.config.Budget.AllowRetry(e.config.Now(), e.service.Name)
	e.config.Meter.Repeat(e.service.Name, allowed)
	if !allowed {
		e.log.Info().Str("service", string(e.service.Name)).Msg("forward: no repeat, the budget is used up")
	}
	return allowed
}

// send sends the request to an upstream. If the upstream has forgotten the
// connection, a request that may run again is sent to it on a new one, and so is any
// request if the connection leads to another upstream.
func (e *exchange) send(ctx context.Context, to *placement.Placed, dispatch wire.Dispatch) (*upstreamhttp.Response, error) {
	answer, err := e.call(ctx, to, dispatch, false)
	switch {
	case err == nil && answer.Misdirected && answer.Reply.NotRun && e.repeat():
		answer.Close()
		e.log.Info().Str("upstream", string(to.ID)).Msg("forward: idle connection led to another upstream, sent on a new one")
		return e.call(ctx, to, dispatch, true)
	case errors.Is(err, upstreamhttp.ErrStale) && e.route.Idempotent() && e.repeat():
	default:
		return answer, err
	}
	e.log.Info().Err(err).Str("upstream", string(to.ID)).Msg("forward: idle connection had ended, sent on a new one")
	answer, again := e.call(ctx, to, dispatch, true)
	if again != nil && !errors.Is(again, upstreamhttp.ErrLost) {
		return nil, err // the first one may have run
	}
	return answer, again
}

// call sends the request to an upstream once, on a new connection if connect is set.
func (e *exchange) call(ctx context.Context, to *placement.Placed, dispatch wire.Dispatch, connect bool) (*upstreamhttp.Response, error) {
	dispatch.Upstream = to.ID
	dispatch.Organisation = e.organisationID()
	dispatch.Timeout = max(time.Millisecond, e.deadline.Sub(e.config.Now()))
	idle := time.Duration(0)
	if !e.route.Idempotent() {
		idle = freshIdle
	}
	return e.config.Client.Send(ctx, upstreamhttp.Request{
		Address: to.Address,
		Limit:   upstreamhttp.Share(e.service.Connections, e.config.Hosts()),
		MaxIdle: idle,
		NewConn: connect,
		ID:      e.head.Request,
		Method:  e.request.Method,
		Target:  e.target,
		Host:    e.request.Host,
		Header:  e.config.Codec.Forward(e.request.Header, dispatch),
		Body:    e.body,
	})
}

// ended tells the chooser and the metrics how an upstream handled the request; pace
// is what it took for a part that is alike in all requests, 0 if that is not known.
func (e *exchange) ended(to *placement.Placed, ending placement.Ending, latency, pace time.Duration) {
	results := map[placement.Ending]meter.Result{
		placement.Served:    meter.Served,
		placement.Full:      meter.Refused,
		placement.Failed:    meter.Failed,
		placement.Abandoned: meter.Abandoned,
	}
	e.config.Chooser.Done(to, ending, pace)
	if e.proposal != nil && e.proposal.placed == to {
		e.settle(ending, pace)
	}
	e.config.Meter.Call(e.service.Name, results[ending], latency)
}

// unanswered handles a request without an answer.
func (e *exchange) unanswered(to *placement.Placed, err error, latency time.Duration) {
	ending := placement.Failed
	switch {
	case errors.Is(err, upstreamhttp.ErrBusy):
		ending = placement.Full
	case e.ctx.Err() != nil:
		ending = placement.Abandoned
	case errors.Is(err, upstreamhttp.ErrLost):
		e.suspect(to)
	}
	e.log.Info().Err(err).Str("upstream", string(to.ID)).Str("address", string(to.Address)).Dur("age", e.age()).Dur("waited", latency).Msg("forward: no answer of upstream")
	e.ended(to, ending, latency, 0)
}

// suspect counts a strike against the request if the upstream has crashed while
// it had the request: a lost connection alone says nothing about that.
func (e *exchange) suspect(to *placement.Placed) {
	ctx, cancel := context.WithTimeout(e.ctx, crashProbe)
	defer cancel()
	if !e.config.Client.Refuses(ctx, to.Address) {
		return
	}
	fingerprint := e.fingerprint()
	strikes := e.config.Poison.Strike(fingerprint)
	e.config.Struck(fingerprint, strikes)
	e.log.Warn().Str("upstream", string(to.ID)).Int("strikes", strikes).Msg("forward: upstream crashed with the request in flight")
}

// copyHeader passes the header of an upstream's answer on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// succeeded reports whether an answer is a success that an upstream vouches for.
func succeeded(answer *upstreamhttp.Response) bool {
	return answer.Status/100 == 2 && answer.Reply.Sealed
}
