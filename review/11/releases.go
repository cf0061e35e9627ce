//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	streamEvents = 76
	eventGap     = 40 * time.Millisecond
	firstEvent   = 40 * time.Millisecond
	streamRate   = 100.0 // a second, at all relays
	takeupRate   = 40.0
	streamTime   = 55 * time.Second
	retries      = 3
	shedShare    = 400             // of the requests to the engine of the old version, in thousandths
	turnedAway   = 5 * time.Second // until the relay is killed
	downTime     = 2 * time.Second
	betweenKills = 4 * time.Second
	maxJoined    = 2 // of the rule
)

// stream is what a client has received over all of its attempts.
type stream struct {
	last     int
	versions []string
	resumed  bool // it has been taken up
	atCut    bool // at a relay that is cut off from the store
	goesOn   bool // and more events have come
	complete bool
}

// receive requests a stream, and takes it up where its connection breaks.
func receive(d *deployment) stream {
	var s stream
	end := time.Now().Add(20 * time.Second)
	origin, to := "", d.relays[rand.IntN(len(d.relays))]
	for attempt := 0; attempt <= retries; attempt++ {
		for !to.runs() {
			to = d.relays[rand.IntN(len(d.relays))]
		}
		id := newID()
		header := map[string]string{"Model": "m", "Token-Counts": "600,100", "Prefix-Hash": "aa01:200," + id + ":400"}
		if s.last > 0 {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(s.last), origin
			s.resumed = true
			s.atCut = s.atCut || to.cut.Load()
		}
		a := send(context.Background(), to, "chat.example", "POST", "/chat/x", id, time.Until(end), header, "prompt")
		if a.last > s.last {
			if s.last == 0 {
				origin = id
			} else {
				s.goesOn = true
			}
			s.last = a.last
		}
		for _, v := range a.versions {
			if !slices.Contains(s.versions, v) {
				s.versions = append(s.versions, v)
			}
		}
		if s.resumed || !a.complete {
			d.record.line("%s attempt %d at %s: status %d, last event %d, versions %v (origin %s)", id, attempt, to.name, a.status, s.last, s.versions, origin)
		}
		if s.complete = s.last == streamEvents; s.complete {
			break
		}
		if a.status == 503 {
			time.Sleep(min(a.after, time.Until(end)/3))
		}
		next := d.relays[rand.IntN(len(d.relays))]
		for next == to {
			next = d.relays[rand.IntN(len(d.relays))]
		}
		to = next
	}
	return s
}

// startPool starts nine model engines with the versions that version returns.
func (d *deployment) startPool(version func(i int) string) error {
	for i := range 9 {
		e := &engine{d: d, id: fmt.Sprintf("pool-%d", i), service: "pool", zone: zones[i%len(zones)], version: version(i), kind: model, slots: 64, queue: 4, first: firstEvent, gap: eventGap, events: streamEvents}
		d.engines = append(d.engines, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// releases: while engines of two versions serve and that of the old one sheds a part of its
// requests, the store turns one relay away, which is then killed. A stream may hold events of
// one version only.
func releases(d *deployment, trouble bool) (int, error) {
	if err := d.startPool(func(i int) string { return map[bool]string{true: "v1", false: "v2"}[i == 0] }); err != nil {
		return 0, err
	}
	if trouble {
		d.engines[0].shed.Store(shedShare)
	}
	d.publish([]any{streamRoute([]any{})}, []any{poolService(64)})
	d.addRelays(6)
	if err := d.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []stream
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(betweenKills):
			}
			if !trouble {
				continue
			}
			r := d.relays[i%len(d.relays)]
			r.turnedAway.Store(true)
			d.record.line("the store turns %s away", r.name)
			time.Sleep(turnedAway)
			d.kill(r)
			r.turnedAway.Store(false)
			time.Sleep(downTime)
			if err := d.startRelay(r); err != nil {
				d.record.line("%v", err)
			}
		}
	}()
	begin := time.Now()
	for time.Since(begin) < streamTime {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := receive(d)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / streamRate * float64(time.Second)))
	}
	close(stop)
	wg.Wait()
	joined, resumed, goesOn, complete, v1 := 0, 0, 0, 0, 0
	for _, s := range all {
		if len(s.versions) > 1 {
			joined++
		}
		if s.resumed {
			resumed++
		}
		if s.goesOn {
			goesOn++
		}
		if s.complete {
			complete++
		}
		if len(s.versions) > 0 && s.versions[0] == "v1" {
			v1++
		}
	}
	d.record.say("streams %d, begun at v1 %d, complete %d, taken up %d, of these went on %d, with events of two versions %d", len(all), v1, complete, resumed, goesOn, joined)
	if joined > maxJoined {
		return broken, nil
	}
	return held, nil
}
