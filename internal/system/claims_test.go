package system

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

// Guards against a submission that runs twice, an outcome that is lost or
// swapped, and a "did not run" that is not true.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		faults []func(*claimRun, *testing.T)
		least  map[end]int // sends that must have ended so, else the fault did not happen
	}{
		"no fault":                                {least: map[end]int{answered: 3 * submissionsRun}},
		"store loses answers":                     {faults: []func(*claimRun, *testing.T){(*claimRun).loseStoreAnswers}, least: map[end]int{answered: submissionsRun}},
		"store down":                              {faults: []func(*claimRun, *testing.T){(*claimRun).stopStore}, least: map[end]int{answered: submissionsRun, notRun: 10}},
		"entry host killed":                       {faults: []func(*claimRun, *testing.T){(*claimRun).killHost}, least: map[end]int{answered: submissionsRun, broken: 1}},
		"upstream loses answers":                  {faults: []func(*claimRun, *testing.T){(*claimRun).loseUpstreamAnswers}, least: map[end]int{answered: submissionsRun, unknown: 10}},
		"store loses answers, entry host killed":  {faults: []func(*claimRun, *testing.T){(*claimRun).loseStoreAnswers, (*claimRun).killHost}, least: map[end]int{answered: submissionsRun, broken: 1}},
		"upstreams crash":                         {faults: []func(*claimRun, *testing.T){(*claimRun).crashUpstreams}, least: map[end]int{answered: submissionsRun, unknown: claimWorkers}},
		"upstream loses answers, then store down": {faults: []func(*claimRun, *testing.T){(*claimRun).loseUpstreamAnswers, (*claimRun).stopStore}, least: map[end]int{answered: submissionsRun, unknown: 10, notRun: 10}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{})
			r.work(t)
			for _, fault := range test.faults {
				fault(r, t)
			}
			for range claimWorkers {
				<-r.ended
			}
			r.storeFaults(platform.Faults{})
			await(t, "restart of crashed servers", func() bool {
				for _, server := range r.servers() {
					if r.get(server.Address, "/load", nil) != http.StatusOK {
						return false
					}
				}
				return true
			})
			r.upstreamFaults(upstreams.Faults{}, r.servers()...)
			r.settle(t)
			r.check(t)
			for e, n := range test.least {
				qt.Check(t, r.history.count(e) >= n, qt.IsTrue, qt.Commentf("%d sends ended as %q, want at least %d", r.history.count(e), e, n))
			}
		})
	}
}

// Shows that the proofs above fail without claims: an identity that differs
// between repeats lets every repeat run.
func TestRepeatsRunWithoutClaims(t *testing.T) {
	t.Parallel()
	r := newClaimRun(t, setup{
		documents: func(_, text string) string {
			return strings.ReplaceAll(text, "identity = field:submission", "identity = field:send")
		},
	})
	r.submit("s", []int{1, 2, 3})
	qt.Assert(t, faults(r.history.all(), r.allExecutions()), qt.HasLen, 1, qt.Commentf("%+v", r.history.all()))
}

// Guards against a repeat that runs while the claim's holder is frozen, and
// against a holder that dispatches after its deadline. The submissions differ
// between the cases, so that different hosts write the claim.
func TestFrozenHost(t *testing.T) {
	// A repeat waits a second for a frozen owner, so a thaw in time needs more
	// than the four repeats take.
	const short, long = 2 * time.Second, 10 * time.Second
	tests := map[string]struct {
		late bool // thaw after the request's deadline
		lose int  // answers that the store loses while the host is frozen
	}{
		"thawed in time":                          {},
		"thawed after the deadline":               {late: true},
		"thawed in time, store loses answers":     {lose: 5},
		"thawed after the deadline, answers lost": {late: true, lose: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := &holder{
				armed:   make(chan struct{}, 1),
				held:    make(chan struct{}),
				release: make(chan struct{}),
			}
			deadline := long
			if test.late {
				deadline = short
			}
			r := newClaimRun(t, setup{
				store: func(l standin.Layout) ident.Address { return h.serve(t, l) },
				documents: func(_, text string) string {
					return strings.Replace(text, "deadline = 6s", "deadline = "+deadline.String(), 1)
				},
			})
			h.armed <- struct{}{}
			first := make(chan send, 1)
			begin := time.Now()
			submission := r.ownedBy(t, 1)
			go func() { first <- r.enter(submission, 0, 1) }()
			select {
			case <-h.held:
			case <-time.After(patience):
				t.Fatal("entry host 1 wrote no claim")
			}
			r.hosts[1].freeze(t)
			r.storeFaults(platform.Faults{
				LoseResponse: test.lose,
			})
			h.release <- struct{}{}
			number := 0
			repeat := func(host int) end {
				number++
				return r.enter(submission, number, host).end
			}
			for _, host := range []int{2, 3, 2, 3} {
				qt.Check(t, repeat(host), qt.Equals, unknown)
			}
			if test.late {
				await(t, "deadline", func() bool {
					qt.Check(t, repeat(2), qt.Equals, unknown)
					return time.Since(begin) > deadline+pollTime
				})
			}
			r.hosts[1].thaw(t)
			got := <-first
			if test.late {
				qt.Check(t, got.end == notRun || got.end == unknown, qt.IsTrue, qt.Commentf("first send: %s", got.end))
			} else {
				qt.Check(t, got.end, qt.Equals, answered, qt.Commentf("%s", got.output))
			}
			// The claim of a request that was not dispatched is released.
			await(t, "answer to a repeat", func() bool { return repeat(3) == answered })
			qt.Check(t, repeat(2), qt.Equals, answered)
			r.check(t)
		})
	}
}
