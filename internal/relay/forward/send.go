package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// maxSends bounds the upstreams that are asked for one request, those that
	// refuse it included.
	maxSends = 4
	// replyBytes is the longest answer that is held until it is complete.
	replyBytes = 4 << 20
	// freshIdle is how long a connection may have been idle to carry a request
	// that must not run twice: its upstream may close it at any time, and then
	// nobody can tell whether the request ran.
	freshIdle = time.Second
)

// hopHeaders concern one connection.
var hopHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

// send sends the request to an upstream.
func (e *exchange) send(ctx context.Context, to fleet.Upstream, dispatch wire.Dispatch) (*upstreamhttp.Answer, error) {
	dispatch.Upstream = to.ID
	dispatch.Organisation = e.organisationID()
	dispatch.Patience = max(time.Millisecond, e.deadline.Sub(e.config.Now()))
	idle := time.Duration(0)
	if !e.route.Idempotent() {
		idle = freshIdle
	}
	return e.config.Client.Send(ctx, upstreamhttp.Request{
		Address:     to.Address,
		Connections: e.config.Connections(e.service),
		Idle:        idle,
		Request:     e.head.Request,
		Method:      e.request.Method,
		Target:      e.target,
		Host:        e.request.Host,
		Header:      e.config.Codec.Forward(e.request.Header, dispatch),
		Body:        e.body,
	})
}

// choose returns an upstream that has not been tried.
func (e *exchange) choose(query placement.Query) (fleet.Upstream, bool) {
	query.Service = e.service.Name
	return e.config.Chooser.Choose(query, e.config.Fleet.Snapshot())
}

// copyHeader passes the header of an upstream's answer on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// succeeded reports whether an answer is a success that an upstream vouches for.
func succeeded(answer *upstreamhttp.Answer) bool {
	return answer.Status/100 == 2 && answer.Reply.Sealed
}

// promises are the statuses that state that a request did not run.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

func excluded(tried []ident.UpstreamID) map[ident.UpstreamID]bool {
	set := make(map[ident.UpstreamID]bool, len(tried))
	for _, id := range tried {
		set[id] = true
	}
	return set
}
