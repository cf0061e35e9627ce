package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	pageLimit    = 500
	// againPause joins lists that follow each other.
	againPause = 100 * time.Millisecond
	// lookInterval is how often a reader looks whether something is due.
	lookInterval = 50 * time.Millisecond
	// pollGrace is how long a watch may take to report a change that a read shows,
	// peerGrace how long other hosts may take to bring it.
	pollGrace = 200 * time.Millisecond
	peerGrace = 400 * time.Millisecond
	// At the start, others have firstWait to bring the entries, and hostWait more
	// for each host that is known.
	firstWait = 300 * time.Millisecond
	hostWait  = 10 * time.Millisecond
	// silenceShare is the part of the time without an answer to any host that a host
	// waits before its next call: one that has just become a reader does not call
	// more often than the one before it.
	silenceShare = 8
	// pageTries is how often a page of a listing is asked for.
	pageTries = 3
	// passivePause bounds the pause after a failed call of a host that is not a
	// reader: the readers notice first that the store is back.
	passivePause = 4 * time.Second
	// A reader that the store does not answer passes its turn on after shortPatience,
	// or after half of the time in which the store has answered nobody, up to
	// longPatience: then another reader would not do better.
	shortPatience = 300 * time.Millisecond
	longPatience  = 2 * time.Second
	// pollShare is the share of the longest age at which a reader polls; the rest
	// is for the way to the other hosts.
	pollShare = 0.4
	// While changes come in quick succession, the next watch waits so that one
	// answer carries several of them: restPause for each answer within restTime,
	// up to longestRest.
	restTime    = 2 * time.Second
	restPause   = 50 * time.Millisecond
	longestRest = 500 * time.Millisecond
)

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Store   kv.Store
	Health  *Health
	Replica *Replica
	Key     kv.Key                    // of an entry that exists
	Age     time.Duration             // longest time without a confirmation
	Reads   func() bool               // whether this host is one of the readers
	Pass    func(ctx context.Context) // makes another host a reader in place of this one
	Hosts   func() int                // live hosts that this one knows, itself included
	Leads   bool                      // reads at the start, for the others
}

// Reader reads the store for a Replica when that is this host's turn.
type Reader struct {
	config ReaderConfig
	recent []time.Time   // of watches with changes, within restTime
	pause  time.Duration // after the next failed call
}

// NewReader returns a reader; Run starts it.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{
		config: config,
		pause:  firstPause,
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) error {
	r.begin(ctx)
	for ctx.Err() == nil {
		switch {
		case r.config.Reads():
			r.ended(ctx, r.read(ctx), longestPause)
			r.pass(ctx)
		case !r.stale():
			sleep(ctx, lookInterval)
		case r.config.Hosts() <= 1:
			r.ended(ctx, r.poll(ctx, 0), longestPause)
		default:
			r.ended(ctx, r.poll(ctx, peerGrace), passivePause)
		}
	}
	return nil
}

// begin gets the first entries. A host that does not lead waits for others to
// bring them, the longer the more hosts there are: if all of a large fleet start
// at once, their listings would fill the link of the store.
func (r *Reader) begin(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil && r.config.Replica.Cursor() == 0 {
		hosts := time.Duration(r.config.Hosts())
		switch {
		case r.config.Leads || r.config.Reads():
			r.ended(ctx, r.list(ctx), longestPause)
		case time.Since(began) < max(firstWait, hosts*hostWait):
			sleep(ctx, lookInterval)
		default:
			r.ended(ctx, r.list(ctx), max(passivePause, hosts*hostWait))
		}
	}
}

// stale reports whether nobody has confirmed the replica for too long. Hosts that
// lost the same reader do not all find that at the same moment.
func (r *Reader) stale() bool {
	return r.config.Replica.Age() > r.config.Age-rand.N(r.config.Age/4)
}

// pass makes another host a reader if the store does not answer this one.
func (r *Reader) pass(ctx context.Context) {
	since, lost := r.config.Health.Lost()
	if lost && ctx.Err() == nil && time.Since(since) > Patience(r.config.Replica.Silence()) {
		r.config.Pass(ctx)
	}
}

// Patience returns how long a reader whose calls fail goes on, if the store has
// answered no host for some time.
func Patience(silence time.Duration) time.Duration {
	return min(max(shortPatience, silence/2), longPatience)
}

