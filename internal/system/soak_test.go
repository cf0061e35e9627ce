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
	// calmTime is how long the load goes on after the last step, recoverTime the
	// part of it after which nearly all requests have to be served.
	calmTime    = 8 * time.Second
	recoverTime = 6 * time.Second
	// slack is added to bounds for the way of messages on a busy machine.
	slack = 500 * time.Millisecond
	// maxShown bounds the failures that a run prints.
	maxShown = 12
)

// soakChecks is how many plans a test run plays unless -rapid.checks says so.
const soakChecks = "1"

// TestSoak plays random plans of faults and planned work on real processes, and
// checks what callers and upstreams see. A plan that fails is kept in testdata
// and played first from then on. Fifty plans, fresh ones:
//
//	go test ./internal/system -run TestSoak -timeout 60m -rapid.checks=50 -rapid.seed=N
func TestSoak(t *testing.T) {
	running <- struct{}{}
	defer func() { <-running }()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": soakChecks, "rapid.seed": "1"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	all := plans()
	rapid.Check(t, func(r *rapid.T) {
		p := all.Draw(r, "plan")
		if failures := play(t, p); len(failures) > 0 {
			r.Fatalf("%d failures with the plan\n%s\n%s", len(failures), p, strings.Join(failures[:min(len(failures), maxShown)], "\n"))
		}
	})
}

// span is the time of a step.
type span struct {
	step
	from, to time.Time
}

// play runs one plan and returns the promises that were broken.
func play(t *testing.T, p plan) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newSoakCluster(ctx, t)
	load := &loadRun{
		cluster: c,
	}
	loading, end := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func(ctx context.Context) {
		defer close(ended)
		load.run(ctx)
	}(loading)
	spans := c.play(p)
	last := time.Now()
	time.Sleep(calmTime)
	for _, h := range c.hosts {
		if !h.isReady() || !h.answers() {
			c.fail("%s does not serve %s after the last step, its process is in state %q", h.name, time.Since(last).Round(time.Millisecond), h.process.state())
			h.process.signal(t, syscall.SIGQUIT) // its stacks go into the output
			<-h.process.ended
		}
	}
	finish := time.Now()
	end()
	<-ended
	for _, h := range c.hosts {
		h.mu.Lock()
		h.process.kill(t)
		if out := h.process.output; out.line("panic") != "" {
			c.fail("%s logged a panic: %s", h.name, out.line("panic"))
		}
		h.mu.Unlock()
	}
	check := &checker{
		cluster: c,
		asked:   load.all,
		spans:   spans,
	}
	check.all(last.Add(recoverTime), finish.Add(-callPause))
	t.Logf("%d steps, %d requests, %d ran, %d calm, %d failures", len(p), len(load.all), len(check.runs), check.calms, len(c.failures))
	return c.failures
}

// play carries out the steps, each at its time.
func (c *soakCluster) play(p plan) []span {
	began := time.Now()
	var mu sync.Mutex
	var spans []span
	var steps sync.WaitGroup
	for _, s := range p {
		steps.Go(func() {
			time.Sleep(time.Until(began.Add(s.At)))
			from := time.Now()
			c.carry(s)
			mu.Lock()
			defer mu.Unlock()
			spans = append(spans, span{
				step: s,
				from: from,
				to:   time.Now(),
			})
		})
	}
	steps.Wait()
	return spans
}

// checker compares what callers and upstreams saw with the promises.
type checker struct {
	cluster *soakCluster
	asked   []asked
	spans   []span
	runs    map[ident.RequestID][]standin.Run
	calms   int // requests without a fault around them
}

// calm reports whether no fault that is not planned was there between two times,
// or shortly before.
func (c *checker) calm(from, to time.Time) bool {
	for _, s := range c.spans {
		if !s.Action.planned() && s.from.Before(to) && s.to.Add(contactTime).After(from) {
			return false
		}
	}
	return true
}

func (c *checker) all(recovered, finish time.Time) {
	c.runs = make(map[ident.RequestID][]standin.Run)
	for _, u := range c.cluster.upstreams {
		for _, run := range u.Runs() {
			c.runs[run.Request] = append(c.runs[run.Request], run)
		}
	}
	sort.Slice(c.asked, func(i, j int) bool { return c.asked[i].sent.Before(c.asked[j].sent) })
	known := make(map[ident.RequestID]asked)
	for _, a := range c.asked {
		known[a.id] = a
		c.answer(a)
		c.atMostOnce(a)
		c.quiet(a)
	}
	c.genuine(known)
	c.versions()
	c.drains()
	c.recovers(recovered, finish)
}

// answer checks that a success is whole, and that what is broken does not look so.
func (c *checker) answer(a asked) {
	switch {
	case a.status == http.StatusOK && !a.broken && (a.got != a.whole() || !a.sealed):
		c.cluster.fail("answer is not the upstream's: %s, got %q", a, a.got)
	case a.status == http.StatusOK && a.broken && !strings.HasPrefix(a.whole(), a.got):
		c.cluster.fail("part of an answer is not the upstream's: %s, got %q", a, a.got)
	}
}

