package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// outputWork is the work of a token that a model makes, in tokens that it reads.
const outputWork = 10

// Affinity returns the beginning of a prompt whose requests go to one upstream, and
// counts the request; it is nothing if the prompt has no parts. It ends with the
// largest part that requests share, which costs the most to read again, or with one
// after it if the work that shares it is too much for one of the upstreams.
func (p *Popularity) Affinity(now time.Time, prompt wire.Prompt, upstreams int) Shared {
	if len(prompt.Parts) == 0 {
		return Shared{}
	}
	parts := prompt.Parts[:max(1, len(prompt.Parts)-1)] // the last one is of the request itself
	largest := 0
	for i, part := range parts {
		if part.Tokens > parts[largest].Tokens {
			largest = i
		}
	}
	amount := float64(prompt.Input + outputWork*prompt.Output)
	shared := Shared{}
	for i, part := range parts {
		shared.Tokens += part.Tokens
		if i < largest {
			continue
		}
		shared.Key = xxhash.Sum64String(string(part.ID))
		if !Crowded(p.Count(now, shared.Key, amount), upstreams) {
			break
		}
	}
	return shared
}
