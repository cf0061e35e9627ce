package claim

import (
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

type kind uint8

const (
	claiming    kind = iota
	completing       // Finish(Done)
	releasing        // Finish(Released)
	withdrawing      // background release of an undecided claim
)

// operation is one queued call. Its fields up to done are fixed, except that an
// abandoned claim becomes a withdrawal; the others are guarded by the queue.
type operation struct {
	kind     kind
	identity Identity
	attempt  ident.AttemptID
	host     ident.HostID
	done     Done
	own      bool        // made by this host, not accepted from another
	answered chan answer // has room for the one answer

	forwarded bool // sent to the owner without a definite answer
	unsure    bool // part of a write that had no definite answer, and not known to have failed
	busy      bool // part of the batch being written
	abandoned bool // the caller has been told ErrUndecided
}

// background reports whether the operation must be retried until it is written.
func (o *operation) background() bool {
	return o.own && o.kind != claiming
}

func (o *operation) uncertain() bool { return o.forwarded || o.unsure }

func (o *operation) bytes() int { return recordBytes + min(len(o.done.Body), MaxBodyBytes) }

// queue holds the operations of a partition in order of arrival.
type queue struct {
	mu     sync.Mutex
	ops    []*operation
	unsure kv.Version // head version that a write without a definite answer expected
	wake   chan struct{}
	// pending counts background operations. It is called before the caller
	// of an operation is answered, so that a later Drain sees the operation.
	pending func(change int)
}

func newQueue(pending func(int)) *queue {
	return &queue{
		wake:    make(chan struct{}, 1),
		pending: pending,
	}
}

// add reports false if the queue is full and the operation can be refused.
func (q *queue) add(op *operation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ops) >= maxQueue && op.kind == claiming && !op.forwarded {
		return false
	}
	q.ops = append(q.ops, op)
	q.signal()
	return true
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ops) == 0
}

// take marks a batch of bounded size as busy and returns it; its operations stay queued.
func (q *queue) take() []*operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for i, op := range q.ops {
		size += op.bytes()
		if i == maxBatch || size > batchBytes {
			return append([]*operation(nil), q.ops[:i]...)
		}
		op.busy = true
	}
	return append([]*operation(nil), q.ops...)
}

// abandon ends the wait of a caller. It returns the answer if there is one,
// and otherwise whether the operation is certain to have no effect.
func (q *queue) abandon(op *operation) (a answer, ok, unwritten bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a = <-op.answered:
		return a, true, false
	default:
	}
	switch {
	case op.busy:
		op.abandoned = true
		if op.own {
			q.pending(1)
		}
	case op.uncertain() && op.own:
		op.kind = withdrawing
		q.pending(1)
		q.signal()
	case op.uncertain():
		q.remove(op)
	default:
		q.remove(op)
		return answer{}, false, true
	}
	return answer{}, false, false
}

func (q *queue) remove(op *operation) {
	for i, queued := range q.ops {
		if queued == op {
			q.ops = append(q.ops[:i:i], q.ops[i+1:]...)
			return
		}
	}
}

// settle answers operations and removes them from the queue. A claim whose
// attempt will not run becomes a withdrawal if it is or may get written.
func (q *queue) settle(batch []*operation, answers []answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, op := range batch {
		op.busy = false
		_, granted := answers[i].decision.(Granted)
		if op.kind == claiming && op.own {
			switch {
			case op.abandoned && (granted || op.forwarded):
				op.kind = withdrawing
				q.signal()
				continue
			case op.abandoned:
				q.pending(-1)
			}
		}
		if op.background() {
			q.pending(-1)
		}
		op.answered <- answers[i]
		q.remove(op)
	}
}

// fail ends what the store's failure decides and keeps the rest queued. The
// answer to a claim that is certain not to be written comes from refusal.
func (q *queue) fail(batch []*operation, refusal func(*operation) answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, op := range batch {
		op.busy = false
		switch {
		case op.background():
		case op.own && op.abandoned && op.uncertain():
			op.kind = withdrawing
		case op.own && op.uncertain():
			// The caller waits until a read decides or its context ends.
		case op.uncertain():
			// An accepted call: the host that sent it resolves its claim itself.
			op.answered <- answer{
				err: ErrUndecided,
			}
			q.remove(op)
		default:
			if op.abandoned && op.own {
				q.pending(-1)
			}
			op.answered <- refusal(op)
			q.remove(op)
		}
	}
}

// doubt records that a write of the batch that expected version may take effect later.
func (q *queue) doubt(batch []*operation, version kv.Version) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unsure = version
	for _, op := range batch {
		op.unsure = true
	}
}

// resolve ends the doubt about writes that expected a version other than the
// present one: they have taken effect or never will. Operations whose write has
// taken effect stay unsure until they are answered.
func (q *queue) resolve(version kv.Version, written func(*operation) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if version == q.unsure {
		return
	}
	for _, op := range q.ops {
		op.unsure = op.unsure && written(op)
	}
}
