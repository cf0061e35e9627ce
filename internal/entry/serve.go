package entry

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/organisation"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const (
	servePart = "entry"
	// recordWait bounds how long an answer waits for its outcome to be stored;
	// after it the answer goes out and the ledger keeps writing.
	recordWait = 250 * time.Millisecond
)

// ServerConfig holds what a Server needs.
type ServerConfig struct {
	Ledger     *claim.Ledger
	Runner     *pipeline.Runner
	Quarantine *quarantine.Keeper
	Crashed    func(ctx context.Context, at ident.Address) bool // whether the process at an address has ended; nil asks by connecting
	Announce   func(crash quarantine.Crash)                     // tells other hosts of a crashed upstream; nil tells nobody
	Limits     func() Limits                                    // made once for each service
	Recorder   timeline.Recorder
	Metrics    *metrics.Set
	NewAttempt func() ident.AttemptID
	Now        func() time.Time
}

// Server runs the requests of callers.
type Server struct {
	cfg      ServerConfig
	active   *active
	services *services
}

var _ caller.Server = (*Server)(nil)

// NewServer returns a server without requests.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Crashed == nil {
		cfg.Crashed = crashed
	}
	if cfg.Announce == nil {
		cfg.Announce = func(quarantine.Crash) {}
	}
	return &Server{
		cfg:      cfg,
		active:   newActive(),
		services: newServices(cfg.Limits),
	}
}

// Serve implements caller.Server.
func (s *Server) Serve(ctx context.Context, request caller.Request, sink caller.Sink) outcome.Outcome {
	s.active.begin(request.ID)
	defer s.active.end(request.ID)
	s.record(request, "arrived", timeline.NewField("service", string(request.Service.Name)), timeline.NewField("organisation", string(request.Organisation)))
	ended := s.admit(ctx, request, sink)
	s.finished(request, ended)
	return ended
}

// admit waits for the organisation's turn at the service and runs the request.
func (s *Server) admit(ctx context.Context, request caller.Request, sink caller.Sink) outcome.Outcome {
	limits := s.services.of(request.Service)
	permit, err := limits.Limiter.Acquire(ctx, request.Organisation, 1, request.Deadline)
	switch {
	case errors.Is(err, organisation.ErrDeadline):
		return outcome.Refused{
			Reason:  outcome.Deadline,
			Message: err.Error(),
		}
	case err != nil:
		return outcome.Refused{
			Reason:  outcome.Overload,
			Message: err.Error(),
		}
	}
	s.record(request, "admitted")
	ended := s.runIsolated(ctx, request, sink, limits, permit)
	permit.Release(released(ended))
	return ended
}

// runIsolated runs a request unless its content is in quarantine.
func (s *Server) runIsolated(ctx context.Context, request caller.Request, sink caller.Sink, limits *service, permit organisation.Permit) outcome.Outcome {
	g, refused := s.isolate(ctx, request)
	if refused != nil {
		return refused
	}
	ended := s.dispatch(ctx, request, sink, job(request, limits, g, permit))
	g.finish(ctx, ended)
	return ended
}

// released tells the limiter how a request ended.
func released(ended outcome.Outcome) organisation.Result {
	reason := outcome.Reason("")
	switch o := ended.(type) {
	case outcome.Answered:
		return organisation.Completed{}
	case outcome.Refused:
		reason = o.Reason
	case outcome.Failed:
		reason = o.Reason
	case outcome.Unknown:
		reason = o.Reason
	}
	if reason == outcome.Overload || reason == outcome.Deadline {
		return organisation.Overloaded{}
	}
	return organisation.Abandoned{}
}

// dispatch runs a request that has been admitted, under a claim if it may not be repeated.
func (s *Server) dispatch(ctx context.Context, request caller.Request, sink caller.Sink, work pipeline.Job) outcome.Outcome {
	if request.Route.Repeatable {
		return s.cfg.Runner.Run(ctx, work, sink)
	}
	// A caller that leaves must not end a non-repeatable request halfway: its
	// outcome is recorded for the repeat.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	if request.Identity == "" {
		return s.cfg.Runner.Run(ctx, work, sink)
	}
	return s.runClaimed(ctx, request, sink, work)
}

