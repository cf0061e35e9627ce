package claimhistory

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

func genScenario(t *rapid.T) scenario {
	// Few distinct times and identities make attempts compete for the same identity.
	halfSeconds := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * 500 * time.Millisecond
	}
	plan := scenario{
		hosts: rapid.IntRange(2, 4).Draw(t, "hosts"),
	}
	for range rapid.IntRange(2, 20).Draw(t, "calls") {
		c := call{
			at:       halfSeconds("at", 0, 30),
			host:     rapid.IntRange(0, plan.hosts-1).Draw(t, "host"),
			identity: rapid.IntRange(0, numIdentities-1).Draw(t, "identity"),
			deadline: rapid.SampledFrom([]time.Duration{time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 12 * time.Second}).Draw(t, "deadline"),
			work:     halfSeconds("work", 0, 6),
			end:      rapid.SampledFrom([]ending{finishes, releases}).Draw(t, "end"),
		}
		if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
			c.freeze = halfSeconds("freeze", 1, 60)
		}
		// Rare, because a killed host may hold any identity, so the run cannot detect leaked claims.
		if rapid.IntRange(0, 15).Draw(t, "killed") == 15 {
			c.end = crashes
		}
		plan.calls = append(plan.calls, c)
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		from := halfSeconds("from", 0, 30)
		plan.faults = append(plan.faults, fault{
			kind: faultKind(rapid.IntRange(0, int(numFaultKinds)-1).Draw(t, "kind")),
			from: from,
			to:   from + halfSeconds("length", 1, 30),
		})
	}
	return plan
}

// Guards against a second execution, an attempt wrongly reported as not run and a
// leaked claim, under generated combinations of faults on several hosts.
func TestAtMostOnce(t *testing.T) {
	runs := 0
	outputs := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		plan := genScenario(rt)
		h := simulate(t, plan, nil)
		if err := h.check(); err != nil {
			rt.Fatalf("%v", err)
		}
		runs++
		for name, count := range h.outputs {
			outputs[name] += count
		}
	})
	names := make([]string, 0, len(outputs))
	for name, count := range outputs {
		names = append(names, fmt.Sprintf("%s: %d", name, count))
	}
	sort.Strings(names)
	t.Logf("%d runs, operations %v", runs, names)
}

// naive is the correct part that the faulty ledgers share. It stores one key per
// identity with the value "claimed ATTEMPT" or "done BODY".
type naive struct{ store kv.Store }

func (l naive) key(identity claim.Identity) kv.Key {
	return kv.Key("naive/" + identity.String())
}

func (l naive) held(ctx context.Context, identity claim.Identity) (claim.Decision, error) {
	entry, err := l.store.Get(ctx, l.key(identity))
	if err != nil {
		return nil, err
	}
	if body, ok := strings.CutPrefix(string(entry.Value), "done "); ok {
		return claim.Completed{
			Body: []byte(body),
			Kept: true,
		}, nil
	}
	return claim.InProgress{}, nil
}

func (l naive) put(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, lease kv.LeaseID) (claim.Decision, error) {
	_, err := l.store.Put(ctx, kv.Put{
		Key:   l.key(identity),
		Value: []byte("claimed " + attempt),
		Lease: lease,
	})
	if errors.Is(err, kv.ErrConflict) {
		return l.held(ctx, identity)
	}
	if err != nil {
		return nil, claim.ErrStore
	}
	return claim.Granted{}, nil
}

func (l naive) Finish(ctx context.Context, identity claim.Identity, attempt ident.AttemptID, result claim.Result) error {
	entry, err := l.store.Get(ctx, l.key(identity))
	if err != nil || string(entry.Value) != "claimed "+string(attempt) {
		return claim.ErrNotHolder
	}
	done, ok := result.(claim.Done)
	if !ok {
		return l.store.Delete(ctx, entry.Key, entry.Version)
	}
	_, err = l.store.Put(ctx, kv.Put{
		Key:    entry.Key,
		Value:  []byte("done " + string(done.Body)),
		Expect: entry.Version,
	})
	return err
}

// checkThenAct claims by a read followed by a write that overwrites a competing claim.
type checkThenAct struct{ naive }

