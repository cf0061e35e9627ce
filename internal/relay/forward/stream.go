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
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// streamEnd says how one try of a stream ended.
type streamEnd uint8

const (
	streamComplete streamEnd = iota + 1 // nothing is left to do
	streamNotRun
	streamNoInputs // the results of the stages are gone; it did not run
	streamBroken   // it may have run
)

// relayed is what the caller has received of a stream.
type relayed struct {
	started bool
	last    wire.EventID
	events  int       // of the present upstream
	first   time.Time // of these
	at      time.Time // of the latest event
}

// next notes an event, and returns the time since the one before.
func (r *relayed) next(now time.Time) (pause time.Duration) {
	if !r.at.IsZero() {
		pause = now.Sub(r.at)
	}
	if r.events == 0 {
		r.first = now
	}
	r.events++
	r.at = now
	return pause
}

// pace returns the mean time between events of the present upstream, 0 if there
// were less than two.
func (r *relayed) pace() time.Duration {
	if r.events < 2 {
		return 0
	}
	return r.at.Sub(r.first) / time.Duration(r.events-1)
}

// inputs are the results of the stages of a request.
type inputs struct {
	coordinator.Prepared
	ready bool
}

// release drops the results.
func (i *inputs) release() {
	if i.ready && i.Release != nil {
		i.Release()
	}
	*i = inputs{}
}

// stream forwards a request that is answered by events.
func (e *exchange) stream() {
	sent := &relayed{
		last: e.head.LastEvent,
	}
	results := &inputs{}
	defer results.release()
	defer e.settle(placement.Abandoned, 0)
	for {
		if !results.ready {
			if err := e.prepare(results); err != nil {
				e.unprepared(err, sent)
				return
			}
		}
		to, ok := e.next(e.needs(e.domain(results), results.Bytes))
		if !ok {
			break
		}
		switch e.generate(to, results, sent) {
		case streamComplete:
			return
		case streamNotRun:
		case streamNoInputs:
			results.release()
		case streamBroken:
			// The results are still there unless an event has come.
			e.ran++
			if !e.again() {
				e.concludeStream(sent)
				return
			}
		}
	}
	e.concludeStream(sent)
}

// again reports whether the request may run once more, so that its stages are
// worth running again.
func (e *exchange) again() bool {
	return e.ctx.Err() == nil && e.route.Idempotent() && e.ran < e.route.Attempts
}

// domain is where the request should run: near the results of its stages.
func (e *exchange) domain(results *inputs) ident.FailureDomain {
	if results.Domain != "" {
		return results.Domain
	}
	return e.config.Domain
}

// affinity returns the beginning of the prompt whose requests go to one upstream.
func (e *exchange) affinity() placement.SharedPrefix {
	if e.shared.Key == 0 {
		upstreams := len(e.config.Fleet.Snapshot().Ready(e.service.Name))
		e.shared = e.config.Popularity.Affinity(e.arrived, e.head.Prompt, upstreams)
	}
	return e.shared
}

// home returns the failure domain where the request will probably run.
func (e *exchange) home() ident.FailureDomain {
	preferred, ok := placement.Preferred(placement.Query{
		Service: e.service.Name,
		Shared:  e.affinity(),
	}, e.config.Fleet.Snapshot())
	if !ok {
		return e.config.Domain
	}
	return preferred.Domain
}

// prepare runs the stages, and finds out where the request should run.
func (e *exchange) prepare(results *inputs) error {
	job := e.job()
	if !job.HasWork() && job.Target.Service == "" {
		results.ready = true
		return nil
	}
	began := e.config.Now()
	prepared, err := e.config.Stager.Prepare(e.ctx, job)
	took := e.config.Now().Sub(began)
	e.record.stages += took
	if err != nil {
		e.config.Meter.Stages(e.route.Name, meter.Refused, took)
		return err
	}
	e.record.coordinator = prepared.Coordinator
	e.config.Meter.Stages(e.route.Name, meter.Served, took)
	results.Prepared = prepared
	results.ready = true
	e.propose(prepared)
	return nil
}

