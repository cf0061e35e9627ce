package pipeline

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
)

// placements are the upstreams that run suspect jobs now. Suspects do not share
// an upstream, so that one that crashes it does not take another one's second
// try with it.
type placements struct {
	mu    sync.Mutex
	count map[ident.UpstreamID]int
}

func newPlacements() *placements {
	return &placements{
		count: make(map[ident.UpstreamID]int),
	}
}

func (p *placements) enter(at ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[at]++
}

func (p *placements) leave(at ident.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[at]--
	if p.count[at] <= 0 {
		delete(p.count, at)
	}
}

// occupied returns exclude with the upstreams that run a suspect.
func (p *placements) occupied(exclude []ident.UpstreamID) []ident.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Clone(exclude)
	for at := range p.count {
		all = append(all, at)
	}
	return all
}
