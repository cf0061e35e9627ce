//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// streamsEach is the number of streams at each relay when some are killed, and newStreams
	// the number of those that begin at the others afterwards.
	streamsEach = 8
	newStreams  = 24
	// fleetSize is the number of relays, and killed the number of those that are killed at
	// the same moment, 0.6 of them.
	fleetSize = 5
	killed    = 3
	// killAfter is the time from the registration of the first engine of the new version to
	// the kill.
	killAfter     = 200 * time.Millisecond
	minTakenUp    = 12
	takeUpEvents  = 80
	eventInterval = 50 * time.Millisecond
)

func init() { cases["10"] = lostStreams }

// counts are the outcomes of streams.
type counts struct {
	mu                      sync.Mutex
	begun, new              int
	wentOn, tried, refusals int
}

// lostStreams kills relays a moment after the first engine of a new version has been
// registered. Their streams were begun by engines of the old version, which all go on serving.
func lostStreams(l *lab, trouble bool) (verdict, error) {
	services := []any{map[string]any{"name": "pool", "max_conns": 280, "engine": map[string]any{"slots": 64}}}
	routes := []any{map[string]any{
		"name": "chat", "hostname": routeHost, "prefix": "/chat/", "route_kind": "streaming", "service": "pool", "resumable": true,
		"max_attempts": 2, "sticky": true, "timeout_ms": 20000, "slo_ms": 2500, "itl_target_ms": 600,
	}}
	if err := l.publish(routes, services); err != nil {
		return verdict{}, err
	}
	newEngine := func(id, release string, zone int) error {
		e, err := l.addEngine(standin.UpstreamConfig{
			ID:            ident.UpstreamID(id),
			Service:       "pool",
			Domain:        ident.FailureDomain(zones[zone%len(zones)]),
			Release:       release,
			Kind:          standin.Engine,
			Slots:         64,
			Latency:       30 * time.Millisecond,
			EventInterval: eventInterval,
			Events:        takeUpEvents,
		})
		if err != nil {
			return err
		}
		return l.register(e)
	}
	for i := range 4 {
		if err := newEngine(fmt.Sprintf("i-old%d", i), "v1", i); err != nil {
			return verdict{}, err
		}
	}
	if err := l.startRelays(fleetSize); err != nil {
		return verdict{}, err
	}
	pause(5 * time.Second)
	for i, r := range l.relays {
		got := attempt(context.Background(), r.callers, "POST", "/chat/1", "x", chatRequest(newID("warm", i, 1), nil))
		l.note("a stream through %s: %s", r.name, got)
		if !got.whole || got.lastEvent != takeUpEvents {
			return verdict{}, fmt.Errorf("a stream before the disruption ended with %s", got)
		}
	}
	victims, survivors := l.divide()
	var outcome counts
	var clients sync.WaitGroup
	for n := range streamsEach * fleetSize {
		first := l.relays[n%fleetSize]
		clients.Go(func() { l.streamAndTakeUp(n, first, survivors[n%len(survivors)], &outcome) })
		pause(20 * time.Millisecond)
	}
	pause(time.Second)
	if os.Getenv("RELEASE") != "0" {
		if err := newEngine("i-new0", "v2", 0); err != nil {
			return verdict{}, err
		}
	}
	pause(killAfter)
	if trouble {
		for _, r := range victims {
			l.note("%s is killed", r.name)
			_ = r.command.Process.Signal(syscall.SIGKILL)
		}
	}
	for n := range newStreams {
		clients.Go(func() { l.beginStream(n, survivors[n%len(survivors)], &outcome) })
		pause(100 * time.Millisecond)
	}
	clients.Wait()
	wentOn := float64(outcome.wentOn) / float64(max(1, outcome.tried))
	begun := float64(outcome.begun) / float64(max(1, outcome.new))
	return verdict{
		broken: outcome.tried >= minTakenUp && wentOn < begun/2,
		text: fmt.Sprintf("%d of %d streams that clients took up again went on (%d refusals); of %d new ones %d began",
			outcome.wentOn, outcome.tried, outcome.refusals, outcome.new, outcome.begun),
	}, nil
}

// divide returns the relays that are killed, among them the one that has placed the latest
// requests of the others, and those that are not.
func (l *lab) divide() (victims, survivors []*relay) {
	placer := ""
	for _, r := range l.relays {
		content, err := os.ReadFile(r.log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if _, rest, ok := strings.Cut(line, `"coordinator":"`); ok {
				placer, _, _ = strings.Cut(rest, `"`)
			}
		}
	}
	l.note("requests are placed by %q", placer)
	for _, r := range l.relays {
		if r.name == placer {
			victims = append(victims, r)
		}
	}
	for _, r := range l.relays {
		switch {
		case r.name == placer:
		case len(victims) < killed:
			victims = append(victims, r)
		default:
			survivors = append(survivors, r)
		}
	}
	return victims, survivors
}

// beginStream is one client that begins a stream after the kill.
func (l *lab) beginStream(n int, r *relay, outcome *counts) {
	id := newID("new", n, 1)
	got := attempt(context.Background(), r.callers, "POST", "/chat/1", "x", chatRequest(id, nil))
	l.note("new stream %s at %s: %s", id, r.name, got)
	outcome.mu.Lock()
	defer outcome.mu.Unlock()
	outcome.new++
	if got.lastEvent > 0 {
		outcome.begun++
	}
}

// streamAndTakeUp is one client. If its stream breaks off, it takes it up at another relay,
// and once more when that says so, within its deadline.
func (l *lab) streamAndTakeUp(n int, first, other *relay, outcome *counts) {
	started := time.Now()
	id := newID("chat", n, 1)
	got := attempt(context.Background(), first.callers, "POST", "/chat/1", "x", chatRequest(id, nil))
	l.note("client %d: %s at %s: %s", n, id, first.name, got)
	if got.whole || got.lastEvent == 0 {
		return
	}
	resumes := &standin.Resumption{
		Origin:    id,
		LastEvent: got.lastEvent,
	}
	wentOn, refusals := false, 0
	for try := 2; try <= streamTries && !wentOn; try++ {
		id := newID("chat", n, try)
		got := attempt(context.Background(), other.callers, "POST", "/chat/1", "x", chatRequest(id, resumes))
		l.note("client %d: %s at %s, resumes %s: %s", n, id, other.name, describe(resumes), got)
		if got.whole && got.status == 200 {
			wentOn = true
			break
		}
		refusals++
		if got.retryAfter > (streamDeadline-time.Since(started))/3 {
			break
		}
		pause(max(50*time.Millisecond, got.retryAfter))
	}
	outcome.mu.Lock()
	defer outcome.mu.Unlock()
	outcome.tried++
	outcome.refusals += refusals
	if wentOn {
		outcome.wentOn++
	}
}
