package upstreams

import (
	"slices"
	"sync"
	"time"
)

// maxCacheEvents limits the retained events; beyond it the older half is deleted.
const maxCacheEvents = 4096

// CacheEvent reports that an entry was added to or evicted from an engine's
// prompt prefix cache.
type CacheEvent struct {
	Number int    `json:"number"` // from 1; events with missing numbers were not published
	Kind   string `json:"kind"`   // add or evict
	Prefix string `json:"prefix"`
	At     int64  `json:"at"` // Unix milliseconds
}

// cache is an LRU cache of prompt prefixes that publishes its changes as events.
type cache struct {
	maxEntries   int // 0 disables the cache
	prefixLength int // bytes
	delay        time.Duration
	gap          int // every gap-th event is not published; 0 publishes all

	mu         sync.Mutex
	prefixes   []string // least recently used first
	events     []CacheEvent
	lastNumber int // of the last event, published or not
}

// use records the use of the prompt's prefix and reports whether it was cached.
func (c *cache) use(prompt string, now time.Time) bool {
	if c.maxEntries <= 0 {
		return false
	}
	prefix := prompt[:min(len(prompt), c.prefixLength)]
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish("add", prefix, now)
	if len(c.prefixes) > c.maxEntries {
		c.publish("evict", c.prefixes[0], now)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	return false
}

// publish records an event unless it falls into a gap.
func (c *cache) publish(kind, prefix string, now time.Time) {
	c.lastNumber++
	if c.gap > 0 && c.lastNumber%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Number: c.lastNumber,
		Kind:   kind,
		Prefix: prefix,
		At:     now.UnixMilli(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents/2)
	}
}

// clear empties the cache without events, as a restarted engine does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes = nil
}

// eventsAfter returns the events after the given number that are old enough to
// be visible.
func (c *cache) eventsAfter(number int, now time.Time) []CacheEvent {
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
