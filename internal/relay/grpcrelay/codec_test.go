package grpcrelay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Guards against fields of a job that are lost or changed by the encoding, and against an
// effect of clock differences between hosts: times are sent as the time left.
func TestJob(t *testing.T) {
	c := qt.New(t)
	senderNow := time.Unix(1_700_000_000, 0)
	receiverNow := senderNow.Add(time.Hour)
	job := coordinator.Job{
		Job: batch.Job{
			Request:   "9c41",
			Domain:    "erie-hall",
			Rank:      -1,
			Key:       "7c1e",
			Objective: senderNow.Add(1500 * time.Millisecond),
			Deadline:  senderNow.Add(15 * time.Second),

			Organisation: "organisation",
			Stages: []batch.Stage{
				{
					Service: "board",
					Kind:    "chat/0",
					Pieces:  2,
					Bytes:   800_000,
				},
				{
					Service: "portal",
					Kind:    "chat/1",
					After:   []int{0},
					Pieces:  4,
					Bytes:   60_000,
				},
			},
		},
		Target: placement.Query{
			Service: "pool",
			Domain:  "huron-hall",
			Prompt: wire.Prompt{
				Model:  "m",
				Input:  1460,
				Output: 80,
				Parts: []wire.Part{
					{
						ID:     "5c1e",
						Tokens: 800,
					},
					{
						ID:     "e440",
						Tokens: 250,
					},
				},
			},
			Shared: placement.SharedPrefix{
				Key:    1 << 63,
				Tokens: 800,
			},
			Exclude: map[ident.UpstreamID]bool{"i-7f3a": true},
		},
		Reports: []coordinator.Report{{
			Request: "8b30",
			Ending:  placement.Full,
			Pace:    20 * time.Millisecond,
		}},
	}
	id, got, err := decodeJob(receiverNow, encodeJob(senderNow, "cell", job))
	c.Assert(err, qt.IsNil)
	c.Check(id, qt.Equals, cell.ID("cell"))
	job.Objective = receiverNow.Add(1500 * time.Millisecond)
	job.Deadline = receiverNow.Add(15 * time.Second)
	c.Check(got, qt.DeepEquals, job)
}

// Guards against a damaged message that makes a coordinator run forever.
func TestDamagedJob(t *testing.T) {
	tests := map[string]*Job{
		"stage after itself":      {Stages: []*Stage{{After: []uint32{0}}}},
		"stage after a later one": {Stages: []*Stage{{After: []uint32{1}}, {}}},
		"many pieces":             {Stages: []*Stage{{Pieces: 1 << 30}}},
		"many stages":             {Stages: make([]*Stage, 1000)},
		"long organisation":       {Organisation: strings.Repeat("o", 1000)},
		"negative tokens":         {Target: &Target{Service: "s", Input: -1}},
		"part of many tokens":     {Target: &Target{Service: "s", Parts: []*Part{{Tokens: 1 << 40}}}},
		"many parts":              {Target: &Target{Service: "s", Parts: make([]*Part, 5000)}},
	}
	for name, job := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := decodeJob(time.Now(), job)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// Guards against a job that is rejected because its organisation has a long name, or
// because its host does not state one yet.
func TestUnstatedOrganisation(t *testing.T) {
	for _, organisation := range []string{"", strings.Repeat("o", 1000)} {
		var job coordinator.Job
		job.Organisation = ident.OrganisationID(organisation)
		_, got, err := decodeJob(time.Now(), encodeJob(time.Now(), "cell", job))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.Organisation, qt.Equals, ident.OrganisationID(""))
	}
}

// Guards against an overload that is decoded as a failure, or without the time after which
// to retry.
func TestFailed(t *testing.T) {
	tests := map[string]struct {
		err        error
		want       error
		retryAfter time.Duration
		limited    bool // because of the share of the organisation
	}{
		"overload":        {err: &batch.Overload{Delay: 3 * time.Second, Limit: time.Second}, want: batch.ErrOverload, retryAfter: 3 * time.Second},
		"over share":      {err: &batch.Overload{Delay: 9 * time.Second, Limit: time.Second, Usage: 1.5}, want: batch.ErrOverload, retryAfter: share.Ratio(1.5).Wait(), limited: true},
		"missed deadline": {err: errors.Annotate(batch.ErrOverload, "deadline cannot be met"), want: batch.ErrOverload},
		"failed":          {err: errors.Annotate(batch.ErrFailed, "stage 1"), want: batch.ErrFailed},
		"no upstream":     {err: batch.ErrNoUpstream, want: batch.ErrNoUpstream},
		"unknown":         {err: errors.New("something else"), want: batch.ErrFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			failed, ok := encodeFailed(test.err).GetKind().(*JobReply_Failed)
			c.Assert(ok, qt.IsTrue)
			got := decodeFailed(failed.Failed)
			c.Check(got, qt.ErrorIs, test.want)
			var overload *batch.Overload
			if errors.As(got, &overload) {
				c.Check(overload.RetryAfter(), qt.Equals, test.retryAfter)
				c.Check(overload.Usage.Limited(), qt.Equals, test.limited)
			} else {
				c.Check(test.retryAfter, qt.Equals, time.Duration(0))
			}
		})
	}
}

// Guards against a coordinator that rejects the job of a legal request, since its prompt has very
// many parts or many upstreams are excluded.
func TestLongJob(t *testing.T) {
	tests := map[string]struct {
		parts, excluded         int
		wantParts, wantExcluded int
	}{
		"many parts":              {parts: 1100, wantParts: 1100},
		"longest header":          {parts: maxParts, wantParts: maxParts},
		"beyond":                  {parts: maxParts + 1, wantParts: maxParts},
		"many excluded upstreams": {excluded: maxExcluded + 1, wantExcluded: maxExcluded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			job := coordinator.Job{
				Target: placement.Query{
					Service: "pool",
					Exclude: make(map[ident.UpstreamID]bool),
				},
			}
			for i := range test.parts {
				job.Target.Prompt.Parts = append(job.Target.Prompt.Parts, wire.Part{
					ID:     wire.PartID(fmt.Sprint(i)),
					Tokens: 1,
				})
			}
			for i := range test.excluded {
				job.Target.Exclude[ident.UpstreamID(fmt.Sprint(i))] = true
			}
			now := time.Unix(1_700_000_000, 0)
			_, decoded, err := decodeJob(now, encodeJob(now, "", job))
			c.Assert(err, qt.IsNil)
			c.Check(decoded.Target.Prompt.Parts, qt.HasLen, test.wantParts)
			c.Check(decoded.Target.Exclude, qt.HasLen, test.wantExcluded)
		})
	}
}
