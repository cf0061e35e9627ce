//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	firstDossiers = 24 // that come at once
	dossierRate   = 4.0
	chatRate      = 12.0
	allBurst      = 1.7                    // of all requests
	chatBurst     = 2.6                    // of chats, beside it
	burstTime     = 13 * time.Second       // two bursts, one after the other
	crashed       = 3                      // engines of twelve
	crashGap      = 120 * time.Millisecond // between two crashes
	settleTime    = 5 * time.Second
	judgedTime    = 30 * time.Second
	dossierPart   = "d0551e"
)

// kindCount counts the requests of a kind.
type kindCount struct {
	mu                   sync.Mutex
	sent, served         int
	lateSent, lateServed int // from settleTime after the end of the burst
}

// verdict: three engines crash for reasons of their own while the first requests of a kind are
// in flight, and many users of another kind come.
func verdict(d *deployment, trouble bool) (int, error) {
	for i := range 2 {
		d.engines = append(d.engines, &engine{d: d, id: fmt.Sprintf("board-%d", i), service: "board", zone: zones[i%len(zones)], version: "v1", kind: stage, slots: 1, queue: 2, callTime: 240 * time.Millisecond, itemTime: 26 * time.Millisecond})
	}
	inFlight := make(map[*engine]int)
	var mu sync.Mutex
	var pool []*engine
	for i := range 12 {
		e := &engine{d: d, id: fmt.Sprintf("pool-%d", i), service: "pool", zone: zones[i%len(zones)], version: "v1", kind: model, slots: 64, queue: 4, first: 700 * time.Millisecond, gap: 40 * time.Millisecond, events: 40}
		e.onRun = func(r *http.Request) {
			if r.URL.Path == "/dossier/x" {
				mu.Lock()
				inFlight[e]++
				mu.Unlock()
			}
		}
		pool = append(pool, e)
	}
	d.engines = append(d.engines, pool...)
	for _, e := range d.engines {
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	stages := []any{map[string]any{"service": "board", "after": []int{}, "bytes": 8000}}
	dossier := streamRoute(stages)
	dossier["name"], dossier["prefix"], dossier["priority"], dossier["resumable"], dossier["max_attempts"] = "dossier", "/dossier/", 1, false, 1
	dossier["timeout_ms"], dossier["slo_ms"] = 15000, 2000
	d.publish([]any{streamRoute(stages), dossier}, []any{poolService(64), boardService()})
	d.addRelays(6)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	counts := map[string]*kindCount{"chat": {}, "dossier": {}}
	var wg sync.WaitGroup
	request := func(kind, part string, late bool) {
		defer wg.Done()
		id := newID()
		a := send(context.Background(), d.relays[rand.IntN(len(d.relays))], "chat.example", "POST", "/"+kind+"/x", id, 12*time.Second, map[string]string{
			"Model": "m", "Token-Counts": "600,100", "Prefix-Hash": part + ":200," + id[:8] + ":400", "Chunks": "2", "Chunk-Key": id,
		}, id)
		d.record.line("%s %s: %d, last event %d %.60s", kind, id, a.status, a.last, map[bool]string{true: a.body}[a.status != 200])
		c := counts[kind]
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sent++
		if late {
			c.lateSent++
		}
		if a.last == 40 {
			c.served++
			if late {
				c.lateServed++
			}
		}
	}
	traffic := func(kind, part string, rate float64, length time.Duration, late bool) {
		for begin := time.Now(); time.Since(begin) < length; {
			wg.Add(1)
			go request(kind, part, late)
			time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	traffic("chat", "aa01", chatRate, 3*time.Second, false)
	for range firstDossiers {
		wg.Add(1)
		go request("dossier", dossierPart, false)
	}
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		n := len(inFlight)
		mu.Unlock()
		if n >= crashed {
			break
		}
	}
	if trouble {
		n := 0
		for _, e := range pool {
			mu.Lock()
			busy := inFlight[e] > 0
			mu.Unlock()
			if busy && n < crashed {
				n++
				d.record.line("%s crashes", e.id)
				e.close()
				time.AfterFunc(crashDowntime, func() { _ = e.start() })
				time.Sleep(crashGap)
			}
		}
	}
	done := make(chan struct{})
	go func() { traffic("chat", "aa01", chatBurst*allBurst*chatRate, burstTime, false); close(done) }()
	traffic("dossier", dossierPart, allBurst*dossierRate, burstTime, false)
	<-done
	go traffic("chat", "aa01", chatRate, settleTime, false)
	traffic("dossier", dossierPart, dossierRate, settleTime, false)
	chats := make(chan struct{})
	go func() { traffic("chat", "aa01", chatRate, judgedTime, true); close(chats) }()
	traffic("dossier", dossierPart, dossierRate, judgedTime, true)
	<-chats
	wg.Wait()
	for kind, c := range counts {
		d.record.say("%s: sent %d, served %d; from %v after the end of the burst on: sent %d, served %d", kind, c.sent, c.served, settleTime, c.lateSent, c.lateServed)
	}
	c, chat := counts["dossier"], counts["chat"]
	all := float64(c.served+chat.served) / float64(c.sent+chat.sent)
	if float64(c.served)/float64(c.sent) < all/4 {
		return broken, nil
	}
	return held, nil
}
