package upstreams

import (
	"slices"
	"sync"
	"time"
)

const keptCacheEvents = 4096

// CacheEvent says that an engine's prompt prefix cache gained or lost an entry.
type CacheEvent struct {
	Number int    `json:"number"` // from 1; numbers that are missing were not published
	Kind   string `json:"kind"`   // add or evict
	Prefix string `json:"prefix"`
	At     int64  `json:"at"` // Unix milliseconds
}

// cache holds the most recently used prompt prefixes.
type cache struct {
	limit  int // entries
	length int // bytes of a prefix
	delay  time.Duration
	gap    int // every gap-th event is not published; 0 publishes all

	mu       sync.Mutex
	prefixes []string // the most recently used one is last
	events   []CacheEvent
	last     int // number of the last event
}

// use records the use of the prompt's prefix and reports whether it was cached.
func (c *cache) use(prompt string, now time.Time) bool {
	if c.limit <= 0 {
		return false
	}
	prefix := prompt[:min(len(prompt), c.length)]
	c.mu.Lock()
	defer c.mu.Unlock()
	at := slices.Index(c.prefixes, prefix)
	if at >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, at, at+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish("add", prefix, now)
	if len(c.prefixes) > c.limit {
		c.publish("evict", c.prefixes[0], now)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return false
}

func (c *cache) publish(kind, prefix string, now time.Time) {
	c.last++
	if c.gap > 0 && c.last%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Number: c.last,
		Kind:   kind,
		Prefix: prefix,
		At:     now.UnixMilli(),
	})
	if len(c.events) > keptCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-keptCacheEvents/2)
	}
}

// clear empties the cache without events, as a restarted engine does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes = nil
}

// after returns the events after the given number that are old enough to be visible.
func (c *cache) after(number int, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := now.Add(-c.delay).UnixMilli()
	found := make([]CacheEvent, 0)
	for _, e := range c.events {
		if e.Number > number && e.At <= visible {
			found = append(found, e)
		}
	}
	return found
}
