package document_test

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// Two operators apply a change to the same base revision. One change is accepted and
// takes effect in the process; the other is rejected with a conflict.
func Example() {
	const text = "[service]\nteam = fair\nkind = plain\ndeadline = %s\nweight = 1\ncrossing = 0\n[shares]\nothers = 1\n" +
		"[route enter]\nmethod = POST\npath = /entries\nrepeatable = false\nidentity = field:submission\n" +
		"organisation = header:X-Organisation\npool = entries-api/servers\nbody = 64KiB\n"
	ctx := context.Background()
	store := memkv.New(time.Now)
	registry := document.NewRegistry()
	for author, deadline := range []string{"6s", "8s"} {
		accepted, err := document.Apply(ctx, store, document.Change{
			Service: "entries-api",
			ID:      ident.ChangeID(fmt.Sprintf("change-%d", author)), // unique; makes a retry after a lost response safe
			Base:    0,
			Team:    "fair",
			Author:  fmt.Sprintf("operator-%d", author),
			Time:    time.Unix(1_800_000_000, 0),
			Text:    fmt.Appendf(nil, text, deadline),
		})
		var conflict *document.ConflictError
		if errors.As(err, &conflict) {
			fmt.Println("rejected, the winner is", conflict.Winner.Author)
			continue
		}
		fmt.Println("accepted revision", accepted.Revision, "in effect:", registry.Offer(accepted))
	}
	held, _ := registry.Snapshot().Document("entries-api")
	fmt.Println("deadline", held.Service.Deadline)
	// Output:
	// accepted revision 1 in effect: true
	// rejected, the winner is operator-0
	// deadline 6s
}
