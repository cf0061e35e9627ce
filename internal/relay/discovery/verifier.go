package discovery

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/freshread"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// verifyInterval is the shortest time between two verifications, and verifyTimeout the
	// longest time that one takes.
	verifyInterval = 100 * time.Millisecond
	verifyTimeout  = 900 * time.Millisecond
	// storePatience is how long the store may take to respond before the other hosts are
	// asked as well.
	storePatience = 150 * time.Millisecond
	// catchUpInterval is how often the cursor of a replica is read that lacks changes.
	catchUpInterval = 10 * time.Millisecond
	// isolationTime is how long an isolated host takes itself for isolated without asking
	// again, so that its callers can go elsewhere at once.
	isolationTime = 250 * time.Millisecond
)

// Errors of a Verifier, possibly annotated.
const (
	// ErrIsolated means that neither the store nor another host has responded.
	ErrIsolated = errors.ConstError("neither the store nor another host responds")
	// ErrUnverified means that the store or another host may know of changes that the
	// replica lacks, or that the store has lost them.
	ErrUnverified = errors.ConstError("the replica may lack changes")
)

// Survey holds what the other hosts have responded to a question of this host.
type Survey struct {
	Asked    int       // hosts
	Answered int       // of those
	Ended    int       // of those; their processes have ended
	Latest   kv.Cursor // highest cursor of those that answered
}

// VerifierConfig holds the dependencies of a Verifier.
type VerifierConfig struct {
	Store    kv.Store
	Health   *Health
	Replica  *Replica
	ProbeKey kv.Key // no other key has it as a prefix
	// Survey asks the other hosts which changes they know, and makes this host fetch those
	// that it lacks.
	Survey func(ctx context.Context) Survey
	// AskHosts makes this host fetch changes that it lacks from a few other hosts.
	AskHosts func(ctx context.Context)
	// Settled reports whether everything has been written again that the store may have lost
	// when it was restored from a backup.
	Settled func() bool
	Log     zerolog.Logger
}

// Verifier finds out whether the replica has all changes that may have had an effect on what
// reaches this host. The age of the replica does not tell that: the latest confirmation may
// have waited in a socket while this host stood still. It is safe for concurrent use.
type Verifier struct {
	config VerifierConfig
	probe  probe
	reads  *freshread.Reader

	isolatedUntil time.Time // used by reads only
}

// NewVerifier returns a Verifier.
func NewVerifier(config VerifierConfig) *Verifier {
	v := &Verifier{
		config: config,
		probe:  newProbe(config.Store, config.Health, config.Replica, config.ProbeKey),
	}
	v.reads = freshread.New(v.verify, verifyInterval, verifyTimeout)
	return v
}

// Verify returns nil once the replica has every change that the store had made by the call.
// If the store does not respond, it does so once the replica has every change that any other
// host knew by the call: no host has acted on one that is missing here.
func (v *Verifier) Verify(ctx context.Context) error { return v.reads.Await(ctx) }

// verify makes one verification, by asking the store, and the hosts if that takes long.
func (v *Verifier) verify(ctx context.Context) error {
	if time.Now().Before(v.isolatedUntil) {
		return ErrIsolated
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	start := func(check func(ctx context.Context) error) {
		go func(ctx context.Context) { results <- check(ctx) }(ctx)
	}
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	if _, unavailable := v.config.Health.UnavailableSince(); unavailable {
		patience.Reset(0)
	}
	start(v.checkStore)
	var failures []error
	asked := false
	for len(failures) < 2 {
		select {
		case err := <-results:
			if err == nil {
				return v.checkSettled()
			}
			failures = append(failures, err)
		case <-patience.C:
		}
		if !asked {
			asked = true
			start(v.checkHosts)
		}
	}
	return v.failure(failures)
}

// checkSettled returns an error if the store has been restored a short time ago.
func (v *Verifier) checkSettled() error {
	if !v.config.Settled() {
		return errors.Annotate(ErrUnverified, "the store has been restored from a backup")
	}
	return nil
}

// failure returns the error of a verification with which neither the store nor the hosts
// helped. Callers are told of it, so the details are in the log only.
func (v *Verifier) failure(failures []error) error {
	var result error = ErrIsolated
	for _, err := range failures {
		if !errors.Is(err, ErrIsolated) {
			result = ErrUnverified
		}
	}
	if result == ErrIsolated {
		v.isolatedUntil = time.Now().Add(isolationTime)
	}
	v.config.Log.Info().Errs("errors", failures).Uint64("cursor", uint64(v.config.Replica.Cursor())).Msg("replica: not verified")
	return result
}

// checkStore verifies the replica by the store's latest change.
func (v *Verifier) checkStore(ctx context.Context) error {
	cursor, complete, err := v.probe.run(ctx)
	switch {
	case err != nil:
		return errors.Annotatef(ErrIsolated, "store: %v", err)
	case complete:
		return nil
	}
	asked := make(chan struct{})
	go func(ctx context.Context) {
		defer close(asked)
		v.config.AskHosts(ctx)
	}(ctx)
	err = v.catchUp(ctx, cursor)
	<-asked
	return err
}

// checkHosts verifies the replica by the latest change that another host knows. A host that
// does not respond may know a later one, and may have acted on it.
func (v *Verifier) checkHosts(ctx context.Context) error {
	survey := v.config.Survey(ctx)
	switch {
	case !v.config.Replica.Confirmed():
		return errors.Annotate(ErrUnverified, "the replica was never confirmed")
	case survey.Answered == 0 && survey.Asked > 0:
		return errors.Annotatef(ErrIsolated, "none of %d hosts responds", survey.Asked)
	case survey.Answered+survey.Ended < survey.Asked:
		return errors.Annotatef(ErrUnverified, "%d of %d hosts respond, %d have ended", survey.Answered, survey.Asked, survey.Ended)
	}
	return v.catchUp(ctx, survey.Latest)
}

// catchUp waits until the replica has reached a cursor.
func (v *Verifier) catchUp(ctx context.Context, cursor kv.Cursor) error {
	for v.config.Replica.Cursor() < cursor {
		sleep(ctx, catchUpInterval)
		if ctx.Err() != nil {
			return errors.Annotatef(ErrUnverified, "the replica is at %d, behind %d", v.config.Replica.Cursor(), cursor)
		}
	}
	return nil
}
