package document_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// lossyStore returns ErrUncertain for a part of the writes. Of these it drops some,
// performs some, and performs some only after it has returned.
type lossyStore struct {
	kv.Store
	mu       sync.Mutex
	random   *rand.Rand
	lossRate float64 // share of writes that return ErrUncertain
	delayed  sync.WaitGroup
}

func (s *lossyStore) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	s.mu.Lock()
	lost, mode := s.random.Float64() < s.lossRate, s.random.IntN(3)
	s.mu.Unlock()
	if !lost {
		return s.Store.Put(ctx, put)
	}
	switch mode {
	case 0: // the request is lost
	case 1: // the response is lost
		if _, err := s.Store.Put(ctx, put); err != nil {
			return 0, err
		}
	case 2: // the request arrives after the caller's timeout
		s.delayed.Add(1)
		go func() {
			defer s.delayed.Done()
			time.Sleep(5 * time.Millisecond)
			_, _ = s.Store.Put(context.Background(), put)
		}()
	}
	return 0, errors.Annotate(kv.ErrUncertain, "injected")
}

func change(id string, base ident.Revision) document.Change {
	return document.Change{
		Service: "entries-api",
		ID:      ident.ChangeID(id),
		Base:    base,
		Team:    "entries",
		Author:  "author-of-" + id,
		Time:    time.Unix(1_800_000_000, 0).UTC(),
		Text:    []byte("# " + id + "\n" + plainText),
	}
}

func newStore() *memkv.Store {
	return memkv.New(time.Now)
}

// Guards against a lost change that is reported as accepted, and against a conflict
// that does not name the accepted change.
func TestApply(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newStore()
	first, err := document.Apply(ctx, store, change("a", 0))
	c.Assert(err, qt.IsNil)
	c.Check(first.Revision, qt.Equals, ident.Revision(1))
	c.Check(first.Service.Name, qt.Equals, ident.ServiceName("entries-api"))

	repeated, err := document.Apply(ctx, store, change("a", 0))
	c.Assert(err, qt.IsNil)
	c.Check(repeated.Revision, qt.Equals, ident.Revision(1))

	reused := change("a", 0)
	reused.Text = []byte(plainText)
	_, err = document.Apply(ctx, store, reused)
	c.Check(errors.Is(err, document.ErrChangeReused), qt.IsTrue)

	store.SetFaults(memkv.Faults{
		LoseResponse: 1,
	})
	second, err := document.Apply(ctx, store, change("b", 1))
	c.Assert(err, qt.IsNil)
	c.Check(second.Revision, qt.Equals, ident.Revision(2))

	_, err = document.Apply(ctx, store, change("c", 1))
	var conflict *document.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Check(conflict.Winner.Change, qt.Equals, ident.ChangeID("b"))
	c.Check(conflict.Winner.Author, qt.Equals, "author-of-b")
	c.Check(err, qt.ErrorMatches, `.*revision 2 by author-of-b of team entries was accepted after base 1.*`)
	c.Check(conflict.Difference, qt.Contains, "-# b\n+# c\n")

	_, err = document.Apply(ctx, store, change("d", 9))
	c.Check(errors.Is(err, document.ErrUnknownBase), qt.IsTrue)

	store.SetFaults(memkv.Faults{
		Down: true,
	})
	_, err = document.Apply(ctx, store, change("e", 2))
	c.Check(errors.Is(err, document.ErrStore), qt.IsTrue)
	_, err = document.Load(ctx, store)
	c.Check(errors.Is(err, document.ErrStore), qt.IsTrue)
	store.SetFaults(memkv.Faults{})

	history, err := document.History(ctx, store, "entries-api")
	c.Assert(err, qt.IsNil)
	c.Check(history, qt.HasLen, 2)
	c.Check(history[1].Text, qt.DeepEquals, first.Text)
	_, err = document.History(ctx, store, "absent")
	c.Check(errors.Is(err, document.ErrNoDocument), qt.IsTrue)
}

