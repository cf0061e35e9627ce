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
	// recordTimeout bounds how long a response waits for its outcome to be stored.
	// After that the response is sent while the ledger continues to write.
	recordTimeout = 250 * time.Millisecond
)

// ServerConfig configures a Server. All fields are required except Crashed and
// Announce.
type ServerConfig struct {
	Ledger     *claim.Ledger
	Runner     *pipeline.Runner
	Quarantine *quarantine.Keeper
	Crashed    func(ctx context.Context, address ident.Address) bool // reports whether the process at an address has ended; default: probes it by connecting
	Announce   func(crash quarantine.Crash)                          // notifies other hosts of a crashed upstream; default: no notification
	NewLimits  func() Limits                                         // called once for each service
	Recorder   timeline.Recorder
	Metrics    *metrics.Set
	NewAttempt func() ident.AttemptID
	Now        func() time.Time
}

// Server runs the requests of callers. It is safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	active   *active
	services *services
}

var _ caller.Server = (*Server)(nil)

// NewServer returns a Server with the defaults of cfg filled in.
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
		services: newServices(cfg.NewLimits),
	}
}

// Serve implements caller.Server.
func (s *Server) Serve(ctx context.Context, request caller.Request, sink caller.Sink) outcome.Outcome {
	s.active.begin(request.ID)
	defer s.active.end(request.ID)
	s.record(request, "arrived", timeline.NewField("service", string(request.Service.Name)), timeline.NewField("organisation", string(request.Organisation)))
	out := s.admit(ctx, request, sink)
	s.recordEnd(request, out)
	return out
}

// admit runs the request once the service's limiter admits its organisation. While the host
// drains, it refuses requests that might be interrupted.
func (s *Server) admit(ctx context.Context, request caller.Request, sink caller.Sink) outcome.Outcome {
	if s.active.refuses(request.Deadline) {
		return outcome.Refused{
			Reason:  outcome.Stopping,
			Message: "the host stops before the deadline of the request",
		}
	}
	limits := s.services.get(request.Service)
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
	out := s.runUnlessQuarantined(ctx, request, sink, limits, permit)
	permit.Release(limiterResult(out))
	return out
}

// runUnlessQuarantined runs a request unless its content is in quarantine.
func (s *Server) runUnlessQuarantined(ctx context.Context, request caller.Request, sink caller.Sink, limits *service, permit organisation.Permit) outcome.Outcome {
	g, refusal := s.checkQuarantine(ctx, request)
	if refusal != nil {
		return refusal
	}
	out := s.dispatch(ctx, request, sink, newJob(request, limits, g, permit))
	g.finish(ctx, out)
	return out
}

// limiterResult converts an outcome to a result for the limiter.
func limiterResult(out outcome.Outcome) organisation.Result {
	reason := outcome.Reason("")
	switch o := out.(type) {
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
func (s *Server) dispatch(ctx context.Context, request caller.Request, sink caller.Sink, job pipeline.Job) outcome.Outcome {
	if request.Route.Repeatable {
		return s.cfg.Runner.Run(ctx, job, sink)
	}
	// A non-repeatable request continues if its caller disconnects: its outcome is
	// recorded for retries.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancel()
	if request.Identity == "" {
		return s.cfg.Runner.Run(ctx, job, sink)
	}
	return s.runClaimed(ctx, request, sink, job)
}

// runClaimed runs a non-repeatable request if its identity can be claimed.
func (s *Server) runClaimed(ctx context.Context, request caller.Request, sink caller.Sink, job pipeline.Job) outcome.Outcome {
	identity := claim.NewIdentity(request.Service.Name, request.Organisation, request.Identity)
	attempt := claimAttemptID(request.ID)
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
		out := s.cfg.Runner.Run(ctx, job, sink)
		s.recordOutcome(ctx, request, identity, attempt, out)
		return out
	case claim.InProgress:
		s.record(request, "repeat in progress", timeline.NewField("identity", identity.String()))
		return outcome.Unknown{
			Reason:  outcome.InProgress,
			Message: "the same request was accepted before and its outcome is not known; it is not run again",
		}
	case claim.Completed:
		s.record(request, "repeat answered", timeline.NewField("identity", identity.String()))
		return retryOutcome(d)
	default:
		panic("claim: unknown decision")
	}
}

// recordOutcome stores the outcome of a claimed request in the ledger.
func (s *Server) recordOutcome(ctx context.Context, request caller.Request, identity claim.Identity, attempt ident.AttemptID, out outcome.Outcome) {
	var result claim.Result
	switch o := out.(type) {
	case outcome.Answered:
		result = claim.Done{
			Status: o.Status,
			Type:   o.Type,
			Body:   o.Body,
		}
	case outcome.Refused:
		result = claim.Released{}
	case outcome.Failed, outcome.Unknown:
		return // remains claimed, so that no retry runs
	}
	storeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := s.cfg.Ledger.Finish(storeCtx, identity, attempt, result); err != nil {
		s.record(request, "outcome not yet stored", timeline.NewField("error", err.Error()))
		return
	}
	s.record(request, "outcome stored")
}

// recordEnd records the end of a request in the timeline and the metrics.
func (s *Server) recordEnd(request caller.Request, out outcome.Outcome) {
	name, reason := "answered", outcome.Reason("")
	switch o := out.(type) {
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

// retryOutcome returns the outcome of a retry: that of the first request, if kept.
func retryOutcome(first claim.Completed) outcome.Outcome {
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

func newJob(request caller.Request, limits *service, g *guard, permit organisation.Permit) pipeline.Job {
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
