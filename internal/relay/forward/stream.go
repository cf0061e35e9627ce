package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// streamOutcome is the outcome of a stream at one upstream.
type streamOutcome uint8

const (
	streamComplete streamOutcome = iota + 1 // the caller has received the whole response
	streamNotRun                            // the request did not run
	streamNoInputs                          // the upstream did not find the results of the stages; the request did not run
	streamBroken                            // the request may have run
)

// streamProgress tracks the part of a stream that has been sent to the caller.
type streamProgress struct {
	started        bool // the response header has been sent
	lastEvent      wire.EventID
	upstreamEvents int       // events sent from the current upstream
	firstAt        time.Time // time of the first event from the current upstream
	lastAt         time.Time // time of the latest event
}

// addEvent records an event and returns the time since the previous one.
func (p *streamProgress) addEvent(now time.Time) (pause time.Duration) {
	if !p.lastAt.IsZero() {
		pause = now.Sub(p.lastAt)
	}
	if p.upstreamEvents == 0 {
		p.firstAt = now
	}
	p.upstreamEvents++
	p.lastAt = now
	return pause
}

// pace returns the mean time between events from the current upstream, or 0 if there
// were fewer than two.
func (p *streamProgress) pace() time.Duration {
	if p.upstreamEvents < 2 {
		return 0
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(p.upstreamEvents-1)
}

// stageResults holds the results of the stages of a request.
type stageResults struct {
	coordinator.Prepared
	ready  bool                    // the stages have finished, or there are none
	cancel context.CancelCauseFunc // ends the job; nil if there is none
}

// release drops the results at the upstreams that hold them.
func (r *stageResults) release() {
	if r.ready && r.Release != nil {
		r.Release()
	}
	if r.cancel != nil {
		r.cancel(nil)
	}
	*r = stageResults{}
}

// stream forwards a request whose response is a stream of events.
func (e *exchange) stream() {
	e.progress.lastEvent = e.head.LastEvent
	results := &stageResults{}
	defer results.release()
	defer e.reportProposal(placement.Abandoned, 0)
	e.run = e.newRun()
	defer func() { e.run.End(e.record.result == meter.Served) }()
	for {
		if !results.ready {
			if err := e.prepare(results); err != nil {
				e.handleStagesFailed(err)
				return
			}
		}
		placed, ok := e.nextUpstream(e.placementQuery(e.preferredDomain(results), results.Bytes))
		if !ok {
			break
		}
		if err := e.run.Sent(e.ctx, placed.Release); err != nil {
			e.withdraw(placed)
			e.handleUnrecorded(err)
			return
		}
		switch e.streamFrom(placed, results) {
		case streamComplete:
			return
		case streamNotRun:
		case streamNoInputs:
			results.release()
		case streamBroken:
			// The results are still held unless an event has been received.
			e.ran++
			if !e.mayRunAgain() || !e.hasRelease() {
				e.concludeStream()
				return
			}
		}
	}
	e.concludeStream()
}

// mayRunAgain reports whether the request may run once more. If not, its stages need
// not run again either.
func (e *exchange) mayRunAgain() bool {
	return e.ctx.Err() == nil && e.route.Idempotent() && e.ran < e.route.Attempts && e.config.Poison.MayRetry(e.identity)
}

// preferredDomain returns the failure domain where the request should run: the one that
// holds the results of its stages, or else that of this host.
func (e *exchange) preferredDomain(results *stageResults) ident.FailureDomain {
	if results.Domain != "" {
		return results.Domain
	}
	return e.config.Domain
}

// affinity returns the prefix of the prompt whose requests should go to the same
// upstream.
func (e *exchange) affinity() placement.SharedPrefix {
	if e.sharedPrefix.Key == 0 {
		upstreams := len(e.config.Fleet.Snapshot().Ready(e.service.Name))
		e.sharedPrefix = e.config.Popularity.Affinity(e.arrived, e.head.Prompt, upstreams)
	}
	return e.sharedPrefix
}

// likelyDomain returns the failure domain where the request will probably run.
func (e *exchange) likelyDomain() ident.FailureDomain {
	preferred, ok := placement.Preferred(placement.Query{
		Service: e.service.Name,
		Shared:  e.affinity(),
	}, e.config.Fleet.Snapshot())
	if !ok {
		return e.config.Domain
	}
	return preferred.Domain
}

// prepare runs the stages and receives the proposed upstream.
func (e *exchange) prepare(results *stageResults) error {
	job := e.job()
	if !job.HasWork() && job.Target.Service == "" {
		results.ready = true
		return nil
	}
	ctx, cancel := context.WithCancelCause(e.ctx)
	results.cancel = cancel // not before the results are released, since it would drop them
	defer cancelAt(e.shutdown.waiting, cancel)()
	started := e.config.Now()
	prepared, err := e.config.Stager.Prepare(ctx, job)
	if err != nil && errors.Is(context.Cause(ctx), errStopping) {
		err = errStopping
	}
	took := e.config.Now().Sub(started)
	e.record.stagesTime += took
	if err != nil {
		e.config.Meter.Stages(e.route.Name, meter.Refused, took)
		return err
	}
	e.record.coordinator = prepared.Coordinator
	e.config.Meter.Stages(e.route.Name, meter.Served, took)
	results.Prepared = prepared
	results.ready = true
	if prepared.Contested {
		e.run.Contest()
	}
	return e.setProposal(prepared)
}

// job returns the job for the coordinator: the stages of the request and, for model
// engines, the query for the upstream that runs the request afterwards.
func (e *exchange) job() coordinator.Job {
	job := coordinator.Job{
		Job: batch.Job{
			Request:   e.head.Request,
			Domain:    e.likelyDomain(),
			Rank:      e.rank(),
			Key:       e.head.PieceKey,
			Objective: e.arrived.Add(e.route.Objective - batch.FirstEventTime),
			Deadline:  e.deadline.Add(-batch.FirstEventTime),

			Organisation: e.organisationID(),
		},
	}
	if e.service.Engine != nil {
		job.Target = e.placementQuery(e.config.Domain, 0)
	}
	for i, stage := range e.route.Stages {
		pieces := 0
		if i < len(e.head.Pieces) {
			pieces = e.head.Pieces[i]
		}
		job.Stages = append(job.Stages, batch.Stage{
			Service: stage.Service,
			Kind:    batch.Kind(e.route.Name + "/" + strconv.Itoa(i)),
			After:   stage.After,
			Pieces:  pieces,
			Bytes:   stage.Bytes,
		})
	}
	return job
}

// rank returns the priority class of the job of the request.
func (e *exchange) rank() batch.Rank {
	if e.resumes() && e.head.Origin != "" && e.route.Idempotent() {
		return batch.ResumedRank
	}
	return batch.Rank(e.table.Rank(e.route, e.organisation))
}

// placementQuery returns the query for an upstream that has not been tried yet and has
// not asked for no requests, preferably in the given failure domain, which holds the given bytes of stage results.
func (e *exchange) placementQuery(domain ident.FailureDomain, bytes int64) placement.Query {
	query := placement.Query{
		Service: e.service.Name,
		Domain:  domain,
		Bytes:   bytes,
		Prompt:  e.head.Prompt,
		Shared:  e.affinity(),
		Release: e.release,
		Exclude: make(map[ident.UpstreamID]bool, len(e.tried)),
		Cold:    placement.HostColdRate(e.service.ColdRate, e.config.Hosts()),
	}
	if e.route.Kind == routes.Stream && e.begins() {
		query.Held = e.config.Streams.Held(e.service.Name)
	}
	if len(e.route.Homes) > 0 {
		query.Homes = append(query.Homes, e.route.Homes)
	}
	if e.organisation != nil && len(e.organisation.Homes) > 0 {
		query.Homes = append(query.Homes, e.organisation.Homes)
	}
	for _, id := range e.tried {
		query.Exclude[id] = true
	}
	paused, _ := e.config.Pauses.Paused(e.config.Fleet.Snapshot().Ready(e.service.Name))
	for _, id := range append(paused, e.otherReleases()...) {
		query.Exclude[id] = true
	}
	return query
}

// handleStagesFailed ends a request whose stages have failed.
func (e *exchange) handleStagesFailed(err error) {
	switch {
	case e.progress.started || e.ran > 0 || e.blocked() || e.stopped() || e.request.Context().Err() != nil:
		e.record.reason = err.Error()
		e.concludeStream()
	case errors.Is(err, errStopping):
		e.refuse(reasonStopping, stoppingRetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		e.refuse("stages were not finished in time", defaultRetryAfter)
	default:
		e.refuse(err.Error(), stagesRetryAfter(err))
	}
}

// stagesRetryAfter returns the Retry-After time for a request whose stages were refused.
// It is randomised, so that callers refused at the same time do not retry at the same
// time.
func stagesRetryAfter(err error) time.Duration {
	var overload *batch.Overload
	if !errors.As(err, &overload) {
		return defaultRetryAfter
	}
	after := overload.RetryAfter()
	return after + rand.N(after/2)
}

// streamFrom sends the request to one upstream and forwards its events to the caller.
func (e *exchange) streamFrom(placed *placement.Placed, results *stageResults) streamOutcome {
	started := e.config.Now()
	e.progress.upstreamEvents = 0
	e.record.cacheSource = placed.Cache.ID
	response, err := e.send(e.ctx, placed, wire.Dispatch{
		Inputs:    results.Inputs,
		LastEvent: e.progress.lastEvent,
		Cache:     placed.Cache.Address,
	})
	if err != nil {
		e.recordFailure(placed, err, 0)
		if errors.Is(err, upstreamhttp.ErrLost) {
			return streamBroken
		}
		return streamNotRun
	}
	defer response.Close()
	latency := e.config.Now().Sub(started)
	if !succeeded(response) {
		return e.handleUnsuccessful(placed, response)
	}
	if err := e.relayEvents(placed, response, results); err != nil {
		e.recordFailure(placed, err, latency)
		return streamBroken
	}
	e.record.result = meter.Served
	e.recordCall(placed, placement.Served, latency, e.progress.pace())
	return streamComplete
}

// handleUnsuccessful handles a response that is not a sealed success.
func (e *exchange) handleUnsuccessful(placed *placement.Placed, response *upstreamhttp.Response) streamOutcome {
	lease := e.responseLease(placed)
	defer lease.Release()
	body, err := response.ReadAll(e.ctx, lease, maxResponseBytes)
	e.log.Info().Err(err).Str("upstream", string(placed.ID)).Int("status", response.Status).Bool("sealed", response.Reply.Sealed).Bool("ran", !response.Reply.NotRun).Dur("age", e.age()).Msg("forward: upstream refused")
	switch {
	case response.Reply.NotRun && response.Status == http.StatusConflict:
		e.recordCall(placed, placement.Served, 0, 0)
		return streamNoInputs
	case response.Reply.NotRun:
		e.recordCall(placed, notRunEnding(response), 0, 0)
		return streamNotRun
	}
	e.recordCall(placed, placement.Failed, 0, 0)
	if err != nil || !response.Reply.Sealed || e.progress.started || notRunStatuses[response.Status] || response.Status/100 == 2 || e.route.Idempotent() {
		return streamBroken
	}
	e.ran++
	e.deliver(&bufferedResponse{
		response: response,
		body:     body,
		lease:    lease,
	})
	return streamComplete
}

// relayEvents forwards events to the caller until the stream is complete. It releases
// the results of the stages at the first event, since the upstream has read them by then.
func (e *exchange) relayEvents(placed *placement.Placed, response *upstreamhttp.Response, results *stageResults) error {
	lease := e.responseLease(placed)
	defer lease.Release()
	events := upstreamhttp.NewEvents(response, lease)
	flusher := http.NewResponseController(e.writer)
	for {
		event, err := events.Next(e.ctx)
		if errors.Is(err, io.EOF) {
			err = e.checkStreamEnd(placed, response)
			if err == nil {
				e.startResponse(response)
				return nil
			}
		}
		if err != nil {
			return err
		}
		e.startResponse(response)
		e.latest.Responding()
		e.config.Chooser.MarkPromptRead(placed)
		results.release()
		if event.ID != 0 {
			if event.ID <= e.progress.lastEvent {
				continue // the caller already has this event
			}
			if event.ID != e.progress.lastEvent+1 {
				return errors.Annotatef(upstreamhttp.ErrLost, "event %d follows %d", event.ID, e.progress.lastEvent)
			}
			e.progress.lastEvent = event.ID
			e.record.lastEvent = event.ID
		}
		e.release = placed.Release
		e.run.Began(placed.Release)
		e.record.maxPause = max(e.record.maxPause, e.progress.addEvent(e.config.Now()))
		if _, err := e.writer.Write(event.Text); err != nil {
			return err
		}
		if events.Ready() {
			continue // flush once for all events that are ready
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

// errNoEvents means that a stream has probably been cut short before its first event.
const errNoEvents = errors.ConstError("stream ends with the connection and has no event")

// checkStreamEnd returns an error if a stream that seems to be complete may have been cut
// short: its end is the end of the connection, and it has no event at all or the upstream
// has crashed.
func (e *exchange) checkStreamEnd(placed *placement.Placed, response *upstreamhttp.Response) error {
	if response.Unframed && e.progress.lastEvent == 0 && e.progress.upstreamEvents == 0 {
		return errors.WithType(errNoEvents, upstreamhttp.ErrLost)
	}
	return e.checkEnd(placed, response)
}

// startResponse sends the status and header of the first response whose events are
// forwarded; later calls do nothing.
func (e *exchange) startResponse(response *upstreamhttp.Response) {
	if e.progress.started {
		return
	}
	e.progress.started = true
	e.record.status = response.Status
	e.record.firstEvent = e.age()
	e.config.Meter.FirstEvent(e.route.Name, e.record.firstEvent)
	copyHeader(e.writer.Header(), response.Header)
	e.writer.Header().Del("Content-Length")
	e.writer.WriteHeader(response.Status)
}

// concludeStream ends an incomplete stream. It aborts the caller's connection if part of
// the stream has been sent.
func (e *exchange) concludeStream() {
	if !e.progress.started {
		e.conclude(nil)
		return
	}
	e.record.result = meter.Broken
	if e.request.Context().Err() != nil {
		e.recordAbandoned()
	}
	panic(http.ErrAbortHandler)
}
