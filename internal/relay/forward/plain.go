package forward

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// reply is a whole answer of an upstream.
type reply struct {
	answer *upstreamhttp.Answer
	body   []byte
}

// plain forwards a request whose answer is passed on when it is whole.
func (e *exchange) plain() {
	var tried []ident.UpstreamID
	var last *reply // the latest answer of an upstream that ran the request
	ran := 0        // upstreams that may have run the request
	for len(tried) < maxSends && e.ctx.Err() == nil {
		if ran > 0 && !e.again(ran) {
			break
		}
		to, ok := e.choose(placement.Query{
			Domain:  e.config.Domain,
			Exclude: excluded(tried),
		})
		if !ok {
			break
		}
		if len(tried) == 0 {
			e.config.Budget.Request(e.arrived, e.service.Name)
		} else if !e.config.Budget.Repeat(e.config.Now(), e.service.Name) {
			e.config.Chooser.Done(to, placement.Left, 0)
			break
		}
		tried = append(tried, to.ID)
		got, err := e.try(to)
		switch {
		case err == nil && got.answer.Reply.NotRun:
		case err == nil:
			ran++
			last = got
			if got.answer.Status < http.StatusInternalServerError && succeededOrFinal(got.answer) {
				e.deliver(got)
				return
			}
		case errors.Is(err, upstreamhttp.ErrLost):
			ran++
		}
	}
	e.conclude(last, ran, len(tried))
}

// succeededOrFinal reports whether an answer needs no other try.
func succeededOrFinal(answer *upstreamhttp.Answer) bool {
	return answer.Status/100 != 2 || answer.Reply.Sealed
}

// again reports whether a request that may have run on some upstreams may run on another one.
func (e *exchange) again(ran int) bool {
	return e.route.Idempotent() && ran < e.route.Attempts
}

// conclude answers a request that no upstream has answered with success.
func (e *exchange) conclude(last *reply, ran, tried int) {
	switch {
	case e.request.Context().Err() != nil:
		e.log.Debug().Dur("age", e.age()).Msg("forward: caller has left")
	case last != nil && last.answer.Reply.Sealed && !promises[last.answer.Status] && last.answer.Status/100 != 2:
		e.deliver(last)
	case ran > 0 && e.ctx.Err() != nil:
		e.fail(http.StatusGatewayTimeout, "no upstream answered in time")
	case ran > 0:
		e.fail(http.StatusBadGateway, "no upstream answered")
	case tried == 0:
		e.refuse("no upstream is available", retryTime)
	default:
		e.refuse("all upstreams are full", fullTime)
	}
}

// try sends the request to one upstream and reads the whole answer.
func (e *exchange) try(to fleet.Upstream) (*reply, error) {
	started := e.config.Now()
	answer, err := e.send(e.ctx, to, wire.Dispatch{})
	if err != nil {
		e.placed(to, err, 0)
		return nil, err
	}
	defer answer.Close()
	latency := e.config.Now().Sub(started)
	body, err := answer.All(replyBytes)
	if err != nil && !answer.Reply.NotRun {
		e.placed(to, err, latency)
		return nil, err
	}
	ending := placement.Served
	switch {
	case answer.Reply.NotRun:
		ending = placement.Full
		e.log.Info().Str("upstream", string(to.ID)).Int("status", answer.Status).Msg("forward: upstream refused")
	case answer.Status >= http.StatusInternalServerError || !succeededOrFinal(answer):
		e.log.Info().Str("upstream", string(to.ID)).Int("status", answer.Status).Bool("sealed", answer.Reply.Sealed).Msg("forward: upstream failed")
	}
	e.config.Chooser.Done(to, ending, latency)
	return &reply{
		answer: answer,
		body:   body,
	}, nil
}

// placed tells the chooser of a request without an answer.
func (e *exchange) placed(to fleet.Upstream, err error, latency time.Duration) {
	ending := placement.Failed
	if e.ctx.Err() != nil {
		ending = placement.Left
	}
	if errors.Is(err, upstreamhttp.ErrBusy) {
		ending = placement.Full
	}
	e.log.Info().Err(err).Str("upstream", string(to.ID)).Dur("age", e.age()).Msg("forward: no answer of upstream")
	e.config.Chooser.Done(to, ending, latency)
}

// deliver passes a whole answer on.
func (e *exchange) deliver(r *reply) {
	copyHeader(e.writer.Header(), r.answer.Header)
	e.writer.WriteHeader(r.answer.Status)
	if _, err := e.writer.Write(r.body); err != nil {
		e.log.Debug().Err(err).Msg("forward: caller has left")
	}
}
