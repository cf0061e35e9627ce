package system

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const requestsPerKind = 6 // requests in progress of each kind when an entry host is stopped

// Guards against an entry host that is ready before it knows any upstream, so that
// it rejects requests.
func TestReadinessNeedsUpstreams(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, setup{
		withoutHostList: true,
	})
	await(t, "documents", func() bool {
		status, ok := d.status(1)
		qt.Assert(t, status.Ready, qt.IsFalse)
		return ok && len(status.Documents) > 0
	})
	qt.Assert(t, d.ready(1), qt.IsFalse)
}

// startSlowRequests sends streamed chats, other chats and non-repeatable requests
// to entry host 1, each of which takes seconds, and waits until all are in
// progress.
func (d *deployment) startSlowRequests(t *testing.T) (started *load) {
	t.Helper()
	d.upstreamFaults(upstreams.Faults{
		Slow: 10, // 1.8 s
	}, d.pool(nutmegPool, "engines")...)
	d.upstreamFaults(upstreams.Faults{
		Slow: 300, // 1.5 s
	}, d.servers()...)
	workload := &load{
		deployment:  d,
		chats:       true,
		workersDone: make(chan int),
		workers:     3 * requestsPerKind,
	}
	for worker := range workload.workers {
		go func() {
			// By their numbers, 0 is a streamed chat, 1 a submission and 2 another chat.
			workload.add(workload.sendOne(1, worker%3, fmt.Sprintf("held-%d", worker)))
			workload.workersDone <- worker
		}()
	}
	await(t, "requests in progress", func() bool {
		status, _ := d.status(1)
		return status.Active == workload.workers && d.executionCount() == requestsPerKind
	})
	return workload
}

// executionCount returns the number of executions at all upstreams of entries-api.
func (d *deployment) executionCount() int {
	n := 0
	for _, server := range d.servers() {
		n += len(d.executions(server))
	}
	return n
}

// countFailures logs the failed requests and returns their number.
func countFailures(t *testing.T, finished []loadRequest) int {
	n := 0
	for _, request := range finished {
		if request.failure != "" {
			n++
			t.Logf("host %d, %s: %s", request.host, request.key, request.failure)
		}
	}
	return n
}

// Guards against a stop that interrupts a request in progress or closes the port
// before the load balancer can detect the stop. The case with a kill shows that
// the check detects lost requests.
func TestStopFinishesRequests(t *testing.T) {
	tests := map[string]struct {
		signal   syscall.Signal
		failures int
		exitCode int
	}{
		"stop": {signal: syscall.SIGTERM},
		"kill": {signal: syscall.SIGKILL, failures: 3 * requestsPerKind, exitCode: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{})
			l := d.startSlowRequests(t)
			d.hosts[1].signal(t, test.signal)
			if test.signal == syscall.SIGTERM {
				await(t, "failing readiness check", func() bool { return !d.ready(1) })
				qt.Check(t, l.count(), qt.Equals, 0, qt.Commentf("requests ended before the readiness check failed"))
				late := l.sendOne(1, 0, "late")
				qt.Check(t, late.failure, qt.Equals, "", qt.Commentf("request of a load balancer that has not detected the stop"))
			}
			for range l.workers {
				<-l.workersDone
			}
			qt.Check(t, countFailures(t, l.finished), qt.Equals, test.failures)
			qt.Check(t, d.hosts[1].exit(t), qt.Equals, test.exitCode)
			qt.Check(t, d.executionCount(), qt.Equals, requestsPerKind)
		})
	}
}

// Guards against a second signal that is ignored, or that ends the process without
// a log of the interrupted requests.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, setup{})
	l := d.startSlowRequests(t)
	stopped := d.hosts[1]
	var requestIDs []string
	for _, event := range d.timeline(1) {
		if event.Name == "arrived" {
			requestIDs = append(requestIDs, string(event.Request))
		}
	}
	qt.Assert(t, requestIDs, qt.HasLen, l.workers)
	stopped.signal(t, syscall.SIGTERM)
	await(t, "stop", func() bool { return stopped.output.line("entry: stopping") != "" })
	stopped.signal(t, syscall.SIGTERM)
	begin := time.Now()
	qt.Assert(t, stopped.exit(t), qt.Equals, 1)
	qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("ended after %v", time.Since(begin)))
	for range l.workers {
		<-l.workersDone
	}
	qt.Check(t, countFailures(t, l.finished), qt.Equals, l.workers)
	logLine := stopped.output.line("stop interrupted requests")
	for _, id := range requestIDs {
		qt.Check(t, strings.Contains(logLine, `"`+id+`"`), qt.IsTrue, qt.Commentf("request %s is not named in %s", id, logLine))
	}
}

