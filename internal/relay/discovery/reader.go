package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	pageSize   = 500
	// retryDelay is the pause after an error that is not an outage, such as a
	// compacted history or a version conflict. It merges listings that would follow
	// each other closely.
	retryDelay = 100 * time.Millisecond
	// checkInterval is how often a host checks whether it has to call the store.
	checkInterval = 50 * time.Millisecond
	// watchGrace is how long a watch may take to report a change that a poll has
	// shown, peerGrace how long other hosts may take to send it.
	watchGrace = 200 * time.Millisecond
	peerGrace  = 400 * time.Millisecond
	// At the start, a host waits for others to send the entries: startWaitPerHost
	// for each known host, but at least startWait.
	startWait        = 300 * time.Millisecond
	startWaitPerHost = 10 * time.Millisecond
	// staleGrace is how long other hosts may take to confirm a stale listing. If all hosts
	// start at once, the readers among them begin to read after a second.
	staleGrace = 2 * time.Second
	// During an outage the backoff is at least the time since the store last responded
	// to any host, divided by silenceDivisor, so that a host that has just become a
	// reader does not call more often than its predecessor.
	silenceDivisor = 8
	// maxPageAttempts is how often a page is requested before the listing fails.
	maxPageAttempts = 3
	// maxPassiveBackoff bounds the pause after a failed call of a host that is not a
	// reader. It may be long, since the readers notice first that the store has
	// recovered.
	maxPassiveBackoff = 4 * time.Second
	// A reader whose calls fail hands over after minHandoverTimeout, or after half of
	// the time in which the store has responded to no host, up to maxHandoverTimeout:
	// if the store responds to no host, another reader would not do better.
	minHandoverTimeout = 300 * time.Millisecond
	maxHandoverTimeout = 2 * time.Second
	// pollFraction is the poll interval of a reader as a fraction of MaxAge; the rest
	// is left for the gossip to spread the confirmation to the other hosts.
	pollFraction = 0.4
	// While changes come in quick succession, the next watch is delayed so that one
	// response carries several of them: by watchDelayStep for each response with
	// changes within burstWindow, up to maxWatchDelay.
	burstWindow    = 2 * time.Second
	watchDelayStep = 50 * time.Millisecond
	maxWatchDelay  = 500 * time.Millisecond
)

// ReaderConfig holds the dependencies of a Reader.
type ReaderConfig struct {
	Store      kv.Store
	Health     *Health
	Replica    *Replica
	Log        zerolog.Logger
	ProbeKey   kv.Key                    // no other key has it as a prefix; polls list what follows it
	MaxAge     time.Duration             // longest time without a confirmation of the replica
	IsReader   func() bool               // reports whether this host is one of the readers
	HandOver   func(ctx context.Context) // makes another host a reader in place of this one
	AskHosts   func(ctx context.Context) // asks other hosts for the changes that the replica lacks
	LiveHosts  func() int                // number of live hosts known here, including this one
	ListsFirst bool                      // list the store at the start instead of waiting for other hosts
	// ListStale is like Store.List, but costs the store less and may be out of date.
	ListStale func(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error)
}

// Reader reads the store for a Replica when this host is a reader, or when no other
// host confirms the replica.
type Reader struct {
	config        ReaderConfig
	probe         probe
	recentChanges []time.Time   // times of watch responses with changes, within burstWindow
	backoff       time.Duration // base of the pause after the next failed call
	staleUntil    time.Time     // end of the time in which other hosts may still confirm a stale listing
}

// NewReader returns a Reader; Run starts it.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{
		config:  config,
		probe:   newProbe(config.Store, config.Health, config.Replica, config.ProbeKey),
		backoff: minBackoff,
	}
}

// Run keeps the replica up to date until the context ends. It always returns nil.
func (r *Reader) Run(ctx context.Context) error {
	r.loadInitial(ctx)
	for ctx.Err() == nil {
		switch {
		case r.config.IsReader():
			r.backOff(ctx, r.watchAndPoll(ctx), maxBackoff)
			r.handOver(ctx)
		case !r.stale():
			sleep(ctx, checkInterval)
		case r.config.LiveHosts() <= 1:
			r.backOff(ctx, r.poll(ctx, func(context.Context) {}), maxBackoff)
		default:
			r.backOff(ctx, r.poll(ctx, r.askHosts), maxPassiveBackoff)
		}
	}
	return nil
}

