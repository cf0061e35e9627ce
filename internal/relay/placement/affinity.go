package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// outputWork is the work of a token that a model makes, in tokens that it reads.
const outputWork = 10

// Affinity returns the hash of the part of a prompt whose requests go to one
// upstream, and counts the request; it is 0 if the prompt has no parts. The part
// is the largest one that requests share, which costs the most to read again, or
// one after it if the work that shares it is too much for one of the upstreams.
func (p *Popularity) Affinity(now time.Time, prompt wire.Prompt, upstreams int) uint64 {
	if len(prompt.Parts) == 0 {
		return 0
	}
	shared := prompt.Parts[:max(1, len(prompt.Parts)-1)] // the last one is of the request itself
	largest := 0
	for i, part := range shared {
		if part.Tokens > shared[largest].Tokens {
			largest = i
		}
	}
	amount := float64(prompt.Input + outputWork*prompt.Output)
	key := uint64(0)
	for _, part := range shared[largest:] {
		key = xxhash.Sum64String(string(part.ID))
		if !Crowded(p.Count(now, key, amount), upstreams) {
			break
		}
	}
	return key
}
