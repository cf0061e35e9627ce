package grpcrelay

import (
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
)

const (
	// maxStages and maxPieces bound a job against damaged messages.
	maxStages = 64
	maxPieces = 4096
)

// causes translate the errors of a job.
var causes = map[Cause]errors.ConstError{
	Cause_CAUSE_OVERLOAD:    batch.ErrOverload,
	Cause_CAUSE_FAILED:      batch.ErrFailed,
	Cause_CAUSE_NO_UPSTREAM: batch.ErrNoUpstream,
}

func encodeJob(now time.Time, id cell.ID, job batch.Job) *Job {
	encoded := &Job{
		Cell:      string(id),
		Request:   string(job.Request),
		Domain:    string(job.Domain),
		Rank:      int32(job.Rank),
		Key:       job.Key,
		Objective: job.Objective.Sub(now).Milliseconds(),
		Deadline:  job.Deadline.Sub(now).Milliseconds(),
	}
	for _, stage := range job.Stages {
		s := &Stage{
			Service: string(stage.Service),
			Kind:    string(stage.Kind),
			Pieces:  uint32(stage.Pieces),
			Bytes:   stage.Bytes,
		}
		for _, before := range stage.After {
			s.After = append(s.After, uint32(before))
		}
		encoded.Stages = append(encoded.Stages, s)
	}
	return encoded
}

func decodeJob(now time.Time, encoded *Job) (cell.ID, batch.Job, error) {
	job := batch.Job{
		Request:   ident.RequestID(encoded.GetRequest()),
		Domain:    ident.FailureDomain(encoded.GetDomain()),
		Rank:      batch.Rank(encoded.GetRank()),
		Key:       encoded.GetKey(),
		Objective: now.Add(time.Duration(encoded.GetObjective()) * time.Millisecond),
		Deadline:  now.Add(time.Duration(encoded.GetDeadline()) * time.Millisecond),
	}
	if len(encoded.GetStages()) > maxStages {
		return "", batch.Job{}, errors.NotValidf("job with %d stages", len(encoded.GetStages()))
	}
	for i, s := range encoded.GetStages() {
		stage := batch.Stage{
			Service: ident.ServiceName(s.GetService()),
			Kind:    batch.Kind(s.GetKind()),
			Pieces:  int(s.GetPieces()),
			Bytes:   s.GetBytes(),
		}
		if s.GetPieces() > maxPieces {
			return "", batch.Job{}, errors.NotValidf("stage with %d pieces", s.GetPieces())
		}
		for _, before := range s.GetAfter() {
			if int(before) >= i {
				return "", batch.Job{}, errors.NotValidf("stage %d after %d", i, before)
			}
			stage.After = append(stage.After, int(before))
		}
		job.Stages = append(job.Stages, stage)
	}
	return cell.ID(encoded.GetCell()), job, nil
}

func encodeFailed(err error) *JobReply {
	failed := &Failed{
		Cause:   Cause_CAUSE_FAILED,
		Message: err.Error(),
	}
	for cause, known := range causes {
		if errors.Is(err, known) {
			failed.Cause = cause
		}
	}
	var overload *batch.Overload
	if errors.As(err, &overload) {
		failed.Delay = overload.Delay.Milliseconds()
		failed.Limit = overload.Limit.Milliseconds()
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
		}
	}
	known, ok := causes[failed.GetCause()]
	if !ok {
		known = batch.ErrFailed
	}
	return errors.Annotate(known, failed.GetMessage())
}