// loadInitial obtains the first entries. Without ListsFirst it waits for other hosts
// to send them, the longer the more hosts there are: if all hosts of a large fleet
// start at once, their listings would saturate the link to the store. A fleet whose
// entries fit into one page starts from a stale one, which all hosts can read at once.
func (r *Reader) loadInitial(ctx context.Context) {
	start := time.Now()
	if !r.config.ListsFirst {
		r.loadStale(ctx)
	}
	for ctx.Err() == nil && r.config.Replica.Cursor() == 0 {
		hosts := time.Duration(r.config.LiveHosts())
		switch {
		case r.config.ListsFirst || r.config.IsReader():
			r.backOff(ctx, r.list(ctx), maxBackoff)
		case time.Since(start) < max(startWait, hosts*startWaitPerHost):
			sleep(ctx, checkInterval)
		default:
			r.backOff(ctx, r.list(ctx), max(maxPassiveBackoff, hosts*startWaitPerHost))
		}
	}
}

// loadStale obtains the entries by a stale listing of one page. They are used until other
// hosts send what they lack. A failure, and a second page, leave the replica empty.
func (r *Reader) loadStale(ctx context.Context) {
	page, err := r.config.ListStale(ctx, "", "", pageSize)
	if err != nil {
		r.config.Replica.RecordFailure()
		return
	}
	r.probe.recordSuccess()
	if page.More {
		return
	}
	r.config.Replica.ApplyStaleListing(page.Entries, page.Cursor)
	r.logListing(len(page.Entries), page.Cursor, true)
	r.staleUntil = time.Now().Add(staleGrace)
}

// stale reports whether the replica has not been confirmed for too long. The limit
// is randomized, so that hosts that depended on the same failed reader do not all
// call the store at the same moment.
func (r *Reader) stale() bool {
	if time.Now().Before(r.staleUntil) {
		return false
	}
	return r.config.Replica.Age() > r.config.MaxAge-rand.N(r.config.MaxAge/4)
}

// handOver makes another host a reader if the calls of this one have failed for longer
// than HandoverTimeout.
func (r *Reader) handOver(ctx context.Context) {
	since, unavailable := r.config.Health.UnavailableSince()
	if unavailable && ctx.Err() == nil && time.Since(since) > HandoverTimeout(r.config.Replica.SinceLastResponse()) {
		r.config.HandOver(ctx)
	}
}

// HandoverTimeout returns how long the calls of a reader may fail before it hands
// over to another host. Silence is the time since the store last responded to any
// host.
func HandoverTimeout(silence time.Duration) time.Duration {
	return min(max(minHandoverTimeout, silence/2), maxHandoverTimeout)
}

// backOff pauses after a failed call, for longer after each one up to limit. It resets
// the backoff if err is nil.
func (r *Reader) backOff(ctx context.Context, err error, limit time.Duration) {
	switch {
	case err == nil || ctx.Err() != nil:
		r.backoff = minBackoff
	case errors.Is(err, kv.ErrCompacted):
		sleep(ctx, retryDelay)
	default:
		r.config.Health.RecordFailure(err)
		r.config.Replica.RecordFailure()
		pause := max(r.backoff, min(r.config.Replica.SinceLastResponse()/silenceDivisor, limit))
		r.config.Health.WaitBeforeRetry(ctx, r, pause/2+rand.N(pause))
		r.backoff = min(2*pause, limit)
	}
}

