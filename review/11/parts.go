//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ordinaryRate = 25.0 // a second, at all relays
	calmTime     = 8 * time.Second
	craftedTime  = 15 * time.Second
	craftedGap   = 1 * time.Second // between two crafted requests
	craftedTries = 2               // of a client; the sheet of curdfair-router allows one retry
	singles      = 12              // requests in calm
	// manyParts is the number of parts in the prompt of a crafted request. Its header has less
	// than 8 KB, half of what the configuration allows.
	manyParts = 1100
	fewParts  = 1000 // without the disruption
)

// ordinary makes an ordinary request, whose stage has two pieces, and reports whether it was
// served.
func (d *deployment) ordinary(to *relay) bool {
	id := newID()
	a := send(context.Background(), to, "chat.example", "POST", "/chat/x", id, 20*time.Second, map[string]string{
		"Model": "m", "Token-Counts": "600,100", "Prefix-Hash": "aa01:200," + id + ":400", "Chunks": "2", "Chunk-Key": id,
	}, "prompt")
	if a.status != 200 || !a.complete {
		d.record.line("ordinary request %s at %s: %d %.80s", id, to.name, a.status, a.body)
	}
	return a.status == 200 && a.complete
}

// crafted makes a request whose prompt has many parts, and comes back as a client does when it
// is refused. It reports whether it was served.
func (d *deployment) crafted(parts int) bool {
	list := make([]string, parts)
	for i := range list {
		list[i] = fmt.Sprintf("%x:1", i)
	}
	end := time.Now().Add(20 * time.Second)
	first := rand.IntN(len(d.relays))
	for try := range craftedTries {
		to := d.relays[(first+try*(1+rand.IntN(len(d.relays)-1)))%len(d.relays)] // a retry reaches another one
		id := newID()
		a := send(context.Background(), to, "chat.example", "POST", "/chat/x", id, time.Until(end), map[string]string{
			"Model": "m", "Token-Counts": fmt.Sprintf("%d,100", parts), "Prefix-Hash": strings.Join(list, ","), "Chunks": "1", "Chunk-Key": id,
		}, "prompt")
		d.record.line("request %s with %d parts at %s: %d %.80s", id, parts, to.name, a.status, a.body)
		if a.status == 200 && a.complete {
			return true
		}
		time.Sleep(min(a.after, time.Until(end)/3))
	}
	return false
}

// parts: clients send requests of legal size whose prompts have very many parts: first single ones
// in calm, which have to be served, then some beside ordinary traffic.
func parts(d *deployment, trouble bool) (int, error) {
	for i := range 4 {
		d.engines = append(d.engines, &engine{d: d, id: fmt.Sprintf("board-%d", i), service: "board", zone: zones[i%len(zones)], version: "v1", kind: stage, slots: 1, queue: 2, callTime: 240 * time.Millisecond, itemTime: 26 * time.Millisecond})
	}
	for i := range 9 {
		d.engines = append(d.engines, &engine{d: d, id: fmt.Sprintf("pool-%d", i), service: "pool", zone: zones[i%len(zones)], version: "v1", kind: model, slots: 64, queue: 4, first: 40 * time.Millisecond, gap: 20 * time.Millisecond, events: 20})
	}
	for _, e := range d.engines {
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	d.publish([]any{streamRoute([]any{map[string]any{"service": "board", "after": []int{}, "bytes": 8000}})}, []any{poolService(64), boardService()})
	d.addRelays(9)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	count := manyParts
	if !trouble {
		count = fewParts
	}
	singlesServed := 0
	for range singles { // nothing else is sent
		if d.crafted(count) {
			singlesServed++
		}
	}
	d.record.say("in calm: %d single requests with %d parts, %d served within %d tries", singles, count, singlesServed, craftedTries)

	var wg sync.WaitGroup
	var sent, served [2]atomic.Int64
	begin := time.Now()
	go func() {
		time.Sleep(calmTime)
		for time.Since(begin) < calmTime+craftedTime {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.crafted(count)
			}()
			time.Sleep(craftedGap)
		}
	}()
	for time.Since(begin) < calmTime+craftedTime {
		phase := 0
		if time.Since(begin) > calmTime {
			phase = 1
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent[phase].Add(1)
			if d.ordinary(d.relays[rand.IntN(len(d.relays))]) {
				served[phase].Add(1)
			}
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / ordinaryRate * float64(time.Second)))
	}
	wg.Wait()
	d.record.say("ordinary requests before: %d sent, %d served; beside one crafted request a second: %d sent, %d served", sent[0].Load(), served[0].Load(), sent[1].Load(), served[1].Load())
	if singlesServed < singles {
		return broken, nil
	}
	return held, nil
}
