//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// cutOffTime is the length of the partition, as in the day scale-2 of the site file.
	cutOffTime = 12 * time.Second
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed     = 2
	streamEvents = 60
	// streams is the number of streams that clients begin while the new version serves.
	streams        = 40
	streamDeadline = 20 * time.Second
	streamTries    = 3
)

func init() { cases["6"] = staleRelease }

// staleRelease replaces an engine by one of another software version while one relay is cut
// off. The new engine crashes, and the clients take up its streams at the other relays.
func staleRelease(l *lab, trouble bool) (verdict, error) {
	services := []any{map[string]any{"name": "pool", "max_conns": 280, "engine": map[string]any{"slots": 64}}}
	routes := []any{map[string]any{
		"name": "chat", "hostname": routeHost, "prefix": "/chat/", "route_kind": "streaming", "service": "pool", "resumable": true,
		"max_attempts": 2, "sticky": true, "timeout_ms": 20000, "slo_ms": 2500, "itl_target_ms": 600,
	}}
	if err := l.publish(routes, services); err != nil {
		return verdict{}, err
	}
	newEngine := func(id, release string, zone int) (*engine, error) {
		return l.addEngine(standin.UpstreamConfig{
			ID:            ident.UpstreamID(id),
			Service:       "pool",
			Domain:        ident.FailureDomain(zones[zone%len(zones)]),
			Release:       release,
			Kind:          standin.Engine,
			Slots:         64,
			Latency:       30 * time.Millisecond,
			EventInterval: 50 * time.Millisecond,
			Events:        streamEvents,
		})
	}
	for i := range 4 {
		e, err := newEngine(fmt.Sprintf("i-old%d", i), "v1", i)
		if err != nil {
			return verdict{}, err
		}
		if err := l.register(e); err != nil {
			return verdict{}, err
		}
	}
	if err := l.startRelays(3); err != nil {
		return verdict{}, err
	}
	pause(4 * time.Second)
	for i, r := range l.relays {
		got := attempt(context.Background(), r.callers, "POST", "/chat/1", "x", chatRequest(newID("warm", i, 1), nil))
		l.note("a stream through %s: %s", r.name, got)
		if !got.whole || got.lastEvent != streamEvents {
			return verdict{}, fmt.Errorf("a stream before the disruption ended with %s", got)
		}
	}
	if trouble {
		l.note("%s is cut off from the store and from the other relays", l.relays[1].name)
		l.links.cutOff(1)
		healed := time.AfterFunc(cutOffTime, func() {
			l.note("%s is no longer cut off", l.relays[1].name)
			l.links.restore()
		})
		defer healed.Stop()
	}
	pause(time.Second)
	fresh, err := newEngine("i-new0", "v2", 0)
	if err != nil {
		return verdict{}, err
	}
	if err := l.register(fresh); err != nil {
		return verdict{}, err
	}
	pause(time.Second)
	l.engines[0].Drain()
	if err := l.register(l.engines[0]); err != nil {
		return verdict{}, err
	}
	pause(2 * time.Second)
	var clients sync.WaitGroup
	for n := range streams {
		clients.Go(func() { l.chat(n) })
		pause(20 * time.Millisecond)
	}
	pause(time.Second)
	l.crash(fresh)
	clients.Wait()
	return l.countMixed(), nil
}

func chatRequest(id ident.RequestID, resumes *standin.Resumption) standin.Request {
	return standin.Request{
		ID:      id,
		Key:     clientKey,
		Timeout: streamDeadline,
		Prompt: &standin.Prompt{
			Input: 600,
			// Each request has its own last part.
			Parts: "aa:100,bb:100," + fmt.Sprintf("%x", string(id)) + ":400",
		},
		Resumes: resumes,
	}
}

// chat is one client of the first zone: it begins a stream at the first relay and, if that
// breaks off, takes it up at the other one of the zone, if that says it is ready.
func (l *lab) chat(n int) {
	const inZone = 2 // relays
	var resumes *standin.Resumption
	for try := 1; try <= streamTries; try++ {
		r := l.relays[(try-1)%inZone]
		if try > 1 && !r.isReady() {
			l.note("client %d: %s is not ready", n, r.name)
			continue
		}
		id := newID("chat", n, try)
		got := attempt(context.Background(), r.callers, "POST", "/chat/1", "x", chatRequest(id, resumes))
		l.note("client %d: %s at %s, resumes %s: %s", n, id, r.name, describe(resumes), got)
		l.received(id, got)
		if got.whole && got.status == 200 {
			return
		}
		if got.lastEvent > 0 {
			if resumes == nil {
				resumes = &standin.Resumption{
					Origin: id,
				}
			}
			resumes.LastEvent = got.lastEvent
		}
		pause(max(50*time.Millisecond, min(got.retryAfter, time.Second)))
	}
}

func describe(resumes *standin.Resumption) string {
	if resumes == nil {
		return "nothing"
	}
	return fmt.Sprintf("%s after event %d", resumes.Origin, resumes.LastEvent)
}

// countMixed counts the streams that went on at another software version than the one that
// began them, by what the engines ran and the clients received.
func (l *lab) countMixed() verdict {
	began := make(map[string]string)  // version that began the stream of a client
	others := make(map[string]string) // what went on elsewhere
	for _, e := range l.engines {
		for _, run := range e.Runs() {
			if run.LastEvent == 0 {
				client, _, _ := strings.Cut(string(run.Request), "-")
				began[client] = e.release
			}
		}
	}
	for _, e := range l.engines {
		for _, run := range e.Runs() {
			client, _, _ := strings.Cut(string(run.Request), "-")
			if run.LastEvent > 0 && began[client] != e.release && l.lastReceived(run.Request) > run.LastEvent {
				others[client] = fmt.Sprintf("%s began at %s and went on at %s after event %d; the client has received that up to event %d", client, began[client], e.release, run.LastEvent, l.lastReceived(run.Request))
			}
		}
	}
	for _, text := range others {
		l.note("mixed: %s", text)
	}
	return verdict{
		broken: len(others) > maxMixed,
		text:   fmt.Sprintf("%d streams hold events of two software versions, %d are allowed", len(others), maxMixed),
	}
}