func (l checkThenAct) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error) {
	if decision, err := l.held(ctx, identity); err == nil {
		return decision, nil
	}
	for range 3 {
		entry, _ := l.store.Get(ctx, l.key(identity))
		if _, err := l.store.Put(ctx, kv.Put{
			Key:    l.key(identity),
			Value:  []byte("claimed " + attempt),
			Expect: entry.Version,
		}); err == nil {
			return claim.Granted{}, nil
		}
	}
	return nil, claim.ErrStore
}

// leaseBased claims with a lease, which expires while its host is frozen.
type leaseBased struct{ naive }

func (l leaseBased) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error) {
	lease, err := l.store.Grant(ctx, 10*time.Second)
	if err != nil {
		return nil, claim.ErrStore
	}
	return l.put(ctx, identity, attempt, lease)
}

// uncertainAsFailed claims by compare-and-swap, but takes a write with a lost
// response for a failed write.
type uncertainAsFailed struct{ naive }

func (l uncertainAsFailed) Claim(ctx context.Context, identity claim.Identity, attempt ident.AttemptID) (claim.Decision, error) {
	return l.put(ctx, identity, attempt, 0)
}

// Guards against a checker that accepts everything: it must reject the faulty
// ledgers on scenarios in which claim.Ledger passes.
func TestCheckerRejects(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		plan   scenario
		faulty variant
		want   string
	}{
		"check then act, concurrent retries": {
			plan: scenario{
				hosts: 2,
				calls: []call{
					{host: 0, deadline: 12 * second, at: second, work: second},
					{host: 1, deadline: 12 * second, at: second, work: second},
				},
				faults: []fault{{kind: storeSlow, to: 30 * second}},
			},
			faulty: func(store kv.Store) ledger { return checkThenAct{naive{store: store}} },
			want:   "ran 2 times",
		},
		"lease, host frozen between claim and dispatch": {
			plan: scenario{
				hosts: 2,
				calls: []call{
					{host: 0, deadline: 12 * second, freeze: 30 * second},
					{host: 1, deadline: 12 * second, at: 20 * second},
				},
			},
			faulty: func(store kv.Store) ledger { return leaseBased{naive{store: store}} },
			want:   "ran 2 times",
		},
		"uncertain write taken as failed, leaked claim": {
			plan: scenario{
				hosts: 2,
				calls: []call{
					{host: 0, deadline: 12 * second, at: second},
				},
				faults: []fault{{kind: responsesLost, to: 2 * second}},
			},
			faulty: func(store kv.Store) ledger { return uncertainAsFailed{naive{store: store}} },
			want:   "held by attempts that ended",
		},
		"uncertain write taken as failed, linearizability check only": {
			plan: scenario{
				hosts: 2,
				calls: []call{
					{host: 0, deadline: 12 * second, at: second},
					{host: 1, deadline: 12 * second, at: 5 * second},
				},
				faults: []fault{{kind: responsesLost, to: 2 * second}},
			},
			faulty: func(store kv.Store) ledger { return uncertainAsFailed{naive{store: store}} },
			want:   "not linearizable",
		},
	}
	// The variants must pass without faults, so that a rejection is caused by the fault.
	easy := scenario{
		hosts: 2,
		calls: []call{
			{host: 0, deadline: 12 * second, end: releases},
			{host: 1, deadline: 12 * second, at: 2 * second},
			{host: 0, deadline: 12 * second, at: 4 * second},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := simulate(t, test.plan, test.faulty)
			if test.want == "not linearizable" {
				h.leaked = nil
			}
			c.Assert(h.check(), qt.ErrorMatches, "(?s).*"+test.want+".*")
			c.Assert(simulate(t, test.plan, nil).check(), qt.IsNil)
			c.Assert(simulate(t, easy, test.faulty).check(), qt.IsNil)
		})
	}
}

// Guards against a forwarded claim that the owner writes after the sender's call
// has been decided: it would hold the identity for the whole retention period.
func TestLateForward(t *testing.T) {
	plan := scenario{
		hosts: 3,
		calls: []call{
			{host: 0, deadline: 12 * time.Second, freeze: 4 * time.Second, end: releases},
			{host: 1, deadline: 12 * time.Second, at: time.Second},
			{host: 2, deadline: 12 * time.Second, at: time.Second},
		},
		faults: []fault{{kind: forwardDelayed, from: 500 * time.Millisecond, to: 2 * time.Second}},
	}
	qt.Assert(t, simulate(t, plan, nil).check(), qt.IsNil)
}
