package quarantine

import (
	"bytes"
	"context"
	"encoding/hex"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// notifyTimeout limits how long an unresponsive peer delays the caller.
	notifyTimeout = 300 * time.Millisecond
	// The store responds within milliseconds; storeTimeout keeps callers from
	// waiting for the end of an outage.
	storeTimeout = 2 * time.Second
	// A write conflicts only if another host has changed the record, which at most
	// a few hosts do at once.
	maxUpdateAttempts = 8
	listPageSize      = 256
)

// Errors of Keeper and Trial, possibly annotated.
const (
	// ErrStore means that a record could not be read or written; a suspect must not run.
	ErrStore = errors.ConstError("quarantine record could not be read or written")
	// ErrTrying means that another trial of the request is in progress.
	ErrTrying = errors.ConstError("another trial of the request is in progress")
	// ErrBlocked means that the request has two strikes.
	ErrBlocked = errors.ConstError("request is blocked by the quarantine")
)

// Notifier sends a rumour to all live peers, and returns once they have responded
// or ctx ends.
type Notifier interface {
	Notify(ctx context.Context, rumour Rumour) error
}

// Config holds the dependencies of a Keeper.
type Config struct {
	Store    kv.Store
	Host     ident.HostID
	Clock    func() time.Time // default: time.Now
	Notifier Notifier         // nil if there are no peers
}

// Keeper records strikes and admits trials on one host. It is safe for concurrent
// use.
type Keeper struct {
	*Table
	cfg Config
}

// New returns a Keeper with an empty table, which Refresh fills from the store.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Keeper{
		Table: newTable(cfg.Clock),
		cfg:   cfg,
	}
}

// Strike records a crash with the request in flight and notifies the peers. It must
// return before the response is sent to the caller or the request is retried. Its
// error is ErrStore; this host and the peers that were reached count the strike
// even then.
func (k *Keeper) Strike(ctx context.Context, fingerprint Fingerprint, crash Crash) error {
	added := strike{
		Crash: crash,
		Time:  k.cfg.Clock(),
	}
	notified := k.announce(ctx, Rumour{
		Fingerprint: fingerprint,
		Crash:       crash,
		Time:        added.Time,
	})
	err := k.update(ctx, fingerprint, func(r record) (record, error) {
		return k.withLocalStrikes(fingerprint, r).withStrike(added), nil
	})
	<-notified
	return errors.Annotatef(err, "record strike against %s", fingerprint)
}

// Begin acquires the exclusive mark for a trial. Errors are ErrBlocked, ErrTrying
// and ErrStore.
func (k *Keeper) Begin(ctx context.Context, fingerprint Fingerprint, attempt ident.AttemptID) (*Trial, error) {
	if blocked, ok := k.Check(fingerprint).(Blocked); ok {
		return nil, errors.Annotatef(ErrBlocked, "begin trial of %s, blocked until %s", fingerprint, blocked.Until)
	}
	trial := &Trial{
		keeper:      k,
		fingerprint: fingerprint,
		attempt:     attempt,
	}
	refusal := error(nil)
	err := k.update(ctx, fingerprint, func(r record) (record, error) {
		refusal = nil
		r = k.withLocalStrikes(fingerprint, r)
		trial.strikes = r.Strikes
		if _, ok := r.verdict().(Blocked); ok {
			// The record is written all the same, so that a lost trial counts as a
			// strike on all hosts.
			refusal = ErrBlocked
			return r, nil
		}
		if r.holdsMark(attempt) {
			return r, nil
		}
		if r.Trying != nil {
			return r, ErrTrying
		}
		r.Trying = &trialMark{
			Host:    k.cfg.Host,
			Attempt: attempt,
			Time:    k.cfg.Clock(),
		}
		return r, nil
	})
	if errors.Is(err, ErrStore) {
		// The mark may have been written; unless removed it would become a strike.
		_ = trial.Abandoned(context.WithoutCancel(ctx))
	}
	if err == nil {
		err = refusal
	}
	if err != nil {
		return nil, errors.Annotatef(err, "begin trial of %s", fingerprint)
	}
	return trial, nil
}