// Guards against a change by a team that does not own the document.
func TestApplyOwner(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newStore()
	var owner *document.OwnerError

	foreign := change("a", 0)
	foreign.Team = "rivals"
	_, err := document.Apply(ctx, store, foreign)
	c.Assert(errors.As(err, &owner), qt.IsTrue)

	_, err = document.Apply(ctx, store, change("b", 0))
	c.Assert(err, qt.IsNil)
	foreign = change("c", 1)
	foreign.Team = "rivals"
	_, err = document.Apply(ctx, store, foreign)
	c.Assert(errors.As(err, &owner), qt.IsTrue)
	c.Check(owner.Owner, qt.Equals, ident.TeamName("entries"))

	transfer := change("d", 1)
	transfer.Text = []byte(strings.Replace(plainText, "team = entries", "team = rivals", 1))
	transferred, err := document.Apply(ctx, store, transfer)
	c.Assert(err, qt.IsNil)
	c.Check(transferred.Owner, qt.Equals, ident.TeamName("rivals"))
	_, err = document.Apply(ctx, store, change("e", 2))
	c.Check(errors.As(err, &owner), qt.IsTrue)
	foreign = change("f", 2)
	foreign.Team = "rivals"
	_, err = document.Apply(ctx, store, foreign)
	c.Check(err, qt.IsNil)
}

// Guards against a stored text that no longer parses and that its owner cannot
// replace, and against a listing that fails because of one invalid value.
func TestLoadBroken(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newStore()
	for key, value := range map[kv.Key]string{
		"service/garbage":     "{",
		"service/empty":       "{}",
		"service/entries-api": `{"revision":4,"owner":"entries","team":"entries","author":"x","text":"[old]"}`,
		"service/history":     `{"revision":4,"text":"x","history":"AAAA"}`,
	} {
		_, err := store.Put(ctx, kv.Put{
			Key:   key,
			Value: []byte(value),
		})
		c.Assert(err, qt.IsNil)
	}
	loaded, err := document.Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Check(loaded.Documents, qt.HasLen, 0)
	c.Check(loaded.Broken, qt.HasLen, 4)
	repaired, err := document.Apply(ctx, store, change("repair", 4))
	c.Assert(err, qt.IsNil)
	c.Check(repaired.Revision, qt.Equals, ident.Revision(5))
	loaded, err = document.Load(ctx, store)
	c.Assert(err, qt.IsNil)
	c.Check(loaded.Documents, qt.HasLen, 1)
	c.Check(loaded.Broken, qt.HasLen, 3)
}

// Guards against a value above the store's limit. The oldest texts are omitted
// first, and all change ids are kept.
func TestEncodeStoredLimit(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	noise := func() []byte {
		text := make([]byte, document.MaxTextBytes)
		for i := range text {
			text[i] = byte(' ' + random.IntN(94))
		}
		return text
	}
	stored := document.Stored{
		Current: document.Versioned{
			Revision: 30,
			Text:     noise(),
		},
	}
	for i := range document.KeptRevisions {
		stored.History = append(stored.History, document.Versioned{
			Revision: ident.Revision(29 - i),
			Change:   ident.ChangeID(fmt.Sprintf("change-%d", i)),
			Text:     noise(),
		})
	}
	encoded, err := document.EncodeStored(stored)
	c.Assert(err, qt.IsNil)
	c.Check(len(encoded) <= kv.MaxValueBytes, qt.IsTrue)
	decoded, err := document.DecodeStored("x", encoded)
	var faults *document.ParseError
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	c.Assert(decoded.History, qt.HasLen, document.KeptRevisions)
	c.Check(decoded.History[0].Text, qt.DeepEquals, stored.History[0].Text)
	c.Check(decoded.History[19].Text, qt.IsNil)
	c.Check(decoded.History[19].Change, qt.Equals, ident.ChangeID("change-19"))
}

type applyOutput struct {
	change   ident.ChangeID
	accepted ident.Revision // 0 if not accepted
	current  ident.Revision // current revision of a conflict, or 0
}

// applyModel models a document. The state is its revision; an input is a base
// revision.
var applyModel = porcupine.Model{
	Init: func() any {
		return ident.Revision(0)
	},
	Step: func(state, input, output any) (bool, any) {
		revision, base, out := state.(ident.Revision), input.(ident.Revision), output.(applyOutput)
		if out.accepted != 0 {
			return base == revision && out.accepted == revision+1, revision + 1
		}
		return base < revision && out.current == revision, revision
	},
}

// operatorRace runs concurrent operators and records their operations.
type operatorRace struct {
	t     *testing.T
	store kv.Store
	start time.Time
	wait  sync.WaitGroup

	mu         sync.Mutex
	operations []porcupine.Operation
}

