package claim

import (
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

type opKind uint8

const (
	claiming    opKind = iota
	completing         // Finish(Done)
	releasing          // Finish(Released)
	withdrawing        // background release of an undecided claim
)

// operation is one queued call. Its fields above the blank line do not change,
// except that an abandoned claim becomes a withdrawal. The fields below it are
// guarded by the mutex of the queue.
type operation struct {
	kind     opKind
	identity Identity
	attempt  ident.AttemptID
	host     ident.HostID
	done     Done
	local    bool       // called on this host, not accepted from another
	replyCh  chan reply // buffered, receives one reply

	forwarded      bool // sent to the owner, which did not return a definite reply
	uncertainWrite bool // part of a write with an uncertain result that is not known to have failed
	inBatch        bool // part of the batch being written
	abandoned      bool // the caller has received ErrUndecided
}

// background reports whether the operation must be retried until it is written.
func (o *operation) background() bool {
	return o.local && o.kind != claiming
}

func (o *operation) uncertain() bool { return o.forwarded || o.uncertainWrite }

func (o *operation) bytes() int { return recordBytes + min(len(o.done.Body), MaxBodyBytes) }

// queue holds the operations of a partition in order of arrival.
type queue struct {
	mu               sync.Mutex
	ops              []*operation
	uncertainVersion kv.Version // head version that the last write with an uncertain result expected
	wake             chan struct{}
	// addPending changes the count of background operations. It is called before
	// the caller of an operation receives a reply, so that a later Drain sees the operation.
	addPending func(change int)
}

func newQueue(addPending func(int)) *queue {
	return &queue{
		wake:       make(chan struct{}, 1),
		addPending: addPending,
	}
}

// add appends an operation. It reports false if the queue is full and the operation can be rejected.
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

// take returns a batch of bounded size and marks its operations as inBatch; they stay queued.
func (q *queue) take() []*operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for i, op := range q.ops {
		size += op.bytes()
		if i == maxBatch || size > batchBytes {
			return append([]*operation(nil), q.ops[:i]...)
		}
		op.inBatch = true
	}
	return append([]*operation(nil), q.ops...)
}

// abandon is called when the context of a caller has ended. It returns the reply
// if there is one, and otherwise whether the operation is certain to have no effect.
func (q *queue) abandon(op *operation) (r reply, ok, unwritten bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case r = <-op.replyCh:
		return r, true, false
	default:
	}
	switch {
	case op.inBatch:
		op.abandoned = true
		if op.local {
			q.addPending(1)
		}
	case op.uncertain() && op.local:
		op.kind = withdrawing
		q.addPending(1)
		q.signal()
	case op.uncertain():
		q.remove(op)
	default:
		q.remove(op)
		return reply{}, false, true
	}
	return reply{}, false, false
}

func (q *queue) remove(op *operation) {
	for i, queued := range q.ops {
		if queued == op {
			q.ops = append(q.ops[:i:i], q.ops[i+1:]...)
			return
		}
	}
}

// finish replies to operations and removes them from the queue. An abandoned claim
// becomes a withdrawal instead if it was granted or may still be written by the owner.
func (q *queue) finish(batch []*operation, replies []reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, op := range batch {
		op.inBatch = false
		_, granted := replies[i].decision.(Granted)
		if op.kind == claiming && op.local {
			switch {
			case op.abandoned && (granted || op.forwarded):
				op.kind = withdrawing
				q.signal()
				continue
			case op.abandoned:
				q.addPending(-1)
			}
		}
		if op.background() {
			q.addPending(-1)
		}
		op.replyCh <- replies[i]
		q.remove(op)
	}
}

// fail handles a batch after a failure of the store. Background operations and
// uncertain ones of this host stay queued. The reply to a claim that is certain not to be
// written comes from unwrittenReply.
func (q *queue) fail(batch []*operation, unwrittenReply func(*operation) reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, op := range batch {
		op.inBatch = false
		switch {
		case op.background():
		case op.local && op.abandoned && op.uncertain():
			op.kind = withdrawing
		case op.local && op.uncertain():
			// The caller waits until a later read of the head decides or its context ends.
		case op.uncertain():
			// Forwarded by another host, which resolves its claim itself.
			op.replyCh <- reply{
				err: ErrUndecided,
			}
			q.remove(op)
		default:
			if op.abandoned && op.local {
				q.addPending(-1)
			}
			op.replyCh <- unwrittenReply(op)
			q.remove(op)
		}
	}
}

// markUncertain records that a write of the batch that expected version may take effect later.
func (q *queue) markUncertain(batch []*operation, version kv.Version) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.uncertainVersion = version
	for _, op := range batch {
		op.uncertainWrite = true
	}
}

// resolve is called with the current head version. A write that expected another
// version has either taken effect or never will, so its operations are no longer
// uncertain. Operations whose write has taken effect stay uncertain until they are
// replied to.
func (q *queue) resolve(version kv.Version, holdsIdentity func(*operation) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if version == q.uncertainVersion {
		return
	}
	for _, op := range q.ops {
		op.uncertainWrite = op.uncertainWrite && holdsIdentity(op)
	}
}
