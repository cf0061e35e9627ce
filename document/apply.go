package document

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Errors of Apply, History and Load. They may be annotated, so test them with
// errors.Is. Apply also returns *ParseError, *ConflictError and *OwnerError, to be
// tested with errors.As.
const (
	// ErrStore means that the store was unavailable or the key kept changing; a
	// change was not accepted.
	ErrStore = errors.ConstError("store unavailable")
	// ErrUndecided means that a change may have been accepted. Applying it again
	// with the same change id tells whether it was.
	ErrUndecided = errors.ConstError("change may have been accepted")
	// ErrUnknownBase means that the base revision is higher than the current one.
	ErrUnknownBase = errors.ConstError("base revision does not exist")
	// ErrChangeReused means that a different change with the same id was accepted.
	ErrChangeReused = errors.ConstError("change id belongs to another change")
	// ErrInvalidChange means that the id, team or author of a change is missing
	// or too long.
	ErrInvalidChange = errors.ConstError("change is not valid")
	// ErrNoDocument means that the service has no document.
	ErrNoDocument = errors.ConstError("no document")
)

const (
	// maxAttempts limits the attempts of one Apply. An attempt is retried after a
	// lost response or a lost race for the key.
	maxAttempts    = 12
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	maxIDBytes     = 128 // of a change id, team or author
)

// Change is a new text that an operator proposes.
type Change struct {
	Service ident.ServiceName
	ID      ident.ChangeID
	Base    ident.Revision // revision that the text was derived from; 0 creates the document
	Team    ident.TeamName // team of the author
	Author  string
	Time    time.Time
	Text    []byte
}

// ConflictError means that another change to the base revision was accepted.
type ConflictError struct {
	Service    ident.ServiceName
	Base       ident.Revision
	Winner     Versioned // change accepted on Base, or the oldest one after Base that the history still holds
	Current    Versioned // revision currently in the store
	Difference string    // unified diff from the current text to the rejected one
	// baseTrimmed means that the revision after Base is no longer in the history,
	// so the history does not show whether the change was accepted.
	baseTrimmed bool
}

// Error implements error and names the author and revision of the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("document %q: revision %d by %s of team %s was accepted after base %d; current revision is %d",
		e.Service, e.Winner.Revision, e.Winner.Author, e.Winner.Team, e.Base, e.Current.Revision)
}

// OwnerError means that a team other than the owner proposed a change.
type OwnerError struct {
	Service ident.ServiceName
	Owner   ident.TeamName
	Team    ident.TeamName // team of the rejected change
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("document %q belongs to team %s, change is by team %s", e.Service, e.Owner, e.Team)
}

// Apply validates a change, writes it by compare-and-swap and returns the
// accepted revision. After a lost response it reads the value again and looks for
// the change id, so a retry with the same id never applies a change twice.
func Apply(ctx context.Context, store kv.Store, change Change) (Versioned, error) {
	service, err := validate(change)
	if err != nil {
		return Versioned{}, err
	}
	uncertain := false
	backoff := initialBackoff
	for range maxAttempts {
		accepted, err := applyOnce(ctx, store, change, service)
		if err == nil {
			return accepted, nil
		}
		switch {
		case errors.Is(err, kv.ErrUncertain):
			uncertain = true
		case errors.Is(err, kv.ErrConflict):
			continue // the next read shows which change was accepted
		case !errors.Is(err, kv.ErrUnavailable):
			var conflict *ConflictError
			if uncertain && errors.As(err, &conflict) && conflict.baseTrimmed {
				return Versioned{}, errors.Annotatef(ErrUndecided, "apply change %q: %v", change.ID, err)
			}
			return Versioned{}, err
		case !uncertain:
			return Versioned{}, errors.Annotatef(ErrStore, "apply change %q: %v", change.ID, err)
		}
		select {
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		case <-ctx.Done():
			return Versioned{}, errors.Annotatef(ErrUndecided, "apply change %q: %v", change.ID, ctx.Err())
		}
	}
	if uncertain {
		return Versioned{}, errors.Annotatef(ErrUndecided, "apply change %q", change.ID)
	}
	return Versioned{}, errors.Annotatef(ErrStore, "apply change %q: key keeps changing", change.ID)
}

// Load reads all documents from the store. Values that cannot be put into effect
// are returned in Loaded.Broken. Its error is ErrStore.
func Load(ctx context.Context, store kv.Store) (Loaded, error) {
	var loaded Loaded
	var after kv.Key
	for first := true; ; first = false {
		page, err := store.List(ctx, Prefix, after, 64)
		if err != nil {
			return Loaded{}, errors.Annotatef(ErrStore, "list documents: %v", err)
		}
		if first {
			loaded.Cursor = page.Cursor // later pages may already include later changes
		}
		for _, entry := range page.Entries {
			loaded.add(entry)
			after = entry.Key
		}
		if !page.More {
			return loaded, nil
		}
	}
}

// Loaded is the result of one listing of the store.
type Loaded struct {
	Documents []Versioned                 // current revisions that can be put into effect
	Broken    map[ident.ServiceName]error // why the other documents cannot
	Cursor    kv.Cursor                   // a watch from here sees every change made after the listing began
}

// History returns the current revision of a document and the preceding ones that
// the store still holds, newest first. The Text of an old revision may be nil.
func History(ctx context.Context, store kv.Store, name ident.ServiceName) ([]Versioned, error) {
	stored, _, err := readStored(ctx, store, name)
	if err != nil {
		return nil, errors.Annotatef(ErrStore, "read document %q: %v", name, err)
	}
	if stored.Current.Revision == 0 {
		return nil, errors.Annotatef(ErrNoDocument, "read document %q", name)
	}
	return append([]Versioned{stored.Current}, stored.History...), nil
}