// Guards against a rolling replacement that loses requests of callers who choose
// among ready hosts. The case with killed hosts shows that the check detects lost
// requests.
func TestRollingReplacement(t *testing.T) {
	tests := map[string]struct {
		signal        syscall.Signal
		faults        platform.Faults
		losesRequests bool
		exitCode      int
	}{
		"stop":                        {signal: syscall.SIGTERM},
		"stop, store loses responses": {signal: syscall.SIGTERM, faults: platform.Faults{LoseResponse: 50}},
		"kill":                        {signal: syscall.SIGKILL, losesRequests: true, exitCode: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{})
			l := startLoad(t, &load{
				deployment: d,
				pickHost:   d.pickReadyHost,
				chats:      true,
				workers:    12,
			})
			d.storeFaults(test.faults)
			for i := 1; i <= entryHosts; i++ {
				target := l.count() + 30
				await(t, "load", func() bool { return l.count() >= target })
				d.hosts[i].signal(t, test.signal)
				qt.Check(t, d.hosts[i].exit(t), qt.Equals, test.exitCode)
				d.startHost(i)
				d.awaitReady(i)
			}
			finished := l.finish()
			t.Logf("%d requests", len(finished))
			qt.Check(t, countFailures(t, finished) > 0, qt.Equals, test.losesRequests)
		})
	}
}

// pickReadyHost picks a random entry host and returns it if it is ready, as a load
// balancer does, else 0.
func (d *deployment) pickReadyHost(random *rand.Rand) int {
	if host := pickAnyHost(random); d.ready(host) {
		return host
	}
	return 0
}

// Guards against a stop that reports success although an outcome is lost: the
// caller has received the response, but a retry at another host cannot get it.
func TestStopWritesOutcomes(t *testing.T) {
	tests := map[string]struct {
		storeRecovers bool // the store recovers before the longest stop duration ends
		exitCode      int
		logLine       string
		retryOutcome  outcome
	}{
		"store recovers in time": {storeRecovers: true, logLine: "every request in progress finished", retryOutcome: answered},
		"store stays down":       {exitCode: 1, logLine: "stop interrupted requests", retryOutcome: unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{
				extraSettings: "[stop]\nlongest = 2s\ndrain = 100ms\n",
			})
			r.upstreamFaults(upstreams.Faults{
				Slow: 60, // 300 ms
			}, r.servers()...)
			first := make(chan submitRequest, 1)
			go func() { first <- r.submitOnce("s", 0, 1) }()
			await(t, "execution", func() bool { return r.executionCount() == 1 })
			r.storeFaults(platform.Faults{
				Down: true,
			})
			sent := <-first
			qt.Assert(t, sent.outcome, qt.Equals, answered, qt.Commentf("%s", sent.output))
			stopped := r.hosts[1]
			stopped.signal(t, syscall.SIGTERM)
			await(t, "stop", func() bool { return stopped.output.line("entry: stopping") != "" })
			if test.storeRecovers {
				r.storeFaults(platform.Faults{})
			}
			qt.Check(t, stopped.exit(t), qt.Equals, test.exitCode)
			logLine := stopped.output.line(test.logLine)
			qt.Check(t, logLine != "", qt.IsTrue)
			qt.Check(t, strings.Contains(logLine, `"outcomes":1`), qt.Equals, !test.storeRecovers, qt.Commentf("%s", logLine))
			r.storeFaults(platform.Faults{})
			qt.Check(t, r.submitOnce("s", 1, 2).outcome, qt.Equals, test.retryOutcome)
			r.check(t)
		})
	}
}
