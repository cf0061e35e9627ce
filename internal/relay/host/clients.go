package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
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

// oneSender is the number of hosts that call an upstream which runs stages: its coordinator
// does so for all of them.
func oneSender() int { return 1 }

// newClient returns a client whose kind of requests an upstream gets from the given number
// of hosts, which share the limit that it may state.
func (h *Host) newClient(senders func() int) *upstreamhttp.Client {
	return upstreamhttp.New(upstreamhttp.Config{
		Codec:   h.platform.Codec,
		Dial:    upstreamhttp.Dial,
		Now:     time.Now,
		Opened:  h.meter.Connected,
		Admit:   func(upstream fleet.Upstream) time.Duration { return h.pauses.Admit(upstream, senders()) },
		Observe: func(upstream fleet.Upstream, reply wire.Reply) { h.observeReply(upstream, reply, senders()) },
	})
}
