package upstream

import (
	"slices"
	"time"
)

const (
	// cacheSize bounds the number of known prefixes per row.
	cacheSize = 256
	// cacheExpiry is how long the known prefixes are used without a batch of
	// events; after that, evictions may have been missed.
	cacheExpiry = 30 * time.Second
)

// CacheChange is the kind of a cache event.
type CacheChange int

// The kinds of cache event.
const (
	Stored  CacheChange = iota // the upstream holds the prefix
	Evicted                    // the upstream no longer holds the prefix
	Cleared                    // the upstream holds no prefixes
)

// CacheEvent is one change of the prefix cache of an upstream.
type CacheEvent struct {
	Sequence uint64 // increases by one with each event of an incarnation
	Change   CacheChange
	Prefix   Prefix
}

// cache holds the known contents of the prefix cache of one row. The zero value is
// empty.
type cache struct {
	last      uint64            // sequence of the last applied event
	updatedAt time.Time         // time of the last batch, which may have been empty
	prefixes  map[Prefix]uint64 // sequence of the event that stored it
	order     []stored          // oldest first; may hold entries no longer in prefixes
}

type stored struct {
	prefix   Prefix
	sequence uint64
}

func (c *cache) holds(now time.Time, prefix Prefix) bool {
	if len(c.prefixes) == 0 || now.Sub(c.updatedAt) > cacheExpiry {
		return false
	}
	_, ok := c.prefixes[prefix]
	return ok
}

// apply applies a batch of events in any order. Events not after the last applied
// one are ignored; a gap in the sequence clears the known prefixes.
func (c *cache) apply(now time.Time, events []CacheEvent) {
	c.updatedAt = now
	sorted := slices.Clone(events)
	slices.SortFunc(sorted, func(a, b CacheEvent) int {
		switch {
		case a.Sequence < b.Sequence:
			return -1
		case a.Sequence > b.Sequence:
			return 1
		default:
			return 0
		}
	})
	for _, event := range sorted {
		if event.Sequence <= c.last {
			continue
		}
		if event.Sequence != c.last+1 {
			c.clear()
		}
		c.last = event.Sequence
		switch event.Change {
		case Stored:
			c.store(event)
		case Evicted:
			delete(c.prefixes, event.Prefix)
		case Cleared:
			c.clear()
		}
	}
}

func (c *cache) store(event CacheEvent) {
	if c.prefixes == nil {
		c.prefixes = make(map[Prefix]uint64)
	}
	c.prefixes[event.Prefix] = event.Sequence
	c.order = append(c.order, stored{
		prefix:   event.Prefix,
		sequence: event.Sequence,
	})
	for len(c.prefixes) > cacheSize {
		c.dropOldest()
	}
	if len(c.order) > 2*cacheSize {
		c.order = slices.DeleteFunc(c.order, func(s stored) bool {
			return c.prefixes[s.prefix] != s.sequence
		})
	}
}

func (c *cache) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	if c.prefixes[oldest.prefix] == oldest.sequence {
		delete(c.prefixes, oldest.prefix)
	}
}

func (c *cache) clear() {
	clear(c.prefixes)
	c.order = c.order[:0]
}
