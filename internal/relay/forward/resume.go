package forward

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/resumption"
)

// unknownReleaseRetryAfter is the shortest Retry-After time if the release of a stream is not known
// or not recorded: hosts that are up usually record it within this time.
const unknownReleaseRetryAfter = 800 * time.Millisecond

// resumes reports whether the caller takes up a stream of which it has received events.
func (e *exchange) resumes() bool { return e.head.LastEvent > 0 }

// origin returns the request that received the first event of the stream, or this one if
// the stream begins with it.
func (e *exchange) origin() ident.RequestID {
	if e.resumes() && e.head.Origin != "" {
		return e.head.Origin
	}
	return e.head.Request
}

// resume finds out which release has begun a stream that the caller takes up. It returns
// false after refusing the request if that is not known, or if the release has no upstream:
// events of two releases do not fit together.
func (e *exchange) resume() bool {
	if !e.resumes() {
		return true
	}
	asked := e.config.Now()
	release, err := e.config.Streams.Release(e.ctx, resumption.Stream{
		Origin:  e.head.Origin,
		Service: e.service.Name,
	})
	e.record.releaseTime = e.config.Now().Sub(asked)
	if err != nil {
		e.refuseForRelease(err)
		return false
	}
	e.release = release
	if !e.hasRelease() {
		e.refuse("no upstream has the release that began the stream", defaultRetryAfter)
		return false
	}
	return true
}

// handleUnrecorded ends a request that has not been sent to another release than before, since
// nobody would find which one has begun the stream.
func (e *exchange) handleUnrecorded(err error) {
	if e.ran > 0 || e.progress.started || e.ctx.Err() != nil {
		e.record.reason = err.Error()
		e.concludeStream()
		return
	}
	e.refuseForRelease(err)
}

// refuseForRelease refuses a request since the release of its stream is not known or not recorded.
func (e *exchange) refuseForRelease(err error) {
	e.refuse(err.Error(), unknownReleaseRetryAfter+rand.N(unknownReleaseRetryAfter/2))
}

// hasRelease reports whether an upstream may run the rest of the stream.
func (e *exchange) hasRelease() bool {
	for _, upstream := range e.config.Fleet.Snapshot().Ready(e.service.Name) {
		if e.release == "" || upstream.Release == e.release {
			return true
		}
	}
	return false
}

// otherReleases returns the upstreams that may not run the rest of the stream.
func (e *exchange) otherReleases() []ident.UpstreamID {
	var others []ident.UpstreamID
	if e.release == "" {
		return nil
	}
	for _, upstream := range e.config.Fleet.Snapshot().Ready(e.service.Name) {
		if upstream.Release != e.release {
			others = append(others, upstream.ID)
		}
	}
	return others
}

// begins reports whether the request may begin a stream that its caller may take up.
func (e *exchange) begins() bool { return e.release == "" && e.route.Idempotent() }

// newRun returns the handling of the stream by this request.
func (e *exchange) newRun() *resumption.Run {
	run := e.config.Streams.NewRun(resumption.Stream{
		Origin:  e.origin(),
		Service: e.service.Name,
	})
	if !e.begins() {
		run.Bind()
	}
	return run
}
