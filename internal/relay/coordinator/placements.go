package coordinator

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// sweepInterval is the minimum time between two sweeps for expired requests.
const sweepInterval = time.Second

// inFlight is a placed request whose outcome has not been reported.
type inFlight struct {
	*placement.Placed
	deadline time.Time // time by which the request has ended
}

// placements tracks the requests in flight at upstreams that the coordinator has
// chosen. Hosts report their outcomes with later jobs.
type placements struct {
	chooser *placement.Chooser

	mu        sync.Mutex
	byRequest map[ident.RequestID]inFlight
	lastSweep time.Time
}

func newPlacements(chooser *placement.Chooser) *placements {
	return &placements{
		chooser:   chooser,
		byRequest: make(map[ident.RequestID]inFlight),
	}
}

// place chooses an upstream for the request of a job and tracks the request.
func (p *placements) place(now time.Time, job Job, query placement.Query, snapshot *fleet.Snapshot) (*placement.Placed, bool) {
	placed, ok := p.chooser.Choose(query, snapshot)
	if !ok {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	p.byRequest[job.Request] = inFlight{
		Placed:   placed,
		deadline: job.Deadline,
	}
	return placed, true
}

// sweep drops the requests whose deadline has passed without a report. The caller holds
// the mutex.
func (p *placements) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for request, held := range p.byRequest {
		if now.After(held.deadline) {
			delete(p.byRequest, request)
			p.chooser.Done(held.Placed, placement.Abandoned, 0)
		}
	}
}

// markPromptRead records that the upstream has read the prompt of a request.
func (p *placements) markPromptRead(request ident.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held, ok := p.byRequest[request]; ok {
		p.chooser.MarkPromptRead(held.Placed)
	}
}

// report records the outcomes of requests; reports on unknown requests are ignored.
func (p *placements) report(reports []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		if held, ok := p.byRequest[r.Request]; ok {
			delete(p.byRequest, r.Request)
			p.chooser.Done(held.Placed, r.Ending, r.Pace)
			if r.Pause > 0 {
				p.chooser.Avoid(held.Upstream, r.Pause)
			}
		}
	}
}
