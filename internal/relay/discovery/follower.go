package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	pageLimit    = 500
	// againPause joins lists that are asked for in quick succession.
	againPause = 100 * time.Millisecond
	// While changes come in quick succession, the next watch waits so that one
	// answer carries several of them: restPause for each answer within restTime,
	// up to longestRest.
	restTime    = 2 * time.Second
	restPause   = 100 * time.Millisecond
	longestRest = 600 * time.Millisecond
)

// Sink takes what a Follower reads. A removal takes effect at until, unless the
// entry comes back before; zero means at once.
type Sink interface {
	// Listed takes a complete listing.
	Listed(entries []kv.Entry, until time.Time)
	// Changed takes one change.
	Changed(change kv.Change, until time.Time)
}

// Follower keeps a Sink up to date with all entries of the store.
type Follower struct {
	store  kv.Store
	health *Health
	sink   Sink
	again  chan struct{}
	cursor atomic.Uint64 // kv.Cursor
	recent []time.Time   // of answers with changes, within restTime
}

// NewFollower returns a follower; Run starts it.
func NewFollower(store kv.Store, health *Health, sink Sink) *Follower {
	return &Follower{
		store:  store,
		health: health,
		sink:   sink,
		again:  make(chan struct{}, 1),
	}
}

// Cursor returns up to where the sink has all changes.
func (f *Follower) Cursor() kv.Cursor {
	return kv.Cursor(f.cursor.Load())
}

// Again asks for a new listing, because changes are known that the watch has
// not reported.
func (f *Follower) Again() {
	select {
	case f.again <- struct{}{}:
	default: // one is asked for already
	}
}

// Run follows the store until the context ends. After a failure it lists again,
// since a listing is answered at once when the store is back.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		err := f.list(ctx)
		for err == nil {
			pause = firstPause
			err = f.watch(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errAgain) || errors.Is(err, kv.ErrCompacted) {
			sleep(ctx, againPause)
			continue
		}
		f.health.Failed(err)
		f.health.Pause(ctx, f, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
	}
	return nil
}

// errAgain ends a watch in favour of a new listing.
const errAgain = errors.ConstError("another listing is due")

func (f *Follower) list(ctx context.Context) error {
	var entries []kv.Entry
	var cursor kv.Cursor
	after := kv.Key("")
	for {
		page, err := f.store.List(ctx, "", after, pageLimit)
		if err != nil {
			return err
		}
		f.health.Succeeded()
		if after == "" {
			cursor = page.Cursor // later changes may be missing in the first page
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	f.sink.Listed(entries, f.health.Doubtful())
	f.cursor.Store(uint64(cursor))
	return nil
}

// watch waits for changes after the cursor.
func (f *Follower) watch(ctx context.Context) error {
	waiting, stop := context.WithCancelCause(ctx)
	asked := make(chan struct{})
	go func(ctx context.Context) {
		defer close(asked)
		select {
		case <-f.again:
			stop(errAgain)
		case <-ctx.Done():
		}
	}(waiting)
	changes, err := f.store.Watch(waiting, "", f.Cursor())
	stop(nil)
	<-asked
	if errors.Is(context.Cause(waiting), errAgain) {
		return errAgain
	}
	if err != nil {
		return err
	}
	f.health.Succeeded()
	for _, change := range changes.Changes {
		f.sink.Changed(change, f.health.Doubtful())
	}
	f.cursor.Store(max(f.cursor.Load(), uint64(changes.Cursor)))
	sleep(ctx, f.rest(time.Now(), len(changes.Changes) > 0))
	return nil
}

// rest returns how long to wait before the next watch.
func (f *Follower) rest(now time.Time, changed bool) time.Duration {
	f.recent = slices.DeleteFunc(f.recent, func(at time.Time) bool {
		return now.Sub(at) > restTime
	})
	if changed {
		f.recent = append(f.recent, now)
	}
	return min(time.Duration(len(f.recent))*restPause, longestRest)
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
