package system

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// postPlanTime is how long the load continues after the last step.
	postPlanTime = 8 * time.Second
	// recoveryTime is the time after the last step by which nearly all requests have
	// to be served again.
	recoveryTime = 6 * time.Second
	// slack is added to time limits to allow for delayed messages on a busy machine.
	slack = 500 * time.Millisecond
	// maxPrintedFailures is the maximum number of failures that a run prints.
	maxPrintedFailures = 12
)

// defaultSoakPlans is the number of plans that a test run executes unless
// -rapid.checks is set.
const defaultSoakPlans = "1"

// TestSoak executes random plans of faults and planned work on real processes, and
// checks what callers and upstreams see. rapid stores a plan that fails in testdata
// and runs it first in later test runs. To run 50 new plans:
//
//	go test ./internal/system -run TestSoak -timeout 60m -rapid.checks=50 -rapid.seed=N
func TestSoak(t *testing.T) {
	deploymentSlots <- struct{}{}
	defer func() { <-deploymentSlots }()
	setSoakFlags(t)
	generator := planGenerator()
	rapid.Check(t, func(r *rapid.T) {
		p := generator.Draw(r, "plan")
		if failures := runPlan(t, p); len(failures) > 0 {
			r.Fatalf("plan failed with %d failures:\n%s\n%s", len(failures), p, strings.Join(failures[:min(len(failures), maxPrintedFailures)], "\n"))
		}
	})
}

