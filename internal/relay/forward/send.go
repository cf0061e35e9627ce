package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/poison"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// maxUpstreams is the maximum number of upstreams to which one request is sent,
	// including those that refuse it.
	maxUpstreams = 4
	// maxResponseBytes is the maximum size of a buffered response body.
	maxResponseBytes = 4 << 20
	// maxUnsafeIdle is the maximum idle time of a connection that is reused for a
	// request that must not run twice. If the upstream closes an idle connection when
	// the request is sent, it is unknown whether the request ran.
	maxUnsafeIdle = time.Second
	// minPauseSpread and pauseSpread spread the retries of callers that are refused until
	// the first upstream accepts requests again, as a share of that time.
	minPauseSpread = 100 * time.Millisecond
	pauseSpread    = 0.25
	// crashProbeTimeout limits the attempt to connect to an upstream that may have crashed.
	crashProbeTimeout = 200 * time.Millisecond
)

// hopByHopHeaders are the header fields that apply to one connection only and are not
// forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// notRunStatuses are the statuses that tell a caller that the request did not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// reasonPaused is the reason of refusals while all upstreams of a service want no
// requests.
const reasonPaused = "all upstreams want no requests now"

// allPaused returns the Retry-After time for the request if all upstreams of its service
// want no requests from this host; otherwise it returns 0.
func (e *exchange) allPaused() time.Duration {
	_, left := e.config.Pauses.Paused(e.config.Fleet.Snapshot().Ready(e.service.Name))
	if left == 0 {
		return 0
	}
	return left + rand.N(max(time.Duration(pauseSpread*float64(left)), minPauseSpread))
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// nextUpstream chooses the upstream for the next attempt. It returns false if the
// request must not run again, the deadline has passed, no upstream is left, or the
// budget does not allow a retry.
func (e *exchange) nextUpstream(query placement.Query) (*placement.Placed, bool) {
	if len(e.tried) >= maxUpstreams || e.ctx.Err() != nil {
		return nil, false
	}
	if e.ran > 0 && !e.mayRunAgain() {
		return nil, false
	}
	placed, ok := e.choose(query)
	if !ok {
		return nil, false
	}
	if len(e.tried) == 0 {
		e.config.Budget.CountRequest(e.arrived, e.service.Name)
	} else if !e.allowRetry() {
		e.withdraw(placed)
		return nil, false
	}
	e.tried = append(e.tried, placed.ID)
	return placed, true
}

// withdraw gives up an upstream to which the request has not been sent.
func (e *exchange) withdraw(placed *placement.Placed) {
	e.config.Chooser.Done(placed, placement.Abandoned, 0)
	if e.proposal != nil && e.proposal.placed == placed {
		e.reportProposal(placement.Abandoned, 0)
	}
}

// allowRetry reports whether the budget allows a retry of the request, and counts the
// retry if so.
func (e *exchange) allowRetry() bool {
	allowed := e.config.Budget.AllowRetry(e.config.Now(), e.service.Name)
	e.config.Meter.Repeat(e.service.Name, allowed)
	if !allowed {
		e.log.Info().Str("service", string(e.service.Name)).Msg("forward: not retried, retry budget is exhausted")
	}
	return allowed
}

// send sends the request to an upstream. If a reused connection was closed by the
// upstream, or had a response that may belong to an earlier request, an idempotent
// request is sent again on a new connection. If a reused connection led to another
// upstream, any request is, since it did not run.
func (e *exchange) send(ctx context.Context, placed *placement.Placed, dispatch wire.Dispatch) (*upstreamhttp.Response, error) {
	e.latest = e.config.Poison.Begin(processOf(placed.Upstream), e.identity)
	response, err := e.call(ctx, placed, dispatch, false)
	switch {
	case err == nil && response.Misdirected && response.Reply.NotRun && e.allowRetry():
		response.Close()
		e.log.Info().Str("upstream", string(placed.ID)).Msg("forward: idle connection led to another upstream, retrying on a new connection")
		return e.call(ctx, placed, dispatch, true)
	case errors.Is(err, upstreamhttp.ErrStale) && e.route.Idempotent() && e.allowRetry():
	default:
		return response, err
	}
	e.log.Info().Err(err).Str("upstream", string(placed.ID)).Msg("forward: idle connection was not usable, retrying on a new connection")
	response, retryErr := e.call(ctx, placed, dispatch, true)
	if retryErr != nil && !errors.Is(retryErr, upstreamhttp.ErrLost) {
		return nil, err // the request may have run on the first connection
	}
	return response, retryErr
}

// call sends the request to an upstream once, on a new connection if newConn is set.
func (e *exchange) call(ctx context.Context, placed *placement.Placed, dispatch wire.Dispatch, newConn bool) (*upstreamhttp.Response, error) {
	dispatch.Upstream = placed.ID
	dispatch.Organisation = e.organisationID()
	dispatch.Timeout = max(time.Millisecond, e.deadline.Sub(e.config.Now()))
	idle := time.Duration(0)
	if !e.route.Idempotent() {
		idle = maxUnsafeIdle
	}
	return e.config.Client.Send(ctx, upstreamhttp.Request{
		Upstream:   placed.Upstream,
		Limit:      upstreamhttp.Share(e.service.Connections, e.config.Hosts()),
		MaxIdle:    idle,
		NewConn:    newConn,
		Repeatable: e.route.Idempotent(),
		ID:         e.head.Request,
		Method:     e.request.Method,
		Target:     e.target,
		Host:       e.request.Host,
		Header:     e.config.Codec.Forward(e.request.Header, dispatch),
		Body:       e.body,
	})
}

// recordCall records the outcome of a call in the chooser, the table of crashes, the
// proposal and the metrics.
// The pace is the time that the upstream took for the part of the work that is the same
// in all requests to its service; 0 if unknown.
func (e *exchange) recordCall(placed *placement.Placed, ending placement.Ending, latency, pace time.Duration) {
	results := map[placement.Ending]meter.Result{
		placement.Served:      meter.Served,
		placement.Full:        meter.Refused,
		placement.Failed:      meter.Failed,
		placement.Abandoned:   meter.Abandoned,
		placement.Misdirected: meter.Refused,
	}
	e.config.Chooser.Done(placed, ending, pace)
	switch ending {
	case placement.Full, placement.Misdirected:
		e.latest.Refused()
	case placement.Abandoned:
		e.latest.Abandoned()
	case placement.Served, placement.Failed:
		e.latest.End(ending == placement.Served)
	}
	if e.proposal != nil && e.proposal.placed == placed {
		e.reportProposal(ending, pace)
	}
	e.config.Meter.Call(e.service.Name, results[ending], latency)
}

// notRunEnding returns the ending of a call whose response states that it did not run.
func notRunEnding(response *upstreamhttp.Response) placement.Ending {
	if response.Status == http.StatusMisdirectedRequest {
		return placement.Misdirected
	}
	return placement.Full
}

// recordFailure logs and records a call without a complete response.
func (e *exchange) recordFailure(placed *placement.Placed, err error, latency time.Duration) {
	ending := placement.Failed
	switch {
	case errors.Is(err, upstreamhttp.ErrBusy), errors.Is(err, upstreamhttp.ErrPaused):
		ending = placement.Full
	case e.ctx.Err() != nil:
		ending = placement.Abandoned
	case errors.Is(err, upstreamhttp.ErrLost):
		e.checkCrash(placed)
	case errors.Is(err, upstreamhttp.ErrNotSent):
		e.latest.Refused()
	}
	if errors.Is(err, upstreamhttp.ErrOversized) {
		e.config.Meter.Oversized(e.service.Name)
	}
	e.logAttempt(e.log.Info(), placed).Err(err).Str("address", string(placed.Address)).Dur("age", e.age()).Dur("waited", latency).Msg("forward: no response from upstream")
	e.recordCall(placed, ending, latency, 0)
}

// errCutShort means that a response has probably been cut short by a crash.
const errCutShort = errors.ConstError("response ends with the connection to an upstream that refuses new ones")

// checkEnd returns an error if a response that seems to be complete may have been cut
// short: its end is the end of the connection, and the upstream has crashed.
func (e *exchange) checkEnd(placed *placement.Placed, response *upstreamhttp.Response) error {
	if response.Unframed && e.refusesConnections(placed.Upstream) {
		return errors.WithType(errCutShort, upstreamhttp.ErrLost)
	}
	return nil
}

// checkCrash reports the requests of this host at an upstream to which it has lost the
// connection, if that has crashed, as it sees itself or another host reports.
func (e *exchange) checkCrash(placed *placement.Placed) {
	if !e.latest.CrashKnown() && !e.refusesConnections(e.registered(placed.Upstream)) {
		return
	}
	suspects := e.latest.Crashed()
	e.logAttempt(e.log.Warn(), placed).Int("suspects", suspects).Msg("forward: upstream crashed with the request in flight")
}

// registered returns the present registration of an upstream that is back at the same
// address since the request was placed: the request has probably reached that process. It
// returns the given one if there is none.
func (e *exchange) registered(placed fleet.Upstream) fleet.Upstream {
	current, ok := e.config.Fleet.Snapshot().Upstream(placed.ID)
	if !ok || current.Address != placed.Address || current.Started < placed.Started {
		return placed
	}
	return current
}

// refusesConnections reports whether an upstream refuses connections although it is not
// known to drain: it has crashed.
func (e *exchange) refusesConnections(upstream fleet.Upstream) bool {
	if !e.config.Fleet.Snapshot().Accepts(upstream) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), crashProbeTimeout)
	defer cancel()
	return e.config.Client.Refuses(ctx, upstream.Address)
}

