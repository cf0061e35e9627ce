package pipeline

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
)

// suspectUpstreams counts the suspect jobs that run on each upstream. Suspects do
// not share an upstream: if one of them crashes it, the crash must not end the
// retry of another suspect.
type suspectUpstreams struct {
	mu     sync.Mutex
	counts map[ident.UpstreamID]int
}

func newSuspectUpstreams() *suspectUpstreams {
	return &suspectUpstreams{
		counts: make(map[ident.UpstreamID]int),
	}
}

// add records that a suspect job runs on the upstream.
func (s *suspectUpstreams) add(id ident.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[id]++
}

// remove records that a suspect job on the upstream has ended.
func (s *suspectUpstreams) remove(id ident.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[id]--
	if s.counts[id] <= 0 {
		delete(s.counts, id)
	}
}

// excludeOccupied returns a copy of exclude with the upstreams that run a suspect
// job added.
func (s *suspectUpstreams) excludeOccupied(exclude []ident.UpstreamID) []ident.UpstreamID {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(exclude)
	for id := range s.counts {
		all = append(all, id)
	}
	return all
}