// setSoakFlags makes rapid execute a few seeded plans unless its flags are set.
func setSoakFlags(t *testing.T) {
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": defaultSoakPlans, "rapid.seed": "1"} {
		if setFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// executedStep is a step with the times at which it started and ended.
type executedStep struct {
	step
	start, end time.Time
}

// runPlan executes a plan under load and returns descriptions of the violated
// guarantees.
func runPlan(t *testing.T, p plan) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newSoakCluster(ctx, t)
	load := &loadGenerator{
		cluster: c,
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadDone := make(chan struct{})
	go func(ctx context.Context) {
		defer close(loadDone)
		load.run(ctx)
	}(loadCtx)
	steps := c.runSteps(p)
	planEnd := time.Now()
	time.Sleep(postPlanTime)
	for _, h := range c.hosts {
		if !h.isReady() || !h.serves() {
			c.fail("%s does not serve requests %s after the last step; its process is in state %q", h.name, time.Since(planEnd).Round(time.Millisecond), h.process.state())
			h.process.signal(t, syscall.SIGQUIT) // prints its goroutine stacks to the test output
			<-h.process.exited
		}
	}
	loadEnd := time.Now()
	stopLoad()
	<-loadDone
	for _, h := range c.hosts {
		h.mu.Lock()
		h.process.kill(t)
		if out := h.process.output; out.line("panic") != "" {
			c.fail("%s printed a panic: %s", h.name, out.line("panic"))
		}
		h.mu.Unlock()
	}
	check := &checker{
		cluster:  c,
		requests: load.requests,
		steps:    steps,
	}
	check.run(planEnd.Add(recoveryTime), loadEnd.Add(-callPause))
	t.Logf("%d steps, %d requests, %d executed, %d without a fault around them, %d failures", len(p), len(load.requests), len(check.runs), check.faultFreeCount, len(c.failures))
	return c.failures
}

// runSteps executes the steps concurrently, each at its time, and returns them once
// all have ended.
func (c *soakCluster) runSteps(p plan) []executedStep {
	planStart := time.Now()
	var mu sync.Mutex
	var executed []executedStep
	var steps sync.WaitGroup
	for _, s := range p {
		steps.Go(func() {
			time.Sleep(time.Until(planStart.Add(s.At)))
			start := time.Now()
			c.execute(s)
			mu.Lock()
			defer mu.Unlock()
			executed = append(executed, executedStep{
				step:  s,
				start: start,
				end:   time.Now(),
			})
		})
	}
	steps.Wait()
	return executed
}

// checker checks the requests of callers and the runs of upstreams against the
// relay's guarantees.
type checker struct {
	cluster        *soakCluster
	requests       []sentRequest
	steps          []executedStep
	runs           map[ident.RequestID][]standin.Run
	faultFreeCount int // number of requests that no fault could have affected
}

// faultFree reports whether no step other than planned work was in progress between
// the two times or within faultEffectTime before them.
func (c *checker) faultFree(from, to time.Time) bool {
	return c.undisturbed(from, to, "")
}

// undisturbed is like faultFree, but ignores steps with one action.
func (c *checker) undisturbed(from, to time.Time, ignored action) bool {
	for _, s := range c.steps {
		if !s.Action.planned() && s.Action != ignored && s.start.Before(to) && s.end.Add(faultEffectTime).After(from) {
			return false
		}
	}
	return true
}

// run performs all checks. Between recovered and loadEnd, nearly all requests have to
// be served.
func (c *checker) run(recovered, loadEnd time.Time) {
	c.runs = make(map[ident.RequestID][]standin.Run)
	for _, u := range c.cluster.upstreams {
		for _, run := range u.Runs() {
			c.runs[run.Request] = append(c.runs[run.Request], run)
		}
	}
	sort.Slice(c.requests, func(i, j int) bool { return c.requests[i].sent.Before(c.requests[j].sent) })
	byID := make(map[ident.RequestID]sentRequest)
	for _, r := range c.requests {
		byID[r.id] = r
		c.checkResponse(r)
		c.checkAtMostOnce(r)
		c.checkFaultFree(r)
	}
	c.checkRuns(byID)
	c.checkVersions()
	c.checkDrains()
	c.checkEvacuations()
	c.checkDeadlyPart()
	c.checkRecovery(recovered, loadEnd)
}

// checkResponse checks that the body of a successful response is the upstream's, and
// that a truncated one is a prefix of it.
func (c *checker) checkResponse(r sentRequest) {
	switch {
	case r.status == http.StatusOK && !r.truncated && (r.gotBody != r.wantBody() || !r.sealed):
		c.cluster.fail("response differs from the upstream's: %s, got %q", r, r.gotBody)
	case r.status == http.StatusOK && r.truncated && !strings.HasPrefix(r.wantBody(), r.gotBody):
		c.cluster.fail("truncated response differs from the upstream's: %s, got %q", r, r.gotBody)
	}
}

// checkAtMostOnce checks that a request that is not idempotent ran at most once, and
// that it did not run if the response states so.
func (c *checker) checkAtMostOnce(r sentRequest) {
	runs := len(c.runs[r.id])
	switch {
	case r.route != "submit":
	case runs > 1:
		c.cluster.fail("request ran %d times: %s", runs, r)
	case runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests):
		c.cluster.fail("request ran although the response states that it did not: %s", r)
	}
}

// checkFaultFree checks that no request fails because of planned work alone.
func (c *checker) checkFaultFree(r sentRequest) {
	if !c.faultFree(r.sent, r.ended) {
		return
	}
	c.faultFreeCount++
	switch {
	case r.status == 0:
		c.cluster.fail("no response without a fault: %s", r)
	case r.truncated:
		c.cluster.fail("response truncated without a fault: %s", r)
	case r.status >= http.StatusInternalServerError:
		c.cluster.fail("request failed without a fault: %s", r)
	}
}

// checkRuns checks that upstreams ran only requests that callers sent, without
// changes and for the right organisation.
func (c *checker) checkRuns(byID map[ident.RequestID]sentRequest) {
	organisations := map[string]string{"first": "lakeshore", "second": "rindworks"}
	for id, runs := range c.runs {
		r, ok := byID[id]
		for _, run := range runs {
			switch {
			case !ok:
				c.cluster.fail("an upstream ran %s, which no caller sent", id)
			case run.Path != fmt.Sprintf("/%s/x?of=%s", r.route, id) || run.Body != r.body:
				c.cluster.fail("request was modified: %s ran as %s with body %q", r, run.Path, run.Body)
			case run.Tenant != organisations[r.key]:
				c.cluster.fail("request ran for organisation %q: %s", run.Tenant, r)
			}
			for _, handle := range run.Inputs {
				if owner := standin.ResultOwner(handle); owner != id {
					c.cluster.fail("request ran with a result of %s: %s", owner, r)
				}
			}
		}
	}
}

