package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
)

// clients are the clients of upstreams. Each has connections of its own: the responses to
// batches and releases have no ids, so one to another kind of call on the same connection
// could be taken for them.
type clients struct {
	requests *upstreamhttp.Client // of callers
	batches  *upstreamhttp.Client // of stages
	releases *upstreamhttp.Client // of the results of stages
}

// each calls a function with each client.
func (c clients) each(f func(client *upstreamhttp.Client)) {
	for _, client := range []*upstreamhttp.Client{c.requests, c.batches, c.releases} {
		f(client)
	}
}

func (h *Host) newClient() *upstreamhttp.Client {
	return upstreamhttp.New(upstreamhttp.Config{
		Codec:   h.platform.Codec,
		Dial:    upstreamhttp.Dial,
		Now:     time.Now,
		Opened:  h.meter.Connected,
		Paused:  h.pauses.Remaining,
		Observe: h.observeReply,
	})
}
