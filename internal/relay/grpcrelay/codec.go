package grpcrelay

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/placement"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

const (
	// Limits on the fields of a job, against damaged messages. maxTokens applies to each number of
	// tokens.
	maxStages = 64
	maxPieces = 4096
	// maxParts is the most parts that a header of 16 KB can have. A longer prompt is placed by
	// its first ones.
	maxParts = 4096
	// maxExcluded limits the excluded upstreams. A host rejects a proposal of one that it could
	// not send.
	maxExcluded = 1024
	maxTokens   = 1 << 30
	maxPause    = 24 * time.Hour
	// maxOrganisation is the maximum length of the name of an organisation, in bytes.
	maxOrganisation = 256
	// maxUsage limits the usage in Failed messages, in percent of a share.
	maxUsage = 10_000
)

// causeErrors maps the causes in Failed messages to the errors of a job.
var causeErrors = map[Cause]errors.ConstError{
	Cause_CAUSE_OVERLOAD:    batch.ErrOverload,
	Cause_CAUSE_FAILED:      batch.ErrFailed,
	Cause_CAUSE_NO_UPSTREAM: batch.ErrNoUpstream,
}

func encodeJob(now time.Time, id cell.ID, job coordinator.Job) *Job {
	encoded := &Job{
		Cell:      string(id),
		Request:   string(job.Request),
		Domain:    string(job.Domain),
		Rank:      int32(job.Rank),
		Key:       job.Key,
		Objective: job.Objective.Sub(now).Milliseconds(),
		Deadline:  job.Deadline.Sub(now).Milliseconds(),
	}
	if len(job.Organisation) <= maxOrganisation { // without it, shares do not apply to the job
		encoded.Organisation = string(job.Organisation)
	}
	for _, stage := range job.Stages {
		s := &Stage{
			Service: string(stage.Service),
			Kind:    string(stage.Kind),
			Pieces:  uint32(stage.Pieces),
			Bytes:   stage.Bytes,
		}
		for _, predecessor := range stage.After {
			s.After = append(s.After, uint32(predecessor))
		}
		encoded.Stages = append(encoded.Stages, s)
	}
	if job.Target.Service != "" {
		encoded.Target = encodeTarget(job.Target)
	}
	for _, report := range job.Reports {
		encoded.Reports = append(encoded.Reports, &Report{
			Request: string(report.Request),
			Ending:  uint32(report.Ending),
			Pace:    report.Pace.Microseconds(),
			Pause:   report.Pause.Milliseconds(),
		})
	}
	return encoded
}

func encodeTarget(query placement.Query) *Target {
	target := &Target{
		Service: string(query.Service),
		Domain:  string(query.Domain),
		Model:   string(query.Prompt.Model),
		Input:   int64(query.Prompt.Input),
		Output:  int64(query.Prompt.Output),
		Shared:  query.Shared.Key,
		Tokens:  int64(query.Shared.Tokens),
	}
	parts := query.Prompt.Parts
	for _, part := range parts[:min(len(parts), maxParts)] {
		target.Parts = append(target.Parts, &Part{
			Id:     string(part.ID),
			Tokens: int64(part.Tokens),
		})
	}
	for id := range query.Exclude {
		if len(target.Exclude) == maxExcluded {
			break
		}
		target.Exclude = append(target.Exclude, string(id))
	}
	return target
}

func decodeTarget(target *Target) (placement.Query, error) {
	query := placement.Query{
		Service: ident.ServiceName(target.GetService()),
		Domain:  ident.FailureDomain(target.GetDomain()),
		Prompt: wire.Prompt{
			Model:  ident.ModelName(target.GetModel()),
			Input:  int(target.GetInput()),
			Output: int(target.GetOutput()),
		},
		Shared: placement.SharedPrefix{
			Key:    target.GetShared(),
			Tokens: int(target.GetTokens()),
		},
	}
	if len(target.GetParts()) > maxParts || len(target.GetExclude()) > maxExcluded {
		return placement.Query{}, errors.NotValidf("target with %d parts and %d excluded upstreams", len(target.GetParts()), len(target.GetExclude()))
	}
	if min(target.GetInput(), target.GetOutput(), target.GetTokens()) < 0 || max(target.GetInput(), target.GetOutput(), target.GetTokens()) > maxTokens {
		return placement.Query{}, errors.NotValidf("target with %d, %d and %d tokens", target.GetInput(), target.GetOutput(), target.GetTokens())
	}
	for _, part := range target.GetParts() {
		if part.GetTokens() < 0 || part.GetTokens() > maxTokens {
			return placement.Query{}, errors.NotValidf("part with %d tokens", part.GetTokens())
		}
		query.Prompt.Parts = append(query.Prompt.Parts, wire.Part{
			ID:     wire.PartID(part.GetId()),
			Tokens: int(part.GetTokens()),
		})
	}
	if len(target.GetExclude()) > 0 {
		query.Exclude = make(map[ident.UpstreamID]bool)
	}
	for _, id := range target.GetExclude() {
		query.Exclude[ident.UpstreamID(id)] = true
	}
	return query, nil
}

