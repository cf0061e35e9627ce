package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// keepTime is how long a prompt counts as kept by the upstream that has read it.
	keepTime = 30 * time.Second
	// maxBeginnings bounds the beginnings of prompts that are remembered, maxHolders
	// the upstreams of each.
	maxBeginnings = 8192
	maxHolders    = 128
)

// beginning names the first parts of a prompt.
type beginning struct {
	key    uint64
	tokens int
}

// beginnings returns those of a prompt, the shortest first.
func beginnings(prompt wire.Prompt) []beginning {
	all := make([]beginning, 0, len(prompt.Parts))
	hash := xxhash.Sum64String(string(prompt.Model))
	tokens := 0
	for _, part := range prompt.Parts {
		hash = hash*31 + xxhash.Sum64String(string(part.ID))
		tokens += part.Tokens
		all = append(all, beginning{
			key:    hash,
			tokens: tokens,
		})
	}
	return all
}

// holder is an upstream that has read a beginning.
type holder struct {
	id      ident.UpstreamID
	started ident.Incarnation
	at      time.Time
	read    bool // it has not only been asked to
}

// memory remembers which upstreams have read the beginnings of prompts, in two
// generations: the older one is dropped when the younger one is full.
type memory struct {
	young, old map[uint64][]holder
}

func newMemory() *memory {
	return &memory{
		young: make(map[uint64][]holder),
	}
}

// holders returns those of a beginning.
func (m *memory) holders(key uint64) []holder {
	if held, ok := m.young[key]; ok {
		return held
	}
	return m.old[key]
}

// note remembers that an upstream is asked to read a prompt, or has read it.
func (m *memory) note(now time.Time, prompt []beginning, upstream fleet.Upstream, read bool) {
	for _, b := range prompt {
		held := m.holders(b.key)
		this := holder{
			id:      upstream.ID,
			started: upstream.Started,
			at:      now,
			read:    read,
		}
		kept := make([]holder, 1, len(held)+1)
		for _, h := range held {
			switch {
			case now.Sub(h.at) >= keepTime || len(kept) >= maxHolders:
			case h.id == this.id:
				this.read = this.read || h.read && h.started == this.started
			default:
				kept = append(kept, h)
			}
		}
		kept[0] = this
		if _, ok := m.young[b.key]; !ok && len(m.young) >= maxBeginnings/2 {
			m.old = m.young
			m.young = make(map[uint64][]holder)
		}
		m.young[b.key] = kept
	}
}

// kept is what an upstream has probably kept of a prompt, in tokens.
type kept struct {
	asked int // has read or has been asked to read
	read  int
}

// kept returns what the upstreams of a service have probably kept of a prompt.
func (m *memory) kept(now time.Time, prompt []beginning, snapshot *fleet.Snapshot) map[ident.UpstreamID]kept {
	all := make(map[ident.UpstreamID]kept)
	for _, b := range prompt {
		for _, h := range m.holders(b.key) {
			if now.Sub(h.at) >= keepTime {
				continue
			}
			if upstream, ok := snapshot.Upstream(h.id); !ok || upstream.Started != h.started {
				continue
			}
			k := all[h.id]
			k.asked = b.tokens
			if h.read {
				k.read = b.tokens
			}
			all[h.id] = k
		}
	}
	return all
}