// runClaimed runs a non-repeatable request if its identity can be claimed.
func (s *Server) runClaimed(ctx context.Context, request caller.Request, sink caller.Sink, work pipeline.Job) outcome.Outcome {
	identity := claim.NewIdentity(request.Service.Name, request.Organisation, request.Identity)
	attempt := claimAttempt(request.ID)
	decision, err := s.cfg.Ledger.Claim(ctx, identity, attempt)
	switch {
	case errors.Is(err, claim.ErrUndecided):
		s.record(request, "claim undecided")
		return outcome.Unknown{
			Reason:  outcome.StoreUnavailable,
			Message: "the store did not confirm the claim; the request was not dispatched by this attempt",
		}
	case err != nil:
		s.record(request, "claim not written", timeline.NewField("error", err.Error()))
		return outcome.Refused{
			Reason:  outcome.StoreUnavailable,
			Message: "the request could not be claimed: " + err.Error(),
		}
	}
	switch d := decision.(type) {
	case claim.Granted:
		s.record(request, "claimed", timeline.NewField("identity", identity.String()))
		ended := s.cfg.Runner.Run(ctx, work, sink)
		s.settle(ctx, request, identity, attempt, ended)
		return ended
	case claim.InProgress:
		s.record(request, "repeat in progress", timeline.NewField("identity", identity.String()))
		return outcome.Unknown{
			Reason:  outcome.InProgress,
			Message: "the same request was accepted before and its outcome is not known; it is not run again",
		}
	case claim.Completed:
		s.record(request, "repeat answered", timeline.NewField("identity", identity.String()))
		return repeated(d)
	default:
		panic("claim: unknown decision")
	}
}

// settle records the outcome of a claimed request.
func (s *Server) settle(ctx context.Context, request caller.Request, identity claim.Identity, attempt ident.AttemptID, ended outcome.Outcome) {
	var result claim.Result
	switch o := ended.(type) {
	case outcome.Answered:
		result = claim.Done{
			Status: o.Status,
			Type:   o.Type,
			Body:   o.Body,
		}
	case outcome.Refused:
		result = claim.Released{}
	case outcome.Failed, outcome.Unknown:
		return // stays claimed, so that no repeat runs
	}
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	if err := s.cfg.Ledger.Finish(wait, identity, attempt, result); err != nil {
		s.record(request, "outcome not yet stored", timeline.NewField("error", err.Error()))
		return
	}
	s.record(request, "outcome stored")
}

// finished records the end of a request.
func (s *Server) finished(request caller.Request, ended outcome.Outcome) {
	name, reason := "answered", outcome.Reason("")
	switch o := ended.(type) {
	case outcome.Answered:
	case outcome.Refused:
		name, reason = "refused", o.Reason
	case outcome.Failed:
		name, reason = "failed", o.Reason
	case outcome.Unknown:
		name, reason = "unknown", o.Reason
	}
	took := s.cfg.Now().Sub(request.Arrived)
	s.record(request, name, timeline.NewField("reason", string(reason)), timeline.NewField("took", took.String()))
	label := `{service="` + string(request.Service.Name) + `",outcome="` + name + `",reason="` + string(reason) + `"}`
	s.cfg.Metrics.GetOrCreateCounter("nutmegshift_requests_total" + label).Inc()
	s.cfg.Metrics.GetOrCreateHistogram(`nutmegshift_request_seconds{service="` + string(request.Service.Name) + `"}`).Update(took.Seconds())
}

func (s *Server) record(request caller.Request, name string, fields ...timeline.Field) {
	s.cfg.Recorder.Record(timeline.Event{
		Request: request.ID,
		Part:    servePart,
		Name:    name,
		Fields:  fields,
	})
}

// repeated answers a repeat with the outcome of the first request.
func repeated(first claim.Completed) outcome.Outcome {
	if !first.Kept {
		return outcome.Failed{
			Reason:  outcome.NotKept,
			Message: "the same request completed before; its answer is no longer kept",
		}
	}
	return outcome.Answered{
		Status: first.Status,
		Type:   first.Type,
		Body:   first.Body,
	}
}

func job(request caller.Request, limits *service, g *guard, permit organisation.Permit) pipeline.Job {
	return pipeline.Job{
		Request:      request.ID,
		Service:      request.Service,
		Route:        request.Route,
		Organisation: request.Organisation,
		Suspect:      g.trial != nil,
		Guard:        g,
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Stream:       request.Stream,
		Method:       request.Method,
		Path:         request.Path,
		Headers:      request.Headers,
		Body:         request.Body,
		Deadline:     request.Deadline,
		Budget:       limits.Budget,
		Estimates:    limits.Estimates,
		OnOverload:   permit.Refused,
	}
}
