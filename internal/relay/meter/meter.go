package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Result is the outcome of a request or a call.
type Result string

// The results of requests and calls.
const (
	Served    Result = "served"
	Refused   Result = "refused"  // it did not run
	Rejected  Result = "rejected" // it is invalid or not allowed
	Failed    Result = "failed"
	Broken    Result = "broken" // a stream ended before its last event
	Abandoned Result = "left"   // the caller closed the connection or, for a call, the deadline passed
)

// Reason is why the stages of a request were refused.
type Reason string

// The reasons why stages are refused.
const (
	Overload   Reason = "overload"    // the stages cannot be finished in time
	OverShare  Reason = "share"       // the organisation uses more than its share
	NoUpstream Reason = "no_upstream" // a stage has no upstream
)

// Meter holds the metrics of a host; it is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{
		set: metrics.NewSet(),
	}
}

// Request counts a caller's request and records its duration.
func (m *Meter) Request(route string, result Result, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_requests_total{route=%q,result=%q}`, route, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// FirstEvent records the time from a request to the first event of its response.
func (m *Meter) FirstEvent(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_first_event_seconds{route=%q}`, route)).Update(took.Seconds())
}

// Stages records the time that the stages of a request took.
func (m *Meter) Stages(route string, result Result, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_stages_seconds{route=%q,result=%q}`, route, result)).Update(took.Seconds())
}

// Call counts a call to an upstream and records the time until the header of its
// response; took is 0 if unknown.
func (m *Meter) Call(service ident.ServiceName, result Result, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_upstream_calls_total{service=%q,result=%q}`, service, result)).Inc()
	if took > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_upstream_seconds{service=%q}`, service)).Update(took.Seconds())
	}
}

// Oversized counts a response of an upstream that exceeds a bound.
func (m *Meter) Oversized(service ident.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_upstream_oversized_total{service=%q}`, service)).Inc()
}

// Paused counts a response of an upstream that asks for no requests.
func (m *Meter) Paused(service ident.ServiceName) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_upstream_pauses_total{service=%q}`, service)).Inc()
}

// Repeat counts a retry of a call, and whether the retry budget allowed it.
func (m *Meter) Repeat(service ident.ServiceName, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_repeats_total{service=%q,allowed="%t"}`, service, allowed)).Inc()
}

// Hedge counts a request that was sent to a second upstream because the first one took
// unusually long, and whether the second one responded first.
func (m *Meter) Hedge(service ident.ServiceName, won bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_hedges_total{service=%q,won="%t"}`, service, won)).Inc()
}

// Batch counts a call with items of a stage, and records its size and duration.
func (m *Meter) Batch(service ident.ServiceName, result Result, items int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_batches_total{service=%q,result=%q}`, service, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_batch_items{service=%q}`, service)).Update(float64(items))
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_batch_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Forecast records the duration of a call with items of a stage as a multiple of the expected
// one, and whether the upstream had reported its pace.
func (m *Meter) Forecast(service ident.ServiceName, reported bool, expected, took time.Duration) {
	if expected > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_batch_forecast_ratio{service=%q,reported="%t"}`, service, reported)).Update(took.Seconds() / expected.Seconds())
	}
}

// LoadReport counts a load report of an upstream by what has become of it.
func (m *Meter) LoadReport(service ident.ServiceName, verdict string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_load_reports_total{service=%q,verdict=%q}`, service, verdict)).Inc()
}

// Prediction counts a request whose stages have ended by whether they were expected to
// meet the objective and whether they did, and records by how much they ended later than
// expected.
func (m *Meter) Prediction(expected, met bool, late time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_stages_predictions_total{expected="%t",met="%t"}`, expected, met)).Inc()
	m.set.GetOrCreateHistogram(`relay_stages_overrun_seconds`).Update(max(0, late).Seconds())
}

// StagesRefused counts a request that a coordinator refused before its stages, and why.
func (m *Meter) StagesRefused(reason Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_stages_refused_total{reason=%q}`, reason)).Inc()
}

// Organisation sets the usage and the share of an organisation at a service, in upstream
// seconds per second. The position is 1 for the organisation that uses most of it.
func (m *Meter) Organisation(service ident.ServiceName, position int, usage, share float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`relay_organisation_usage{service=%q,position="%d"}`, service, position), nil).Set(usage)
	m.set.GetOrCreateGauge(fmt.Sprintf(`relay_organisation_share{service=%q,position="%d"}`, service, position), nil).Set(share)
}

// Transfer counts a transfer of the store's entries from another host and its bytes.
func (m *Meter) Transfer(bytes int) {
	m.set.GetOrCreateCounter(`relay_transfers_total`).Inc()
	m.set.GetOrCreateCounter(`relay_transfer_bytes_total`).Add(bytes)
}

// Connected counts a new connection to an upstream.
func (m *Meter) Connected() {
	m.set.GetOrCreateCounter(`relay_upstream_connections_total`).Inc()
}

// Gauge registers a gauge whose value is read from the function. It panics if the
// name is already registered.
func (m *Meter) Gauge(name string, value func() float64) {
	m.set.NewGauge(name, value)
}

// Write writes all metrics, and those of the process, in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
