package discovery_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// Guards against a replica that counts as complete although the store, or a host that does not
// respond, may know of a change that it lacks.
func TestVerify(t *testing.T) {
	tests := map[string]struct {
		storeDown bool
		behind    bool // the store has a change that the replica lacks
		fetched   bool // another host sends it
		survey    discovery.Survey
		restored  bool
		want      error
	}{
		"store confirms":              {},
		"store is restored":           {restored: true, want: discovery.ErrUnverified},
		"change is fetched":           {behind: true, fetched: true},
		"change is not fetched":       {behind: true, survey: discovery.Survey{Asked: 1}, want: discovery.ErrUnverified},
		"all hosts confirm":           {storeDown: true, survey: discovery.Survey{Asked: 3, Answered: 3}},
		"the others have ended":       {storeDown: true, survey: discovery.Survey{Asked: 3, Answered: 1, Ended: 2}},
		"all others have ended":       {storeDown: true, survey: discovery.Survey{Asked: 3, Ended: 3}, want: discovery.ErrIsolated},
		"no other host":               {storeDown: true},
		"one host is silent":          {storeDown: true, survey: discovery.Survey{Asked: 3, Answered: 2}, want: discovery.ErrUnverified},
		"all hosts are silent":        {storeDown: true, survey: discovery.Survey{Asked: 3}, want: discovery.ErrIsolated},
		"a host is ahead":             {storeDown: true, survey: discovery.Survey{Asked: 3, Answered: 3, Latest: 1 << 30}, want: discovery.ErrUnverified},
		"one is silent, and a change": {storeDown: true, behind: true, survey: discovery.Survey{Asked: 3, Answered: 2}, want: discovery.ErrUnverified},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx := context.Background()
			store := memkv.New(time.Now)
			put := func(key kv.Key) {
				_, err := store.Put(ctx, kv.Put{
					Key: key,
				})
				c.Assert(err, qt.IsNil)
			}
			replica := discovery.NewReplica(&orderedSink{}, time.Second, time.Now, func(kv.Key) int { return kv.MaxValueBytes })
			list := func() {
				page, err := store.List(ctx, "", "", 0)
				c.Check(err, qt.IsNil)
				replica.ApplyListing(page.Entries, page.Cursor)
			}
			put("servers/a")
			list()
			if test.behind {
				put("servers/b")
			}
			store.SetFaults(memkv.Faults{
				Down: test.storeDown,
			})
			verifier := discovery.NewVerifier(discovery.VerifierConfig{
				Store:    store,
				Health:   discovery.NewHealth(zerolog.Nop(), time.Now),
				Replica:  replica,
				ProbeKey: "table",
				Survey:   func(context.Context) discovery.Survey { return test.survey },
				AskHosts: func(context.Context) {
					if test.fetched {
						list()
					}
				},
				Settled: func() bool { return !test.restored },
				Log:     zerolog.Nop(),
			})
			err := verifier.Verify(ctx)
			if test.want == nil {
				c.Check(err, qt.IsNil)
			} else {
				c.Check(err, qt.ErrorIs, test.want)
			}
		})
	}
}
