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
	longestLatency = 10 * time.Minute
	keptExamples   = 10
)

// Ran is the "ran" field of an error body: false, true or unknown; it is empty
// if an answer without success has none.
type Ran string

// Tally counts the requests of one organisation.
type Tally struct {
	Offered  int
	Attained int
}

// Report is the result of a run. Histograms are in microseconds.
type Report struct {
	Took          time.Duration
	Offered       int // requests that arrived
	Unsent        int // not sent because too many were in flight
	Attained      int // complete, right and within the deadline
	Late          int // complete and right after the deadline
	Mismatched    int // complete with a 2xx status, but wrong for the request
	Broken        int // connection failed or answer incomplete
	Statuses      map[int]int
	Ran           map[Ran]int // of answers without success
	Organisations map[ident.OrganisationID]Tally
	Latency       *hdrhistogram.Histogram // of right answers
	FirstToken    *hdrhistogram.Histogram
	TokenGap      *hdrhistogram.Histogram
	Examples      []string // of mismatched and broken requests
}

// Attainment returns the share of offered requests that were attained.
func (r *Report) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "offered %d in %.1f s, attained %d (%.2f%%)\n",
		r.Offered, r.Took.Seconds(), r.Attained, 100*r.Attainment())
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

// recorder fills a report from many goroutines.
type recorder struct {
	deadline time.Duration

	mu     sync.Mutex
	report *Report
}

func newRecorder(deadline time.Duration) *recorder {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency.Microseconds(), 3) }
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

func (r *recorder) offer(request Request) {
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
	r.example(request, err)
}

func (r *recorder) token(gap time.Duration, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		record(r.report.FirstToken, gap)
	} else {
		record(r.report.TokenGap, gap)
	}
}

func (r *recorder) answered(request Request, answer Answer, latency time.Duration, mismatch error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Statuses[answer.Status]++
	switch {
	case answer.Status < 200 || answer.Status >= 300:
		r.report.Ran[ranOf(answer.Body)]++
	case mismatch != nil:
		r.report.Mismatched++
		r.example(request, mismatch)
	default:
		record(r.report.Latency, latency)
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

// example keeps the first faults; r.mu is held.
func (r *recorder) example(request Request, err error) {
	if len(r.report.Examples) < keptExamples {
		r.report.Examples = append(r.report.Examples, fmt.Sprintf("request %d: %v", request.Number, err))
	}
}

func (r *recorder) finish(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Took = took
	return r.report
}

// record clamps to the histogram's range, since a value beyond it would be lost.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatency.Microseconds()))
}

// ranOf reads the "ran" field of an error body, which is a boolean or a string.
func ranOf(body []byte) Ran {
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