// Difference returns the lines that differ between two texts in unified
// format, or "" if they are equal.
func Difference(fromName string, from []byte, toName string, to []byte) string {
	return string(diff.Diff(fromName, from, toName, to))
}

func validate(change Change) (*Service, error) {
	if change.ID == "" || change.Team == "" || change.Author == "" {
		return nil, errors.Annotate(ErrInvalidChange, "id, team and author are required")
	}
	if len(change.ID) > maxIDBytes || len(change.Team) > maxIDBytes || len(change.Author) > maxIDBytes {
		return nil, errors.Annotatef(ErrInvalidChange, "id, team or author exceeds %d bytes", maxIDBytes)
	}
	service, err := Parse(change.Service, change.Text)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if change.Base == 0 && service.Team != change.Team {
		return nil, errors.Trace(&OwnerError{
			Service: change.Service,
			Owner:   service.Team,
			Team:    change.Team,
		})
	}
	return service, nil
}

// applyOnce reads the value once and writes it at most once. It does not retry, and
// the errors that it returns still match those of the store.
func applyOnce(ctx context.Context, store kv.Store, change Change, service *Service) (Versioned, error) {
	stored, version, err := readStored(ctx, store, change.Service)
	if err != nil {
		return Versioned{}, err
	}
	if accepted, err := findAccepted(stored, change, service); err != nil || accepted.Revision != 0 {
		return accepted, err
	}
	if err := checkBaseAndOwner(stored, change); err != nil {
		return Versioned{}, err
	}
	next := Stored{
		Current: Versioned{
			Revision: stored.Current.Revision + 1,
			Change:   change.ID,
			Base:     change.Base,
			Owner:    service.Team,
			Team:     change.Team,
			Author:   change.Author,
			Time:     change.Time,
			Text:     change.Text,
			Service:  service,
		},
	}
	if stored.Current.Revision != 0 {
		next.History = append([]Versioned{stored.Current}, stored.History...)
		next.History = next.History[:min(len(next.History), KeptRevisions)]
	}
	encoded, err := EncodeStored(next)
	if err != nil {
		return Versioned{}, err
	}
	_, err = store.Put(ctx, kv.Put{
		Key:    KeyOf(change.Service),
		Value:  encoded,
		Expect: version,
	})
	if err != nil {
		return Versioned{}, errors.Annotatef(err, "write document %q", change.Service)
	}
	return next.Current, nil
}

// readStored returns a zero Stored and version if the service has no document. A
// stored text that no longer parses is not an error here, so that its owner can
// replace it.
func readStored(ctx context.Context, store kv.Store, name ident.ServiceName) (Stored, kv.Version, error) {
	entry, err := store.Get(ctx, KeyOf(name))
	if errors.Is(err, kv.ErrNotFound) {
		return Stored{}, 0, nil
	}
	if err != nil {
		return Stored{}, 0, errors.Annotatef(err, "read document %q", name)
	}
	stored, err := DecodeStored(name, entry.Value)
	if errors.Is(err, ErrMalformed) {
		return Stored{}, 0, err
	}
	return stored, entry.Version, nil
}

// findAccepted returns the revision that accepted the change, or a zero Versioned
// if neither the current revision nor the history has its id.
func findAccepted(stored Stored, change Change, service *Service) (Versioned, error) {
	for _, v := range append([]Versioned{stored.Current}, stored.History...) {
		if v.Revision == 0 || v.Change != change.ID {
			continue
		}
		if v.Base != change.Base || v.Team != change.Team || (v.Text != nil && string(v.Text) != string(change.Text)) {
			return Versioned{}, errors.Annotatef(ErrChangeReused, "apply change %q", change.ID)
		}
		v.Text = change.Text
		v.Service = service
		return v, nil
	}
	return Versioned{}, nil
}

// checkBaseAndOwner returns an error unless the change is based on the current
// revision and made by the team that owns the document.
func checkBaseAndOwner(stored Stored, change Change) error {
	current := stored.Current
	if change.Base > current.Revision {
		return errors.Annotatef(ErrUnknownBase, "document %q: base %d, current revision %d", change.Service, change.Base, current.Revision)
	}
	if change.Base < current.Revision {
		winner := current
		for _, old := range stored.History {
			if old.Revision > change.Base {
				winner = old
			}
		}
		conflict := &ConflictError{
			Service: change.Service,
			Base:    change.Base,
			Winner:  winner,
			Current: current,
			Difference: Difference(fmt.Sprintf("revision %d", current.Revision), current.Text,
				fmt.Sprintf("change %s", change.ID), change.Text),
			baseTrimmed: winner.Revision > change.Base+1,
		}
		return errors.Trace(conflict)
	}
	if current.Revision != 0 && current.Owner != change.Team {
		return errors.Trace(&OwnerError{
			Service: change.Service,
			Owner:   current.Owner,
			Team:    change.Team,
		})
	}
	return nil
}

func (l *Loaded) add(entry kv.Entry) {
	name := ident.ServiceName(entry.Key[len(Prefix):])
	stored, err := DecodeStored(name, entry.Value)
	if err != nil {
		if l.Broken == nil {
			l.Broken = make(map[ident.ServiceName]error)
		}
		l.Broken[name] = err
		return
	}
	l.Documents = append(l.Documents, stored.Current)
}
