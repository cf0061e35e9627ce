package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/operator"
	"github.com/nutmegshift/nutmegshift/timeline"
)

func serve(t *testing.T, ready bool) (operator.Target, *timeline.Ring) {
	ring := timeline.NewRing("h1", timeline.NewClock(time.Now), 16)
	server := httptest.NewServer(operator.New(operator.Config{
		Ready: func() operator.Readiness {
			return operator.Readiness{
				Ready:  ready,
				Reason: "stopping",
			}
		},
		Status:  func() any { return "status" },
		Ring:    ring,
		Metrics: metrics.NewSet(),
	}))
	t.Cleanup(server.Close)
	return operator.Target{
		Host:    "h1",
		Address: ident.Address(strings.TrimPrefix(server.URL, "http://")),
	}, ring
}

// Guards against a host that is not ready but returns status 200, which the load
// balancer goes by.
func TestReadiness(t *testing.T) {
	cases := map[string]struct {
		ready  bool
		status int
	}{
		"ready":    {true, http.StatusOK},
		"stopping": {false, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			target, _ := serve(t, tc.ready)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(target.Address)+"/ready", nil)
			c.Assert(err, qt.IsNil)
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			c.Assert(response.StatusCode, qt.Equals, tc.status)
		})
	}
}

// Guards against a timeline that looks complete although a host did not respond: the
// error must name the host.
func TestEventsNamesSilentHosts(t *testing.T) {
	c := qt.New(t)
	target, ring := serve(t, true)
	ring.Record(timeline.Event{
		Request: "r1",
		Name:    "arrived",
	})
	unreachable := operator.Target{
		Host:    "h2",
		Address: "127.0.0.1:1",
	}
	results := operator.Events(t.Context(), http.DefaultClient, []operator.Target{target, unreachable}, "r1")
	c.Assert(results[0].Err, qt.IsNil)
	c.Assert(results[0].Value, qt.HasLen, 1)
	c.Assert(errors.Is(results[1].Err, operator.ErrNoResponse), qt.IsTrue)
	c.Assert(results[1].Err, qt.ErrorMatches, "h2: .*")
}
