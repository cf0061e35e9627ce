//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	// poolSize is the number of engines; three of them crash, one after the other.
	poolSize = 12
	crashes  = 3
	// firstCrash is the time from the first requests of a kind to the first crash, and
	// crashGap that from one crash to the next.
	firstCrash = 300 * time.Millisecond
	crashGap   = 200 * time.Millisecond
	// downTime is how long an engine that has crashed is away.
	downTime = 2 * time.Second
	// promptTime is the time to the first event of a long prompt.
	promptTime = 900 * time.Millisecond
	// firstRequests is the number of requests of the kind that arrive together, and
	// laterRequests the number of those that follow, one each laterInterval.
	firstRequests  = 24
	laterRequests  = 90
	laterInterval  = 400 * time.Millisecond
	dossierEvents  = 10
	dossierTimeout = 15 * time.Second
	// starvedShare is the share of the usual rate of service below which a kind is starved.
	starvedShare = 0.25
)

func init() { cases["8"] = blockedKind }

// kind counts the requests of a kind.
type kind struct {
	mu           sync.Mutex
	sent, served int
	last         string // latest answer that is no success
}

func (k *kind) String() string { return fmt.Sprintf("%d of %d", k.served, k.sent) }

// blockedKind crashes three engines, one after the other, while the first requests of a kind
// are at the engines. All requests of the kind share the first part of their prompt.
func blockedKind(l *lab, trouble bool) (verdict, error) {
	services := []any{map[string]any{"name": "pool", "max_conns": 280, "engine": map[string]any{"slots": 64}}}
	route := func(name string, resumable bool, attempts int, timeout time.Duration) any {
		return map[string]any{
			"name": name, "hostname": routeHost, "prefix": "/" + name + "/", "route_kind": "streaming", "service": "pool", "resumable": resumable,
			"max_attempts": attempts, "sticky": true, "timeout_ms": timeout.Milliseconds(), "slo_ms": 2500, "itl_target_ms": 600,
		}
	}
	if err := l.publish([]any{route("chat", true, 2, streamDeadline), route("dossier", false, 1, dossierTimeout)}, services); err != nil {
		return verdict{}, err
	}
	for i := range poolSize {
		e, err := l.addEngine(standin.UpstreamConfig{
			ID:            ident.UpstreamID(fmt.Sprintf("i-pool%d", i)),
			Service:       "pool",
			Domain:        ident.FailureDomain(zones[i%len(zones)]),
			Release:       "v1",
			Kind:          standin.Engine,
			Slots:         64,
			Latency:       promptTime,
			EventInterval: 50 * time.Millisecond,
			Events:        dossierEvents,
		})
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
	var chats, first, later kind
	var clients sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	clients.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			clients.Go(func() { l.prompt("chat", n, "cc", &chats) })
			pause(laterInterval)
		}
	})
	pause(3 * time.Second)
	for n := range firstRequests {
		clients.Go(func() { l.prompt("dossier", n, "dd", &first) })
	}
	pause(firstCrash)
	if trouble {
		for _, e := range l.engines[:crashes] {
			l.crash(e)
			time.AfterFunc(downTime, func() { l.restart(e) })
			pause(crashGap)
		}
	}
	pause(downTime)
	for n := range laterRequests {
		clients.Go(func() { l.prompt("dossier", firstRequests+n, "dd", &later) })
		pause(laterInterval)
	}
	stop()
	clients.Wait()
	dossiers, all := later.share(), (float64(chats.served)+float64(later.served))/float64(chats.sent+later.sent)
	return verdict{
		broken: dossiers < starvedShare*all,
		text: fmt.Sprintf("served: chats %s; dossiers that were at the engines during the crashes %s, those from %s after the crashes on %s (%s)",
			&chats, &first, downTime, &later, later.last),
	}, nil
}

func (k *kind) share() float64 { return float64(k.served) / float64(max(1, k.sent)) }

// prompt is one request of a kind, with a prompt whose first part all of its kind have.
func (l *lab) prompt(name string, n int, part string, k *kind) {
	id := newID(name, n, 1)
	r := l.relays[n%len(l.relays)]
	got := attempt(context.Background(), r.callers, "POST", "/"+name+"/1", "x", standin.Request{
		ID:      id,
		Key:     clientKey,
		Timeout: dossierTimeout,
		Prompt: &standin.Prompt{
			Input: 12000,
			Parts: fmt.Sprintf("%s:500,%x:4800,%x:6700", part, "s"+string(id), "r"+string(id)),
		},
	})
	l.note("%s at %s: %s", id, r.name, got)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent++
	if got.whole && got.status == 200 && got.lastEvent == dossierEvents {
		k.served++
		return
	}
	k.last = fmt.Sprintf("%s: %q", got, got.body)
}
