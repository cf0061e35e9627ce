package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// cacheRetention is how long a prefix counts as cached by an upstream that has
	// read it.
	cacheRetention = 30 * time.Second
	// defaultPrefixes bounds the number of tracked prefixes unless an option says
	// otherwise, maxHolders the number of upstreams per prefix.
	defaultPrefixes = 8192
	maxHolders      = 128
)

// prefix is the first parts of a prompt.
type prefix struct {
	key    uint64 // hash of the model and the parts
	tokens int
}

// promptPrefixes returns the prefixes of a prompt, the shortest first.
func promptPrefixes(prompt wire.Prompt) []prefix {
	all := make([]prefix, 0, len(prompt.Parts))
	hash := xxhash.Sum64String(string(prompt.Model))
	tokens := 0
	for _, part := range prompt.Parts {
		hash = hash*31 + xxhash.Sum64String(string(part.ID))
		tokens += part.Tokens
		all = append(all, prefix{
			key:    hash,
			tokens: tokens,
		})
	}
	return all
}

// holder is an upstream that has read a prefix or has been asked to read it.
type holder struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
	recordedAt  time.Time
	read        bool // has read it, not only been asked to
}

// prefixIndex tracks which upstreams have read prompt prefixes, in two generations:
// the older one is dropped when the younger one is full.
type prefixIndex struct {
	young, old map[uint64][]holder
	limit      int // number of prefixes in both generations
}

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{
		young: make(map[uint64][]holder),
		limit: limit,
	}
}

// holders returns the upstreams that hold a prefix.
func (x *prefixIndex) holders(key uint64) []holder {
	if holders, ok := x.young[key]; ok {
		return holders
	}
	return x.old[key]
}

// record notes that an upstream has been asked to read a prompt, or has read it.
func (x *prefixIndex) record(now time.Time, prompt []prefix, upstream fleet.Upstream, read bool) {
	for _, p := range prompt {
		holders := x.holders(p.key)
		added := holder{
			id:          upstream.ID,
			incarnation: upstream.Started,
			recordedAt:  now,
			read:        read,
		}
		remaining := make([]holder, 1, len(holders)+1)
		for _, h := range holders {
			switch {
			case now.Sub(h.recordedAt) >= cacheRetention || len(remaining) >= maxHolders:
			case h.id == added.id:
				added.read = added.read || h.read && h.incarnation == added.incarnation
			default:
				remaining = append(remaining, h)
			}
		}
		remaining[0] = added
		if _, ok := x.young[p.key]; !ok && len(x.young) >= x.limit/2 {
			x.old = x.young
			x.young = make(map[uint64][]holder)
		}
		x.young[p.key] = remaining
	}
}

// cached is what the upstreams of a pool have probably cached of a prompt, in tokens.
type cached struct {
	requested     []int // by upstream of the pool: has read or has been asked to read; valid until the next call
	mostRequested int   // of any upstream, draining ones included
	sources       []source
}

// source is the upstream that has read the most of a prompt among those of its release.
type source struct {
	fleet.Upstream // without an ID if there is none; may be draining
	tokens         int
}

// sourceFor returns the upstream from which one of the given release may fetch the prompt:
// what two releases cache does not fit together.
func (c cached) sourceFor(release fleet.Release) source {
	for _, s := range c.sources {
		if s.Release == release {
			return s
		}
	}
	return source{}
}

// addSource adds an upstream that has read the given number of tokens of the prompt.
func (c *cached) addSource(upstream fleet.Upstream, tokens int) {
	added := source{
		Upstream: upstream,
		tokens:   tokens,
	}
	for i, s := range c.sources {
		if s.Release != upstream.Release {
			continue
		}
		if tokens > s.tokens || tokens == s.tokens && upstream.ID < s.ID {
			c.sources[i] = added
		}
		return
	}
	c.sources = append(c.sources, added)
}

// valid returns the upstream of a holder, if that still runs and the prefix counts as
// cached there.
func (h holder) valid(now time.Time, snapshot *fleet.Snapshot) (fleet.Upstream, bool) {
	if now.Sub(h.recordedAt) >= cacheRetention {
		return fleet.Upstream{}, false
	}
	upstream, ok := snapshot.Upstream(h.id)
	return upstream, ok && upstream.Started == h.incarnation
}

// cached returns what the upstreams of a service have probably cached of a prompt.
func (x *prefixIndex) cached(now time.Time, prompt []prefix, service ident.ServiceName, p *pool) cached {
	clear(p.requested)
	c := cached{
		requested: p.requested,
	}
	for _, prefix := range prompt {
		for _, h := range x.holders(prefix.key) {
			upstream, ok := h.valid(now, p.snapshot)
			if !ok {
				continue
			}
			c.mostRequested = prefix.tokens
			if i, ok := p.index[h.id]; ok {
				c.requested[i] = prefix.tokens
			}
			if h.read && upstream.Service == service {
				c.addSource(upstream, prefix.tokens)
			}
		}
	}
	return c
}

// requestedAt returns the tokens of a prompt that one upstream has read or has been asked
// to read.
func (x *prefixIndex) requestedAt(now time.Time, prompt []prefix, upstream fleet.Upstream, snapshot *fleet.Snapshot) int {
	for i := len(prompt) - 1; i >= 0; i-- {
		for _, h := range x.holders(prompt[i].key) {
			if h.id != upstream.ID {
				continue
			}
			if _, ok := h.valid(now, snapshot); ok {
				return prompt[i].tokens
			}
		}
	}
	return 0
}
