package coordinator_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/meter"
)

// Guards against requests that wait for health checks, against health checks that are
// repeated, that are sent although no call was refused or the upstreams report no load, and
// against lost reports.
func TestHealthChecks(t *testing.T) {
	const upstreams = 8
	tests := map[string]struct {
		load    string
		refuses bool // an upstream refuses the first call
		checks  int64
	}{
		"report their load, one refuses": {load: "idle", refuses: true, checks: upstreams},
		"report their load":              {load: "idle"},
		"report nothing, one refuses":    {refuses: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			directory := fleet.New()
			answer := make(chan struct{})
			var checks atomic.Int64
			var refused atomic.Bool
			for i := range upstreams {
				u := &stageUpstream{id: ident.UpstreamID(fmt.Sprint(i)), onBatch: func() {}}
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/health" {
						checks.Add(1)
						<-answer
						w.Header().Set("Load", test.load)
						return
					}
					if test.refuses && r.URL.Path == "/run" && !refused.Swap(true) {
						w.Header().Set("Load", test.load)
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					u.ServeHTTP(w, r)
				}))
				c.Cleanup(server.Close)
				u.address = ident.Address(server.Listener.Addr().String())
				u.register(directory, fleet.Ready, 1)
			}
			counts := meter.New()
			started := startWith(c, directory, "/health", counts)
			ticket := submitJob(c, started, "a", 1, 10*time.Second)
			_, err := ticket.Wait(t.Context())
			c.Assert(err, qt.IsNil)
			close(answer)
			// The report of the refusal says that the upstream is idle, and is not used.
			counted := fmt.Sprintf(`relay_load_reports_total{service="stage",verdict="used"} %d`, test.checks)
			recorded := func() bool {
				var written bytes.Buffer
				counts.Write(&written)
				return checks.Load() == test.checks && strings.Contains(written.String(), counted) == (test.checks > 0)
			}
			for until := time.Now().Add(5 * time.Second); !recorded() && time.Now().Before(until); {
				time.Sleep(10 * time.Millisecond)
			}
			for range 20 {
				_, err := submitJob(c, started, "b", 1, 10*time.Second).Wait(t.Context())
				c.Assert(err, qt.IsNil)
			}
			c.Check(recorded(), qt.IsTrue, qt.Commentf("%d checks", checks.Load()))
		})
	}
}
