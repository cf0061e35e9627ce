package entry

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/internal/caller"
	"github.com/nutmegshift/nutmegshift/outcome"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// Guards against a request that is accepted while a host drains and interrupted at the end
// of its stop.
func TestRequestDuringDrain(t *testing.T) {
	c := qt.New(t)
	s := NewServer(ServerConfig{
		Recorder: timeline.NewRing("h1", timeline.NewClock(time.Now), 16),
		Metrics:  metrics.NewSet(),
		Now:      time.Now,
	})
	end := time.Now().Add(time.Second)
	s.active.refuseBeyond(end)
	got, ok := s.Serve(t.Context(), caller.Request{
		ID:       "r1",
		Service:  &document.Service{},
		Deadline: end.Add(time.Second),
	}, nil).(outcome.Refused)
	c.Assert(ok, qt.IsTrue)
	c.Check(got.Reason, qt.Equals, outcome.Stopping)
	c.Check(s.active.refuses(end), qt.IsFalse)
}
