package forward

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// proposal is where a coordinator, which knows the requests of all hosts, would run
// a request. It learns how that ended.
type proposal struct {
	upstream, cache ident.UpstreamID
	coordinator     ident.HostID
	placed          *placement.Placed // once it is carried out
}

// propose takes where a coordinator has placed the request.
func (e *exchange) propose(prepared coordinator.Prepared) {
	e.settle(placement.Abandoned, 0)
	if prepared.Upstream == "" {
		return
	}
	e.proposal = &proposal{
		upstream:    prepared.Upstream,
		cache:       prepared.Cache,
		coordinator: prepared.Coordinator,
	}
}

// choose returns the upstream that a coordinator has proposed, or chooses another
// one if this host knows better.
func (e *exchange) choose(query placement.Query) (*placement.Placed, bool) {
	snapshot := e.config.Fleet.Snapshot()
	if p := e.proposal; p != nil && p.placed == nil {
		placed, ok := e.config.Chooser.PlaceAt(query, p.upstream, p.cache, snapshot)
		if ok {
			p.placed = placed
			return placed, true
		}
		e.settle(placement.Abandoned, 0)
	}
	return e.config.Chooser.Choose(query, snapshot)
}

// settle reports the end of what a coordinator has proposed.
func (e *exchange) settle(ending placement.Ending, pace time.Duration) {
	if e.proposal == nil {
		return
	}
	e.config.Stager.Report(e.proposal.coordinator, coordinator.Report{
		Request: e.head.Request,
		Ending:  ending,
		Pace:    pace,
	})
	e.proposal = nil
}
