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

const inProgress = 6 // of each kind of request when an entry host is stopped

// Guards against an entry host that asks for callers before it knows an
// upstream, and refuses their requests.
func TestReadinessNeedsUpstreams(t *testing.T) {
	t.Parallel()
	d := start(t, setup{
		unlisted: true,
	})
	await(t, "documents", func() bool {
		status, ok := d.status(1)
		qt.Assert(t, status.Ready, qt.IsFalse)
		return ok && len(status.Documents) > 0
	})
	qt.Assert(t, d.ready(1), qt.IsFalse)
}

// hold sends streams, other chats and non-repeatable requests to entry host 1,
// each of which takes seconds, and waits until all are in progress.
func (d *deployment) hold(t *testing.T) (held *load) {
	t.Helper()
	d.upstreamFaults(upstreams.Faults{
		Slow: 10, // 1.8 s
	}, d.pool(nutmegPool, "engines")...)
	d.upstreamFaults(upstreams.Faults{
		Slow: 300, // 1.5 s
	}, d.servers()...)
	l := &load{
		deployment: d,
		chats:      true,
		ended:      make(chan int),
		workers:    3 * inProgress,
	}
	for worker := range l.workers {
		go func() {
			// The numbers 0, 1 and 2 are a stream, an entry and another chat.
			l.add(l.one(1, worker%3, fmt.Sprintf("held-%d", worker)))
			l.ended <- worker
		}()
	}
	await(t, "requests in progress", func() bool {
		status, _ := d.status(1)
		return status.Active == l.workers && d.executed() == inProgress
	})
	return l
}

// executed returns the number of executions at all servers of entries-api.
func (d *deployment) executed() int {
	n := 0
	for _, server := range d.servers() {
		n += len(d.executions(server))
	}
	return n
}

// lost returns the flaws of the replies and logs them.
func lost(t *testing.T, done []work) int {
	n := 0
	for _, w := range done {
		if w.flaw != "" {
			n++
			t.Logf("host %d, %s: %s", w.host, w.key, w.flaw)
		}
	}
	return n
}

// Guards against a stop that interrupts a request in progress or closes the
// port before the balancer can see it. A kill shows that the check can fail.
func TestStopFinishesRequests(t *testing.T) {
	tests := map[string]struct {
		signal syscall.Signal
		lost   int
		code   int
	}{
		"stop": {signal: syscall.SIGTERM},
		"kill": {signal: syscall.SIGKILL, lost: 3 * inProgress, code: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{})
			l := d.hold(t)
			d.hosts[1].signal(t, test.signal)
			if test.signal == syscall.SIGTERM {
				await(t, "failing readiness", func() bool { return !d.ready(1) })
				qt.Check(t, l.count(), qt.Equals, 0, qt.Commentf("requests had ended before readiness failed"))
				late := l.one(1, 0, "late")
				qt.Check(t, late.flaw, qt.Equals, "", qt.Commentf("request of a balancer that has not seen the stop"))
			}
			for range l.workers {
				<-l.ended
			}
			qt.Check(t, lost(t, l.done), qt.Equals, test.lost)
			qt.Check(t, d.hosts[1].exit(t), qt.Equals, test.code)
			qt.Check(t, d.executed(), qt.Equals, inProgress)
		})
	}
}

// Guards against a second signal that is ignored, or ends the process without
// saying what it interrupted.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := start(t, setup{})
	l := d.hold(t)
	stopped := d.hosts[1]
	var held []string
	for _, event := range d.timeline(1) {
		if event.Name == "arrived" {
			held = append(held, string(event.Request))
		}
	}
	qt.Assert(t, held, qt.HasLen, l.workers)
	stopped.signal(t, syscall.SIGTERM)
	await(t, "stop", func() bool { return stopped.output.line("entry: stopping") != "" })
	stopped.signal(t, syscall.SIGTERM)
	begin := time.Now()
	qt.Assert(t, stopped.exit(t), qt.Equals, 1)
	qt.Check(t, time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("ended after %v", time.Since(begin)))
	for range l.workers {
		<-l.ended
	}
	qt.Check(t, lost(t, l.done), qt.Equals, l.workers)
	named := stopped.output.line("stop interrupted requests")
	for _, id := range held {
		qt.Check(t, strings.Contains(named, `"`+id+`"`), qt.IsTrue, qt.Commentf("request %s is not named in %s", id, named))
	}
}

// Guards against a rolling replacement that loses a request of callers who
// choose among ready hosts. Killed hosts show that the check can fail.
func TestRollingReplacement(t *testing.T) {
	tests := map[string]struct {
		signal syscall.Signal
		faults platform.Faults
		lossy  bool
		code   int
	}{
		"stop":                      {signal: syscall.SIGTERM},
		"stop, store loses answers": {signal: syscall.SIGTERM, faults: platform.Faults{LoseResponse: 50}},
		"kill":                      {signal: syscall.SIGKILL, lossy: true, code: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{})
			l := startLoad(t, &load{
				deployment: d,
				pick:       d.readyHost,
				chats:      true,
				workers:    12,
			})
			d.storeFaults(test.faults)
			for i := 1; i <= entries; i++ {
				more := l.count() + 30
				await(t, "load", func() bool { return l.count() >= more })
				d.hosts[i].signal(t, test.signal)
				qt.Check(t, d.hosts[i].exit(t), qt.Equals, test.code)
				d.startHost(i)
				d.awaitReady(i)
			}
			done := l.finish()
			t.Logf("%d requests", len(done))
			qt.Check(t, lost(t, done) > 0, qt.Equals, test.lossy)
		})
	}
}

// readyHost picks an entry host that is ready, as a balancer does.
func (d *deployment) readyHost(random *rand.Rand) int {
	if host := anyHost(random); d.ready(host) {
		return host
	}
	return 0
}

// Guards against a stop that reports success although an outcome is lost: its
// caller has the answer, but a repeat at another host cannot get it.
func TestStopWritesOutcomes(t *testing.T) {
	tests := map[string]struct {
		back   bool // the store is back before the longest stop is over
		code   int
		line   string
		repeat end
	}{
		"store back in time": {back: true, line: "every request in progress finished", repeat: answered},
		"store stays down":   {code: 1, line: "stop interrupted requests", repeat: unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{
				settings: "[stop]\nlongest = 2s\ndrain = 100ms\n",
			})
			r.upstreamFaults(upstreams.Faults{
				Slow: 60, // 300 ms
			}, r.servers()...)
			first := make(chan send, 1)
			go func() { first <- r.enter("s", 0, 1) }()
			await(t, "execution", func() bool { return r.executed() == 1 })
			r.storeFaults(platform.Faults{
				Down: true,
			})
			made := <-first
			qt.Assert(t, made.end, qt.Equals, answered, qt.Commentf("%s", made.output))
			stopped := r.hosts[1]
			stopped.signal(t, syscall.SIGTERM)
			await(t, "stop", func() bool { return stopped.output.line("entry: stopping") != "" })
			if test.back {
				r.storeFaults(platform.Faults{})
			}
			qt.Check(t, stopped.exit(t), qt.Equals, test.code)
			line := stopped.output.line(test.line)
			qt.Check(t, line != "", qt.IsTrue)
			qt.Check(t, strings.Contains(line, `"outcomes":1`), qt.Equals, !test.back, qt.Commentf("%s", line))
			r.storeFaults(platform.Faults{})
			qt.Check(t, r.enter("s", 1, 2).end, qt.Equals, test.repeat)
			r.check(t)
		})
	}
}
