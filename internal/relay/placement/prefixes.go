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
	// maxPrefixes bounds the number of tracked prefixes, maxHolders the number of
	// upstreams per prefix.
	maxPrefixes = 8192
	maxHolders  = 128
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
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{
		young: make(map[uint64][]holder),
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
		if _, ok := x.young[p.key]; !ok && len(x.young) >= maxPrefixes/2 {
			x.old = x.young
			x.young = make(map[uint64][]holder)
		}
		x.young[p.key] = remaining
	}
}

// cachedTokens is the number of prompt tokens that an upstream has probably cached.
type cachedTokens struct {
	requested int // has read or has been asked to read
	read      int
}

// cached returns, per upstream, the tokens that are probably cached of a prompt.
func (x *prefixIndex) cached(now time.Time, prompt []prefix, snapshot *fleet.Snapshot) map[ident.UpstreamID]cachedTokens {
	byUpstream := make(map[ident.UpstreamID]cachedTokens)
	for _, p := range prompt {
		for _, h := range x.holders(p.key) {
			if now.Sub(h.recordedAt) >= cacheRetention {
				continue
			}
			if upstream, ok := snapshot.Upstream(h.id); !ok || upstream.Started != h.incarnation {
				continue
			}
			tokens := byUpstream[h.id]
			tokens.requested = p.tokens
			if h.read {
				tokens.read = p.tokens
			}
			byUpstream[h.id] = tokens
		}
	}
	return byUpstream
}