// run applies changes as one operator, each based on the revision last seen.
func (r *operatorRace) run(operator, changes int) {
	defer r.wait.Done()
	var base ident.Revision
	for n := range changes {
		id := fmt.Sprintf("%d-%d", operator, n)
		operation := porcupine.Operation{
			ClientId: operator,
			Input:    base,
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		operation.Call = int64(time.Since(r.start))
		applied, err := document.Apply(ctx, r.store, change(id, base))
		operation.Return = int64(time.Since(r.start))
		cancel()
		out := applyOutput{
			change: ident.ChangeID(id),
		}
		var conflict *document.ConflictError
		switch {
		case err == nil:
			out.accepted = applied.Revision
			base = applied.Revision
		case errors.As(err, &conflict):
			out.current = conflict.Current.Revision
			base = conflict.Current.Revision
		case errors.Is(err, document.ErrUndecided):
			operation.Return = math.MaxInt64 // the change may take effect at any later time
		case !errors.Is(err, document.ErrStore):
			r.t.Errorf("operator %d: %v", operator, err)
		}
		operation.Output = out
		r.mu.Lock()
		r.operations = append(r.operations, operation)
		r.mu.Unlock()
	}
}

// Guards against two accepted changes to one base revision, an accepted change that
// is missing from the history, and revisions that do not increase by one, while
// operators of one team apply changes concurrently and responses are lost.
func TestApplyRaces(t *testing.T) {
	for name, test := range map[string]struct {
		operators, changes int
		lossRate           float64
		outages            int
	}{
		"no faults":                      {8, 12, 0, 0},
		"lost responses":                 {8, 12, 0.3, 0},
		"most responses lost":            {6, 8, 0.8, 0},
		"lost responses and outages":     {6, 12, 0.3, 5},
		"many operators, lost responses": {16, 5, 0.3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			seed := rand.Uint64()
			t.Logf("seed %d", seed)
			memory := newStore()
			store := &lossyStore{
				Store:    memory,
				random:   rand.New(rand.NewPCG(seed, 0)),
				lossRate: test.lossRate,
			}
			r := &operatorRace{
				t:     t,
				store: store,
				start: time.Now(),
			}
			r.wait.Add(test.operators)
			for operator := range test.operators {
				go r.run(operator, test.changes)
			}
			for range test.outages {
				time.Sleep(3 * time.Millisecond)
				memory.SetFaults(memkv.Faults{
					Down: true,
				})
				time.Sleep(3 * time.Millisecond)
				memory.SetFaults(memkv.Faults{})
			}
			r.wait.Wait()
			store.delayed.Wait()

			watched, err := memory.Watch(context.Background(), document.Prefix, 0)
			c.Assert(err, qt.IsNil)
			revisions := make(map[ident.ChangeID]ident.Revision)
			for i, written := range watched.Changes {
				stored, err := document.DecodeStored("entries-api", written.Entry.Value)
				c.Assert(err, qt.IsNil)
				c.Check(stored.Current.Revision, qt.Equals, ident.Revision(i+1))
				c.Check(stored.Current.Base, qt.Equals, ident.Revision(i))
				c.Check(stored.History, qt.HasLen, min(i, document.KeptRevisions))
				revisions[stored.Current.Change] = stored.Current.Revision
			}
			c.Check(revisions, qt.HasLen, len(watched.Changes)) // no change is written twice
			var history []porcupine.Operation
			for _, operation := range r.operations {
				out := operation.Output.(applyOutput)
				switch {
				case operation.Return == math.MaxInt64:
					out.accepted = revisions[out.change]
				case out.accepted == 0:
					c.Check(revisions[out.change], qt.Equals, ident.Revision(0), qt.Commentf("%s was rejected", out.change))
				default:
					c.Check(revisions[out.change], qt.Equals, out.accepted, qt.Commentf("%s was accepted", out.change))
				}
				operation.Output = out
				if out.accepted != 0 || out.current != 0 { // the others had no effect and observed no revision
					history = append(history, operation)
				}
			}
			c.Check(porcupine.CheckOperationsTimeout(applyModel, history, time.Minute), qt.Equals, porcupine.Ok)
			t.Logf("%d revisions, %d of %d operations in the history", len(revisions), len(history), len(r.operations))
		})
	}
}