// Refresh reads all records into the table and deletes the expired ones. A host
// calls it before it serves requests, and about once a minute after that. Errors
// are ErrStore, and those of records that cannot be decoded.
func (k *Keeper) Refresh(ctx context.Context) error {
	after := kv.Key("")
	for {
		page, err := k.cfg.Store.List(ctx, keyPrefix, after, listPageSize)
		if err != nil {
			return errors.Annotate(ErrStore, err.Error())
		}
		for _, entry := range page.Entries {
			after = entry.Key
			if err := k.refreshEntry(ctx, entry); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}

func (k *Keeper) refreshEntry(ctx context.Context, entry kv.Entry) error {
	stored, err := decode(entry.Value)
	if err != nil {
		return errors.Annotatef(err, "read quarantine record %q", entry.Key)
	}
	var fingerprint Fingerprint
	if _, err := hex.Decode(fingerprint[:], []byte(strings.TrimPrefix(string(entry.Key), string(keyPrefix)))); err != nil {
		return errors.Annotatef(err, "read quarantine record %q", entry.Key)
	}
	stored = stored.asOf(k.cfg.Clock())
	k.addStrikes(fingerprint, stored.Strikes)
	if len(stored.Strikes) == 0 && stored.Trying == nil {
		// The delete fails if another host has changed the record meanwhile.
		_ = k.cfg.Store.Delete(ctx, entry.Key, entry.Version)
	}
	return nil
}

// announce updates the table and notifies the peers. The channel is closed when
// they have responded or notifyTimeout has passed.
func (k *Keeper) announce(ctx context.Context, rumour Rumour) <-chan struct{} {
	k.Observe(rumour)
	done := make(chan struct{})
	if k.cfg.Notifier == nil {
		close(done)
		return done
	}
	// The peers must be notified even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	go func() {
		defer close(done)
		defer cancel()
		_ = k.cfg.Notifier.Notify(ctx, rumour)
	}()
	return done
}

// announceCleared announces that the crashes of the strikes no longer count.
func (k *Keeper) announceCleared(ctx context.Context, fingerprint Fingerprint, strikes []strike) <-chan struct{} {
	cleared := make([]Crash, 0, len(strikes))
	for _, s := range strikes {
		if s.Attempt == "" {
			cleared = append(cleared, s.Crash)
		}
	}
	if len(cleared) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	return k.announce(ctx, Rumour{
		Fingerprint: fingerprint,
		Cleared:     cleared,
		Time:        k.cfg.Clock(),
	})
}

// withLocalStrikes adds the strikes in this host's table to a record, because the
// store may have been unavailable when they were recorded.
func (k *Keeper) withLocalStrikes(fingerprint Fingerprint, r record) record {
	for _, s := range k.strikes(fingerprint) {
		r = r.withStrike(s)
	}
	return r.asOf(k.cfg.Clock())
}

// update changes the record by compare-and-swap. After a write with an unknown
// outcome it applies the change again, so a change must be idempotent. An error of
// the change is returned unmodified; all others are ErrStore.
func (k *Keeper) update(ctx context.Context, fingerprint Fingerprint, change func(record) (record, error)) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	lastErr := error(nil)
	for range maxUpdateAttempts {
		stored := record{}
		entry, err := k.cfg.Store.Get(ctx, key(fingerprint))
		if err == nil {
			stored, err = decode(entry.Value)
		} else if errors.Is(err, kv.ErrNotFound) {
			err = nil
		}
		if err != nil {
			return errors.Annotate(ErrStore, err.Error())
		}
		changed, err := change(stored.asOf(k.cfg.Clock()))
		if err != nil {
			return err
		}
		err = k.write(ctx, fingerprint, entry, changed)
		if err == nil {
			k.addStrikes(fingerprint, changed.Strikes)
			return nil
		}
		if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) && !errors.Is(err, kv.ErrNotFound) {
			return errors.Annotate(ErrStore, err.Error())
		}
		lastErr = err
	}
	return errors.Annotatef(ErrStore, "%v", lastErr)
}

// write replaces an entry by a record, or deletes it if the record is empty.
func (k *Keeper) write(ctx context.Context, fingerprint Fingerprint, entry kv.Entry, changed record) error {
	if len(changed.Strikes) == 0 && changed.Trying == nil {
		if entry.Version == 0 {
			return nil
		}
		return k.cfg.Store.Delete(ctx, entry.Key, entry.Version)
	}
	value, err := encode(changed)
	if err != nil || bytes.Equal(value, entry.Value) {
		return err
	}
	_, err = k.cfg.Store.Put(ctx, kv.Put{
		Key:    key(fingerprint),
		Value:  value,
		Expect: entry.Version,
	})
	return err
}

// Trial is an attempt that holds the exclusive mark of its fingerprint. Exactly one
// of Succeeded, Crashed and Abandoned must end it, within TrialLimit of Begin.
type Trial struct {
	keeper      *Keeper
	fingerprint Fingerprint
	attempt     ident.AttemptID
	strikes     []strike // cleared by success
}

// Succeeded clears the request on all hosts. After ErrStore it should be called
// again: a remaining mark becomes a strike against an innocent request.
func (t *Trial) Succeeded(ctx context.Context) error {
	notified := t.keeper.announceCleared(ctx, t.fingerprint, t.strikes)
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		if !r.heldMark(t.attempt) {
			return r, nil
		}
		return record{}, nil
	})
	<-notified
	return errors.Annotatef(err, "clear strikes of %s", t.fingerprint)
}

// Crashed records the second strike and notifies the peers. Its error is ErrStore.
func (t *Trial) Crashed(ctx context.Context, crash Crash) error {
	// The attempt distinguishes this strike from an earlier crash with the same
	// incarnation: the host list may not yet show the restart in between.
	added := strike{
		Crash:   crash,
		Attempt: t.attempt,
		Time:    t.keeper.cfg.Clock(),
	}
	notified := t.keeper.announce(ctx, Rumour{
		Fingerprint: t.fingerprint,
		Crash:       crash,
		Time:        added.Time,
	})
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		return t.keeper.withLocalStrikes(t.fingerprint, r.withoutTrial(t.attempt)).withStrike(added), nil
	})
	<-notified
	return errors.Annotatef(err, "record strike against %s", t.fingerprint)
}

// Abandoned ends a trial without an outcome, so that another may begin. Its error
// is ErrStore.
func (t *Trial) Abandoned(ctx context.Context) error {
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		return r.withoutTrial(t.attempt), nil
	})
	return errors.Annotatef(err, "abandon trial of %s", t.fingerprint)
}
