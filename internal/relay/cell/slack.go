package cell

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/coordinator"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// latestStart returns the latest time at which the stages of a job may start for a
// response on time, if nothing delays them.
func latestStart(table *routes.Table, job coordinator.Job) time.Time {
	return job.Objective.Add(-stagesTime(table, job))
}

// stagesTime returns the time that the stages of a job take without load, with all pieces
// of a stage in as few calls as possible.
func stagesTime(table *routes.Table, job coordinator.Job) time.Duration {
	ends := make([]time.Duration, len(job.Stages))
	longest := time.Duration(0)
	for i, stage := range job.Stages {
		for _, dep := range stage.After {
			ends[i] = max(ends[i], ends[dep])
		}
		service := table.Service(stage.Service)
		if stage.Pieces > 0 && service != nil && service.Batch != nil {
			pieces := min(stage.Pieces, max(1, service.Batch.Items))
			ends[i] += service.Batch.CallTime + time.Duration(pieces)*service.Batch.ItemTime
		}
		longest = max(longest, ends[i])
	}
	return longest
}
