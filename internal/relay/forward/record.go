package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// record is what became of a request, for the log and the metrics.
type record struct {
	result      meter.Result
	status      int
	reason      string
	after       time.Duration    // when the caller may come back
	stages      time.Duration    // time that the stages took
	coordinator ident.HostID     // that ran the stages
	cache       ident.UpstreamID // from which the prompt was to be fetched
	first       time.Duration    // time until the first event
	last        wire.EventID     // that the caller got
	pause       time.Duration    // longest time between two events
}

// reject answers a request that is not valid or not allowed.
func (e *exchange) reject(status int, reason string) {
	e.record.result = meter.Rejected
	e.answer(status, reason)
}

// refuse states that the request did not run and when the caller may return.
func (e *exchange) refuse(reason string, after time.Duration) {
	e.record.result = meter.Refused
	e.record.after = after
	e.config.Codec.RetryAfter(e.writer.Header(), after)
	e.answer(http.StatusServiceUnavailable, reason)
}

// fail answers a request that may have run.
func (e *exchange) fail(status int, reason string) {
	e.record.result = meter.Failed
	e.answer(status, reason)
}

// left notes that the caller's connection has ended, so that nobody waits for an
// answer.
func (e *exchange) left() {
	e.record.result = meter.Abandoned
	if e.config.Stopping() {
		e.record.reason = "connection has ended while the host stops"
	}
}

func (e *exchange) answer(status int, reason string) {
	e.record.status = status
	e.record.reason = reason
	header := e.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	e.writer.WriteHeader(status)
	if _, err := io.WriteString(e.writer, reason+"\n"); err != nil {
		e.left()
	}
}

// deliver passes a whole answer on.
func (e *exchange) deliver(r *reply) {
	e.record.status = r.answer.Status
	e.record.result = meter.Served
	if r.answer.Status/100 != 2 {
		e.record.result = meter.Failed
		e.record.reason = "answer of the upstream"
	}
	copyHeader(e.writer.Header(), r.answer.Header)
	e.writer.WriteHeader(r.answer.Status)
	if _, err := e.writer.Write(r.body); err != nil {
		e.left()
	}
}

// close logs and counts the end of the request. It runs also if the connection
// is broken off by a panic.
func (e *exchange) close() {
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
	if len(e.tried) > 0 {
		line = line.Strs("upstreams", texts(e.tried)).Int("ran", e.ran)
	}
	if e.record.after > 0 {
		line = line.Dur("after", e.record.after)
	}
	if e.record.coordinator != "" {
		line = line.Str("coordinator", string(e.record.coordinator)).Dur("stages", e.record.stages)
	}
	if e.record.cache != "" {
		line = line.Str("cache", string(e.record.cache))
	}
	if e.record.first > 0 {
		line = line.Dur("first", e.record.first).Int("last", int(e.record.last)).Dur("pause", e.record.pause)
	}
	line.Msg("forward: request ended")
}

func texts(ids []ident.UpstreamID) []string {
	list := make([]string, 0, len(ids))
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}