// ended pauses after a failed call, for longer after each one.
func (r *Reader) ended(ctx context.Context, err error, longest time.Duration) {
	switch {
	case err == nil || ctx.Err() != nil:
		r.pause = firstPause
	case errors.Is(err, kv.ErrCompacted):
		sleep(ctx, againPause)
	default:
		r.config.Health.Failed(err)
		pause := max(r.pause, min(r.config.Replica.Silence()/silenceShare, longest))
		r.config.Health.Pause(ctx, r, pause/2+rand.N(pause))
		r.pause = min(2*pause, longest)
	}
}

// succeeded notes an answer of the store.
func (r *Reader) succeeded() {
	r.config.Health.Succeeded()
	r.config.Replica.Answered()
}

// read watches and polls for as long as this host is a reader. After a failure
// it lists, since a listing is answered at once when the store is back.
func (r *Reader) read(ctx context.Context) error {
	if _, lost := r.config.Health.Lost(); lost {
		return r.list(ctx)
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	var lost error // of the watch, once ended is closed
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		for lost == nil {
			lost = r.watch(ctx)
		}
	}(watching)
	err := r.polls(ctx, ended)
	cancelled := err == nil && !r.config.Reads()
	cancel()
	<-ended
	if err == nil && !cancelled {
		err = lost
	}
	if err == nil || ctx.Err() != nil {
		return nil
	}
	if !errors.Is(err, kv.ErrCompacted) {
		r.config.Health.Failed(err)
	}
	return r.list(ctx)
}

// polls polls while the watch goes on and this host is a reader.
func (r *Reader) polls(ctx context.Context, ended <-chan struct{}) error {
	interval := time.Duration(pollShare * float64(r.config.Age))
	for r.config.Reads() {
		select {
		case <-ended:
			return nil
		case <-time.After(interval - pollGrace/2 + rand.N(pollGrace)):
			if err := r.poll(ctx, pollGrace); err != nil {
				return err
			}
		}
	}
	return nil
}

// poll reads one entry, by whose answer the store tells its latest change. If
// the replica still lacks changes after the grace, all entries are listed.
func (r *Reader) poll(ctx context.Context, grace time.Duration) error {
	page, err := r.config.Store.List(ctx, r.config.Key, "", 1)
	if err != nil {
		return err
	}
	r.succeeded()
	if !r.config.Replica.Confirm(page.Cursor, 0) {
		return nil
	}
	sleep(ctx, grace)
	if !r.config.Replica.Confirm(page.Cursor, grace) {
		return nil
	}
	return r.list(ctx)
}

func (r *Reader) list(ctx context.Context) error {
	var entries []kv.Entry
	var cursor kv.Cursor
	after := kv.Key("")
	for {
		page, err := r.page(ctx, after)
		if err != nil {
			return err
		}
		r.succeeded()
		if after == "" {
			cursor = page.Cursor // later changes may be missing in the first page
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	r.config.Replica.List(entries, cursor)
	return nil
}

// page lists one page. Later ones are asked for again, so that one lost answer
// does not cost the pages before it.
func (r *Reader) page(ctx context.Context, after kv.Key) (kv.Page, error) {
	for try := 1; ; try++ {
		page, err := r.config.Store.List(ctx, "", after, pageLimit)
		if err == nil || after == "" || try == pageTries || ctx.Err() != nil {
			return page, err
		}
		sleep(ctx, firstPause+rand.N(firstPause))
	}
}

// watch waits for changes after the replica's cursor.
func (r *Reader) watch(ctx context.Context) error {
	cursor := r.config.Replica.Cursor()
	changes, err := r.config.Store.Watch(ctx, "", cursor)
	if err != nil {
		return err
	}
	r.succeeded()
	r.config.Replica.Watched(cursor, changes)
	sleep(ctx, r.rest(time.Now(), len(changes.Changes) > 0))
	return nil
}

// rest returns how long to wait before the next watch.
func (r *Reader) rest(now time.Time, changed bool) time.Duration {
	r.recent = slices.DeleteFunc(r.recent, func(at time.Time) bool {
		return now.Sub(at) > restTime
	})
	if changed {
		r.recent = append(r.recent, now)
	}
	return min(time.Duration(len(r.recent))*restPause, longestRest)
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
