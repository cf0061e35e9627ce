package batch

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// UnloadedTime returns the time that stages take without load by the limits in a table, with
// all pieces of a stage in as few calls as possible. Stages whose service is not known, or
// runs no stages, take none.
func UnloadedTime(table *routes.Table, stages []Stage) time.Duration {
	ends := make([]time.Duration, len(stages))
	longest := time.Duration(0)
	for i, stage := range stages {
		for _, dep := range stage.After {
			ends[i] = max(ends[i], ends[dep])
		}
		service := table.Service(stage.Service)
		if stage.Pieces > 0 && service != nil && service.Batch != nil {
			ends[i] += service.Batch.CallDuration(min(stage.Pieces, max(1, service.Batch.Items)))
		}
		longest = max(longest, ends[i])
	}
	return longest
}
