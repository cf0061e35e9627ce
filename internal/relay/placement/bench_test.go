package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// BenchmarkChoose measures the choice of an upstream, with its report, for requests that
// share the prompts of some thousand sessions.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{60, 240, 3700} {
		b.Run(fmt.Sprintf("%d upstreams", count), func(b *testing.B) {
			snapshot := upstreams(count)
			chooser := placement.New(time.Now, rand.Float64)
			b.ReportAllocs()
			for i := range b.N {
				session := wire.PartID(fmt.Sprint(i % 2500))
				query := placement.Query{
					Service: "s",
					Domain:  "0",
					Prompt: wire.Prompt{
						Parts: []wire.Part{{
							ID:     "system",
							Tokens: 500,
						}, {
							ID:     session,
							Tokens: 4000,
						}, {
							ID:     wire.PartID(fmt.Sprintf("%s/%d", session, i)),
							Tokens: 500,
						}},
						Input:  5000,
						Output: 300,
					},
					Shared: placement.SharedPrefix{
						Key:    uint64(1 + i%2500),
						Tokens: 4500,
					},
				}
				placed, ok := chooser.Choose(query, snapshot)
				if !ok {
					b.Fatal("no upstream was chosen")
				}
				chooser.MarkPromptRead(placed)
				chooser.Done(placed, placement.Served, 10*time.Millisecond)
			}
		})
	}
}
