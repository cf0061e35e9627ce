package coordinator

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
)

// sweepInterval is how often requests of which nobody reports are dropped.
const sweepInterval = time.Second

// inFlight is a request that has been placed.
type inFlight struct {
	*placement.Placed
	deadline time.Time // when it has ended at the latest
}

// placements are the requests in flight at upstreams that the coordinator has
// chosen. Their hosts report how they ended with the jobs that follow.
type placements struct {
	chooser *placement.Chooser

	mu        sync.Mutex
	byRequest map[ident.RequestID]inFlight
	swept     time.Time
}

func newPlacements(chooser *placement.Chooser) *placements {
	return &placements{
		chooser:   chooser,
		byRequest: make(map[ident.RequestID]inFlight),
	}
}

// place chooses an upstream for the request of a job.
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

// sweep drops the requests of which nobody has reported.
func (p *placements) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for request, held := range p.byRequest {
		if now.After(held.deadline) {
			delete(p.byRequest, request)
			p.chooser.Done(held.Placed, placement.Abandoned, 0)
		}
	}
}

// began notes that the upstream has read the prompt of a request.
func (p *placements) began(request ident.RequestID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if held, ok := p.byRequest[request]; ok {
		p.chooser.MarkPromptRead(held.Placed)
	}
}

// report takes the ends of requests; those that are not known are ignored.
func (p *placements) report(reports []Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		if held, ok := p.byRequest[r.Request]; ok {
			delete(p.byRequest, r.Request)
			p.chooser.Done(held.Placed, r.Ending, r.Pace)
		}
	}
}
