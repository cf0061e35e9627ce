package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
)

// BenchmarkRequest measures what a coordinator spends on a request with three stages, from
// its submission to the release of its results, at four fifths of the capacity of its
// upstreams.
func BenchmarkRequest(b *testing.B) {
	const (
		load    = 0.8
		perCall = 0.36 // seconds that an upstream takes for a full call
		items   = 8    // in a full call
		pieces  = 4    // of a stage
	)
	run := func(upstreams int, slackAware bool) func(b *testing.B) {
		return func(b *testing.B) {
			each := upstreams / 3
			h := newHarness(map[ident.ServiceName]int{"a": each, "b": each, "c": each}, 1e9)
			h.SetSlackAware(slackAware)
			rate := load * float64(each) * items / perCall / pieces // requests per second
			interval := time.Duration(float64(time.Second) / rate)
			next := h.now
			b.ReportAllocs()
			for range b.N {
				h.advance(next)
				j := batch.Job{
					Key:       "key",
					Objective: h.now.Add(5 * time.Second),
					Deadline:  h.now.Add(15 * time.Second),
				}
				for i, service := range []ident.ServiceName{"a", "b", "c"} {
					stage := batch.Stage{
						Service: service,
						Kind:    batch.Kind(service),
						Pieces:  pieces,
						Bytes:   1000,
					}
					if i > 0 {
						stage.After = []int{i - 1}
					}
					j.Stages = append(j.Stages, stage)
				}
				if _, err := h.submit(j); err != nil {
					b.Fatal(err)
				}
				h.plan()
				next = next.Add(interval)
			}
		}
	}
	for _, upstreams := range []int{33, 120, 480} {
		b.Run(fmt.Sprintf("%d upstreams", upstreams), run(upstreams, false))
		b.Run(fmt.Sprintf("%d upstreams, slack-aware", upstreams), run(upstreams, true))
	}
}

// advance plays the calls in progress, and cancels the jobs that have ended, until a time.
func (h *harness) advance(until time.Time) {
	for {
		first := -1
		for i, call := range h.calls {
			if first < 0 || h.ends[call.ID].Before(h.ends[h.calls[first].ID]) {
				first = i
			}
		}
		if first < 0 || h.ends[h.calls[first].ID].After(until) {
			h.now = until
			return
		}
		h.now = h.ends[h.calls[first].ID]
		delete(h.ends, h.calls[first].ID)
		h.complete(first)
		h.plan()
		for id := range h.done {
			h.Cancel(id)
			delete(h.done, id)
		}
	}
}
