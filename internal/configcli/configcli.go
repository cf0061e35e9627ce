package configcli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Errors of this package, possibly annotated. Functions that read or write documents
// also return the errors of package document.
const (
	// ErrNoRevision reports a revision that the history does not contain.
	ErrNoRevision = errors.ConstError("revision is not in the history")
	// ErrOutput reports that writing the result failed.
	ErrOutput = errors.ConstError("output failed")
)

// NameOf returns the service name that the path of a document file implies: its
// base name without the extension.
func NameOf(path string) ident.ServiceName {
	base := filepath.Base(path)
	return ident.ServiceName(strings.TrimSuffix(base, filepath.Ext(base)))
}

// Check parses the text of a document and prints a summary if it is valid. Otherwise
// it returns a *document.ParseError with every fault.
func Check(out io.Writer, name ident.ServiceName, text []byte) error {
	service, err := document.Parse(name, text)
	if err != nil {
		return errors.Trace(err)
	}
	return printf(out, "%s: valid %s of team %s, %d stages, %d routes\n",
		name, service.Kind, service.Team, len(service.Stages), len(service.Routes))
}

// Apply applies a change and prints the accepted revision. On a conflict it prints
// the difference between the current and the rejected text and returns a
// *document.ConflictError.
func Apply(ctx context.Context, store kv.Store, out io.Writer, change document.Change) error {
	accepted, err := document.Apply(ctx, store, change)
	var conflict *document.ConflictError
	if errors.As(err, &conflict) {
		if printErr := printf(out, "%s", conflict.Difference); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return errors.Trace(err)
	}
	return printf(out, "%s: revision %d accepted, change %s\n", change.Service, accepted.Revision, accepted.Change)
}

// Show prints the text of a revision; revision 0 is the current one.
func Show(ctx context.Context, store kv.Store, out io.Writer, name ident.ServiceName, revision ident.Revision) error {
	history, err := document.History(ctx, store, name)
	if err != nil {
		return errors.Trace(err)
	}
	shown, err := find(history, revision)
	if err != nil {
		return err
	}
	return printf(out, "# revision %d by %s of team %s, %s\n%s",
		shown.Revision, shown.Author, shown.Team, shown.Time.UTC().Format(time.RFC3339), shown.Text)
}

// History prints one line for each kept revision, newest first.
func History(ctx context.Context, store kv.Store, out io.Writer, name ident.ServiceName) error {
	history, err := document.History(ctx, store, name)
	if err != nil {
		return errors.Trace(err)
	}
	var table strings.Builder
	tabs := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tabs, "revision\tbase\ttime\tteam\tauthor\tchange") // writes to a strings.Builder do not fail
	for _, v := range history {
		_, _ = fmt.Fprintf(tabs, "%d\t%d\t%s\t%s\t%s\t%s\n",
			v.Revision, v.Base, v.Time.UTC().Format(time.RFC3339), v.Team, v.Author, v.Change)
	}
	_ = tabs.Flush()
	return printf(out, "%s", table.String())
}

// Diff prints the lines that differ between two revisions. If to is 0, it is the
// current revision; if from is 0, it is the revision before to.
func Diff(ctx context.Context, store kv.Store, out io.Writer, name ident.ServiceName, from, to ident.Revision) error {
	history, err := document.History(ctx, store, name)
	if err != nil {
		return errors.Trace(err)
	}
	newer, err := find(history, to)
	if err != nil {
		return err
	}
	older := document.Versioned{
		Text: []byte{}, // revision 1 is compared with an empty text
	}
	if from != 0 || newer.Revision > 1 {
		if from == 0 {
			from = newer.Revision - 1
		}
		if older, err = find(history, from); err != nil {
			return err
		}
	}
	return printf(out, "%s", document.Difference(
		fmt.Sprintf("%s revision %d", name, older.Revision), older.Text,
		fmt.Sprintf("%s revision %d", name, newer.Revision), newer.Text))
}

// find returns the revision, or the newest one that has a text if revision is 0. A
// revision without a text is not found.
func find(history []document.Versioned, revision ident.Revision) (document.Versioned, error) {
	for _, v := range history {
		if (revision == 0 || v.Revision == revision) && v.Text != nil {
			return v, nil
		}
	}
	return document.Versioned{}, errors.Annotatef(ErrNoRevision, "revision %d", revision)
}

func printf(out io.Writer, format string, args ...any) error {
	if _, err := fmt.Fprintf(out, format, args...); err != nil {
		return errors.Annotatef(ErrOutput, "print: %v", err)
	}
	return nil
}
