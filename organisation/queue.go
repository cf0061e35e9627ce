package organisation

import (
	"container/list"
	"math"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// waiter is a request that waits for admission.
type waiter struct {
	queue       *queue
	element     *list.Element // nil once admitted or dropped
	cost        float64
	latestStart time.Time     // latest start that can still meet the deadline
	decided     chan struct{} // closed when admitted or dropped
	err         error         // reason if dropped, set before decided is closed
}

// queue holds the waiting requests of one organisation.
type queue struct {
	organisation ident.OrganisationID
	element      *list.Element // in queues.active
	waiters      *list.List    // of *waiter
	cost         float64
	share        float64
	deficit      float64
	credited     bool // whether deficit includes the share of this round
}

// queues schedules the waiting requests of all organisations by deficit round
// robin. Only organisations with waiting requests have a queue.
type queues struct {
	share          func(ident.OrganisationID) float64
	byOrganisation map[ident.OrganisationID]*queue
	active         *list.List // of *queue, in round-robin order
	totalShare     float64    // of organisations with waiting requests
	totalCost      float64    // of waiting requests
	length         int        // number of waiting requests
}

func newQueues(share func(ident.OrganisationID) float64) *queues {
	return &queues{
		share:          share,
		byOrganisation: make(map[ident.OrganisationID]*queue),
		active:         list.New(),
	}
}

func (s *queues) push(organisation ident.OrganisationID, w *waiter) {
	q := s.byOrganisation[organisation]
	if q == nil {
		q = &queue{
			organisation: organisation,
			waiters:      list.New(),
			share:        s.share(organisation),
		}
		q.element = s.active.PushBack(q)
		s.byOrganisation[organisation] = q
		s.totalShare += q.share
	}
	w.queue = q
	w.element = q.waiters.PushBack(w)
	q.cost += w.cost
	s.totalCost += w.cost
	s.length++
}

func (s *queues) remove(w *waiter) {
	q := w.queue
	q.waiters.Remove(w.element)
	w.element = nil
	q.cost -= w.cost
	s.totalCost -= w.cost
	s.length--
	if q.waiters.Len() == 0 {
		s.active.Remove(q.element)
		delete(s.byOrganisation, q.organisation)
		s.totalShare -= q.share
	}
	if s.length == 0 {
		// Discards accumulated rounding errors.
		s.totalShare = 0
		s.totalCost = 0
	}
}

// next returns the waiter that deficit round robin serves next, or nil if there
// is none. It does not remove the waiter: further calls return the same waiter
// until the queues change.
func (s *queues) next() *waiter {
	for s.active.Len() > 0 {
		if w := s.round(); w != nil {
			return w
		}
		// No queue has the deficit for its first request. Adds the rounds that the
		// queue closest to it needs at once, so that small shares or large costs
		// take only one further pass.
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

// round visits each queue at most once and returns the first waiter that its
// queue has the deficit for, or nil. That queue stays at the front until its
// deficit is used up.
func (s *queues) round() *waiter {
	for range s.active.Len() {
		q := s.active.Front().Value.(*queue)
		if !q.credited {
			q.credited = true
			q.deficit += q.share
		}
		if w := q.first(); q.deficit >= w.cost {
			return w
		}
		q.credited = false
		s.active.MoveToBack(q.element)
	}
	return nil
}

func (s *queues) admit(w *waiter) {
	w.queue.deficit -= w.cost
	s.remove(w)
}

func (q *queue) first() *waiter { return q.waiters.Front().Value.(*waiter) }

// lastOfLongest returns the last waiter of the queue with the highest waiting
// cost relative to its share.
func (s *queues) lastOfLongest() *waiter {
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

// costAhead returns an estimate of the waiting cost that is served before a new
// request of the organisation.
func (s *queues) costAhead(organisation ident.OrganisationID, cost float64) float64 {
	ownCost, share, totalShare := cost, s.share(organisation), s.totalShare
	if q := s.byOrganisation[organisation]; q != nil {
		ownCost += q.cost
		share = q.share
	} else {
		totalShare += share
	}
	// While the queue of the organisation is served, the other queues get at most
	// their shares, and at most the cost that they have waiting.
	return max(0, min(ownCost*totalShare/share, s.totalCost+cost)-cost)
}

// refreshShares reads the shares of all queues again after a change.
func (s *queues) refreshShares() {
	s.totalShare = 0
	for e := s.active.Front(); e != nil; e = e.Next() {
		q := e.Value.(*queue)
		q.share = s.share(q.organisation)
		s.totalShare += q.share
	}
}
