package entry

import (
	"context"

	"github.com/nutmegshift/nutmegshift/pipeline"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// openGuard lets every request be tried again.
type openGuard struct{}

// Lost implements pipeline.Guard.
func (openGuard) Lost(context.Context, pipeline.Fingerprint, upstream.Lease) bool { return true }

// Done implements pipeline.Guard.
func (openGuard) Done(context.Context, pipeline.Fingerprint) {}
