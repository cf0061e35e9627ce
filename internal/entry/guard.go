package entry

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/quarantine"
	"github.com/nutmegshift/nutmegshift/timeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	// clearTries and clearPause bound the attempts to clear a request that
	// succeeded; a mark that stays would block it for minutes.
	clearTries = 3
	clearPause = 100 * time.Millisecond
)

// guard isolates one request by the records of the quarantine.
type guard struct {
	crashed     func(ctx context.Context, at ident.Address) bool
	announce    func(crash quarantine.Crash)
	keeper      *quarantine.Keeper
	fingerprint quarantine.Fingerprint
	attempt     ident.AttemptID
	trial       *quarantine.Trial // nil unless the request runs as a trial
}

var _ pipeline.Guard = (*guard)(nil)

// ConnectionLost implements pipeline.Guard. The record outlives the request's deadline.
func (g *guard) ConnectionLost(ctx context.Context, at upstream.Lease) bool {
	ctx = context.WithoutCancel(ctx)
	if !g.crashed(ctx, at.Address) {
		return false
	}
	crash := quarantine.Crash{
		Upstream:    at.Upstream,
		Incarnation: at.Incarnation,
	}
	g.announce(crash)
	// Errors leave the strike known to this host and the peers that were
	// reached; Begin refuses a trial while the store is down.
	if g.trial != nil {
		_ = g.trial.Crashed(ctx, crash)
		g.trial = nil
		return true
	}
	_ = g.keeper.Strike(ctx, g.fingerprint, crash)
	return true
}

// AllowRetry implements pipeline.Guard.
func (g *guard) AllowRetry(ctx context.Context) bool {
	return g.begin(ctx) == nil
}

func (g *guard) begin(ctx context.Context) error {
	trial, err := g.keeper.Begin(ctx, g.fingerprint, g.attempt)
	if err != nil {
		return err
	}
	g.trial = trial
	return nil
}

// finish ends the trial of a request, if it ran as one.
func (g *guard) finish(ctx context.Context, ended outcome.Outcome) {
	if g.trial == nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	if _, answered := ended.(outcome.Answered); !answered {
		_ = g.trial.Abandoned(ctx)
		return
	}
	for range clearTries {
		if g.trial.Succeeded(ctx) == nil {
			return
		}
		time.Sleep(clearPause)
	}
}

// isolate checks the request against the quarantine. A suspect gets a trial,
// which the guard holds; refused is nil if the request may run.
func (s *Server) isolate(ctx context.Context, request caller.Request) (g *guard, refused outcome.Outcome) {
	g = &guard{
		crashed:     s.cfg.Crashed,
		announce:    s.cfg.Announce,
		keeper:      s.cfg.Quarantine,
		fingerprint: fingerprint(request),
		attempt:     s.cfg.NewAttempt(),
	}
	switch verdict := s.cfg.Quarantine.Check(g.fingerprint).(type) {
	case quarantine.Clear:
		return g, nil
	case quarantine.Blocked:
		return nil, quarantined(verdict.Until)
	case quarantine.Suspect:
		s.record(request, "suspect", timeline.NewField("fingerprint", g.fingerprint.String()))
	}
	err := g.begin(ctx)
	switch {
	case err == nil:
		return g, nil
	case errors.Is(err, quarantine.ErrBlocked):
		return nil, quarantined(s.cfg.Now().Add(quarantine.BlockPeriod))
	case errors.Is(err, quarantine.ErrTrying):
		return nil, outcome.Refused{
			Reason:  outcome.InProgress,
			Message: "the same content crashed an upstream and is being tried by another host",
		}
	default:
		return nil, outcome.Refused{
			Reason:  outcome.StoreUnavailable,
			Message: "the content crashed an upstream and cannot be tried without the store",
		}
	}
}

func quarantined(until time.Time) outcome.Outcome {
	return outcome.Refused{
		Reason:  outcome.Quarantined,
		Message: "the content crashed two upstreams and is refused until " + until.UTC().Format(time.RFC3339),
	}
}

// fingerprint names what an upstream would run, without the caller's own id,
// since a caller sends a failed request again under a new one.
func fingerprint(request caller.Request) quarantine.Fingerprint {
	content := request.Prompt
	if content == "" {
		content = request.Path + "\n" + string(request.Body)
	}
	if request.Identity != "" {
		content = strings.ReplaceAll(content, request.Identity, "")
	}
	return quarantine.NewFingerprint(request.Service.Name, request.Route.Name, []byte(content))
}
