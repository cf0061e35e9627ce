package forward

import (
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// proposal is the upstream that a coordinator, which knows the requests of all hosts,
// has chosen for a request. The coordinator receives a report of the outcome.
type proposal struct {
	upstream, cache ident.UpstreamID // cache has the prompt that upstream should fetch; it may be empty
	coordinator     ident.HostID
	placed          *placement.Placed // nil until the request is sent to the proposed upstream
}

// setProposal replaces the proposal by that of a coordinator. It returns an error if a stream
// that may be taken up must not begin anywhere: the coordinator has noted that it begins at an
// upstream that this host does not know, and this host may not be able to note another one.
func (e *exchange) setProposal(prepared coordinator.Prepared) error {
	e.reportProposal(placement.Abandoned, 0)
	if prepared.Upstream == "" {
		return nil
	}
	e.proposal = &proposal{
		upstream:    prepared.Upstream,
		cache:       prepared.Cache,
		coordinator: prepared.Coordinator,
	}
	upstream, known := e.config.Fleet.Snapshot().Upstream(prepared.Upstream)
	if !known && e.begins() {
		if err := e.config.Streams.Refresh(e.ctx); err != nil {
			return errors.Annotate(err, "the proposed upstream is not known")
		}
		upstream, _ = e.config.Fleet.Snapshot().Upstream(prepared.Upstream)
	}
	e.run.Proposed(upstream.Release)
	return nil
}

// choose returns the proposed upstream. If there is no proposal, or this host finds the
// proposed upstream unusable, it chooses one itself.
func (e *exchange) choose(query placement.Query) (*placement.Placed, bool) {
	snapshot := e.config.Fleet.Snapshot()
	if p := e.proposal; p != nil && p.placed == nil {
		placed, ok := e.config.Chooser.PlaceAt(query, p.upstream, p.cache, snapshot)
		if ok {
			p.placed = placed
			return placed, true
		}
		e.reportProposal(placement.Abandoned, 0)
	}
	if placed, ok := e.chooseFirst(query, snapshot); ok {
		return placed, true
	}
	return e.config.Chooser.Choose(query, snapshot)
}

// chooseFirst chooses an upstream of the release that was proposed, or to which the request
// was sent, first. It returns false if there is none.
func (e *exchange) chooseFirst(query placement.Query, snapshot *fleet.Snapshot) (*placement.Placed, bool) {
	if e.run == nil || query.Release != "" {
		return nil, false
	}
	query.Release = e.run.First()
	if query.Release == "" {
		return nil, false
	}
	return e.config.Chooser.Choose(query, snapshot)
}

// reportProposal reports the outcome of the proposal to its coordinator and clears it.
func (e *exchange) reportProposal(ending placement.Ending, pace time.Duration) {
	if e.proposal == nil {
		return
	}
	report := coordinator.Report{
		Request: e.head.Request,
		Ending:  ending,
		Pace:    pace,
	}
	if upstream, ok := e.config.Fleet.Snapshot().Upstream(e.proposal.upstream); ok {
		report.Pause = e.config.Pauses.RetryAfter(upstream)
	}
	e.config.Stager.Report(e.proposal.coordinator, report)
	e.proposal = nil
}
