package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Result says how a request or a call ended.
type Result string

// The results of requests and calls.
const (
	Served   Result = "served"
	Refused  Result = "refused"  // it did not run
	Rejected Result = "rejected" // it is not valid or not allowed
	Failed   Result = "failed"
	Broken   Result = "broken" // a stream ended before its last event
	Left     Result = "left"   // the caller left
)

// Meter counts.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{
		set: metrics.NewSet(),
	}
}

// Request counts a caller's request and the time until its end.
func (m *Meter) Request(route string, result Result, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_requests_total{route=%q,result=%q}`, route, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_request_seconds{route=%q}`, route)).Update(took.Seconds())
}

// First counts the time from a request to the first event of its answer.
func (m *Meter) First(route string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_first_event_seconds{route=%q}`, route)).Update(took.Seconds())
}

// Prepared counts the time that the stages of a request took.
func (m *Meter) Prepared(route string, result Result, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_stages_seconds{route=%q,result=%q}`, route, result)).Update(took.Seconds())
}

// Call counts a call to an upstream and the time until the head of its answer.
func (m *Meter) Call(service ident.ServiceName, result Result, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_upstream_calls_total{service=%q,result=%q}`, service, result)).Inc()
	if took > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_upstream_seconds{service=%q}`, service)).Update(took.Seconds())
	}
}

// Repeat counts a repeated call, and whether the budget allowed it.
func (m *Meter) Repeat(service ident.ServiceName, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_repeats_total{service=%q,allowed="%t"}`, service, allowed)).Inc()
}

// Batch counts a call with items of stages.
func (m *Meter) Batch(service ident.ServiceName, result Result, items int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_batches_total{service=%q,result=%q}`, service, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_batch_items{service=%q}`, service)).Update(float64(items))
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_batch_seconds{service=%q}`, service)).Update(took.Seconds())
}

// Connected counts a new connection to an upstream.
func (m *Meter) Connected() {
	m.set.GetOrCreateCounter(`relay_upstream_connections_total`).Inc()
}

// Gauge shows what value returns.
func (m *Meter) Gauge(name string, value func() float64) {
	m.set.NewGauge(name, value)
}

// Write writes all counts as text.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