// watchAndPoll watches and polls for as long as this host is a reader. After a failure
// it lists, since a listing succeeds as soon as the store has recovered.
func (r *Reader) watchAndPoll(ctx context.Context) error {
	if _, unavailable := r.config.Health.UnavailableSince(); unavailable {
		return r.list(ctx)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchErr error // may be read once watchDone is closed
	watchDone := make(chan struct{})
	go func(ctx context.Context) {
		defer close(watchDone)
		for watchErr == nil {
			watchErr = r.watch(ctx)
		}
	}(watchCtx)
	err := r.pollLoop(ctx, watchDone)
	resigned := err == nil && !r.config.IsReader()
	cancel()
	<-watchDone
	if err == nil && !resigned {
		err = watchErr
	}
	if err == nil || ctx.Err() != nil {
		return nil
	}
	if !errors.Is(err, kv.ErrCompacted) {
		r.config.Health.RecordFailure(err)
	}
	return r.list(ctx)
}

// pollLoop polls until a poll or the watch fails, or this host is no longer a reader.
// It returns the error of the poll.
func (r *Reader) pollLoop(ctx context.Context, watchDone <-chan struct{}) error {
	interval := time.Duration(pollFraction * float64(r.config.MaxAge))
	for r.config.IsReader() {
		select {
		case <-watchDone:
			return nil
		case <-time.After(interval - watchGrace/2 + rand.N(watchGrace)):
			if err := r.poll(ctx, awaitWatch); err != nil {
				return err
			}
		}
	}
	return nil
}

// poll brings the replica up to the cursor of the store's latest change. If it lacks changes
// also after await has returned, all entries are listed.
func (r *Reader) poll(ctx context.Context, await func(ctx context.Context)) error {
	called := time.Now()
	cursor, complete, err := r.probe.run(ctx)
	if err != nil || complete {
		return err
	}
	await(ctx)
	if !r.config.Replica.Confirm(cursor, time.Since(called)) {
		return nil
	}
	return r.list(ctx)
}

// awaitWatch waits for the watch to report what a poll has shown.
func awaitWatch(ctx context.Context) {
	sleep(ctx, watchGrace)
}

// askHosts asks other hosts for what a poll has shown and gives them time to send it: the
// changes of a large table are far smaller than a listing.
func (r *Reader) askHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerGrace)
	defer cancel()
	r.config.AskHosts(ctx)
	<-ctx.Done()
}

// list reads all entries page by page and applies them to the replica.
func (r *Reader) list(ctx context.Context) error {
	var entries []kv.Entry
	var cursor kv.Cursor
	after := kv.Key("")
	for {
		page, err := r.listPage(ctx, after)
		if err != nil {
			return err
		}
		r.probe.recordSuccess()
		if after == "" {
			cursor = page.Cursor // the first page may lack changes after its cursor
		}
		if cursor == 0 {
			return errors.Annotate(kv.ErrUnavailable, "listing has no cursor")
		}
		entries = append(entries, page.Entries...)
		if !page.More {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	if before := r.config.Replica.Cursor(); before != 0 && kv.EpochOf(cursor) > kv.EpochOf(before) {
		r.config.Log.Warn().Uint64("epoch", uint64(kv.EpochOf(cursor))).Uint64("before", uint64(before)).Uint64("cursor", uint64(cursor)).Msg("store: restored from a backup, its latest changes are lost")
	}
	r.config.Replica.ApplyListing(entries, cursor)
	r.logListing(len(entries), cursor, false)
	return nil
}

// logListing logs that a listing has been applied.
func (r *Reader) logListing(entries int, cursor kv.Cursor, stale bool) {
	r.config.Log.Info().Int("entries", entries).Uint64("cursor", uint64(cursor)).Bool("stale", stale).Msg("replica: listing of the store applied")
}

// listPage lists one page. Failed requests for pages after the first are retried, so
// that one lost response does not discard the pages before it.
func (r *Reader) listPage(ctx context.Context, after kv.Key) (kv.Page, error) {
	for attempt := 1; ; attempt++ {
		page, err := r.config.Store.List(ctx, "", after, pageSize)
		if err == nil || after == "" || attempt == maxPageAttempts || ctx.Err() != nil {
			return page, err
		}
		sleep(ctx, minBackoff+rand.N(minBackoff))
	}
}

// watch waits for changes after the replica's cursor and applies them.
func (r *Reader) watch(ctx context.Context) error {
	cursor := r.config.Replica.Cursor()
	changes, err := r.config.Store.Watch(ctx, "", cursor)
	if err != nil {
		return err
	}
	r.probe.recordSuccess()
	r.config.Replica.ApplyWatch(cursor, changes)
	sleep(ctx, r.watchDelay(time.Now(), len(changes.Changes) > 0))
	return nil
}

// watchDelay returns how long to wait before the next watch; changed tells whether
// the last one reported changes.
func (r *Reader) watchDelay(now time.Time, changed bool) time.Duration {
	r.recentChanges = slices.DeleteFunc(r.recentChanges, func(at time.Time) bool {
		return now.Sub(at) > burstWindow
	})
	if changed {
		r.recentChanges = append(r.recentChanges, now)
	}
	return min(time.Duration(len(r.recentChanges))*watchDelayStep, maxWatchDelay)
}

// sleep returns after the pause, or when the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
