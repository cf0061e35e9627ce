package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// record holds the outcome of a request for the log and the metrics.
type record struct {
	result      meter.Result
	status      int
	reason      string
	retryAfter  time.Duration    // Retry-After time; 0 if none was sent
	stagesTime  time.Duration    // total time that the stages took
	releaseTime time.Duration    // time until the release was known that began the stream
	coordinator ident.HostID     // host that ran the stages
	cacheSource ident.UpstreamID // upstream from which the prompt was to be fetched
	firstEvent  time.Duration    // time from the arrival of the request to the first event
	lastEvent   wire.EventID     // last event sent to the caller
	maxPause    time.Duration    // longest time between two events of the stream
}

// reject responds to a request that is invalid or not allowed.
func (e *exchange) reject(status int, reason string) {
	e.record.result = meter.Rejected
	e.respond(status, reason)
}

// refuse responds that the request did not run and may be retried after some time.
func (e *exchange) refuse(reason string, after time.Duration) {
	e.record.result = meter.Refused
	e.record.retryAfter = after
	e.config.Codec.RetryAfter(e.writer.Header(), after)
	e.respond(http.StatusServiceUnavailable, reason)
}

// fail responds to a request that may have run.
func (e *exchange) fail(status int, reason string) {
	e.record.result = meter.Failed
	e.respond(status, reason)
}

// recordAbandoned records that the caller's connection was closed before the response
// was complete.
func (e *exchange) recordAbandoned() {
	e.record.result = meter.Abandoned
	if e.config.Stopping() {
		e.record.reason = "connection has ended while the host stops"
	}
}

// respond sends a plain-text response and records its status and reason.
func (e *exchange) respond(status int, reason string) {
	e.record.status = status
	e.record.reason = reason
	header := e.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(status)
	if _, err := io.WriteString(e.writer, reason+"\n"); err != nil {
		e.recordAbandoned()
	}
}

// deliver forwards a complete response of an upstream to the caller.
func (e *exchange) deliver(r *bufferedResponse) {
	e.record.status = r.response.Status
	e.record.result = meter.Served
	if r.response.Status/100 != 2 {
		e.record.result = meter.Failed
		e.record.reason = "answer of the upstream"
	}
	copyHeader(e.writer.Header(), r.response.Header)
	e.writer.WriteHeader(r.response.Status)
	if _, err := e.writer.Write(r.body); err != nil {
		e.recordAbandoned()
	}
}

// finish logs and counts the end of the request. It is deferred, since a panic aborts
// the connection of an incomplete stream.
func (e *exchange) finish() {
	route, version := "", uint64(0)
	if e.table != nil {
		version = uint64(e.table.Version)
	}
	if e.route != nil {
		route = e.route.Name
	}
	took := e.age()
	cursor, age := e.config.Replica()
	e.config.Meter.Request(route, e.record.result, took)
	line := e.log.Info().
		Str("result", string(e.record.result)).
		Int("status", e.record.status).
		Str("route", route).
		Uint64("table", version).
		Uint64("replica", uint64(cursor)).
		Dur("age", age).
		Dur("took", took)
	if e.record.reason != "" {
		line = line.Str("reason", e.record.reason)
	}
	if e.route == nil {
		line = line.Str("name", e.request.Host).Str("path", e.request.URL.Path)
	}
	line = e.logParts(line)
	if len(e.tried) > 0 {
		line = line.Strs("upstreams", idStrings(e.tried)).Int("ran", e.ran)
	}
	if e.record.retryAfter > 0 {
		line = line.Dur("after", e.record.retryAfter)
	}
	if e.record.coordinator != "" {
		line = line.Str("coordinator", string(e.record.coordinator)).Dur("stages", e.record.stagesTime)
	}
	if e.record.cacheSource != "" {
		line = line.Str("cache", string(e.record.cacheSource))
	}
	if e.resumes() {
		line = line.Str("origin", string(e.head.Origin)).Int("resumed", int(e.head.LastEvent)).Dur("known", e.record.releaseTime)
	}
	if e.release != "" {
		line = line.Str("release", string(e.release))
	}
	if e.record.firstEvent > 0 {
		line = line.Dur("first", e.record.firstEvent).Int("last", int(e.record.lastEvent)).Dur("pause", e.record.maxPause)
	}
	line.Msg("forward: request ended")
}

func idStrings(ids []ident.UpstreamID) []string {
	list := make([]string, 0, len(ids))
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}
