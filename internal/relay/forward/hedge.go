package forward

import (
	"context"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// attemptResult is the result of an attempt at one upstream.
type attemptResult struct {
	buffered *bufferedResponse
	err      error
}

// isFinal reports whether the response can be delivered without another attempt.
func (r attemptResult) isFinal() bool {
	return r.err == nil && !r.buffered.response.Reply.NotRun && r.buffered.isFinal()
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	cancel context.CancelFunc
	done   chan attemptResult
}

// attemptHedged sends the request to an upstream and, if that takes unusually long, also to
// a second one. It returns the results, a final one last; it cancels the other attempt then.
func (e *exchange) attemptHedged(placed *placement.Placed) []attemptResult {
	delay, ok := e.hedgeDelay()
	if !ok {
		buffered, err := e.attempt(placed)
		return []attemptResult{{
			buffered: buffered,
			err:      err,
		}}
	}
	first := e.startAttempt(placed)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case result := <-first.done:
		return []attemptResult{result}
	case <-timer.C:
	}
	hedge, ok := e.nextHedge(delay)
	if !ok {
		return []attemptResult{<-first.done}
	}
	second := e.startAttempt(hedge)
	var result attemptResult
	other, won := second, false
	select {
	case result = <-first.done:
	case result = <-second.done:
		other, won = first, true
	}
	if !result.isFinal() {
		return []attemptResult{result, <-other.done}
	}
	other.cancel()
	lost := <-other.done
	lost.buffered.release()
	e.config.Meter.Hedge(e.service.Name, won)
	if lost.err == nil && lost.buffered.response.Reply.NotRun {
		return []attemptResult{result}
	}
	e.ran++ // the cancelled attempt may have run
	return []attemptResult{result}
}

// hedgeDelay returns how long to wait for the first upstream before the request is sent to
// a second one. It returns false if the request may not run twice.
func (e *exchange) hedgeDelay() (time.Duration, bool) {
	if !e.route.Idempotent() || e.ran+1 >= e.route.Attempts || len(e.tried) != 1 {
		return 0, false
	}
	return e.config.Hedges.Delay(e.service.Name)
}

// nextHedge chooses the second upstream, if the limits allow a hedge.
func (e *exchange) nextHedge(delay time.Duration) (*placement.Placed, bool) {
	if e.ctx.Err() != nil || !e.config.Poison.MayRetry(e.identity) || !e.config.Hedges.Allow(e.service.Name) {
		return nil, false
	}
	placed, ok := e.nextUpstream(e.placementQuery(e.config.Domain, 0))
	if ok {
		e.log.Info().Str("upstream", string(placed.ID)).Dur("delay", delay).Dur("age", e.age()).Msg("forward: sent to a second upstream, the first one takes unusually long")
	}
	return placed, ok
}

// startAttempt starts an attempt with a state of its own.
func (e *exchange) startAttempt(placed *placement.Placed) *runningAttempt {
	ctx, cancel := context.WithCancel(e.ctx)
	attempt := *e
	attempt.ctx = ctx
	running := &runningAttempt{
		cancel: cancel,
		done:   make(chan attemptResult, 1),
	}
	go func(context.Context) {
		defer cancel()
		buffered, err := attempt.attempt(placed)
		running.done <- attemptResult{
			buffered: buffered,
			err:      err,
		}
	}(ctx)
	return running
}
