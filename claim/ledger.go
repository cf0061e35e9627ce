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
	// DefaultRetention is how long a claim is kept.
	DefaultRetention = 24 * time.Hour
	// MaxAttemptBytes is the longest attempt id that the ledger accepts.
	MaxAttemptBytes = 128
	// A batch of the owner takes one write interval and one store call; a call
	// that takes much longer has more use in a direct write.
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

// Ledger claims identities for the attempts of one host.
type Ledger struct {
	cfg     Config
	queues  [Partitions]*queue
	mu      sync.Mutex
	pending int           // outcomes and releases that are not written
	drained chan struct{} // closed while pending is 0
}

// New returns a ledger that serves calls while Run is active.
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

// Claim asks for the identity on behalf of an attempt of this host.
//
// An attempt id belongs to one request on one host, and may claim again only
// after ErrStore. Errors are ErrStore, ErrUndecided and ErrReleased.
func (l *Ledger) Claim(ctx context.Context, identity Identity, attempt ident.AttemptID) (Decision, error) {
	if err := check(attempt); err != nil {
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
		own:       true,
		forwarded: forwarded,
		answered:  make(chan answer, 1),
	})
}

// Accept decides a claim that host forwarded to this one. It makes no
// background release: the sender may write the claim itself and dispatch.
func (l *Ledger) Accept(ctx context.Context, host ident.HostID, identity Identity, attempt ident.AttemptID) (Decision, error) {
	if err := check(attempt); err != nil {
		return nil, err
	}
	return l.claim(ctx, &operation{
		kind:     claiming,
		identity: identity,
		attempt:  attempt,
		host:     host,
		answered: make(chan answer, 1),
	})
}

// Finish records the end of an attempt of this host that was granted the identity.
//
// If ctx ends first it returns ErrPending and the ledger keeps trying until
// Run ends. ErrNotHolder states that the attempt holds no claim.
func (l *Ledger) Finish(ctx context.Context, identity Identity, attempt ident.AttemptID, result Result) error {
	if err := check(attempt); err != nil {
		return err
	}
	op := finishOperation(l.cfg.Host, identity, attempt, result)
	op.own = true
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
	case made := <-op.answered:
		return errors.Annotate(made.err, "finish claim")
	case <-ctx.Done():
		return errors.Annotate(ErrPending, ctx.Err().Error())
	}
}

// AcceptFinish records the end of an attempt that host forwarded to this one.
// If it returns an error the sender has to write the end itself.
func (l *Ledger) AcceptFinish(ctx context.Context, host ident.HostID, identity Identity, attempt ident.AttemptID, result Result) error {
	if err := check(attempt); err != nil {
		return err
	}
	op := finishOperation(host, identity, attempt, result)
	queue := l.queues[identity.Partition()]
	queue.add(op)
	select {
	case made := <-op.answered:
		return errors.Annotate(made.err, "finish claim")
	case <-ctx.Done():
		queue.abandon(op)
		return errors.Annotate(ErrPending, ctx.Err().Error())
	}
}

// Drain waits until all outcomes are written or ctx ends, and returns how many are not.
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
	case made := <-op.answered:
		return made.decision, errors.Annotatef(made.err, "claim %s", op.identity)
	case <-ctx.Done():
	}
	made, ok, unwritten := queue.abandon(op)
	switch {
	case ok:
		return made.decision, errors.Annotatef(made.err, "claim %s", op.identity)
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
		answered: make(chan answer, 1),
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

func check(attempt ident.AttemptID) error {
	if attempt == "" || len(attempt) > MaxAttemptBytes || !utf8.ValidString(string(attempt)) {
		return errors.NotValidf("attempt id %q", attempt)
	}
	return nil
}
