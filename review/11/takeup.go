//go:build review

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	takeupCycles = 3
	cutTime      = 5500 * time.Millisecond // of the relay that wrote to the store last
	killAfter    = 2700 * time.Millisecond // of another relay, from the cut on
	calmBetween  = 9 * time.Second
	minTakenUp   = 12 // of the rule
)

// takeup: while engines of two versions serve, the relay that wrote to the store last under a
// condition is cut off from the store, and another one is killed. The other relays are in touch.
func takeup(d *deployment, trouble bool) (int, error) {
	if err := d.startPool(func(i int) string { return []string{"v1", "v2"}[i%2] }); err != nil {
		return 0, err
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
	go func() {
		defer close(stop)
		time.Sleep(5 * time.Second)
		for range takeupCycles {
			leader := d.latestWriter()
			victim := d.relays[rand.IntN(len(d.relays))]
			for victim == leader {
				victim = d.relays[rand.IntN(len(d.relays))]
			}
			if trouble {
				leader.cut.Store(true)
				d.record.line("%s is cut off from the store", leader.name)
			}
			time.Sleep(killAfter)
			if trouble {
				d.kill(victim)
			}
			time.Sleep(cutTime - killAfter)
			leader.cut.Store(false)
			d.record.line("%s reaches the store", leader.name)
			if trouble {
				if err := d.startRelay(victim); err != nil {
					d.record.line("%v", err)
				}
			}
			time.Sleep(calmBetween)
		}
	}()
	for {
		select {
		case <-stop:
			wg.Wait()
			return d.judgeTakeup(all), nil
		default:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := receive(d)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / takeupRate * float64(time.Second)))
	}
}

// latestWriter returns the relay that has written most to the store within a second.
func (d *deployment) latestWriter() *relay {
	before := make(map[*relay]int64)
	for _, r := range d.relays {
		before[r] = r.writes.Load()
	}
	time.Sleep(time.Second)
	latest := d.relays[0]
	for _, r := range d.relays {
		if r.writes.Load()-before[r] > latest.writes.Load()-before[latest] {
			latest = r
		}
	}
	return latest
}

// judgeTakeup compares the streams that were taken up at relays in touch only with those that
// began.
func (d *deployment) judgeTakeup(all []stream) int {
	begun, taken, goesOn, joined := 0, 0, 0, 0
	for _, s := range all {
		if s.last > 0 {
			begun++
		}
		if s.resumed && !s.atCut {
			taken++
			if s.goesOn {
				goesOn++
			}
		}
		if len(s.versions) > 1 {
			joined++
		}
	}
	d.record.say("streams %d, begun %d, taken up at relays in touch %d, of these went on %d, with events of two versions %d", len(all), begun, taken, goesOn, joined)
	share := float64(begun) / float64(max(1, len(all)))
	if taken >= minTakenUp && float64(goesOn)/float64(taken) < share/2 {
		return broken
	}
	return held
}