func decodeJob(now time.Time, encoded *Job) (cell.ID, coordinator.Job, error) {
	job := coordinator.Job{
		Job: batch.Job{
			Request:   ident.RequestID(encoded.GetRequest()),
			Domain:    ident.FailureDomain(encoded.GetDomain()),
			Rank:      batch.Rank(encoded.GetRank()),
			Key:       encoded.GetKey(),
			Objective: now.Add(time.Duration(encoded.GetObjective()) * time.Millisecond),
			Deadline:  now.Add(time.Duration(encoded.GetDeadline()) * time.Millisecond),

			Organisation: ident.OrganisationID(encoded.GetOrganisation()),
		},
	}
	if len(encoded.GetOrganisation()) > maxOrganisation {
		return "", coordinator.Job{}, errors.NotValidf("organisation of %d bytes", len(encoded.GetOrganisation()))
	}
	if len(encoded.GetStages()) > maxStages {
		return "", coordinator.Job{}, errors.NotValidf("job with %d stages", len(encoded.GetStages()))
	}
	for i, s := range encoded.GetStages() {
		stage := batch.Stage{
			Service: ident.ServiceName(s.GetService()),
			Kind:    batch.Kind(s.GetKind()),
			Pieces:  int(s.GetPieces()),
			Bytes:   s.GetBytes(),
		}
		if s.GetPieces() > maxPieces {
			return "", coordinator.Job{}, errors.NotValidf("stage with %d pieces", s.GetPieces())
		}
		for _, predecessor := range s.GetAfter() {
			if int(predecessor) >= i {
				return "", coordinator.Job{}, errors.NotValidf("stage %d after %d", i, predecessor)
			}
			stage.After = append(stage.After, int(predecessor))
		}
		job.Stages = append(job.Stages, stage)
	}
	if encoded.GetTarget().GetService() != "" {
		target, err := decodeTarget(encoded.GetTarget())
		if err != nil {
			return "", coordinator.Job{}, err
		}
		job.Target = target
	}
	for _, report := range encoded.GetReports() {
		job.Reports = append(job.Reports, coordinator.Report{
			Request: ident.RequestID(report.GetRequest()),
			Ending:  placement.Ending(min(report.GetEnding(), uint32(placement.Misdirected))),
			Pace:    max(0, time.Duration(report.GetPace())*time.Microsecond),
			Pause:   time.Duration(min(max(0, report.GetPause()), maxPause.Milliseconds())) * time.Millisecond,
		})
	}
	return cell.ID(encoded.GetCell()), job, nil
}

func encodeFailed(err error) *JobReply {
	failed := &Failed{
		Cause:   Cause_CAUSE_FAILED,
		Message: err.Error(),
	}
	for cause, target := range causeErrors {
		if errors.Is(err, target) {
			failed.Cause = cause
		}
	}
	var overload *batch.Overload
	if errors.As(err, &overload) {
		failed.Delay = overload.Delay.Milliseconds()
		failed.Limit = overload.Limit.Milliseconds()
		failed.Usage = uint32(min(max(math.Ceil(float64(overload.Usage)*100), 0), maxUsage))
	}
	return &JobReply{
		Kind: &JobReply_Failed{
			Failed: failed,
		},
	}
}

func decodeFailed(failed *Failed) error {
	if failed.GetDelay() != 0 {
		return &batch.Overload{
			Delay: time.Duration(failed.GetDelay()) * time.Millisecond,
			Limit: time.Duration(failed.GetLimit()) * time.Millisecond,
			Usage: share.Ratio(min(failed.GetUsage(), maxUsage)) / 100,
		}
	}
	cause, ok := causeErrors[failed.GetCause()]
	if !ok {
		cause = batch.ErrFailed
	}
	return errors.Annotate(cause, failed.GetMessage())
}
