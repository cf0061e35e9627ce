package configcli_test

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/configcli"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// Guards against commands that do not show the operator which revision was accepted,
// the text that caused a conflict, or the content of a revision.
func TestOperator(t *testing.T) {
	path := "../../examples/roues/planning.ini"
	text, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	name := configcli.NameOf(path)
	later := bytes.Replace(text, []byte("deadline = 8s"), []byte("deadline = 9s"), 1)
	change := func(id string, base ident.Revision, text []byte) document.Change {
		return document.Change{
			Service: name,
			ID:      ident.ChangeID(id),
			Base:    base,
			Team:    "atelier-planning",
			Author:  "yann",
			Time:    time.Unix(1_800_000_000, 0),
			Text:    text,
		}
	}
	ctx := context.Background()
	store := memkv.New(time.Now)
	for _, c := range []document.Change{change("one", 0, text), change("two", 1, later)} {
		_, err := document.Apply(ctx, store, c)
		qt.Assert(t, err, qt.IsNil)
	}
	conflict := func(err error) bool {
		var target *document.ConflictError
		return errors.As(err, &target)
	}
	is := func(want error) func(error) bool {
		return func(err error) bool { return errors.Is(err, want) }
	}
	invalid := func(err error) bool {
		var target *document.ParseError
		return errors.As(err, &target)
	}
	for label, test := range map[string]struct {
		run  func(store kv.Store, out *bytes.Buffer) error
		want []string
		err  func(error) bool
	}{
		"check": {
			run:  func(_ kv.Store, out *bytes.Buffer) error { return configcli.Check(out, name, text) },
			want: []string{"planning: valid plain of team atelier-planning, 0 stages, 2 routes\n"},
		},
		"check invalid": {
			run: func(_ kv.Store, out *bytes.Buffer) error { return configcli.Check(out, name, []byte("[x]")) },
			err: invalid,
		},
		"apply retry": {
			run: func(store kv.Store, out *bytes.Buffer) error {
				return configcli.Apply(ctx, store, out, change("two", 1, later))
			},
			want: []string{"planning: revision 2 accepted, change two\n"},
		},
		"apply conflict": {
			run: func(store kv.Store, out *bytes.Buffer) error {
				return configcli.Apply(ctx, store, out, change("three", 1, text))
			},
			want: []string{"-deadline = 9s\n+deadline = 8s\n"},
			err:  conflict,
		},
		"show": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.Show(ctx, store, out, name, 0) },
			want: []string{"# revision 2 by yann of team atelier-planning, 2027-01-15T08:00:00Z\n" + string(later)},
		},
		"show old revision": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.Show(ctx, store, out, name, 1) },
			want: []string{"deadline = 8s"},
		},
		"show missing revision": {
			run: func(store kv.Store, out *bytes.Buffer) error { return configcli.Show(ctx, store, out, name, 3) },
			err: is(configcli.ErrNoRevision),
		},
		"show missing document": {
			run: func(store kv.Store, out *bytes.Buffer) error { return configcli.Show(ctx, store, out, "other", 0) },
			err: is(document.ErrNoDocument),
		},
		"history": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.History(ctx, store, out, name) },
			want: []string{"revision  base  time", "\n2         1     2027", "\n1         0     2027", "yann    two\n"},
		},
		"diff": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.Diff(ctx, store, out, name, 0, 0) },
			want: []string{"planning revision 1\n", "-deadline = 8s\n+deadline = 9s\n"},
		},
		"diff backward": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.Diff(ctx, store, out, name, 2, 1) },
			want: []string{"-deadline = 9s\n+deadline = 8s\n"},
		},
		"diff of the first revision": {
			run:  func(store kv.Store, out *bytes.Buffer) error { return configcli.Diff(ctx, store, out, name, 0, 1) },
			want: []string{"+deadline = 8s\n"},
		},
		"store unavailable": {
			run: func(_ kv.Store, out *bytes.Buffer) error {
				down := memkv.New(time.Now)
				down.SetFaults(memkv.Faults{
					Down: true,
				})
				return configcli.History(ctx, down, out, name)
			},
			err: is(document.ErrStore),
		},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			err := test.run(store, &out)
			if test.err == nil {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.IsNotNil)
				c.Check(test.err(err), qt.IsTrue, qt.Commentf("%v", err))
			}
			for _, want := range test.want {
				c.Check(out.String(), qt.Contains, want)
			}
		})
	}
}
