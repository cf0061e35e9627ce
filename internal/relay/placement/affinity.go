package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// outputTokenWork is the work of generating a token, in input tokens.
const outputTokenWork = 10

// Affinity counts the request and returns the prefix of its prompt whose requests
// should go to the same upstream; it returns the zero value if the prompt has no
// parts. The prefix ends with the largest shared part, which costs the most to read
// again, or with a later part if those that share it are too much work for one of
// the upstreams.
func (p *Popularity) Affinity(now time.Time, prompt wire.Prompt, upstreams int) SharedPrefix {
	if len(prompt.Parts) == 0 {
		return SharedPrefix{}
	}
	parts := prompt.Parts[:max(1, len(prompt.Parts)-1)] // the last part is specific to the request
	largest := 0
	for i, part := range parts {
		if part.Tokens > parts[largest].Tokens {
			largest = i
		}
	}
	amount := float64(prompt.Input + outputTokenWork*prompt.Output)
	shared := SharedPrefix{}
	for i, part := range parts {
		shared.Tokens += part.Tokens
		if i < largest {
			continue
		}
		shared.Key = xxhash.Sum64String(string(part.ID))
		if !IsHot(p.Count(now, shared.Key, amount), upstreams) {
			break
		}
	}
	return shared
}
