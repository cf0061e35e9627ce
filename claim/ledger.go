package claim

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// DefaultRetention is the period for which a claim is kept unless Config sets another.
	DefaultRetention = 24 * time.Hour
	// MaxAttemptBytes is the length of the longest attempt id that the ledger accepts.
	MaxAttemptBytes = 128
	// The owner normally writes a batch within one write interval and one store
	// call. If a forwarded call takes much longer, writing directly is faster.
	forwardTimeout = time.Second
)

// Config holds the dependencies of a Ledger.
type Config struct {
	Store     kv.Store
	Host      ident.HostID
	Clock     func() time.Time // nil: time.Now
	Retention time.Duration    // 0: DefaultRetention
	Forwarder Forwarder        // nil: this host writes all its claims itself
}

// Ledger claims identities for the attempts of one host. Its methods are safe for
// concurrent use.
type Ledger struct {
	cfg     Config
	queues  [Partitions]*queue
	mu      sync.Mutex
	pending int           // number of outcomes and releases that are not written
	drained chan struct{} // closed while pending is 0
}

// New returns a ledger. Its calls are decided only while Run is active.
func New(cfg Config) *Ledger {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	l := &Ledger{
		cfg:     cfg,
		drained: make(chan struct{}),
	}
	close(l.drained)
	for i := range l.queues {
		l.queues[i] = newQueue(l.addPending)
	}
	return l
}

// Run writes the claims of all partitions until ctx ends. It must be called once.
func (l *Ledger) Run(ctx context.Context) error {
	done := make(chan struct{})
	for i, queue := range l.queues {
		w := &writer{
			cfg:       l.cfg,
			partition: Partition(i),
			queue:     queue,
			state:     newState(l.cfg.Retention),
		}
		go func() {
			w.run(ctx)
			done <- struct{}{}
		}()
	}
	for range l.queues {
		<-done
	}
	return nil
}

// Claim claims the identity for an attempt of this host.
//
// An attempt id belongs to one request on one host, and may claim again only
// after ErrStore. Errors are ErrStore, ErrUndecided and ErrReleased, and
// errors.NotValid if the attempt id is empty, too long or not UTF-8.
func (l *Ledger) Claim(ctx context.Context, identity Identity, attempt ident.AttemptID) (Decision, error) {
	if err := validateAttempt(attempt); err != nil {
		return nil, err
	}
	forwarded := false
	if l.cfg.Forwarder != nil {
		decision, err := l.forwardClaim(ctx, identity, attempt)
		if err == nil {
			return decision, nil
		}
		forwarded = !errors.Is(err, ErrNotForwarded) && !errors.Is(err, ErrStore)
	}
	return l.claim(ctx, &operation{
		kind:      claiming,
		identity:  identity,
		attempt:   attempt,
		host:      l.cfg.Host,
		local:     true,
		forwarded: forwarded,
		replyCh:   make(chan reply, 1),
	})
}

// Accept decides a claim that host forwarded to this one. An undecided claim is not
// released in the background: host may write the claim itself and dispatch.
func (l *Ledger) Accept(ctx context.Context, host ident.HostID, identity Identity, attempt ident.AttemptID) (Decision, error) {
	if err := validateAttempt(attempt); err != nil {
		return nil, err
	}
	return l.claim(ctx, &operation{
		kind:     claiming,
		identity: identity,
		attempt:  attempt,
		host:     host,
		replyCh:  make(chan reply, 1),
	})
}

// Finish records the end of an attempt of this host that was granted the identity.
//
// If ctx ends first it returns ErrPending and the ledger keeps retrying until
// Run ends. It returns ErrNotHolder if the attempt does not hold the identity.
func (l *Ledger) Finish(ctx context.Context, identity Identity, attempt ident.AttemptID, result Result) error {
	if err := validateAttempt(attempt); err != nil {
		return err
	}
	op := finishOperation(l.cfg.Host, identity, attempt, result)
	op.local = true
	l.addPending(1)
	if l.cfg.Forwarder != nil {
		err := l.forwardFinish(ctx, identity, attempt, result)
		if err == nil || errors.Is(err, ErrNotHolder) {
			l.addPending(-1)
			return errors.Annotate(err, "finish claim")
		}
	}
	queue := l.queues[identity.Partition()]
	queue.add(op)
	select {
	case r := <-op.replyCh:
		return errors.Annotate(r.err, "finish claim")
	case <-ctx.Done():
		return errors.Annotate(ErrPending, ctx.Err().Error())
	}
}

// AcceptFinish records the end of an attempt that host forwarded to this one.
// If it returns an error other than ErrNotHolder, host has to write the end itself.
func (l *Ledger) AcceptFinish(ctx context.Context, host ident.HostID, identity Identity, attempt ident.AttemptID, result Result) error {
	if err := validateAttempt(attempt); err != nil {
		return err
	}
	op := finishOperation(host, identity, attempt, result)
	queue := l.queues[identity.Partition()]
	queue.add(op)
	select {
	case r := <-op.replyCh:
		return errors.Annotate(r.err, "finish claim")
	case <-ctx.Done():
		queue.abandon(op)
		return errors.Annotate(ErrPending, ctx.Err().Error())
	}
}

// Drain waits until all outcomes and releases of this host are written or ctx ends,
// and returns the number of those that are not written.
func (l *Ledger) Drain(ctx context.Context) int {
	for {
		l.mu.Lock()
		pending, drained := l.pending, l.drained
		l.mu.Unlock()
		if pending == 0 {
			return 0
		}
		select {
		case <-drained:
		case <-ctx.Done():
			return pending
		}
	}
}

func (l *Ledger) claim(ctx context.Context, op *operation) (Decision, error) {
	queue := l.queues[op.identity.Partition()]
	if !queue.add(op) {
		return nil, errors.Annotate(ErrStore, "too many claims wait")
	}
	select {
	case r := <-op.replyCh:
		return r.decision, errors.Annotatef(r.err, "claim %s", op.identity)
	case <-ctx.Done():
	}
	r, ok, unwritten := queue.abandon(op)
	switch {
	case ok:
		return r.decision, errors.Annotatef(r.err, "claim %s", op.identity)
	case unwritten:
		return nil, errors.Annotatef(ErrStore, "claim %s: %v", op.identity, ctx.Err())
	default:
		return nil, errors.Annotatef(ErrUndecided, "claim %s: %v", op.identity, ctx.Err())
	}
}

func (l *Ledger) forwardClaim(ctx context.Context, identity Identity, attempt ident.AttemptID) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return l.cfg.Forwarder.Claim(ctx, identity, attempt)
}

func (l *Ledger) forwardFinish(ctx context.Context, identity Identity, attempt ident.AttemptID, result Result) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return l.cfg.Forwarder.Finish(ctx, identity, attempt, result)
}

func (l *Ledger) addPending(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.pending
	l.pending += n
	switch {
	case before == 0 && l.pending > 0:
		l.drained = make(chan struct{})
	case before > 0 && l.pending == 0:
		close(l.drained)
	}
}

func finishOperation(host ident.HostID, identity Identity, attempt ident.AttemptID, result Result) *operation {
	op := &operation{
		identity: identity,
		attempt:  attempt,
		host:     host,
		replyCh:  make(chan reply, 1),
	}
	switch result := result.(type) {
	case Done:
		op.kind = completing
		op.done = result
	case Released:
		op.kind = releasing
	}
	return op
}

func validateAttempt(attempt ident.AttemptID) error {
	if attempt == "" || len(attempt) > MaxAttemptBytes || !utf8.ValidString(string(attempt)) {
		return errors.NotValidf("attempt id %q", attempt)
	}
	return nil
}
