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
	// Callers wait for this, so one peer that does not answer must not cost more.
	notifyTimeout = 300 * time.Millisecond
	// The store answers in milliseconds; a caller must not wait out an outage.
	storeTimeout = 2 * time.Second
	// A conflict means that another host changed the record, which a few hosts do at most.
	maxTries  = 8
	listLimit = 256
)

// Errors of the quarantine, possibly annotated.
const (
	// ErrStore states that the record could not be read or written; the request must not be tried.
	ErrStore = errors.ConstError("quarantine record not written")
	// ErrTrying states that another trial of the request is in progress.
	ErrTrying = errors.ConstError("request is being tried")
	// ErrBlocked states that the request has two strikes.
	ErrBlocked = errors.ConstError("request is blocked")
)

// Notifier tells all live peers, and returns once they have answered or ctx ends.
type Notifier interface {
	Notify(ctx context.Context, rumour Rumour) error
}

// Config holds the dependencies of a Keeper.
type Config struct {
	Store    kv.Store
	Host     ident.HostID
	Clock    func() time.Time // nil: time.Now
	Notifier Notifier         // nil: no peers
}

// Keeper records strikes and admits trials on one host.
type Keeper struct {
	*Table
	cfg Config
}

// New returns a keeper with an empty table; Refresh fills it from the store.
func New(cfg Config) *Keeper {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Keeper{
		Table: newTable(cfg.Clock),
		cfg:   cfg,
	}
}

// Strike records a crash with the request in flight and tells the peers. It must
// return before the caller is answered or the request is tried again. After
// ErrStore this host and the peers that were reached know of the strike all the same.
func (k *Keeper) Strike(ctx context.Context, fingerprint Fingerprint, crash Crash) error {
	made := strike{
		Crash: crash,
		Time:  k.cfg.Clock(),
	}
	notified := k.announce(ctx, Rumour{
		Fingerprint: fingerprint,
		Crash:       crash,
		Time:        made.Time,
	})
	err := k.update(ctx, fingerprint, func(r record) (record, error) {
		return k.known(fingerprint, r).with(made), nil
	})
	<-notified
	return errors.Annotatef(err, "strike %s", fingerprint)
}

// Begin takes the exclusive mark for a trial. Errors are ErrBlocked, ErrTrying and ErrStore.
func (k *Keeper) Begin(ctx context.Context, fingerprint Fingerprint, attempt ident.AttemptID) (*Trial, error) {
	if blocked, ok := k.Check(fingerprint).(Blocked); ok {
		return nil, errors.Annotatef(ErrBlocked, "try %s until %s", fingerprint, blocked.Until)
	}
	trial := &Trial{
		keeper:      k,
		fingerprint: fingerprint,
		attempt:     attempt,
	}
	refused := error(nil)
	err := k.update(ctx, fingerprint, func(r record) (record, error) {
		refused = nil
		r = k.known(fingerprint, r)
		trial.strikes = r.Strikes
		if _, ok := r.verdict().(Blocked); ok {
			// Still written, so that a lost trial becomes a strike for all hosts.
			refused = ErrBlocked
			return r, nil
		}
		if r.marked(attempt) {
			return r, nil
		}
		if r.Trying != nil {
			return r, ErrTrying
		}
		r.Trying = &mark{
			Host:    k.cfg.Host,
			Attempt: attempt,
			Time:    k.cfg.Clock(),
		}
		return r, nil
	})
	if errors.Is(err, ErrStore) {
		// The mark may be written; left alone it would become a strike.
		_ = trial.Abandoned(context.WithoutCancel(ctx))
	}
	if err == nil {
		err = refused
	}
	if err != nil {
		return nil, errors.Annotatef(err, "try %s", fingerprint)
	}
	return trial, nil
}