// atMostOnce checks that a request that is not idempotent runs once at most, and
// not at all if the caller was told so.
func (c *checker) atMostOnce(a asked) {
	runs := len(c.runs[a.id])
	switch {
	case a.route != "submit":
	case runs > 1:
		c.cluster.fail("ran %d times: %s", runs, a)
	case runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
		c.cluster.fail("ran although the caller was told that it did not: %s", a)
	}
}

// quiet checks that planned work alone harms no request.
func (c *checker) quiet(a asked) {
	if !c.calm(a.sent, a.ended) {
		return
	}
	c.calms++
	switch {
	case a.status == 0:
		c.cluster.fail("no answer without a fault: %s", a)
	case a.broken:
		c.cluster.fail("answer broke off without a fault: %s", a)
	case a.status >= http.StatusInternalServerError:
		c.cluster.fail("failed without a fault: %s", a)
	}
}

// genuine checks that upstreams ran only what callers sent, as they sent it.
func (c *checker) genuine(known map[ident.RequestID]asked) {
	organisations := map[string]string{"first": "lakeshore", "second": "rindworks"}
	for id, runs := range c.runs {
		a, ok := known[id]
		for _, run := range runs {
			switch {
			case !ok:
				c.cluster.fail("no caller sent %s", id)
			case run.Path != fmt.Sprintf("/%s/x?of=%s", a.route, id) || run.Body != a.body:
				c.cluster.fail("changed on the way: %s ran as %s with %q", a, run.Path, run.Body)
			case run.Tenant != organisations[a.key]:
				c.cluster.fail("ran for organisation %q: %s", run.Tenant, a)
			}
		}
	}
}

// evidence returns the versions that would have handled a request as it was.
func (c *checker) evidence(a asked) (versions []int, ok bool) {
	var fits func(v version) bool
	switch {
	case a.route == "extra" && a.status == http.StatusNotFound:
		fits = func(v version) bool { return !v.extra }
	case a.route == "extra" && a.status == http.StatusOK:
		fits = func(v version) bool { return v.extra }
	case a.key == "second" && a.status == http.StatusUnauthorized:
		fits = func(v version) bool { return !v.second }
	case a.key == "second" && a.status == http.StatusOK:
		fits = func(v version) bool { return v.second }
	case a.status == http.StatusNotFound || a.status == http.StatusUnauthorized:
		fits = func(version) bool { return false }
	default:
		return nil, false
	}
	for i, v := range c.cluster.versions {
		if fits(v) && v.written.Before(a.ended) {
			versions = append(versions, i)
		}
	}
	return versions, true
}

// seen is the least version that a host must have had in force at a time.
type seen struct {
	at      time.Time
	version int
}

// versions checks that routing tables are in force in time and never go back.
func (c *checker) versions() {
	type life struct{ host, number int }
	back := make(map[life][]seen)
	for _, a := range c.asked {
		possible, ok := c.evidence(a)
		if !ok {
			continue
		}
		if len(possible) == 0 {
			c.cluster.fail("no routing table would do that: %s", a)
			continue
		}
		newest := possible[len(possible)-1]
		for i, v := range c.cluster.versions {
			due := v.acked.Add(soakApply + slack)
			if !v.acked.IsZero() && a.sent.After(due) && newest < i && c.calm(v.acked, a.ended) {
				c.cluster.fail("handled by version %d, %s after version %d: %s", newest, a.sent.Sub(v.acked), i, a)
			}
		}
		if a.life == 0 {
			continue
		}
		l := life{a.host, a.life}
		least := 0
		for _, s := range back[l] {
			if s.at.Add(slack).Before(a.sent) {
				least = max(least, s.version)
			}
		}
		i := slices.IndexFunc(possible, func(v int) bool { return v >= least })
		if i < 0 {
			c.cluster.fail("host went back behind version %d: %s", least, a)
			continue
		}
		back[l] = append(back[l], seen{
			at:      a.ended,
			version: possible[i],
		})
	}
}

// drains checks that an upstream that leaves gets nothing new.
func (c *checker) drains() {
	for _, d := range c.cluster.drained {
		for _, run := range d.upstream.Runs() {
			if run.At.After(d.acked.Add(soakDrain+slack)) && c.calm(d.acked, run.At) {
				c.cluster.fail("%s ran at %s, %s after it began to drain", run.Request, run.Upstream, run.At.Sub(d.acked))
			}
		}
	}
}

// recovers checks that requests are served again after the last fault.
func (c *checker) recovers(from, to time.Time) {
	served, owed := 0, 0
	for _, a := range c.asked {
		if a.sent.Before(from) || a.sent.After(to) || a.status == http.StatusNotFound || a.status == http.StatusUnauthorized {
			continue
		}
		owed++
		if a.status == http.StatusOK && !a.broken {
			served++
		}
	}
	if owed == 0 || float64(served) < 0.95*float64(owed) {
		c.cluster.fail("%d of %d requests are served after the last fault", served, owed)
	}
}
