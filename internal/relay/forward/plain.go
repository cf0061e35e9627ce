package forward

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// reply is a whole answer of an upstream.
type reply struct {
	answer *upstreamhttp.Response
	body   []byte
}

// final reports whether another upstream would not answer better: an upstream's
// own failure may be tried again, and a success without its seal is damaged.
func (r *reply) final() bool {
	return r.answer.Status < http.StatusInternalServerError && (r.answer.Status/100 != 2 || r.answer.Reply.Sealed)
}

// plain forwards a request whose answer is passed on when it is whole.
func (e *exchange) plain() {
	var last *reply // the latest answer of an upstream that ran the request
	for {
		to, ok := e.next(e.needs(e.config.Domain, 0))
		if !ok {
			break
		}
		got, err := e.try(to)
		switch {
		case err == nil && got.answer.Reply.NotRun:
		case err == nil:
			e.ran++
			last = got
			if got.final() {
				e.deliver(got)
				return
			}
		case errors.Is(err, upstreamhttp.ErrLost):
			e.ran++
		}
	}
	e.conclude(last)
}

// conclude answers a request that no upstream has answered with success.
func (e *exchange) conclude(last *reply) {
	switch {
	case e.request.Context().Err() != nil:
		e.left()
	case last != nil && last.answer.Reply.Sealed && !promises[last.answer.Status] && last.answer.Status/100 != 2:
		e.deliver(last)
	case e.ran > 0 && e.ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, "no upstream answered in time")
	case e.ran > 0:
		e.fail(http.StatusBadGateway, "no upstream answered")
	case len(e.tried) == 0:
		e.refuse("no upstream is available", retryTime)
	default:
		e.refuse("all upstreams are full", fullTime)
	}
}

// try sends the request to one upstream and reads the whole answer.
func (e *exchange) try(to *placement.Placed) (*reply, error) {
	started := e.config.Now()
	answer, err := e.send(e.ctx, to, wire.Dispatch{})
	if err != nil {
		e.unanswered(to, err, 0)
		return nil, err
	}
	defer answer.Close()
	latency := e.config.Now().Sub(started)
	body, err := answer.ReadAll(replyBytes)
	if err != nil && !answer.Reply.NotRun {
		e.unanswered(to, err, latency)
		return nil, err
	}
	got := &reply{
		answer: answer,
		body:   body,
	}
	ending, pace := placement.Served, time.Duration(0)
	switch {
	case answer.Reply.NotRun:
		ending = placement.Full
		e.log.Info().Str("upstream", string(to.ID)).Int("status", answer.Status).Dur("age", e.age()).Msg("forward: upstream refused")
	case !got.final():
		e.log.Info().Str("upstream", string(to.ID)).Int("status", answer.Status).Bool("sealed", answer.Reply.Sealed).Dur("age", e.age()).Msg("forward: upstream failed")
	default:
		pace = latency
	}
	e.ended(to, ending, latency, pace)
	return got, nil
}