func processOf(upstream fleet.Upstream) poison.Process {
	return poison.Process{
		Upstream:    upstream.ID,
		Incarnation: upstream.Started,
	}
}

// logAttempt adds to a log line the upstream of an attempt, the parts of the prompt, and
// how far the response had come.
func (e *exchange) logAttempt(line *zerolog.Event, placed *placement.Placed) *zerolog.Event {
	line = line.Str("upstream", string(placed.ID)).Uint64("incarnation", uint64(placed.Started))
	line = e.logParts(line)
	if e.progress.upstreamEvents > 0 {
		line = line.Int("events", e.progress.upstreamEvents).Dur("writing", e.config.Now().Sub(e.progress.firstAt))
	}
	return line
}

// logParts adds to a log line the parts of the prompt that other requests may share.
func (e *exchange) logParts(line *zerolog.Event) *zerolog.Event {
	shared := e.head.Prompt.Shared()
	if len(shared) == 0 {
		return line
	}
	ids := make([]string, 0, len(shared))
	for _, part := range shared {
		ids = append(ids, string(part.ID))
	}
	return line.Strs("parts", ids)
}

// copyHeader copies the header of an upstream's response, except for the hop-by-hop
// fields.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

// succeeded reports whether a response is a success that the upstream has sealed.
func succeeded(response *upstreamhttp.Response) bool {
	return response.Status/100 == 2 && response.Reply.Sealed
}