// Refresh reads all records into the table and deletes those that no longer count.
// A host calls it before it serves and about once a minute.
func (k *Keeper) Refresh(ctx context.Context) error {
	after := kv.Key("")
	for {
		page, err := k.cfg.Store.List(ctx, keyPrefix, after, listLimit)
		if err != nil {
			return errors.Annotate(ErrStore, err.Error())
		}
		for _, entry := range page.Entries {
			after = entry.Key
			if err := k.refresh(ctx, entry); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}

func (k *Keeper) refresh(ctx context.Context, entry kv.Entry) error {
	stored, err := decode(entry.Value)
	if err != nil {
		return errors.Annotatef(err, "read %q", entry.Key)
	}
	var fingerprint Fingerprint
	if _, err := hex.Decode(fingerprint[:], []byte(strings.TrimPrefix(string(entry.Key), string(keyPrefix)))); err != nil {
		return errors.Annotatef(err, "read %q", entry.Key)
	}
	stored = stored.at(k.cfg.Clock())
	k.learn(fingerprint, stored.Strikes)
	if len(stored.Strikes) == 0 && stored.Trying == nil {
		// A host that changed the record meanwhile keeps it.
		_ = k.cfg.Store.Delete(ctx, entry.Key, entry.Version)
	}
	return nil
}

// announce updates the table and tells the peers; the channel is closed when they answered or time is over.
func (k *Keeper) announce(ctx context.Context, rumour Rumour) <-chan struct{} {
	k.Observe(rumour)
	done := make(chan struct{})
	if k.cfg.Notifier == nil {
		close(done)
		return done
	}
	// The peers must hear of it even if the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	go func() {
		defer close(done)
		defer cancel()
		_ = k.cfg.Notifier.Notify(ctx, rumour)
	}()
	return done
}

// announceCleared tells that the crashes of the strikes no longer count.
func (k *Keeper) announceCleared(ctx context.Context, fingerprint Fingerprint, strikes []strike) <-chan struct{} {
	cleared := make([]Crash, 0, len(strikes))
	for _, made := range strikes {
		if made.Attempt == "" {
			cleared = append(cleared, made.Crash)
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

// known adds the strikes of this host's table to a record, because the store
// may have been down when they were made.
func (k *Keeper) known(fingerprint Fingerprint, r record) record {
	for _, made := range k.strikes(fingerprint) {
		r = r.with(made)
	}
	return r.at(k.cfg.Clock())
}

// update changes the record by compare-and-swap. After an uncertain write it
// applies the change again, so a change must recognise its own effect. An
// error of the change is returned as it is; all others are ErrStore.
func (k *Keeper) update(ctx context.Context, fingerprint Fingerprint, change func(record) (record, error)) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	last := error(nil)
	for range maxTries {
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
		changed, err := change(stored.at(k.cfg.Clock()))
		if err != nil {
			return err
		}
		err = k.write(ctx, fingerprint, entry, changed)
		if err == nil {
			k.learn(fingerprint, changed.Strikes)
			return nil
		}
		if !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUncertain) && !errors.Is(err, kv.ErrNotFound) {
			return errors.Annotate(ErrStore, err.Error())
		}
		last = err
	}
	return errors.Annotatef(ErrStore, "%v", last)
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

// Trial is one attempt that holds the mark of its fingerprint. It must end with
// exactly one of Succeeded, Crashed and Abandoned, at most TrialLimit after Begin.
type Trial struct {
	keeper      *Keeper
	fingerprint Fingerprint
	attempt     ident.AttemptID
	strikes     []strike // that a success clears
}

// Succeeded clears the request on all hosts. After ErrStore it should be
// repeated: a mark that stays becomes a strike against an innocent request.
func (t *Trial) Succeeded(ctx context.Context) error {
	notified := t.keeper.announceCleared(ctx, t.fingerprint, t.strikes)
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		if !r.tried(t.attempt) {
			return r, nil
		}
		return record{}, nil
	})
	<-notified
	return errors.Annotatef(err, "clear %s", t.fingerprint)
}

// Crashed records the second strike and tells the peers.
func (t *Trial) Crashed(ctx context.Context, crash Crash) error {
	// The attempt keeps this strike apart from an earlier crash of the same
	// incarnation: the host list may not show the restart in between.
	made := strike{
		Crash:   crash,
		Attempt: t.attempt,
		Time:    t.keeper.cfg.Clock(),
	}
	notified := t.keeper.announce(ctx, Rumour{
		Fingerprint: t.fingerprint,
		Crash:       crash,
		Time:        made.Time,
	})
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		return t.keeper.known(t.fingerprint, r.without(t.attempt)).with(made), nil
	})
	<-notified
	return errors.Annotatef(err, "strike %s", t.fingerprint)
}

// Abandoned states that the trial was not dispatched; another one may begin.
func (t *Trial) Abandoned(ctx context.Context) error {
	err := t.keeper.update(ctx, t.fingerprint, func(r record) (record, error) {
		return r.without(t.attempt), nil
	})
	return errors.Annotatef(err, "abandon trial of %s", t.fingerprint)
}
