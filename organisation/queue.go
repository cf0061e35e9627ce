package organisation

import (
	"container/list"
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// waiter is a request that waits for admission.
type waiter struct {
	queue    *queue
	element  *list.Element // nil once it no longer waits
	cost     float64
	latest   time.Time     // latest start that can meet the deadline
	admitted chan struct{} // closed when admitted or refused
	err      error         // why it was refused, set before admitted is closed
}

// queue is the waiting requests of one organisation.
type queue struct {
	organisation ident.OrganisationID
	element      *list.Element // in queues.active
	waiters      *list.List    // of *waiter
	cost         float64
	share        float64
	deficit      float64
	visited      bool // has its share of this round
}

// queues are all queues and the round robin among them. Only organisations with
// waiting requests have one.
type queues struct {
	share  func(ident.OrganisationID) float64
	named  map[ident.OrganisationID]*queue
	active *list.List // of *queue, in the order of service
	shares float64    // sum over the queues
	cost   float64    // sum over the queues
	length int
}

func newQueues(share func(ident.OrganisationID) float64) *queues {
	return &queues{
		share:  share,
		named:  make(map[ident.OrganisationID]*queue),
		active: list.New(),
	}
}

func (s *queues) push(organisation ident.OrganisationID, w *waiter) {
	q := s.named[organisation]
	if q == nil {
		q = &queue{
			organisation: organisation,
			waiters:      list.New(),
			share:        s.share(organisation),
		}
		q.element = s.active.PushBack(q)
		s.named[organisation] = q
		s.shares += q.share
	}
	w.queue = q
	w.element = q.waiters.PushBack(w)
	q.cost += w.cost
	s.cost += w.cost
	s.length++
}

func (s *queues) remove(w *waiter) {
	q := w.queue
	q.waiters.Remove(w.element)
	w.element = nil
	q.cost -= w.cost
	s.cost -= w.cost
	s.length--
	if q.waiters.Len() == 0 {
		s.active.Remove(q.element)
		delete(s.named, q.organisation)
		s.shares -= q.share
	}
	if s.length == 0 {
		// Drops rounding errors.
		s.shares = 0
		s.cost = 0
	}
}

// next returns the waiter that deficit round robin serves next, nil if none
// waits. A second call returns the same one unless it has been removed or the
// queues have changed.
func (s *queues) next() *waiter {
	for s.active.Len() > 0 {
		if w := s.round(); w != nil {
			return w
		}
		// No organisation could afford its first request: as many rounds as the
		// nearest needs are granted at once, so that small shares or large costs
		// take no more than one further pass.
		rounds := math.Inf(1)
		for e := s.active.Front(); e != nil; e = e.Next() {
			q := e.Value.(*queue)
			rounds = min(rounds, math.Ceil((q.first().cost-q.deficit)/q.share))
		}
		for e := s.active.Front(); e != nil; e = e.Next() {
			q := e.Value.(*queue)
			q.deficit += max(0, rounds-1) * q.share
		}
	}
	return nil
}

// round visits each queue once until one can afford its first request; that
// queue stays in front until its deficit is used up.
func (s *queues) round() *waiter {
	for range s.active.Len() {
		q := s.active.Front().Value.(*queue)
		if !q.visited {
			q.visited = true
			q.deficit += q.share
		}
		if w := q.first(); q.deficit >= w.cost {
			return w
		}
		q.visited = false
		s.active.MoveToBack(q.element)
	}
	return nil
}

func (s *queues) admit(w *waiter) {
	w.queue.deficit -= w.cost
	s.remove(w)
}

func (q *queue) first() *waiter { return q.waiters.Front().Value.(*waiter) }

// longest returns the last waiter of the queue that is longest for its share.
func (s *queues) longest() *waiter {
	var longest *queue
	for e := s.active.Front(); e != nil; e = e.Next() {
		q := e.Value.(*queue)
		if longest == nil || q.cost/q.share > longest.cost/longest.share {
			longest = q
		}
	}
	if longest == nil {
		return nil
	}
	return longest.waiters.Back().Value.(*waiter)
}

// ahead returns the cost that is served before a new request of the organisation.
func (s *queues) ahead(organisation ident.OrganisationID, cost float64) float64 {
	own, share, shares := cost, s.share(organisation), s.shares
	if q := s.named[organisation]; q != nil {
		own += q.cost
		share = q.share
	} else {
		shares += share
	}
	// While its own queue is served, the others get at most their shares, and not
	// more than they have waiting.
	return max(0, min(own*shares/share, s.cost+cost)-cost)
}

// refresh applies changed shares.
func (s *queues) refresh() {
	s.shares = 0
	for e := s.active.Front(); e != nil; e = e.Next() {
		q := e.Value.(*queue)
		q.share = s.share(q.organisation)
		s.shares += q.share
	}
}