// job returns the work of the stages, and what the request needs afterwards.
func (e *exchange) job() coordinator.Job {
	job := coordinator.Job{
		Job: batch.Job{
			Request:   e.head.Request,
			Domain:    e.home(),
			Rank:      batch.Rank(e.table.Rank(e.route, e.organisation)),
			Key:       e.head.PieceKey,
			Objective: e.arrived.Add(e.route.Objective - batch.FirstEventTime),
			Deadline:  e.deadline.Add(-batch.FirstEventTime),
		},
	}
	if e.service.Engine != nil {
		job.Target = e.needs(e.config.Domain, 0)
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

// needs says which upstream the request needs: near a failure domain that holds
// some bytes of its results, and none that it has tried.
func (e *exchange) needs(domain ident.FailureDomain, bytes int64) placement.Query {
	query := placement.Query{
		Service: e.service.Name,
		Domain:  domain,
		Bytes:   bytes,
		Prompt:  e.head.Prompt,
		Shared:  e.affinity(),
		Exclude: make(map[ident.UpstreamID]bool, len(e.tried)),
	}
	for _, id := range e.tried {
		query.Exclude[id] = true
	}
	return query
}

// unprepared answers a request whose stages have failed.
func (e *exchange) unprepared(err error, sent *relayed) {
	switch {
	case sent.started || e.ran > 0 || e.request.Context().Err() != nil:
		e.record.reason = err.Error()
		e.concludeStream(sent)
	case errors.Is(err, context.DeadlineExceeded):
		e.refuse("stages were not finished in time", retryTime)
	default:
		e.refuse(err.Error(), returnAfter(err))
	}
}

// returnAfter returns when a caller whose stages were refused may come back.
// Callers who were refused together come back at different times.
func returnAfter(err error) time.Duration {
	var overload *batch.Overload
	if !errors.As(err, &overload) {
		return retryTime
	}
	after := overload.RetryAfter()
	return after + rand.N(after/2)
}

// generate runs the request at one upstream and passes its events on.
func (e *exchange) generate(to *placement.Placed, results *inputs, sent *relayed) streamEnd {
	started := e.config.Now()
	e.record.cache = to.Cache.ID
	answer, err := e.send(e.ctx, to, wire.Dispatch{
		Inputs:    results.Inputs,
		LastEvent: sent.last,
		Cache:     to.Cache.Address,
	})
	if err != nil {
		e.unanswered(to, err, 0)
		if errors.Is(err, upstreamhttp.ErrLost) {
			return streamBroken
		}
		return streamNotRun
	}
	defer answer.Close()
	latency := e.config.Now().Sub(started)
	if !succeeded(answer) {
		return e.refusedStream(to, answer, sent)
	}
	if err := e.relay(to, answer, sent, results); err != nil {
		e.unanswered(to, err, latency)
		return streamBroken
	}
	e.record.result = meter.Served
	e.ended(to, placement.Served, latency, sent.pace())
	return streamComplete
}

// refusedStream handles an answer without success.
func (e *exchange) refusedStream(to *placement.Placed, answer *upstreamhttp.Response, sent *relayed) streamEnd {
	body, err := answer.ReadAll(replyBytes)
	e.log.Info().Err(err).Str("upstream", string(to.ID)).Int("status", answer.Status).Bool("sealed", answer.Reply.Sealed).Bool("ran", !answer.Reply.NotRun).Dur("age", e.age()).Msg("forward: upstream refused")
	switch {
	case answer.Reply.NotRun && answer.Status == http.StatusConflict:
		e.ended(to, placement.Served, 0, 0)
		return streamNoInputs
	case answer.Reply.NotRun:
		e.ended(to, placement.Full, 0, 0)
		return streamNotRun
	}
	e.ended(to, placement.Failed, 0, 0)
	if err != nil || !answer.Reply.Sealed || sent.started || promises[answer.Status] || answer.Status/100 == 2 || e.route.Idempotent() {
		return streamBroken
	}
	e.ran++
	e.deliver(&reply{
		answer: answer,
		body:   body,
	})
	return streamComplete
}

// relay passes events on until the stream is complete. The results of the
// stages are no longer needed once the upstream has sent an event.
func (e *exchange) relay(to *placement.Placed, answer *upstreamhttp.Response, sent *relayed, results *inputs) error {
	events := upstreamhttp.NewEvents(answer)
	sent.events = 0
	flusher := http.NewResponseController(e.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			e.start(answer, sent)
			return nil
		}
		if err != nil {
			return err
		}
		e.start(answer, sent)
		e.config.Chooser.MarkPromptRead(to)
		results.release()
		if event.ID != 0 {
			if event.ID <= sent.last {
				continue // the caller has it
			}
			if event.ID != sent.last+1 {
				return errors.Annotatef(upstreamhttp.ErrLost, "event %d follows %d", event.ID, sent.last)
			}
			sent.last = event.ID
			e.record.last = event.ID
		}
		e.record.pause = max(e.record.pause, sent.next(e.config.Now()))
		if _, err := e.writer.Write(event.Text); err != nil {
			return err
		}
		if events.Ready() {
			continue // what follows goes out in the same packet
		}
		if err := flusher.Flush(); err != nil {
			return err
		}
	}
}

// start sends the head of the first answer whose events reach the caller.
func (e *exchange) start(answer *upstreamhttp.Response, sent *relayed) {
	if sent.started {
		return
	}
	sent.started = true
	e.record.status = answer.Status
	e.record.first = e.age()
	e.config.Meter.FirstEvent(e.route.Name, e.record.first)
	copyHeader(e.writer.Header(), answer.Header)
	e.writer.Header().Del("Content-Length")
	e.writer.WriteHeader(answer.Status)
}

// concludeStream ends a stream that is not complete.
func (e *exchange) concludeStream(sent *relayed) {
	if !sent.started {
		e.conclude(nil)
		return
	}
	e.record.result = meter.Broken
	if e.request.Context().Err() != nil {
		e.left()
	}
	panic(http.ErrAbortHandler)
}