// possibleVersions returns the indexes of the routing tables that explain the
// response to a request. ok is false if the response does not depend on the table.
func (c *checker) possibleVersions(r sentRequest) (versions []int, ok bool) {
	var explains func(v tableVersion) bool
	switch {
	case r.route == "extra" && r.status == http.StatusNotFound:
		explains = func(v tableVersion) bool { return !v.extra }
	case r.route == "extra" && r.status == http.StatusOK:
		explains = func(v tableVersion) bool { return v.extra && v.accepts(r.key) }
	case r.status == http.StatusUnauthorized:
		explains = func(v tableVersion) bool { return !v.accepts(r.key) }
	case r.status == http.StatusOK:
		explains = func(v tableVersion) bool { return v.accepts(r.key) }
	case r.status == http.StatusNotFound:
		explains = func(tableVersion) bool { return false }
	default:
		return nil, false
	}
	for i, v := range c.cluster.versions {
		if explains(v) && v.writeStart.Before(r.ended) {
			versions = append(versions, i)
		}
	}
	return versions, true
}

// observedVersion is a lower bound of the version that a host had in force at a time.
type observedVersion struct {
	at      time.Time
	version int
}

// checkVersions checks that hosts apply routing tables in time and do not return to
// an older one.
func (c *checker) checkVersions() {
	type hostProcess struct{ host, start int }
	observed := make(map[hostProcess][]observedVersion)
	for _, r := range c.requests {
		possible, ok := c.possibleVersions(r)
		if !ok {
			continue
		}
		if len(possible) == 0 {
			c.cluster.fail("no routing table explains the response: %s", r)
			continue
		}
		newest := possible[len(possible)-1]
		for i, v := range c.cluster.versions {
			applyLimit := v.acked.Add(soakApply + slack)
			if !v.acked.IsZero() && r.sent.After(applyLimit) && newest < i && c.faultFree(v.acked, r.ended) {
				c.cluster.fail("request handled with version %d, %s after version %d was stored: %s", newest, r.sent.Sub(v.acked), i, r)
			}
		}
		if r.hostStart == 0 {
			continue
		}
		p := hostProcess{r.host, r.hostStart}
		oldest := 0
		for _, o := range observed[p] {
			if o.at.Add(slack).Before(r.sent) {
				oldest = max(oldest, o.version)
			}
		}
		i := slices.IndexFunc(possible, func(v int) bool { return v >= oldest })
		if i < 0 {
			c.cluster.fail("host returned to a version before %d: %s", oldest, r)
			continue
		}
		observed[p] = append(observed[p], observedVersion{
			at:      r.ended,
			version: possible[i],
		})
	}
}

// checkDrains checks that an upstream that drains or whose registration was removed gets
// no new requests from hosts around which there was no fault. Faults before that, such as
// the kill of the hosts that had read it, are no excuse.
func (c *checker) checkDrains() {
	const limit = soakDrain + slack
	for _, d := range c.cluster.drained {
		for _, run := range d.upstream.Runs() {
			if run.At.After(d.acked.Add(limit)) && c.faultFree(run.At.Add(-limit), run.At) {
				c.cluster.fail("%s ran at %s, %s after the store had acknowledged that the upstream leaves", run.Request, run.Upstream, run.At.Sub(d.acked))
			}
		}
	}
}

// checkRecovery checks that at least 95 % of the requests sent between the two times,
// which are after the last fault, are served.
func (c *checker) checkRecovery(from, to time.Time) {
	served, expected := 0, 0
	for _, r := range c.requests {
		if r.sent.Before(from) || r.sent.After(to) || r.status == http.StatusNotFound || r.status == http.StatusUnauthorized {
			continue
		}
		expected++
		if r.status == http.StatusOK && !r.truncated {
			served++
		}
	}
	if expected == 0 || float64(served) < 0.95*float64(expected) {
		c.cluster.fail("only %d of %d requests were served after the last fault", served, expected)
	}
}
