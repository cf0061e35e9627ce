package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	maxLatency  = 10 * time.Minute
	maxExamples = 10
)

// Ran is the "ran" field of an error body, which says whether the request was
// executed: "false", "true" or "unknown". It is empty if the body has no such field.
type Ran string

// Tally holds the request counts of one organisation.
type Tally struct {
	Offered  int
	Attained int
}

// Report is the result of a run. The histograms are in microseconds.
type Report struct {
	Elapsed       time.Duration
	Offered       int // requests due during the run, including unsent ones
	Unsent        int // not sent because Config.MaxInFlight was reached
	Attained      int // complete and correct within the deadline
	Late          int // complete and correct after the deadline
	Mismatched    int // complete with a 2xx status, but rejected by Config.Check
	Broken        int // connection failed, or response incomplete after twice the deadline, cut off or too large
	Statuses      map[int]int
	Ran           map[Ran]int // of responses without a 2xx status
	Organisations map[ident.OrganisationID]Tally
	Latency       *hdrhistogram.Histogram // of correct responses, attained or late, from the planned arrival
	FirstToken    *hdrhistogram.Histogram // from the planned arrival to the first token of a stream
	TokenGap      *hdrhistogram.Histogram // between successive tokens of a stream
	Examples      []string                // errors of the first mismatched and broken requests
}

// Attainment returns the fraction of offered requests that were attained.
func (r *Report) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

// Print writes the report to out as text.
func (r *Report) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "offered %d in %.1f s, attained %d (%.2f%%)\n",
		r.Offered, r.Elapsed.Seconds(), r.Attained, 100*r.Attainment())
	fmt.Fprintf(&text, "late %d, mismatched %d, broken %d, unsent %d\n", r.Late, r.Mismatched, r.Broken, r.Unsent)
	for _, status := range slices.Sorted(maps.Keys(r.Statuses)) {
		fmt.Fprintf(&text, "status %d: %d\n", status, r.Statuses[status])
	}
	for _, ran := range slices.Sorted(maps.Keys(r.Ran)) {
		fmt.Fprintf(&text, "error with ran %q: %d\n", ran, r.Ran[ran])
	}
	printHistogram(&text, "latency", r.Latency)
	printHistogram(&text, "first token", r.FirstToken)
	printHistogram(&text, "token gap", r.TokenGap)
	for _, organisation := range slices.Sorted(maps.Keys(r.Organisations)) {
		tally := r.Organisations[organisation]
		fmt.Fprintf(&text, "organisation %q: offered %d, attained %d\n", organisation, tally.Offered, tally.Attained)
	}
	for _, example := range r.Examples {
		fmt.Fprintf(&text, "example: %s\n", example)
	}
	_, err := io.WriteString(out, text.String())
	return errors.Annotate(err, "print report")
}

func printHistogram(out *strings.Builder, name string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	fmt.Fprintf(out, "%s ms: p50 %.1f, p95 %.1f, p99 %.1f, max %.1f (%d values)\n", name,
		ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(95)), ms(h.ValueAtQuantile(99)), ms(h.Max()), h.TotalCount())
}

// recorder fills a report; it is safe for concurrent use.
type recorder struct {
	deadline time.Duration

	mu     sync.Mutex
	report *Report
}

func newRecorder(deadline time.Duration) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	return &recorder{
		deadline: deadline,
		report: &Report{
			Statuses:      make(map[int]int),
			Ran:           make(map[Ran]int),
			Organisations: make(map[ident.OrganisationID]Tally),
			Latency:       histogram(),
			FirstToken:    histogram(),
			TokenGap:      histogram(),
		},
	}
}

func (r *recorder) offered(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	tally := r.report.Organisations[request.Organisation]
	tally.Offered++
	r.report.Organisations[request.Organisation] = tally
}

func (r *recorder) unsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Unsent++
}

func (r *recorder) broken(request Request, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Broken++
	r.addExample(request, err)
}

func (r *recorder) token(gap time.Duration, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		recordDuration(r.report.FirstToken, gap)
	} else {
		recordDuration(r.report.TokenGap, gap)
	}
}

func (r *recorder) completed(request Request, response Response, latency time.Duration, mismatch error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Statuses[response.Status]++
	switch {
	case response.Status < 200 || response.Status >= 300:
		r.report.Ran[parseRan(response.Body)]++
	case mismatch != nil:
		r.report.Mismatched++
		r.addExample(request, mismatch)
	default:
		recordDuration(r.report.Latency, latency)
		if latency > r.deadline {
			r.report.Late++
			return
		}
		r.report.Attained++
		tally := r.report.Organisations[request.Organisation]
		tally.Attained++
		r.report.Organisations[request.Organisation] = tally
	}
}

// addExample adds an error to the examples until there are maxExamples. The caller
// must hold r.mu.
func (r *recorder) addExample(request Request, err error) {
	if len(r.report.Examples) < maxExamples {
		r.report.Examples = append(r.report.Examples, fmt.Sprintf("request %d: %v", request.Number, err))
	}
}

func (r *recorder) finish(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Elapsed = elapsed
	return r.report
}

// recordDuration clamps d to the range of the histogram, which drops values outside
// it.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// parseRan returns the "ran" field of an error body, which is a boolean or a string.
func parseRan(body []byte) Ran {
	var message struct {
		Error struct {
			Ran json.RawMessage `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &message) != nil {
		return ""
	}
	return Ran(strings.Trim(string(message.Error.Ran), `"`))
}
