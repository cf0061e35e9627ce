//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	contact       = 3 * time.Second // contact_ms
	crashDowntime = 2 * time.Second
	soundRate     = 20.0 // a second, at all relays
	badGap        = 500 * time.Millisecond
	historyTime   = 60 * time.Second
	sessionCount  = 1000
	historyParts  = 20 // parts of a session between the first part and the document
	countedCrash  = 5  // of the rule
	maxBad        = 3  // of the rule
	badPart       = "badd0c"
)

// prompt returns the parts of a prompt in a session: one that all share, those of the session's
// history, and its last one. A document, if there is one, comes before the last.
func prompt(session, history int, document string) string {
	list := []string{"aa01:200"}
	for i := range history {
		list = append(list, fmt.Sprintf("%06x%02x:20", 0x100000+session, i))
	}
	if document != "" {
		list = append(list, document+":100")
	}
	return strings.Join(append(list, fmt.Sprintf("%08x:50", rand.Uint32())), ",")
}

// crashes watches the requests with the part that crashes engines.
type crashes struct {
	mu    sync.Mutex
	times []time.Time // of crashes
	late  []string    // requests that reached an engine later than contact after the fifth one
}

// arrive records that a request with the part reaches an engine.
func (c *crashes) arrive(d *deployment, e *engine, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.record.line("%s with the part reaches %s, after %d crashes", id, e.id, len(c.times))
	if len(c.times) >= countedCrash && time.Since(c.times[countedCrash-1]) > contact {
		c.late = append(c.late, id)
	}
}

// crash ends an engine, which is back after crashDowntime.
func (c *crashes) crash(d *deployment, e *engine) {
	c.mu.Lock()
	c.times = append(c.times, time.Now())
	n := len(c.times)
	c.mu.Unlock()
	d.record.line("%s crashes (%d)", e.id, n)
	e.close()
	time.AfterFunc(crashDowntime, func() {
		if err := e.start(); err != nil {
			d.record.line("%s: %v", e.id, err)
		}
	})
}

// history: the prompts of sessions with a history have many parts, and one document, which may
// be asked about in any session, crashes each engine that begins to answer on it. Other requests
// of the same sessions, without the document, are sound.
func history(d *deployment, trouble bool) (int, error) {
	c := &crashes{}
	for i := range 9 {
		e := &engine{d: d, id: fmt.Sprintf("pool-%d", i), service: "pool", zone: zones[i%len(zones)], version: "v1", kind: model, slots: 64, queue: 4, first: 40 * time.Millisecond, gap: 40 * time.Millisecond, events: 40}
		e.onRequest = func(r *http.Request) {
			if strings.Contains(r.Header.Get("Prefix-Hash"), badPart) {
				c.arrive(d, e, r.Header.Get("Attempt-Id"))
			}
		}
		e.crashes = func(r *http.Request) bool {
			if !trouble || !strings.Contains(r.Header.Get("Prefix-Hash"), badPart) {
				return false
			}
			c.crash(d, e)
			return true
		}
		d.engines = append(d.engines, e)
		if err := e.start(); err != nil {
			return 0, err
		}
	}
	d.publish([]any{streamRoute([]any{})}, []any{poolService(64)})
	d.addRelays(6)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	parts := historyParts
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	request := func(document string) {
		defer wg.Done()
		id := newID()
		a := send(context.Background(), d.relays[rand.IntN(len(d.relays))], "chat.example", "POST", "/chat/x", id, 10*time.Second, map[string]string{
			"Model": "m", "Token-Counts": "600,100", "Prefix-Hash": prompt(rand.IntN(sessionCount), parts, document),
		}, id)
		if document != "" {
			d.record.line("%s with the part: status %d, last event %d", id, a.status, a.last)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.complete && a.last == 40 {
			served++
		}
	}
	begin, nextBad := time.Now(), time.Now().Add(3*time.Second)
	for time.Since(begin) < historyTime {
		wg.Add(1)
		go request("")
		if time.Now().After(nextBad) {
			nextBad = nextBad.Add(badGap)
			wg.Add(1)
			go request(badPart)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / soundRate * float64(time.Second)))
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	d.record.say("crashes %d; requests with the part that reached engines later than %v after the fifth crash: %d; other requests %d, complete %d", len(c.times), contact, len(c.late), sent, served)
	if len(c.late) > maxBad {
		return broken, nil
	}
	return held, nil
}
