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

// Guards against a submission that runs twice, an outcome that is lost or belongs
// to another submission, and a "did not run" that is not true.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		faults      []func(*claimRun, *testing.T)
		minOutcomes map[outcome]int // least number of requests by outcome, which shows that the fault took effect
	}{
		"no fault":                                  {minOutcomes: map[outcome]int{answered: 3 * submissionCount}},
		"store loses responses":                     {faults: []func(*claimRun, *testing.T){(*claimRun).loseStoreResponses}, minOutcomes: map[outcome]int{answered: submissionCount}},
		"store down":                                {faults: []func(*claimRun, *testing.T){(*claimRun).stopStore}, minOutcomes: map[outcome]int{answered: submissionCount, notRun: 10}},
		"entry host killed":                         {faults: []func(*claimRun, *testing.T){(*claimRun).killHost}, minOutcomes: map[outcome]int{answered: submissionCount, incomplete: 1}},
		"upstream loses responses":                  {faults: []func(*claimRun, *testing.T){(*claimRun).loseUpstreamResponses}, minOutcomes: map[outcome]int{answered: submissionCount, unknown: 10}},
		"store loses responses, host killed":        {faults: []func(*claimRun, *testing.T){(*claimRun).loseStoreResponses, (*claimRun).killHost}, minOutcomes: map[outcome]int{answered: submissionCount, incomplete: 1}},
		"upstreams crash":                           {faults: []func(*claimRun, *testing.T){(*claimRun).crashUpstreams}, minOutcomes: map[outcome]int{answered: submissionCount, unknown: claimWorkers}},
		"upstream loses responses, then store down": {faults: []func(*claimRun, *testing.T){(*claimRun).loseUpstreamResponses, (*claimRun).stopStore}, minOutcomes: map[outcome]int{answered: submissionCount, unknown: 10, notRun: 10}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{})
			r.startWorkers(t)
			for _, fault := range test.faults {
				fault(r, t)
			}
			for range claimWorkers {
				<-r.workersDone
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
			r.awaitOutcomes(t)
			r.check(t)
			for result, n := range test.minOutcomes {
				qt.Check(t, r.history.count(result) >= n, qt.IsTrue, qt.Commentf("%d requests with outcome %q, want at least %d", r.history.count(result), result, n))
			}
		})
	}
}

// Shows that the check of TestAtMostOnce fails without claims: if the identity
// differs between retries, every retry runs.
func TestRepeatsRunWithoutClaims(t *testing.T) {
	t.Parallel()
	r := newClaimRun(t, setup{
		editDocument: func(_, text string) string {
			return strings.ReplaceAll(text, "identity = field:submission", "identity = field:send")
		},
	})
	r.submitWithRetries("s", []int{1, 2, 3})
	qt.Assert(t, checkHistory(r.history.all(), r.allExecutions()), qt.HasLen, 1, qt.Commentf("%+v", r.history.all()))
}

// Guards against a retry that runs while the entry host that holds the claim is
// frozen, and against a claim holder that dispatches after its deadline. Entry host
// 1 writes the claim in every case.
func TestFrozenHost(t *testing.T) {
	// A retry waits a second for a frozen owner, so the long deadline has to be
	// longer than the four retries take.
	const short, long = 2 * time.Second, 10 * time.Second
	tests := map[string]struct {
		lateThaw      bool // thaw after the request's deadline
		lostResponses int  // responses that the store loses while the host is frozen
	}{
		"thawed in time":                                   {},
		"thawed after the deadline":                        {lateThaw: true},
		"thawed in time, store loses responses":            {lostResponses: 5},
		"thawed after the deadline, store loses responses": {lateThaw: true, lostResponses: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy := &storeProxy{
				armed:   make(chan struct{}, 1),
				delayed: make(chan struct{}),
				release: make(chan struct{}),
			}
			deadline := long
			if test.lateThaw {
				deadline = short
			}
			r := newClaimRun(t, setup{
				store: func(l standin.Layout) ident.Address { return proxy.serve(t, l) },
				editDocument: func(_, text string) string {
					return strings.Replace(text, "deadline = 6s", "deadline = "+deadline.String(), 1)
				},
			})
			proxy.armed <- struct{}{}
			first := make(chan submitRequest, 1)
			begin := time.Now()
			submission := r.submissionOwnedBy(t, 1)
			go func() { first <- r.submitOnce(submission, 0, 1) }()
			select {
			case <-proxy.delayed:
			case <-time.After(waitTimeout):
				t.Fatal("entry host 1 wrote no claim")
			}
			r.hosts[1].freeze(t)
			r.storeFaults(platform.Faults{
				LoseResponse: test.lostResponses,
			})
			proxy.release <- struct{}{}
			serial := 0
			retry := func(host int) outcome {
				serial++
				return r.submitOnce(submission, serial, host).outcome
			}
			for _, host := range []int{2, 3, 2, 3} {
				qt.Check(t, retry(host), qt.Equals, unknown)
			}
			if test.lateThaw {
				await(t, "deadline", func() bool {
					qt.Check(t, retry(2), qt.Equals, unknown)
					return time.Since(begin) > deadline+pollInterval
				})
			}
			r.hosts[1].thaw(t)
			firstResult := <-first
			if test.lateThaw {
				qt.Check(t, firstResult.outcome == notRun || firstResult.outcome == unknown, qt.IsTrue, qt.Commentf("first request: %s", firstResult.outcome))
			} else {
				qt.Check(t, firstResult.outcome, qt.Equals, answered, qt.Commentf("%s", firstResult.output))
			}
			// The claim of a request that was not dispatched is released.
			await(t, "successful retry", func() bool { return retry(3) == answered })
			qt.Check(t, retry(2), qt.Equals, answered)
			r.check(t)
		})
	}
}
