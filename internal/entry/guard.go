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
	// clearAttempts and clearRetryDelay bound the attempts to clear the quarantine
	// record of a request that succeeded. A record that remains would block the
	// content for minutes.
	clearAttempts   = 3
	clearRetryDelay = 100 * time.Millisecond
)

// guard applies the quarantine to one request: it records the crashes that the
// request causes and holds its trial.
type guard struct {
	crashed       func(ctx context.Context, address ident.Address) bool
	announceCrash func(crash quarantine.Crash)
	keeper        *quarantine.Keeper
	fingerprint   quarantine.Fingerprint
	attempt       ident.AttemptID
	trial         *quarantine.Trial // nil unless the request runs as a trial
}

var _ pipeline.Guard = (*guard)(nil)

// ConnectionLost implements pipeline.Guard. It records a crash even after the
// request's deadline.
func (g *guard) ConnectionLost(ctx context.Context, lease upstream.Lease) bool {
	ctx = context.WithoutCancel(ctx)
	if !g.crashed(ctx, lease.Address) {
		return false
	}
	crash := quarantine.Crash{
		Upstream:    lease.Upstream,
		Incarnation: lease.Incarnation,
	}
	g.announceCrash(crash)
	// Errors are ignored: this host and the peers that were reached know of the
	// strike, and Begin rejects trials while the store is unavailable.
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
	return g.beginTrial(ctx) == nil
}

func (g *guard) beginTrial(ctx context.Context) error {
	trial, err := g.keeper.Begin(ctx, g.fingerprint, g.attempt)
	if err != nil {
		return err
	}
	g.trial = trial
	return nil
}

// finish ends the request's trial, if it has one.
func (g *guard) finish(ctx context.Context, out outcome.Outcome) {
	if g.trial == nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	if _, answered := out.(outcome.Answered); !answered {
		_ = g.trial.Abandoned(ctx)
		return
	}
	for range clearAttempts {
		if g.trial.Succeeded(ctx) == nil {
			return
		}
		time.Sleep(clearRetryDelay)
	}
}

// checkQuarantine checks the request against the quarantine and begins a trial,
// which the guard holds, if the request is a suspect. The refusal is nil if the
// request may run.
func (s *Server) checkQuarantine(ctx context.Context, request caller.Request) (g *guard, refusal outcome.Outcome) {
	g = &guard{
		crashed:       s.cfg.Crashed,
		announceCrash: s.cfg.Announce,
		keeper:        s.cfg.Quarantine,
		fingerprint:   fingerprint(request),
		attempt:       s.cfg.NewAttempt(),
	}
	switch verdict := s.cfg.Quarantine.Check(g.fingerprint).(type) {
	case quarantine.Clear:
		return g, nil
	case quarantine.Blocked:
		return nil, quarantinedOutcome(verdict.Until)
	case quarantine.Suspect:
		s.record(request, "suspect", timeline.NewField("fingerprint", g.fingerprint.String()))
	}
	err := g.beginTrial(ctx)
	switch {
	case err == nil:
		return g, nil
	case errors.Is(err, quarantine.ErrBlocked):
		return nil, quarantinedOutcome(s.cfg.Now().Add(quarantine.BlockPeriod))
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

func quarantinedOutcome(until time.Time) outcome.Outcome {
	return outcome.Refused{
		Reason:  outcome.Quarantined,
		Message: "the content crashed two upstreams and is refused until " + until.UTC().Format(time.RFC3339),
	}
}

// fingerprint identifies the content that an upstream would run. It excludes the
// caller's request identity, because a caller may retry a failed request under a
// new one.
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
